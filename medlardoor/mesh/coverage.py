"""Whether enough other nodes watch the route document."""

import asyncio

from medlardoor.membership import watchers
from medlardoor.mesh import roster as roster_module
from medlardoor.mesh import settings as settings_module
from medlardoor.mesh import store_era
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["WatchCoverage"]


class WatchCoverage:
    """Decides whether this node may rely on the watches of other nodes.

    Args:
        settings: Settings of the node.
        roster: The other nodes and the links to them.
        era: Era of the store.
    """

    def __init__(
        self,
        settings: settings_module.MeshSettings,
        roster: roster_module.Roster,
        era: store_era.StoreEra,
    ):
        self._instance = settings.instance
        self._failure_domain = settings.failure_domain
        self._suspect_after_intervals = settings.links.suspect_after_intervals
        self._roster = roster
        self._era = era
        self._loop = asyncio.get_running_loop()

    @property
    def is_covered(self) -> bool:
        """Whether enough linked nodes of its domain watch the document."""
        now = self._loop.time()
        watching = [
            peer.instance
            for peer in self._roster.dialled_links.values()
            if peer.status is not None
            and peer.status.watches
            and peer.status.failure_domain == self._failure_domain
            and self._has_followed_store(peer.status)
            and peer.silent_intervals(now) <= self._suspect_after_intervals
        ]
        return watchers.is_covered(self._instance, watching)

    def _has_followed_store(self, status: ttypes.NodeStatus) -> bool:
        """Whether a node's watch is of the store's current era.

        A node of an earlier build does not send its era, and goes on from a
        revision of before a return.
        """
        era = self._era.current
        return era is None or (
            status.store_era is not None and status.store_era >= era
        )
