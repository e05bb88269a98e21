"""Admission levels of called services, applied where a kind enters."""

from medlardoor.blackboard import board as board_module
from medlardoor.blackboard import topics

__all__ = ["PathController"]

# A reported level holds for this time (design, section 2.6).
_HOLD_S = 1.0

# Afterwards it falls by this many levels a second. If all calls of a kind
# are refused, no answer reports a new level, and admitting all of them at
# once would overload the called service again.
_FALL_PER_S = 256.0

# A refused kind sends one of its calls after this time without news, so that
# its entry follows a level that falls. With less, the calls that are sent in
# vain add up over all entries.
PROBE_AFTER_S = 0.25


class PathController:
    """Writes the topic `paths`.

    Args:
        board: Blackboard.
    """

    def __init__(self, board: board_module.Blackboard):
        self._board = board
        # When each kind has last sent a call below its level, in seconds.
        self._probed_at: dict[str, float] = {}

    def observe(
        self, service: str, kind: str, path_level: int, now: float
    ) -> None:
        """Notes the path level of an answer.

        Args:
            service: Service that answered.
            kind: Kind of the call.
            path_level: Level in the answer.
            now: Current time, in seconds.
        """
        levels = self._board.paths.levels
        levels[service, kind] = topics.PathLevel(path_level, now)

    def admits(self, kind: str, level: int, now: float) -> bool:
        """Whether a call may enter.

        Args:
            kind: Kind of the call.
            level: Level that the calls made for it will have.
            now: Current time, in seconds.
        """
        if level >= self.level_for(kind, now):
            return True
        probed_at = self._probed_at.get(kind, 0.0)
        if now - max(self.seen_at(kind), probed_at) < PROBE_AFTER_S:
            return False
        self._probed_at[kind] = now
        return True

    def seen_at(self, kind: str) -> float:
        """When an answer last told of the levels of a kind, in seconds.

        Args:
            kind: Kind of the call.
        """
        levels = self._board.paths.levels
        return max(
            (entry.seen_at for key, entry in levels.items() if key[1] == kind),
            default=0.0,
        )

    def level_for(self, kind: str, now: float) -> int:
        """Highest level on the paths of a kind.

        Args:
            kind: Kind of the call.
            now: Current time, in seconds.
        """
        highest = 0
        levels = self._board.paths.levels
        for key in [k for k in levels if k[1] == kind]:
            level = _aged(levels[key], now)
            if level <= 0:
                del levels[key]
            highest = max(highest, level)
        return highest


def _aged(entry: topics.PathLevel, now: float) -> int:
    over_s = max(0.0, now - entry.seen_at - _HOLD_S)
    return entry.level - int(over_s * _FALL_PER_S)
