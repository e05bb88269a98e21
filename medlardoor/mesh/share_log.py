"""Logging of the teams whose refusals come from their own demand."""

import collections.abc

import logbook

from medlardoor import logs

__all__ = ["ShareLog"]

_LOG = logbook.Logger("sharing")

# Demand relative to the mean demand of the active teams from which on a refused
# team is logged, and below which it is so no longer. At one node the demand of
# a team that sends a request every two seconds varies by a quarter, so a lower
# bound would log teams for random variation.
BEGIN_EXCESS = 2.0
END_EXCESS = 1.5

# A team that is not refused for this time is within its share, in seconds.
END_AFTER_S = 5.0

# Maximum number of teams that are followed; further ones are not logged.
MAX_TEAMS = 64

_CHECK_INTERVAL_S = 0.5


class ShareLog:
    """Logs when a refused team begins or ends to exceed its share.

    Args:
        excess_of: Returns the demand of a team at an importance, relative to
            the mean demand of the active teams.
    """

    def __init__(self, excess_of: collections.abc.Callable[[int, str], float]):
        self._excess_of = excess_of
        # Time of the last refusal in seconds, by importance and team.
        self._refused_at: dict[tuple[int, str], float] = {}
        self._checked_at = 0.0

    def record_refusal(self, importance: int, team: str, now: float) -> None:
        """Records that a request of a team was refused for lack of capacity.

        Args:
            importance: Importance of the request.
            team: Name of the team.
            now: Current time, in seconds.
        """
        key = (importance, team)
        if key not in self._refused_at:
            excess = self._excess_of(importance, team)
            if excess < BEGIN_EXCESS or len(self._refused_at) >= MAX_TEAMS:
                return
            self._log("team_share_exceeded", key, excess)
        self._refused_at[key] = now

    def check(self, now: float) -> None:
        """Logs the teams that are within their share again.

        Args:
            now: Current time, in seconds.
        """
        if now - self._checked_at < _CHECK_INTERVAL_S:
            return
        self._checked_at = now
        for key, refused_at in list(self._refused_at.items()):
            excess = self._excess_of(*key)
            if excess < END_EXCESS or now - refused_at > END_AFTER_S:
                del self._refused_at[key]
                self._log("team_share_kept", key, excess)

    def _log(self, event: str, key: tuple[int, str], excess: float) -> None:
        importance, team = key
        logs.log_event(
            _LOG,
            logbook.WARNING,
            event,
            team=team,
            importance=importance,
            times_mean=round(excess, 1),
        )
