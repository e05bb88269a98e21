"""What a node does about refusals: floor of the level, retry hints."""

import random

from medlardoor import errors
from medlardoor.admission import levels
from medlardoor.blackboard import board as board_module

__all__ = ["RECORD_MAX_AGE_S", "RefusedRanks", "RetryHints"]

# A refusal of a rank keeps lower ranks out for this time.
_HOLD_S = 1.0

# A peer's record that is older says nothing about its present state.
RECORD_MAX_AGE_S = 3.0

_MIN_HINT_S = 0.05
_MAX_HINT_S = 10.0


class RefusedRanks:
    """Floor of the admission level from refusals here and at peers.

    Args:
        board: Blackboard; `membership` is read.
    """

    def __init__(self, board: board_module.Blackboard):
        self._board = board
        self._refused_at: dict[int, float] = {}
        self._level = 0

    @property
    def level(self) -> int:
        """Lowest level that may be admitted; computed by `update`."""
        return self._level

    def refuse(self, rank: int, now: float) -> None:
        """Notes that a call was refused after forwarding it failed.

        Args:
            rank: Rank of the call.
            now: Current time, in seconds.
        """
        self._refused_at[rank] = now
        self.update(now)

    def own_rank(self, now: float) -> int:
        """Highest rank refused here in the last second; -1 if none."""
        recent = [
            rank for rank, at in self._refused_at.items() if now - at < _HOLD_S
        ]
        return max(recent, default=-1)

    def update(self, now: float) -> None:
        """Computes the floor from the records of peers and own refusals.

        Args:
            now: Current time, in seconds.
        """
        rank = self.own_rank(now)
        for member in self._board.membership.members.values():
            if now - member.heard_at <= RECORD_MAX_AGE_S:
                rank = max(rank, member.refused_rank)
        self._level = max(0, rank * levels.LEVELS_PER_RANK)


class RetryHints:
    """Times after which refused callers may come back.

    Args:
        generator: Source of the spread.
    """

    def __init__(self, generator: random.Random):
        self._generator = generator
        self._clear_s = _MIN_HINT_S

    def update(self, queued: int, capacity: float, longest_s: float) -> None:
        """Adapts the hint to the load.

        Args:
            queued: Calls that wait.
            capacity: Calls that can start in a second.
            longest_s: Time after which a waiting call is dropped, in seconds.
        """
        if capacity <= 0:
            self._clear_s = _MAX_HINT_S
            return
        # Callers that come back after the queue has cleared find room if the
        # load has fallen. Longer hints would only build up a backlog of
        # resends that keeps the service full after the overload has ended.
        clear_s = min(queued / capacity, longest_s)
        self._clear_s = min(_MAX_HINT_S, max(_MIN_HINT_S, clear_s))

    def retry_after_ms(self, reason: errors.Reason) -> int:
        """Hint for one refusal, spread around the time to clear the queue.

        Args:
            reason: Reason of the refusal; a missed deadline gets no hint.
        """
        if reason is errors.Reason.DEADLINE_EXCEEDED:
            return 0
        return int(1000 * self._clear_s * self._generator.uniform(0.5, 1.5))
