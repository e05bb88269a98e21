"""Tests of the task that gets documents from the platform."""

import random

import anyio
import pytest
import result
import trio.testing

from medlardoor import errors
from medlardoor.adoption import watching
from medlardoor.adoption.tests import test_controller
from medlardoor.config import settings
from medlardoor.store import memory

pytestmark = pytest.mark.anyio
KEY = "documents/trial"


@pytest.fixture
def anyio_backend():
    clock = trio.testing.MockClock(autojump_threshold=0)
    return "trio", {"clock": clock}


def _watcher(node, store, seed=1, watch_s=30.0):
    return watching.DocumentWatcher(
        node.adoption,
        store,
        settings.StoreSettings(watch_s=watch_s),
        "trial",
        random.Random(seed),
    )


async def _run(watcher, seconds, scenario=None):
    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as group:
            group.start_soon(watcher.run)
            if scenario is not None:
                await scenario()
            await anyio.sleep(seconds)


async def test_watcher_gets_each_version_and_makes_few_calls():
    """A watcher must get each version without polling the platform."""
    node, store = test_controller.Node(), memory.MemoryObjectStore()
    seen = []

    async def promote():
        version = 0
        for number in range(5):
            await anyio.sleep(60.0)
            value = b"%d" % number
            version = store.table.update(KEY, value, version).unwrap()
            await anyio.sleep(0.1)
            seen.append(node.board.policy.value)

    await _run(_watcher(node, store), 600.0, promote)
    assert seen == [b"0", b"1", b"2", b"3", b"4"]
    assert node.board.policy.confirmed_at is not None
    assert store.calls.total <= 600 / 30 + 5 + 10


async def test_default_watch_stays_within_the_planned_rate_of_calls():
    """Watches that end early multiply the calls of all watching nodes."""
    node, store = test_controller.Node(), memory.MemoryObjectStore()
    store.table.update(KEY, b"1", 0).unwrap()
    watcher = watching.DocumentWatcher(
        node.adoption,
        store,
        settings.StoreSettings(),
        "trial",
        random.Random(1),
    )
    await _run(watcher, 600.0)
    # docs/CAPACITY.md plans 172 calls per second for 860 watching nodes.
    assert store.calls.total <= 600 * 172 / 860 + 2


async def test_silent_watch_does_not_delay_a_document():
    """A watch on a connection that stopped working hides newer documents."""
    defaults = settings.StoreSettings()
    node, store = test_controller.Node(), memory.MemoryObjectStore()
    store.table.update(KEY, b"1", 0)
    watcher = _watcher(node, store, watch_s=defaults.watch_s)

    async def silence():
        await anyio.sleep(10.0)
        watch, store.watch = store.watch, _hang(defaults)
        # The next watch has begun on the connection that stops working.
        await anyio.sleep(defaults.watch_s + 0.1)
        store.watch = watch
        store.table.update(KEY, b"2", 1)
        # The users allow 13 s for a change to be in force.
        await anyio.sleep(13.0)

    await _run(watcher, 60.0, silence)
    assert node.board.policy.value == b"2"


def _hang(defaults):
    """Returns a watch that ends with the time-out of the client."""

    async def hang(key, after_version, wait_s):
        await anyio.sleep(wait_s + defaults.timeout_s)
        return result.Err(errors.StoreUnavailable(key, "timeout"))

    return hang


async def test_watcher_backs_off_and_returns_after_an_outage():
    """A watcher must back off in an outage and resume soon after it."""
    node, store = test_controller.Node(), memory.MemoryObjectStore()
    store.table.update(KEY, b"1", 0)

    async def outage():
        await anyio.sleep(10.0)
        store.inject(memory.FaultMode.DOWN)
        await anyio.sleep(600.0)
        store.table.update(KEY, b"2", 1)
        store.inject(memory.FaultMode.UP)
        await anyio.sleep(5.5)
        assert node.board.policy.value == b"2"

    await _run(_watcher(node, store), 620.0, outage)
    assert store.calls.total < 600 / 2.5


async def test_wrong_object_does_not_cause_a_tight_loop():
    """A watcher must not fetch the same invalid object in a tight loop."""
    node, store = test_controller.Node(), memory.MemoryObjectStore()
    store.table.update(KEY, b"good", 0)
    store.table.update(KEY, b"wrong", 1)
    watcher = _watcher(node, store)
    await _run(watcher, 60.0)
    assert watcher.last_rejection is not None
    assert store.calls.total <= 5


async def test_other_nodes_read_once_and_then_rarely():
    """Nodes that do not watch must read rarely: there may be 9,400 of them."""
    node, store = test_controller.Node("order-9"), memory.MemoryObjectStore()
    store.table.update(KEY, b"1", 0)
    node.gossip.tick(0.0)
    for instance in ("order-1", "order-2"):
        node.receive_record(instance, 1, 0.0)

    async def gossip():
        while True:
            await anyio.sleep(1.0)
            now = anyio.current_time()
            node.gossip.tick(now)
            for instance in ("order-1", "order-2"):
                node.receive_record(instance, 1, now)

    await _run(_watcher(node, store), 3_000.0, gossip)
    assert node.board.policy.version == 1
    assert 8 <= store.calls.reads <= 14
    assert store.calls.watches == 0


async def test_node_reads_the_platform_when_peers_do_not_deliver():
    """A version that peers fail to deliver must be read within seconds."""
    node, store = test_controller.Node("order-9"), memory.MemoryObjectStore()
    store.table.update(KEY, b"1", 0)

    async def report_versions():
        while True:
            now = anyio.current_time()
            node.gossip.tick(now)
            for instance in ("order-1", "order-2"):
                node.receive_record(instance, store.table.version, now)
            node.adoption.tick(now)
            if now > 20.0 and store.table.version == 1:
                store.table.update(KEY, b"2", 1)
            await anyio.sleep(1.0)

    await _run(_watcher(node, store), 30.0, report_versions)
    assert node.board.policy.version == 2


async def test_last_node_of_a_service_is_not_isolated_while_platform_answers():
    """A node whose peers have failed must serve while the platform answers."""
    node, store = test_controller.Node(), memory.MemoryObjectStore()
    store.table.update(KEY, b"first", 0).unwrap()
    isolated = []

    async def lose_peers():
        await anyio.sleep(1.0)
        node.board.membership.last_contact_at = anyio.current_time()
        for _ in range(300):
            await anyio.sleep(0.2)
            node.adoption.tick(anyio.current_time())
            isolated.append(node.board.policy.isolated)

    await _run(_watcher(node, store), 70.0, lose_peers)
    assert len(isolated) == 300
    assert not any(isolated)


async def test_node_does_not_watch_before_it_knows_its_group():
    """A restart of all nodes must not open a watch for each of them."""
    node, store = test_controller.Node("order-9"), memory.MemoryObjectStore()
    store.table.update(KEY, b"1", 0)

    async def gossip():
        while True:
            now = anyio.current_time()
            node.gossip.tick(now)
            if now > 1.5:
                for instance in ("order-1", "order-2"):
                    node.receive_record(instance, 1, now)
            await anyio.sleep(1.0)

    await _run(_watcher(node, store), 60.0, gossip)
    assert node.board.policy.version == 1
    assert store.calls.watches == 0


async def test_version_unknown_to_the_platform_causes_few_reads():
    """A version lost by the platform must not cause reads in a tight loop."""
    node, store = test_controller.Node("order-9"), memory.MemoryObjectStore()
    store.table.update(KEY, b"1", 0)

    async def report_versions():
        while True:
            now = anyio.current_time()
            node.gossip.tick(now)
            for instance in ("order-1", "order-2"):
                node.receive_record(instance, 5, now)
            node.adoption.tick(now)
            await anyio.sleep(1.0)

    await _run(_watcher(node, store), 100.0, report_versions)
    assert node.board.policy.version == 1
    assert store.calls.total <= 22
