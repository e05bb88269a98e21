"""Task that stores quarantined fingerprints in the platform."""

import random

import anyio
import logbook
import result

from medlardoor import errors, logs
from medlardoor.quarantine import controller as quarantine_controller
from medlardoor.store import client

__all__ = ["QuarantineTask"]

POLL_INTERVAL_S = 1.0
# All nodes of a service receive a quarantine at the same moment. With random
# delays the first node writes it and the others find it already stored.
MAX_WRITE_DELAY_S = 2.0
MAX_BACKOFF_S = 30.0

_LOG = logbook.Logger("medlardoor.quarantine")


class QuarantineTask:
    """Reads the stored set at the start and writes it when the set changes.

    Args:
        controller: Quarantine controller that holds the set.
        store: Client of the platform.
        service: Service of this node.
        rng: Random numbers for the delays of writes and retries.
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
        """Synchronizes the stored set until cancelled."""
        backoff_s = POLL_INTERVAL_S
        while True:
            if self._controller.revision == self._saved_revision:
                await anyio.sleep(POLL_INTERVAL_S)
                continue
            if self._saved_revision >= 0:
                await anyio.sleep(self._rng.uniform(0.0, MAX_WRITE_DELAY_S))
            if (await self._synchronize()).is_ok():
                backoff_s = POLL_INTERVAL_S
                continue
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
            await anyio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))

    async def _synchronize(
        self,
    ) -> result.Result[None, errors.Failure]:
        """Merges the stored set; writes it back if it lacks fingerprints."""
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
            # The next attempt reads the stored object again before it writes.
            return written
        self._saved_revision = revision
        return result.Ok(None)
