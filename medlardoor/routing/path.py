"""Admission levels of called services, applied where a request enters."""

from medlardoor.blackboard import board as board_module
from medlardoor.blackboard import topics

__all__ = ["PathController"]

# A reported level stays unchanged for this time (design, section 2.6).
_HOLD_S = 1.0

# Decay of a level after the hold time. If all calls of a kind are refused, no
# response reports a new level, and admitting all of them at once would
# overload the called service again.
_DECAY_LEVELS_PER_S = 256.0

# A refused kind sends one probe call when no level was reported for this time,
# so that the entry node follows a level that falls. With a shorter interval
# the refused probes of all entry nodes add up.
PROBE_INTERVAL_S = 0.25


class PathController:
    """Tracks the levels of called services; writes the topic `paths`.

    Args:
        board: Blackboard of the node.
    """

    def __init__(self, board: board_module.Blackboard):
        self._board = board
        # Time of the last probe by kind, in seconds.
        self._probed_at: dict[str, float] = {}

    def observe(
        self, service: str, kind: str, path_level: int, now: float
    ) -> None:
        """Stores the path level that a response reports.

        Args:
            service: Service that responded.
            kind: Kind of the call.
            path_level: Level in the response.
            now: Current time, in seconds.
        """
        levels = self._board.paths.levels
        levels[service, kind] = topics.PathLevel(path_level, now)

    def admits(self, kind: str, level: int, now: float) -> bool:
        """Whether a request may enter, either regularly or as a probe.

        Args:
            kind: Kind of the request.
            level: Level of the calls that the request will make.
            now: Current time, in seconds.
        """
        if level >= self.level_for(kind, now):
            return True
        if not self.is_probe_due(kind, now):
            return False
        self._probed_at[kind] = now
        return True

    def is_probe_due(self, kind: str, now: float) -> bool:
        """Whether the next refused request of a kind enters as a probe.

        Args:
            kind: Kind of the request.
            now: Current time, in seconds.
        """
        probed_at = self._probed_at.get(kind, 0.0)
        known_at = max(self.last_reported_at(kind), probed_at)
        return now - known_at >= PROBE_INTERVAL_S

    def peek_level(self, kind: str, now: float) -> int:
        """Same as `level_for`, without dropping outdated levels.

        Args:
            kind: Kind of the request.
            now: Current time, in seconds.
        """
        levels = self._board.paths.levels
        known = [_decayed_level(levels[k], now) for k in levels if k[1] == kind]
        return max(0, *known) if known else 0

    def last_reported_at(self, kind: str) -> float:
        """Time of the last reported level of a kind, in seconds; 0 if none.

        Args:
            kind: Kind of the request.
        """
        levels = self._board.paths.levels
        return max(
            (
                entry.reported_at
                for key, entry in levels.items()
                if key[1] == kind
            ),
            default=0.0,
        )

    def level_for(self, kind: str, now: float) -> int:
        """Highest level on the paths of a kind; 0 if none is known.

        Args:
            kind: Kind of the request.
            now: Current time, in seconds.
        """
        highest = 0
        levels = self._board.paths.levels
        for key in [k for k in levels if k[1] == kind]:
            level = _decayed_level(levels[key], now)
            if level <= 0:
                del levels[key]
            highest = max(highest, level)
        return highest


def _decayed_level(entry: topics.PathLevel, now: float) -> int:
    decay_s = max(0.0, now - entry.reported_at - _HOLD_S)
    return entry.level - int(decay_s * _DECAY_LEVELS_PER_S)
