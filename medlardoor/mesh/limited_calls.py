"""Calls of teams with a limit, which need a token before they are sent."""

import collections.abc

from medlardoor.mesh import calls, handlers
from medlardoor.teams import keys, limiter

__all__ = ["LimitedCall"]


class LimitedCall(handlers.RequestHandle):
    """Starts a call when its team has got a token.

    Args:
        call: The call.
        start: Starts the call once there is a token.
        team: Team of the caller.
        is_urgent: Whether the call may use the last tokens of the team.
        team_limiter: Grants the token.
        refuse: Called instead if there is no token.
    """

    __slots__ = (
        "_call",
        "_is_urgent",
        "_limiter",
        "_refuse",
        "_start",
        "_team",
    )

    def __init__(
        self,
        call: calls.Call,
        start: collections.abc.Callable[[], None],
        team: keys.Team,
        is_urgent: bool,
        team_limiter: limiter.TeamLimiter,
        refuse: collections.abc.Callable[[limiter.Grant], None],
    ):
        self._call = call
        self._start = start
        self._team = team
        self._is_urgent = is_urgent
        self._limiter = team_limiter
        self._refuse = refuse

    def begin(self) -> None:
        """Asks for a token."""
        self._call.open()
        self._limiter.take(self._team, self._is_urgent, self._on_grant)

    def cancel(self) -> None:
        """Cancels the call, or the wait for a token."""
        self._call.cancel()

    def _on_grant(self, grant: limiter.Grant) -> None:
        if self._call.is_done:
            if grant.is_granted:
                self._give_back()
            return
        try:
            if grant.is_granted:
                self._call.on_not_run = self._give_back
                self._start()
            else:
                self._refuse(grant)
                self._call.withdraw()
        except Exception as error:  # noqa: BLE001
            # The limiter answers other requests in the same step.
            self._call.end_after_error(error)

    def _give_back(self) -> None:
        self._limiter.give_back(self._team)
