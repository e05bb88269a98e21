"""Isolation rule: whether this node may be cut off from a newer document."""

from medlardoor.blackboard import topics
from medlardoor.config import settings as settings_module

__all__ = ["IsolationRule"]


class IsolationRule:
    """Judges by the age of the last contact with any node or the platform.

    A node that never heard another node cannot tell a cut from being alone,
    so it is not isolated: a service of one node with no other service must
    keep serving while only the platform is away.

    Args:
        settings: Longest time without contact.
        membership: Topic of the membership controller, only read.
    """

    def __init__(
        self,
        settings: settings_module.GossipSettings,
        membership: topics.Membership,
    ):
        self._limit_s = settings.isolation_s
        self._membership = membership
        self._platform_at: float | None = None

    def note_platform_contact(self, now: float) -> None:
        """Notes that the platform answered."""
        self._platform_at = now

    def evaluate(self, now: float) -> bool:
        """Whether the node is without contact for too long.

        A process that was paused has no contact for as long, and refuses
        until it hears somebody: a document may have been accepted meanwhile.

        Args:
            now: Current time, in seconds.
        """
        return self._silence_s(now) > self._limit_s

    def needs_contact(self, now: float) -> bool:
        """Whether the platform should be asked before the rule applies.

        Args:
            now: Current time, in seconds.
        """
        return self._silence_s(now) > self._limit_s / 2

    def _silence_s(self, now: float) -> float:
        """Time since the last contact; 0 if no node was ever heard."""
        heard_at = self._membership.last_contact_at
        if heard_at is None:
            return 0.0
        return now - max(heard_at, self._platform_at or heard_at)
