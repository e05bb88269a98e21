"""Effects of refusals: the floor of the admission level and retry hints."""

import random

from medlardoor import errors
from medlardoor.admission import levels
from medlardoor.blackboard import board as board_module

__all__ = ["RECORD_MAX_AGE_S", "RefusalFloor", "RetryHints"]

# After a refusal of a rank, calls of lower ranks are refused for this time.
_REFUSAL_HOLD_S = 1.0

# An older record of a peer no longer reflects its state and is ignored.
RECORD_MAX_AGE_S = 3.0

_MIN_RETRY_HINT_S = 0.05
_MAX_RETRY_HINT_S = 10.0


class RefusalFloor:
    """Floor of the admission level, from refusals at this node and at peers.

    Args:
        board: Blackboard; `membership` is read.
    """

    def __init__(self, board: board_module.Blackboard):
        self._board = board
        self._refused_at: dict[int, float] = {}
        self._level = 0

    @property
    def level(self) -> int:
        """Lowest level that may be admitted, as of the last `update`."""
        return self._level

    def record_refusal(self, rank: int, now: float) -> None:
        """Records the refusal of a call after forwarding it failed.

        Args:
            rank: Rank of the call.
            now: Current time, in seconds.
        """
        self._refused_at[rank] = now
        self.update(now)

    def highest_local_rank(self, now: float) -> int:
        """Highest rank refused by this node in the last second; -1 if none."""
        recent = [
            rank
            for rank, at in self._refused_at.items()
            if now - at < _REFUSAL_HOLD_S
        ]
        return max(recent, default=-1)

    def update(self, now: float) -> None:
        """Computes the floor from refusals at this node and records of peers.

        Args:
            now: Current time, in seconds.
        """
        rank = self.highest_local_rank(now)
        for member in self._board.membership.members.values():
            if now - member.heard_at <= RECORD_MAX_AGE_S:
                rank = max(rank, member.refused_rank)
        self._level = max(0, rank * levels.LEVELS_PER_RANK)


class RetryHints:
    """Times after which refused callers may retry.

    Args:
        generator: Random generator for the jitter.
    """

    def __init__(self, generator: random.Random):
        self._generator = generator
        self._clearing_time_s = _MIN_RETRY_HINT_S

    def update(
        self, queued: int, capacity_rate: float, max_wait_s: float
    ) -> None:
        """Updates the hint from the load.

        Args:
            queued: Number of calls in the queue.
            capacity_rate: Number of calls that can start per second.
            max_wait_s: Time after which a queued call is dropped, in seconds.
        """
        if capacity_rate <= 0:
            self._clearing_time_s = _MAX_RETRY_HINT_S
            return
        # Callers that retry after the queue has cleared are admitted if the
        # load has fallen. Longer hints would only build up a backlog of
        # retries that keeps the service full after the overload has ended.
        clearing_time_s = min(queued / capacity_rate, max_wait_s)
        self._clearing_time_s = min(
            _MAX_RETRY_HINT_S, max(_MIN_RETRY_HINT_S, clearing_time_s)
        )

    def retry_after_ms(self, reason: errors.Reason) -> int:
        """Hint for one refusal: the time to clear the queue, with jitter.

        Args:
            reason: Reason for the refusal.

        Returns:
            The hint, in milliseconds; 0 for a missed deadline.
        """
        if reason is errors.Reason.DEADLINE_EXCEEDED:
            return 0
        return int(
            1000 * self._clearing_time_s * self._generator.uniform(0.5, 1.5)
        )
