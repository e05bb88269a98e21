"""Watch of the stored route document."""

import collections
import collections.abc
import enum
import random

import anyio
import logbook
import result

from medlardoor import errors, logs
from medlardoor.mesh import documents
from medlardoor.mesh import settings as settings_module
from medlardoor.store import client, pacing

__all__ = ["DocumentWatch", "WatchOutcome"]

_LOG = logbook.Logger("documents")

# Pause after a failed call, in seconds; it doubles up to the maximum.
MIN_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 1.0

# Interval at which a node that relies on other watchers checks that there are
# still enough of them, in seconds.
COVERAGE_CHECK_INTERVAL_S = 0.3

# Interval at which such a node still reads the document, in seconds. At 9,000
# nodes this makes 160 calls per second, of the 2,000 that the store serves.
FALLBACK_READ_INTERVAL_S = 60.0


class WatchOutcome(enum.Enum):
    """How a watch of the document ended."""

    CHANGED = "changed"
    UNCHANGED = "unchanged"
    FAILED = "failed"


class DocumentWatch:
    """Watches the stored document and offers each change to the holder.

    Args:
        settings: Duration of a watch.
        store: The platform's store.
        key: Key of the document.
        holder: Adopts the documents read.
        is_covered: Returns whether enough other nodes watch the document.
        report_change: Called when this node starts or stops watching.
        generator: Random number generator for the jitter of pauses.
    """

    def __init__(
        self,
        settings: settings_module.DocumentSettings,
        store: client.ObjectStore,
        key: str,
        holder: documents.DocumentHolder,
        is_covered: collections.abc.Callable[[], bool],
        report_change: collections.abc.Callable[[], None],
        generator: random.Random,
    ):
        self._settings = settings
        self._store = store
        self._key = key
        self._holder = holder
        self._is_covered = is_covered
        self._report_change = report_change
        self._is_watching = False
        self._generator = generator
        self._is_reachable: bool | None = None
        self._confirmed_at: float | None = None
        self._outcomes: collections.Counter[WatchOutcome] = (
            collections.Counter()
        )

    @property
    def is_watching(self) -> bool:
        """Whether this node watches the document and the store responds."""
        return self._is_watching

    @property
    def outcomes(self) -> collections.Counter[WatchOutcome]:
        """Number of watches by how they ended."""
        return self._outcomes

    def confirmed_age_s(self, now: float) -> float | None:
        """Time since the store last answered a read or a watch, in seconds.

        Args:
            now: Current time, in seconds.

        Returns:
            The time; None if the store has not answered yet.
        """
        if self._confirmed_at is None:
            return None
        return now - self._confirmed_at

    async def run(self) -> None:
        """Reads the document and watches it until cancelled."""
        pause_s = MIN_RETRY_PAUSE_S
        version = 0
        rounds = pacing.RoundPacer()
        while True:
            await rounds.wait()
            called_at = anyio.current_time()
            if version == 0:
                read = await self._store.read(self._key)
            else:
                if await self._wait_while_covered():
                    version = 0
                    continue
                version = max(version, self._holder.version.stored)
                called_at = anyio.current_time()
                read = await self._wait_for_change(version)
            answered_at = anyio.current_time()
            self._set_watching(read.is_ok())
            if read.is_err():
                self._log_reachability(
                    False, read.err_value.message, answered_at - called_at
                )
                version = 0
                await anyio.sleep(pause_s * self._generator.uniform(0.7, 1.3))
                pause_s = min(MAX_RETRY_PAUSE_S, pause_s * 2)
                continue
            self._confirmed_at = answered_at
            self._log_reachability(True, "", answered_at - called_at)
            pause_s = MIN_RETRY_PAUSE_S
            stored = read.ok_value
            if stored is not None:
                version = max(version, stored.version)
                self._holder.offer(stored.version, stored.value, "store")
            elif version == 0:
                # There is no document yet.
                await anyio.sleep(MAX_RETRY_PAUSE_S)

    async def _wait_for_change(
        self, version: int
    ) -> result.Result[client.StoredObject | None, errors.StoreUnavailable]:
        """Watches the document once.

        A watch that is overdue has failed: its connection may have stopped
        working without a reset, and changes would not arrive on it.

        Args:
            version: Version after which changes are reported.

        Returns:
            The changed object, or None without a change.
        """
        settings = self._settings
        watched = result.Err(
            errors.StoreUnavailable(self._key, "watch is overdue")
        )
        with anyio.move_on_after(settings.watch_s + settings.overdue_s):
            watched = await self._store.watch(
                self._key, version, settings.watch_s
            )
        self._count(watched)
        return watched

    async def _wait_while_covered(self) -> bool:
        """Waits while enough other nodes watch the document.

        Returns:
            Whether the document must be read although other nodes watch it.
        """
        if not self._is_covered():
            return False
        self._set_watching(False)
        self._log_watch("watch_paused")
        waited_s = 0.0
        limit_s = FALLBACK_READ_INTERVAL_S * self._generator.uniform(0.7, 1.3)
        while self._is_covered():
            if waited_s >= limit_s:
                return True
            await anyio.sleep(COVERAGE_CHECK_INTERVAL_S)
            waited_s += COVERAGE_CHECK_INTERVAL_S
        self._log_watch("watch_resumed")
        return False

    def _set_watching(self, is_watching: bool) -> None:
        """Reports a change at once, so that other nodes take over in time."""
        if is_watching is not self._is_watching:
            self._is_watching = is_watching
            self._report_change()

    def _count(
        self,
        watched: result.Result[
            client.StoredObject | None, errors.StoreUnavailable
        ],
    ) -> None:
        outcome = WatchOutcome.FAILED
        if watched.is_ok():
            outcome = WatchOutcome.UNCHANGED
            if watched.ok_value is not None:
                outcome = WatchOutcome.CHANGED
        self._outcomes[outcome] += 1

    def _log_watch(self, event: str) -> None:
        revision = self._holder.revision
        logs.log_event(_LOG, logbook.INFO, event, revision=revision)

    def _log_reachability(
        self, is_reachable: bool, detail: str, waited_s: float
    ) -> None:
        """Logs when the store becomes reachable or unreachable.

        Args:
            is_reachable: Whether the last call was answered.
            detail: Why the last call failed.
            waited_s: Duration of the last call, in seconds.
        """
        if is_reachable is self._is_reachable:
            return
        self._is_reachable = is_reachable
        event = "store_regained" if is_reachable else "store_lost"
        logs.log_event(
            _LOG,
            logbook.WARNING,
            event,
            detail=detail,
            waited_ms=int(waited_s * 1_000),
            revision=self._holder.revision,
        )
