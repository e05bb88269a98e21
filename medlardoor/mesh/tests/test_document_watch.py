"""Tests of the watch of the route document under a mock clock."""

import random

import anyio
import pytest
import result
import trio.testing

from medlardoor import errors
from medlardoor.mesh import document_watch, documents, settings
from medlardoor.mesh.tests import group as group_module
from medlardoor.store import client, memory

KEY = group_module.DOCUMENT_KEY

SETTINGS = settings.DocumentSettings(in_force_s=2.0)

# Time that the client allows for an answer, in seconds.
ANSWER_TIMEOUT_S = 1.5


class SilencedStore(client.ObjectStore):
    """Store on whose open connections no further byte arrives.

    Calls that are waiting when `silence` is called end with a timeout of the
    client. Later calls use new connections and are answered.
    """

    def __init__(self, table):
        self._table = table
        self._silenced = anyio.Event()
        self.calls = 0

    def silence(self):
        self._silenced.set()
        self._silenced = anyio.Event()

    async def read(self, key):
        self.calls += 1
        return result.Ok(self._table.read(key))

    async def watch(self, key, after_version, wait_s):
        self.calls += 1
        began_at = anyio.current_time()
        silenced = self._silenced
        changed = None
        with anyio.move_on_after(wait_s):
            while changed is None and not silenced.is_set():
                async with anyio.create_task_group() as group:
                    group.start_soon(self._cancel_after, silenced, group)
                    changed = self._table.newer(key, after_version)
                    if changed is None:
                        await self._table.wait_for_change(key)
                    group.cancel_scope.cancel()
        if not silenced.is_set():
            return result.Ok(changed)
        limit_s = wait_s + ANSWER_TIMEOUT_S
        await anyio.sleep(began_at + limit_s - anyio.current_time())
        return result.Err(errors.StoreUnavailable(key, "timeout"))

    async def _cancel_after(self, event, group):
        await event.wait()
        group.cancel_scope.cancel()

    async def update(self, key, value, expected_version):
        raise NotImplementedError

    async def delete(self, key):
        raise NotImplementedError

    async def list(self, prefix):
        raise NotImplementedError


class Watch:
    """A watch with its store, holder and table of objects."""

    def __init__(self):
        self.table = memory.ObjectTable()
        self.store = SilencedStore(self.table)
        self.holder = documents.DocumentHolder(group_module.Decoder())
        self.reports = []
        self.watch = document_watch.DocumentWatch(
            SETTINGS,
            self.store,
            KEY,
            self.holder,
            lambda: False,
            lambda: self.reports.append(self.watch.is_watching),
            random.Random(1),
        )
        self.publish()

    def publish(self):
        known = self.table.read(KEY)
        version = known.version if known else 0
        value = "\n".join(group_module.DOCUMENT).encode()
        return self.table.update(KEY, value, version).unwrap()

    async def wait_for(self, revision):
        """Returns when a revision is in force, in seconds."""
        while self.holder.revision < revision:  # noqa: ASYNC110
            await anyio.sleep(0.01)
        return anyio.current_time()


def _run(scenario):
    """Runs a scenario beside a watch, under a clock that skips waits.

    Returns:
        What the scenario returns.
    """

    async def main():
        tested = Watch()
        async with anyio.create_task_group() as group:
            group.start_soon(tested.watch.run)
            await tested.wait_for(1)
            returned = await scenario(tested)
            group.cancel_scope.cancel()
        return returned

    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(main, backend="trio", backend_options={"clock": clock})


def test_silent_watch_does_not_delay_a_change():
    """A watch on a silent connection is taken for one without a change."""

    async def scenario(tested):
        # A change starts the watches of all nodes at the same moment.
        await tested.wait_for(tested.publish())
        tested.store.silence()
        await anyio.sleep(0.1)
        published_at = anyio.current_time()
        return await tested.wait_for(tested.publish()) - published_at

    delay_s = _run(scenario)
    assert delay_s <= SETTINGS.in_force_s, f"in force after {delay_s:.1f} s"


def test_lost_watch_is_reported_at_once():
    """Other nodes rely on a node that has lost the store for too long."""

    async def scenario(tested):
        tested.store.silence()
        await anyio.sleep(SETTINGS.watch_s + SETTINGS.overdue_s + 0.01)
        return tested.reports

    assert _run(scenario) == [True, False]


def test_outcomes_of_watches_are_counted():
    """Nothing shows whether a silent watch or one without news ended."""

    async def scenario(tested):
        await anyio.sleep(2 * SETTINGS.watch_s + 0.5)
        await tested.wait_for(tested.publish())
        tested.store.silence()
        await anyio.sleep(SETTINGS.watch_s + ANSWER_TIMEOUT_S + 0.1)
        return tested.watch.outcomes

    outcomes = _run(scenario)
    assert outcomes[document_watch.WatchOutcome.UNCHANGED] >= 2
    assert outcomes[document_watch.WatchOutcome.CHANGED] == 1
    assert outcomes[document_watch.WatchOutcome.FAILED] == 1


def test_age_of_the_last_answer_grows_while_a_watch_waits():
    """The age of what a node knows of the document cannot be seen."""

    async def scenario(tested):
        await tested.wait_for(tested.publish())
        before = tested.watch.confirmed_age_s(anyio.current_time())
        await anyio.sleep(0.5)
        return tested.watch.confirmed_age_s(anyio.current_time()) - before

    assert _run(scenario) == pytest.approx(0.5)
