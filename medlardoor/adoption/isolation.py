"""Rule that detects when this node may be unable to get a newer document."""

from medlardoor.blackboard import topics
from medlardoor.config import settings as settings_module

__all__ = ["IsolationRule"]


class IsolationRule:
    """Detects isolation by the time since the last contact.

    A contact is a gossip digest of another node or an answer of the platform.

    A node that has never had contact with another node is not isolated, because
    it cannot distinguish a partition from being the only node. A service of one
    node without other services must keep serving while only the platform is
    unavailable.

    Args:
        settings: Maximum time without contact.
        membership: Topic of the membership controller; not modified.
    """

    def __init__(
        self,
        settings: settings_module.GossipSettings,
        membership: topics.Membership,
    ):
        self._contact_timeout_s = settings.isolation_s
        self._membership = membership
        self._platform_contact_at: float | None = None

    def record_platform_contact(self, now: float) -> None:
        """Records that the platform answered."""
        self._platform_contact_at = now

    def is_contact_overdue(self, now: float) -> bool:
        """Whether the node has been without contact for too long.

        This includes a process that was paused: a newer document may have been
        accepted during the pause, so it refuses requests until it has contact.

        Args:
            now: Current time, in seconds.
        """
        return self._contact_age_s(now) > self._contact_timeout_s

    def needs_contact(self, now: float) -> bool:
        """Whether to contact the platform before the rule applies.

        Args:
            now: Current time, in seconds.
        """
        return self._contact_age_s(now) > self._contact_timeout_s / 2

    def _contact_age_s(self, now: float) -> float:
        """Time since the last contact; 0 without any contact with a node."""
        node_contact_at = self._membership.last_contact_at
        if node_contact_at is None:
            return 0.0
        return now - max(
            node_contact_at, self._platform_contact_at or node_contact_at
        )
