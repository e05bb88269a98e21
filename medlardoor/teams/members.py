"""Count of the nodes that share a limit."""

import math

__all__ = ["MemberCount"]


class MemberCount:
    """Counts the nodes that may use a share of a limit.

    A node counts for a long time after it was last heard of: it may be cut off
    and still use its share. A node that left in a planned stop no longer
    counts.

    Args:
        retention_s: Time for which a silent node counts, in seconds.
    """

    def __init__(self, retention_s: float):
        self._retention_s = retention_s
        self._seen_at: dict[str, float] = {}
        self._last_added_at = math.inf

    @property
    def last_added_at(self) -> float:
        """When the last new node became known, in seconds."""
        return self._last_added_at

    def record(self, instance: str, now: float) -> bool:
        """Records that a node was heard of, and returns whether it is new."""
        is_new = instance not in self._seen_at
        if is_new:
            self._last_added_at = now
        self._seen_at[instance] = now
        return is_new

    def record_departure(self, instance: str) -> bool:
        """Removes a node that ended in a planned stop, if it is counted.

        Returns:
            Whether it was counted.
        """
        return self._seen_at.pop(instance, None) is not None

    def count(self, now: float) -> int:
        """Number of nodes, at least 1."""
        oldest = now - self._retention_s
        for instance in [n for n, at in self._seen_at.items() if at < oldest]:
            del self._seen_at[instance]
        return max(1, len(self._seen_at))
