"""Accounting for large frames on links between nodes in the buffer budget.

A node that stands still reads nothing, and what is sent to it is held by the
sender. A frame that is being received is held as well, before anything in it
can be refused.
"""

from medlardoor.admission import buffers as buffers_module
from medlardoor.admission import levels

__all__ = ["COUNTED_BYTES", "LinkBudget"]

# Frames of this size, in bytes, and larger ones are counted. Smaller ones are
# bounded by the number of requests in progress.
COUNTED_BYTES = 65_536

# Shares of the buffer budget up to which unsent frames are added on a link from
# which the other node reads, and on one that has stalled. The rest is for the
# requests and responses that do not wait for such a link.
UNSENT_SHARE = 0.8
STALLED_SHARE = 0.5

# Time without progress, in seconds, after which a link counts as stalled. A
# process on a busy machine may stand still for shorter.
STALL_S = 1.0


class LinkBudget:
    """Decides on large frames of all links of a node.

    Args:
        buffers: Budget for the bytes of bodies held in memory.
    """

    def __init__(self, buffers: buffers_module.BufferBudget):
        self._buffers = buffers
        self._unsent_bytes = 0

    @property
    def unsent_bytes(self) -> int:
        """Bytes of large frames that the kernel has not taken."""
        return self._unsent_bytes

    def may_send(
        self, size: int, link_unsent_bytes: int, still_s: float
    ) -> bool:
        """Whether a frame may be sent on a link.

        A frame is always sent on a link that holds no large one: it has not
        been found to be slow.

        Args:
            size: Size of the body in the frame, in bytes.
            link_unsent_bytes: Bytes of large frames that the link holds.
            still_s: Time since the kernel has taken any bytes of them, in
                seconds.
        """
        if size < COUNTED_BYTES or not link_unsent_bytes:
            return True
        share = UNSENT_SHARE if still_s < STALL_S else STALLED_SHARE
        limit_bytes = self._buffers.limit_bytes * share
        return self._unsent_bytes + size <= limit_bytes

    def add_unsent(self, size: int) -> None:
        """Counts a large frame that is written to a link.

        Args:
            size: Size of the frame, in bytes.
        """
        self._unsent_bytes += size
        self._buffers.reserve_unchecked(size)

    def release_unsent(self, size: int) -> None:
        """Releases frames that the kernel has taken, or that were dropped.

        Args:
            size: Size of the frames, in bytes.
        """
        self._unsent_bytes -= size
        self._buffers.release(size)

    def try_receive_call(self, size: int) -> bool:
        """Reserves space for a request that arrives from another node.

        Its priority is behind its body in the frame, so the bound is that of
        all but the lowest rank. The local upstream applies the bound of its
        rank.

        Args:
            size: Size of the frame, in bytes.

        Returns:
            Whether the space was reserved.
        """
        return self._buffers.try_reserve_request(size, levels.LEVELS_PER_RANK)

    def try_receive_answer(self, size: int) -> bool:
        """Reserves space for an answer that arrives from another node.

        Args:
            size: Size of the frame, in bytes.

        Returns:
            Whether the space was reserved.
        """
        return self._buffers.try_reserve_response(size)

    def release_received(self, size: int) -> None:
        """Releases the space of a frame that was passed on or dropped.

        Args:
            size: Size of the frame, in bytes.
        """
        self._buffers.release(size)
