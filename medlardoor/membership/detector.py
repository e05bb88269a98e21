"""Failure detection by the age of heartbeats."""

import collections.abc

from medlardoor.blackboard import topics
from medlardoor.config import settings as settings_module

__all__ = ["FailureDetector"]


class FailureDetector:
    """Detects failed members by the time since their last newer heartbeat.

    If the last tick is longer ago than the suspicion time, this process was
    probably paused. Ages are then measured at the last tick, and the next tick
    gives all members that had not failed a new grace period. Otherwise a
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
        """Records that this process runs; called once per gossip interval.

        Args:
            members: All known members of all services.
            now: Current time, in seconds.

        Returns:
            Whether this process was paused since the last tick.
        """
        was_paused = self._is_tick_overdue(now)
        if was_paused:
            for member in members:
                if not self.is_failed(member, now):
                    member.heard_at = now
        self._last_tick_at = now
        return was_paused

    def age(self, member: topics.Member, now: float) -> float:
        """Time since the last newer heartbeat, in seconds."""
        if self._is_tick_overdue(now):
            now = self._last_tick_at
        return max(0.0, now - member.heard_at)

    def is_suspect(self, member: topics.Member, now: float) -> bool:
        """Whether the member should get no new requests."""
        return self.age(member, now) > self._settings.suspect_after_s

    def is_failed(self, member: topics.Member, now: float) -> bool:
        """Whether the member counts as failed."""
        return self.age(member, now) > self._settings.fail_after_s

    def is_removable(self, member: topics.Member, now: float) -> bool:
        """Whether the member may be removed."""
        return self.age(member, now) > self._settings.forget_after_s

    def _is_tick_overdue(self, now: float) -> bool:
        if self._last_tick_at is None:
            return False
        return now - self._last_tick_at > self._settings.suspect_after_s
