"""Era of the store, as this node has heard of it."""

import collections.abc

import logbook

from medlardoor import logs
from medlardoor.store import client, versions

__all__ = ["StoreEra"]

_LOG = logbook.Logger("store")


class StoreEra:
    """Follows the highest era in answers of the store and in statuses.

    A node that cannot reach the store, or makes no calls, hears from other
    nodes that the store has returned from an older copy.

    Args:
        store: The platform's store.
    """

    def __init__(self, store: client.ObjectStore):
        self._store = store
        self._current: int | None = None
        self._listeners: list[collections.abc.Callable[[], None]] = []

    @property
    def current(self) -> int | None:
        """Highest era heard of; None without any, or in a store without."""
        return self._current

    @property
    def gauges(self) -> dict[str, int]:
        """What metrics show of the store, by name."""
        return {
            "store_era": self._current or 0,
            "store_objects_unreadable_total": self._store.unreadable_objects,
        }

    def listen(self, listener: collections.abc.Callable[[], None]) -> None:
        """Registers a function to call after each return of the store."""
        self._listeners.append(listener)

    def check(self) -> None:
        """Takes over the era of the store's answers."""
        self.record(self._store.era, "store")

    def record(self, era: int | None, source: str) -> None:
        """Records an era; a later one means that the store has returned.

        Args:
            era: The era; None if the source does not know it.
            source: Where it was heard of, for logs.
        """
        known = self._current
        if era is None or (known is not None and era <= known):
            return
        if not versions.is_plausible_era(era, known):
            logs.log_event(
                _LOG,
                logbook.WARNING,
                "store_era_invalid",
                era=era,
                known=known,
                source=source,
            )
            return
        self._current = era
        logs.log_event(
            _LOG,
            logbook.INFO if known is None else logbook.WARNING,
            "store_era_changed",
            era=era,
            known=known,
            source=source,
        )
        if known is not None:
            for listener in self._listeners:
                listener()
