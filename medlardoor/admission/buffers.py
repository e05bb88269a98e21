"""Bound on the bytes that a node holds for requests and answers.

The load that this answers: many large bodies at once, slow callers and slow
upstreams. What a node holds for them counts towards its memory, and a process
that exceeds its memory is killed with everything that it runs.
"""

from medlardoor.admission import levels

__all__ = ["BufferBudget"]

# Shares of the limit up to which bodies are taken. The rest is kept for more
# urgent requests, and at last for answers of work that is done.
ENTRY_SHARE = 0.5
URGENT_SHARE = 0.8


class BufferBudget:
    """Bytes of bodies that are held at the same time.

    Args:
        limit_bytes: Most bytes that are held.
    """

    def __init__(self, limit_bytes: int):
        self._limit_bytes = limit_bytes
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Bytes that are held."""
        return self._used_bytes

    def try_take_request(self, size: int, level: int) -> bool:
        """Takes room for a part of a request's body.

        Args:
            size: Size of the part, in bytes.
            level: Importance of the request; see `levels.level_of`. Those of
                the lowest rank leave room for all others.

        Returns:
            Whether there was room.
        """
        share = URGENT_SHARE
        if level < levels.LEVELS_PER_RANK:
            share = ENTRY_SHARE
        return self._try_take(size, share)

    def try_take_answer(self, size: int) -> bool:
        """Takes room for a part of an answer's body.

        Args:
            size: Size of the part, in bytes.

        Returns:
            Whether there was room.
        """
        return self._try_take(size, 1.0)

    def take(self, size: int) -> None:
        """Counts bytes that are held in any case, even above the limit.

        Args:
            size: Number of bytes; negative if they become fewer.
        """
        self._used_bytes += size

    def release(self, size: int) -> None:
        """Gives bytes back.

        Args:
            size: Number of bytes that were taken.
        """
        self._used_bytes -= size

    def _try_take(self, size: int, share: float) -> bool:
        if size and self._used_bytes + size > self._limit_bytes * share:
            return False
        self._used_bytes += size
        return True
