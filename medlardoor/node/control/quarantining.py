"""Keeps quarantined fingerprints in the platform."""

import random

import anyio
import logbook
import result

from medlardoor import errors, logs
from medlardoor.quarantine import controller as quarantine_controller
from medlardoor.store import client

__all__ = ["QuarantineTask"]

POLL_S = 1.0
# All nodes of a service learn of a quarantine at the same moment; the first
# to wake up writes it and the others find nothing to add.
MAX_SPREAD_S = 2.0
MAX_BACKOFF_S = 30.0

_LOG = logbook.Logger("medlardoor.quarantine")


class QuarantineTask:
    """Reads the object at the start and writes it when the set changes.

    Args:
        controller: Crash attribution.
        store: Client of the platform.
        service: Name of the own service.
        rng: Spread of the writers.
    """

    def __init__(
        self,
        controller: quarantine_controller.QuarantineController,
        store: client.ObjectStore,
        service: str,
        rng: random.Random,
    ):
        self._controller = controller
        self._store = store
        self._key = f"quarantine/{service}"
        self._rng = rng
        self._saved_revision = -1

    async def run(self) -> None:
        """Follows the set until cancelled."""
        backoff_s = POLL_S
        while True:
            if self._controller.revision == self._saved_revision:
                await anyio.sleep(POLL_S)
                continue
            if self._saved_revision >= 0:
                await anyio.sleep(self._rng.uniform(0.0, MAX_SPREAD_S))
            if (await self._synchronize()).is_ok():
                backoff_s = POLL_S
                continue
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
            await anyio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))

    async def _synchronize(
        self,
    ) -> result.Result[None, errors.Failure]:
        """Merges the object and writes it back if something is missing."""
        found = await self._store.read(self._key)
        if found.is_err():
            return found
        stored = found.ok()
        now = anyio.current_time()
        if stored is not None:
            merged = self._controller.merge_object(stored.value, now)
            if merged.is_err():
                logs.log_event(
                    _LOG,
                    logbook.WARNING,
                    "quarantine_object_invalid",
                    detail=merged.err().message,
                )
        revision = self._controller.revision
        if self._controller.is_covered_by(stored.value if stored else b"", now):
            self._saved_revision = revision
            return result.Ok(None)
        written = await self._store.update(
            self._key,
            self._controller.to_object(now),
            stored.version if stored else 0,
        )
        if written.is_err():
            # The next round reads the object back before it writes again.
            return written
        self._saved_revision = revision
        return result.Ok(None)
