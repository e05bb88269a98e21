"""Tokens that a node holds, and the limits that it has been told of."""

import collections

from medlardoor.teams import limiter
from medlardoor.teams import settings as settings_module

__all__ = ["TokenStock"]

# Longest time for which a refusal of the lender is repeated without asking
# again, in seconds.
MAX_REFUSAL_S = 1.0

# Interval over which requests are counted to estimate their rate, in seconds.
_RATE_INTERVAL_S = 1.0


class TokenStock:
    """Tokens for requests to come, from which requests are served first.

    Args:
        settings: Settings of team limits.
    """

    def __init__(self, settings: settings_module.LimitSettings):
        self._hold_s = settings.hold_s
        # Expiry time and number of the tokens of each team.
        self._tokens: dict[str, tuple[float, int]] = {}
        # End of the refusal by team and urgency of the requests, in seconds.
        self._refused_until: dict[tuple[str, bool], float] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._last_counts: collections.Counter[str] = collections.Counter()
        self._counted_since = 0.0

    def take(
        self, team: str, is_urgent: bool, now: float
    ) -> limiter.Grant | None:
        """Answers a request without the lender, if possible.

        Args:
            team: Name of the team.
            is_urgent: Whether the request may use the last tokens.
            now: Current time, in seconds.

        Returns:
            The answer; None if the lender must be asked.
        """
        self._count(team, now)
        expires_at, count = self._tokens.get(team, (0.0, 0))
        if count and now < expires_at:
            self._tokens[team] = (expires_at, count - 1)
            return limiter.Grant(True)
        refused_until = self._refused_until.get((team, is_urgent), 0.0)
        if now < refused_until:
            return limiter.Grant(
                False, is_limited=True, wait_s=refused_until - now
            )
        return None

    def wanted_extra(self, team: str) -> int:
        """Number of tokens that requests are expected to use while held."""
        rate_per_s = self._last_counts[team] / _RATE_INTERVAL_S
        return int(rate_per_s * self._hold_s)

    def add(self, team: str, count: int, requested_at: float) -> None:
        """Adds tokens from the lender.

        Args:
            team: Name of the team.
            count: Number of tokens.
            requested_at: When they were requested, in seconds. They expire
                before the lender lends them to others.
        """
        self._tokens[team] = (requested_at + self._hold_s, count)

    def record_refusal(
        self, team: str, is_urgent: bool, wait_s: float, now: float
    ) -> None:
        """Records that the team has reached its limit.

        Args:
            team: Name of the team.
            is_urgent: Whether the refused request could use the last tokens.
            wait_s: Time until the lender expects to have a token, in seconds.
            now: Current time, in seconds.
        """
        until = now + min(wait_s, MAX_REFUSAL_S)
        self._refused_until[team, is_urgent] = until

    def clear(self) -> None:
        """Drops all tokens and refusals after a change of the limits."""
        self._tokens.clear()
        self._refused_until.clear()

    def _count(self, team: str, now: float) -> None:
        elapsed_s = now - self._counted_since
        if elapsed_s >= _RATE_INTERVAL_S:
            is_adjacent = elapsed_s < 2 * _RATE_INTERVAL_S
            self._last_counts = (
                self._counts if is_adjacent else collections.Counter()
            )
            self._counts = collections.Counter()
            self._counted_since = now
        self._counts[team] += 1
