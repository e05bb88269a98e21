"""Tests of the stored entries of nodes when the store returns from a copy."""

import random

import anyio
import pytest
import trio.testing

from medlardoor.mesh import presence
from medlardoor.mesh.tests import group
from medlardoor.store import memory

pytestmark = pytest.mark.anyio

# Entries of servers that lapsed are back this long after the store's return at
# the latest, in seconds; the users allow about two.
BACK_S = 2.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


def _entries(table):
    return {
        stored.key.removeprefix(presence.INSTANCE_KEY_PREFIX)
        for stored in table.list(presence.INSTANCE_KEY_PREFIX)
    }


async def test_entries_lost_by_a_return_are_written_again():
    """Nodes that start later do not find those whose entries were lost."""
    async with group.run_group() as nodes:
        names = set(nodes.members)
        await group.wait_until(lambda: _entries(nodes.table) == names)
        nodes.table.restore(memory.TableCopy(0, {}))
        nodes.publish(*group.DOCUMENT)
        await group.wait_until(
            lambda: _entries(nodes.table) == names, timeout_s=BACK_S
        )


async def test_leaving_lost_by_a_return_is_written_again():
    """An upstream that had left is used again by a node that starts later."""
    async with group.run_group() as nodes:
        member = nodes.members["s1"]

        def stored():
            found = nodes.table.read(presence.INSTANCE_KEY_PREFIX + "s1")
            return b"" if found is None else found.value

        await group.wait_until(lambda: b"failure_domain" in stored())
        older = nodes.table.copy()
        member.send_heartbeat(draining=True)
        await group.wait_until(lambda: b"i-s1" in stored())
        nodes.table.restore(older)
        await group.wait_until(lambda: b"i-s1" in stored(), timeout_s=BACK_S)


async def test_entry_of_a_node_that_leaves_is_not_written_again():
    """The entry of an instance that is gone is written at its last moment."""
    async with group.run_group() as nodes:
        await group.wait_until(lambda: "s1" in _entries(nodes.table))
        older = nodes.table.copy()
        member = nodes.members["s1"]
        await member.node._presence.remove()
        nodes.table.restore(older)
        await member.node._presence.remove()
        member.node._era.record(7, "node")
        await anyio.sleep(0.5)
        assert "s1" not in _entries(nodes.table)


def _verification_times(count):
    """When the nodes of a fleet verify their entries, in seconds."""
    times = []

    class TimedStore(memory.MemoryObjectStore):
        async def read(self, key):
            times.append(anyio.current_time() - began_at)
            return await super().read(key)

    async def main():
        nonlocal began_at
        store = TimedStore()
        entries = []
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                member = group.Member(
                    group.Group(), f"n{number}", "s", "127.0.0.1"
                )
                entry = presence.Presence(
                    member.settings,
                    store,
                    lambda node, address: None,
                    lambda upstream_id, born_ms: None,
                    lambda: True,
                    lambda: True,
                    lambda: count,
                    random.Random(number),
                )
                entries.append(entry)
                tasks.start_soon(entry.run)
            await anyio.sleep(5.0)
            began_at = anyio.current_time()
            times.clear()
            for entry in entries:
                entry.verify()
            await anyio.sleep(60.0)
            tasks.cancel_scope.cancel()

    began_at = 0.0
    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(main, backend="trio", backend_options={"clock": clock})
    return times


def test_large_fleet_verifies_its_entries_within_the_rate_of_the_store():
    """All nodes call the store at the moment of its return."""
    times = _verification_times(800)
    assert len(times) == 800
    busiest = max(
        sum(second <= at < second + 1 for at in times) for second in range(60)
    )
    # A tenth of the reads that the store serves.
    assert busiest <= 200
    assert max(times) <= 10.0
