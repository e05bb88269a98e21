"""Tests of the directory object."""

import random

import anyio
import pytest
import trio.testing

from medlardoor.blackboard import topics
from medlardoor.config import settings
from medlardoor.membership import directory
from medlardoor.membership.tests import network
from medlardoor.store import memory

STATE = topics.MemberState
pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    clock = trio.testing.MockClock(autojump_threshold=0)
    return "trio", {"clock": clock}


class _SimulatedService:
    """A group with one directory task per node and a shared object table."""

    def __init__(self, size):
        nodes = [network.node(number) for number in range(1, size + 1)]
        self.net = network.Network(nodes, now=anyio.current_time())
        self.net.join()
        self.net.run(0)
        self.table = memory.ObjectTable()
        self.stores = {}
        self.controllers = {}
        self.tasks = {}
        for controller in nodes:
            self.add(controller)

    def add(self, controller):
        port = controller.own.gossip_port
        self.net.nodes[port] = controller
        self.stores[port] = memory.MemoryObjectStore(self.table)
        self.controllers[port] = directory.DirectoryController(
            settings.GossipSettings(), controller
        )
        self.tasks[port] = directory.DirectoryTask(
            self.controllers[port],
            self.stores[port],
            random.Random(port),
        )

    async def run(self, seconds):
        """Runs gossip and all tasks in steps of one second."""
        for _ in range(seconds):
            await anyio.sleep(1.0)
            self.net.run(1)
            for port in list(self.net.nodes):
                await self.tasks[port].step()

    def listed(self):
        found = self.table.read("directory/order")
        entries = directory.parse_directory(found).unwrap().entries
        return [entry.instance for entry in entries]

    def updates(self):
        return sum(store.calls.updates for store in self.stores.values())

    def reads(self):
        return sum(store.calls.reads for store in self.stores.values())


async def test_one_member_writes_and_only_on_change():
    """Only one member may write, and only after a change."""
    service = _SimulatedService(5)
    await service.run(60)
    assert len(service.listed()) == 5
    assert service.updates() == service.stores[1].calls.updates
    before = service.updates()
    await service.run(200)
    assert service.updates() == before
    assert service.reads() <= 10


async def test_failed_writer_is_replaced_and_removed():
    """Another member must write the directory after its writer has failed."""
    service = _SimulatedService(4)
    await service.run(20)
    del service.net.nodes[1]
    await service.run(25)
    assert service.listed() == ["order-002", "order-003", "order-004"]
    assert service.stores[2].calls.updates >= 1
    assert service.stores[4].calls.updates == 0


async def test_lost_answer_is_read_back_before_a_retry():
    """A lost answer must not cause a second write or stop the writer."""
    service = _SimulatedService(3)
    service.stores[1].inject(memory.FaultMode.LOSE_ANSWERS)
    await service.run(30)
    assert len(service.listed()) == 3
    version = service.table.version
    updates = service.updates()
    await service.run(30)
    assert (service.table.version, service.updates()) == (version, updates)


async def test_racing_writers_do_not_undo_each_other():
    """Of two concurrent writers, the later must not restore an older view."""
    service = _SimulatedService(3)
    await service.run(10)
    before = service.table.version
    service.add(network.node(4))
    newcomer = service.net.nodes[4]
    seeds = [network.address(service.net.nodes[1])]
    service.net.deliver(newcomer, newcomer.join(seeds, service.net.now))
    service.net.publish(newcomer, STATE.SERVING)
    first, second = service.controllers[1], service.controllers[2]
    assert second.next_write(anyio.current_time()) is None
    await anyio.sleep(5)
    service.net.run(5)
    # Both decide before either of them has written.
    await service.tasks[2].read()
    writes = [c.next_write(anyio.current_time()) for c in (first, second)]
    assert writes[0].expected_version == writes[1].expected_version == before
    answers = [
        await service.stores[port].update(
            first.key, write.value, write.expected_version
        )
        for port, write in zip((2, 1), writes[::-1], strict=True)
    ]
    assert [answer.is_ok() for answer in answers] == [True, False]
    await service.run(30)
    assert service.listed()[-1] == "order-004"
    assert service.table.version == before + 1


async def test_restart_and_broken_object_are_corrected():
    """An unreadable object and an old incarnation must be replaced."""
    service = _SimulatedService(2)
    await service.run(10)
    found = service.table.read("directory/order")
    service.table.update("directory/order", b"[broken", found.version)
    restarted = network.node(2, incarnation=9)
    service.add(restarted)
    seeds = [network.address(service.net.nodes[1])]
    service.net.deliver(restarted, restarted.join(seeds, service.net.now))
    service.net.publish(restarted, STATE.SERVING)
    await service.run(20)
    found = service.table.read("directory/order")
    entries = directory.parse_directory(found).unwrap().entries
    assert [entry.incarnation for entry in entries] == [1, 9]


async def test_few_calls_during_a_platform_outage():
    """Nodes must not call the platform in a tight loop during an outage."""
    service = _SimulatedService(3)
    for store in service.stores.values():
        store.inject(memory.FaultMode.DOWN)
    async with anyio.create_task_group() as group:
        for task in service.tasks.values():
            group.start_soon(task.run)
        for _ in range(300):
            await anyio.sleep(1.0)
            service.net.run(1)
        calls = sum(s.calls.total for s in service.stores.values())
        for store in service.stores.values():
            store.inject(memory.FaultMode.UP)
        for _ in range(60):
            await anyio.sleep(1.0)
            service.net.run(1)
        group.cancel_scope.cancel()
    assert calls <= 3 * 30
    assert len(service.listed()) == 3


async def test_partitioned_node_does_not_empty_the_directory():
    """A node without gossip contact must not remove the other entries."""
    service = _SimulatedService(3)
    await service.run(15)
    for port in (2, 3):
        service.net.cut_links.add(frozenset({1, port}))
    for port in (2, 3):
        del service.tasks[port]
        del service.net.nodes[port]
    await service.run(200)
    assert len(service.listed()) == 3


async def test_writes_are_spaced_while_membership_changes():
    """Restarts in quick succession must not cause one write each."""
    service = _SimulatedService(2)
    await service.run(10)
    before = service.updates()
    for incarnation in range(2, 22):
        restarted = network.node(2, incarnation)
        service.add(restarted)
        seeds = [network.address(service.net.nodes[1])]
        service.net.deliver(restarted, restarted.join(seeds, service.net.now))
        await service.run(1)
    assert 5 <= service.updates() - before <= 11
