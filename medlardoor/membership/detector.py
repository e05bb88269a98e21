"""Failure detection by the age of heartbeats."""

import collections.abc

from medlardoor.blackboard import topics
from medlardoor.config import settings as settings_module

__all__ = ["FailureDetector"]


class FailureDetector:
    """Judges members by the time since their last newer heartbeat.

    While the own tick is overdue by more than the suspicion time, this
    process was probably paused: ages are then counted up to its last tick,
    and the next tick gives all members a fresh grace period. Otherwise a
    paused node would declare all its peers failed at once.

    Args:
        settings: Suspicion, failure and removal times.
    """

    def __init__(self, settings: settings_module.GossipSettings):
        self._settings = settings
        self._last_tick_at: float | None = None

    def tick(
        self, members: collections.abc.Iterable[topics.Member], now: float
    ) -> bool:
        """Notes that this process runs; called once per gossip interval.

        Args:
            members: All known members of all services.
            now: Current time, in seconds.

        Returns:
            Whether this process was paused since the last tick.
        """
        paused = self._is_overdue(now)
        if paused:
            for member in members:
                if not self.is_failed(member, now):
                    member.heard_at = now
        self._last_tick_at = now
        return paused

    def age(self, member: topics.Member, now: float) -> float:
        """Time since the last newer heartbeat, in seconds."""
        if self._is_overdue(now):
            now = self._last_tick_at
        return max(0.0, now - member.heard_at)

    def is_suspect(self, member: topics.Member, now: float) -> bool:
        """Whether the member gets no new work."""
        return self.age(member, now) > self._settings.suspect_after_s

    def is_failed(self, member: topics.Member, now: float) -> bool:
        """Whether the member counts as gone."""
        return self.age(member, now) > self._settings.fail_after_s

    def is_forgettable(self, member: topics.Member, now: float) -> bool:
        """Whether the member may be removed."""
        return self.age(member, now) > self._settings.forget_after_s

    def _is_overdue(self, now: float) -> bool:
        if self._last_tick_at is None:
            return False
        return now - self._last_tick_at > self._settings.suspect_after_s
