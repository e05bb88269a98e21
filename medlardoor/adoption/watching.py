"""Task that gets documents from the platform."""

import random as random_module

import anyio
import result

from medlardoor import errors
from medlardoor.adoption import controller as controller_module
from medlardoor.config import settings as settings_module
from medlardoor.store import client, pacing

__all__ = ["DocumentWatcher"]

# Interval of the reads by each node that does not watch. 9,400 nodes make
# 31 reads a second, of about 2,000 that the platform can serve.
_SAFETY_READ_INTERVAL_S = 300.0
_SAFETY_READ_JITTER = 0.2
_MIN_BACKOFF_S = 0.5
# When the platform recovers, all watchers of 430 services together make at most
# 172 calls a second, and get a version accepted then within 5 s.
_MAX_BACKOFF_S = 5.0
_POLL_INTERVAL_S = 1.0
# Until gossip has found the group, each node has the lowest id that it knows.
# Without this delay, a restart of all nodes would cause 9,400 open watches.
_INITIAL_WATCH_DELAY_S = 3.0


class DocumentWatcher:
    """Long-polls the document object while this node is a watcher.

    Other nodes read the object once at startup, then rarely, or when peers have
    not delivered a version that has been reported to this node.

    Args:
        controller: Decides about adoption and the watcher role.
        store: Client of the platform.
        settings: Maximum duration of one watch.
        environment: Name of the environment.
        random: Source of randomness for backoff and safety reads.
    """

    def __init__(
        self,
        controller: controller_module.AdoptionController,
        store: client.ObjectStore,
        settings: settings_module.StoreSettings,
        environment: str,
        random: random_module.Random,
    ):
        self._controller = controller
        self._store = store
        self._watch_s = settings.watch_s
        self._key = f"documents/{environment}"
        self._random = random
        self._backoff_s = 0.0
        self._has_read = False
        self._next_read_at: float | None = None
        self._watch_allowed_at: float | None = None
        self._last_rejection: errors.InvalidInput | None = None

    @property
    def last_rejection(self) -> errors.InvalidInput | None:
        """Latest rejection since the last adoption; None if none."""
        return self._last_rejection

    async def run(self) -> None:
        """Runs until cancelled."""
        rounds = pacing.RoundPacer()
        while True:
            await rounds.wait()
            await self.step()

    async def step(self) -> None:
        """Makes one call to the platform, or waits until one may be due."""
        now = anyio.current_time()
        phase = self._controller.phase
        if phase is controller_module.AdoptionPhase.NO_DOCUMENT:
            if not self._has_read:
                await self._read()
                return
        elif self._next_read_at is None:
            # The document came from a peer. The read is delayed at random, so
            # that not all nodes read at once when the platform recovers.
            wait_s = self._random.uniform(0, _SAFETY_READ_INTERVAL_S)
            self._next_read_at = now + wait_s
        if self._watch_allowed_at is None:
            self._watch_allowed_at = now + _INITIAL_WATCH_DELAY_S
        if self._controller.needs_contact(now):
            await self._read()
            await anyio.sleep(_POLL_INTERVAL_S)
        elif now >= self._watch_allowed_at and self._controller.is_watcher(now):
            await self._watch()
        elif self._is_read_due(now):
            await self._read()
        else:
            await anyio.sleep(_POLL_INTERVAL_S)

    def _is_read_due(self, now: float) -> bool:
        if self._controller.is_peer_delivery_overdue(now):
            return True
        return self._next_read_at is not None and now >= self._next_read_at

    async def _read(self) -> None:
        answer = await self._store.read(self._key)
        if answer.is_ok():
            self._has_read = True
            low, high = 1 - _SAFETY_READ_JITTER, 1 + _SAFETY_READ_JITTER
            wait_s = _SAFETY_READ_INTERVAL_S * self._random.uniform(low, high)
            self._next_read_at = anyio.current_time() + wait_s
        await self._process_answer(answer)
        if answer.is_ok() and self._controller.is_peer_delivery_overdue(
            anyio.current_time()
        ):
            # The platform does not have the version that a peer reported, so
            # an immediate retry would not help.
            low, high = _MAX_BACKOFF_S, 2 * _MAX_BACKOFF_S
            await anyio.sleep(self._random.uniform(low, high))

    async def _watch(self) -> None:
        began = anyio.current_time()
        answer = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_watch_for_read, tasks.cancel_scope)
            answer = await self._store.watch(
                self._key,
                self._controller.newest_evaluated_version,
                self._watch_s,
            )
            tasks.cancel_scope.cancel()
        if answer is None:
            return
        await self._process_answer(answer)
        if answer.is_ok() and answer.ok_value is None:
            self._controller.confirm(anyio.current_time())
            # Prevents a tight loop if the platform answers early.
            early_s = began + _POLL_INTERVAL_S - anyio.current_time()
            await anyio.sleep(max(0.0, early_s))

    async def _cancel_watch_for_read(self, scope: anyio.CancelScope) -> None:
        """Cancels a watch when a read is needed to avoid isolation.

        A watch without a change answers after `watch_s`, which may be longer
        than the isolation time.
        """
        while not self._controller.needs_contact(  # noqa: ASYNC110
            anyio.current_time()
        ):
            await anyio.sleep(_POLL_INTERVAL_S)
        scope.cancel()

    async def _process_answer(
        self,
        answer: result.Result[
            client.StoredObject | None, errors.StoreUnavailable
        ],
    ) -> None:
        if answer.is_err():
            await self._back_off()
            return
        self._backoff_s = 0.0
        now = anyio.current_time()
        self._controller.record_platform_contact(now)
        found = answer.ok_value
        if found is None:
            return
        await self._controller.prepare(found.value)
        now = anyio.current_time()
        offered = self._controller.offer(found.version, found.value, now)
        if isinstance(offered, controller_module.Rejected):
            self._last_rejection = offered.failure
        elif isinstance(offered, controller_module.Adopted):
            self._last_rejection = None
        if found.version == self._controller.newest_evaluated_version:
            self._controller.confirm(now)

    async def _back_off(self) -> None:
        longer_s = max(_MIN_BACKOFF_S, self._backoff_s * 2)
        self._backoff_s = min(longer_s, _MAX_BACKOFF_S)
        await anyio.sleep(self._backoff_s * self._random.uniform(0.5, 1.0))
