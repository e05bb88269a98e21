"""Limit on the bytes that a node buffers for requests and responses.

Many large bodies at once, slow callers and slow upstreams make a node buffer
many bytes. These count towards its memory, and a process that exceeds its
memory limit is killed together with all requests in progress.
"""

from medlardoor.admission import levels

__all__ = ["BufferBudget"]

# Shares of the limit that request bodies of the lowest rank and of other ranks
# may use. The rest is reserved for more urgent requests and, above the higher
# share, for responses, whose work is already done.
LOWEST_RANK_SHARE = 0.5
OTHER_RANKS_SHARE = 0.8


class BufferBudget:
    """Budget for the bytes of bodies that are buffered concurrently.

    Args:
        limit_bytes: Maximum number of buffered bytes.
    """

    def __init__(self, limit_bytes: int):
        self._limit_bytes = limit_bytes
        self._used_bytes = 0

    @property
    def limit_bytes(self) -> int:
        """Maximum number of buffered bytes."""
        return self._limit_bytes

    @property
    def used_bytes(self) -> int:
        """Number of buffered bytes."""
        return self._used_bytes

    def try_reserve_request(self, size: int, level: int) -> bool:
        """Reserves space for a part of a request body if it is available.

        Args:
            size: Size of the part, in bytes.
            level: Importance of the request; see `levels.level_of`. Requests
                of the lowest rank may use a smaller share of the limit.

        Returns:
            Whether the space was reserved.
        """
        share = OTHER_RANKS_SHARE
        if level < levels.LEVELS_PER_RANK:
            share = LOWEST_RANK_SHARE
        return self._try_reserve(size, share)

    def try_reserve_response(self, size: int) -> bool:
        """Reserves space for a part of a response body if it is available.

        Args:
            size: Size of the part, in bytes.

        Returns:
            Whether the space was reserved.
        """
        return self._try_reserve(size, 1.0)

    def reserve_unchecked(self, size: int) -> None:
        """Changes the number of buffered bytes, even above the limit.

        Args:
            size: Number of bytes to add; negative to subtract.
        """
        self._used_bytes += size

    def release(self, size: int) -> None:
        """Releases reserved space.

        Args:
            size: Number of bytes.
        """
        self._used_bytes -= size

    def _try_reserve(self, size: int, share: float) -> bool:
        if size and self._used_bytes + size > self._limit_bytes * share:
            return False
        self._used_bytes += size
        return True
