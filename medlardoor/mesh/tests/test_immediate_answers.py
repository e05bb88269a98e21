"""Tests of watches of a store that answers at once, whatever it is asked."""

import random

import anyio
import anyio.lowlevel
import pytest
import result
import trio.testing

from medlardoor.adoption import watching
from medlardoor.adoption.tests import test_controller
from medlardoor.config import settings as config_settings
from medlardoor.mesh import document_watch, documents, settings
from medlardoor.mesh.tests import group as group_module
from medlardoor.platform.tests import serving
from medlardoor.standins import object_store
from medlardoor.store import client, pacing

KEY = group_module.DOCUMENT_KEY
SECONDS = 10.0
# Calls that a watch may make in that time.
MAX_CALLS = SECONDS / pacing.ROUND_INTERVAL_S + pacing.MAX_QUICK_ROUNDS
# Calls after which a watch counts as never ending.
ENDLESS = 2_000


class ImmediateStore(client.ObjectStore):
    """Answers reads and watches without a wait.

    Args:
        read_version: Version of the object that a read returns.
        step: What each watch adds to the version; 0 for no change.
    """

    def __init__(self, read_version, step):
        self._version = read_version
        self._step = step
        self.calls = 0

    async def read(self, key):
        return await self._answer(key)

    async def watch(self, key, after_version, wait_s):
        self._version += self._step
        if not self._step:
            await self._answer(key)
            return result.Ok(None)
        return await self._answer(key)

    async def _answer(self, key):
        await anyio.lowlevel.checkpoint()
        self.calls += 1
        assert self.calls < ENDLESS, "the store is asked without a pause"
        value = "\n".join(group_module.DOCUMENT).encode()
        return result.Ok(client.StoredObject(key, value, self._version))

    async def update(self, key, value, expected_version):
        raise NotImplementedError

    async def delete(self, key):
        raise NotImplementedError

    async def list(self, prefix):
        raise NotImplementedError


def _mesh_watch(store):
    return document_watch.DocumentWatch(
        settings.DocumentSettings(in_force_s=2.0),
        store,
        KEY,
        documents.DocumentHolder(group_module.Decoder()),
        lambda: False,
        lambda: None,
        random.Random(1),
    )


def _node_watch(store):
    return watching.DocumentWatcher(
        test_controller.Node().adoption,
        store,
        config_settings.StoreSettings(watch_s=30.0),
        "trial",
        random.Random(1),
    )


@pytest.mark.parametrize("make", [_mesh_watch, _node_watch])
@pytest.mark.parametrize(
    ("read_version", "step"),
    [(1, 0), (1, 1), (0, 0)],
    ids=["unchanged", "newer", "version 0"],
)
def test_watch_pauses_between_immediate_answers(make, read_version, step):
    """A node asks a store that answers at once again without a pause."""
    store = ImmediateStore(read_version, step)

    async def main():
        with anyio.move_on_after(SECONDS):
            await make(store).run()

    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(main, backend="trio", backend_options={"clock": clock})
    assert store.calls <= MAX_CALLS


class ForgetfulStore(object_store.StandinStore):
    """Store that has dropped the history that a watch asks for, always."""

    def __init__(self):
        super().__init__()
        self.watches = 0

    def _watch(self, kind, query, reply):
        self.watches += 1
        self._forgotten = self._revision + 1
        return super()._watch(kind, query, reply)


def test_watch_pauses_if_its_history_is_always_gone():
    """A watch that never succeeds is begun again hundreds of times a second."""
    standin = ForgetfulStore()
    standin.put("config", "main", {})
    wait_s = 2.0

    async def main():
        async with serving.serve(standin) as watched:
            seen = (await watched.read("config/main")).unwrap()
            return await watched.watch("config/main", seen.version, wait_s)

    assert anyio.run(main).unwrap() is None
    assert standin.watches <= (
        wait_s / pacing.ROUND_INTERVAL_S + pacing.MAX_QUICK_ROUNDS
    )
