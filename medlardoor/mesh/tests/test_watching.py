"""Tests that a few nodes watch the document on behalf of all."""

import asyncio

import pytest

from medlardoor.membership import watchers
from medlardoor.mesh import settings
from medlardoor.mesh.tests import group as group_module
from medlardoor.store import memory

pytestmark = pytest.mark.anyio

MEMBERS = tuple((f"s{number}", "stock") for number in range(6))


@pytest.fixture
async def six():
    # Shortens the wait for watches in progress when watching pauses.
    short = settings.DocumentSettings(in_force_s=1.0)
    async with group_module.run_group(MEMBERS, documents=short) as group:
        await _until_few_watch(group)
        yield group


def _watching(group):
    return [
        member
        for member in group.members.values()
        if member.node._watch.is_watching
    ]


async def _until_few_watch(group):
    await group_module.wait_until(
        lambda: len(_watching(group)) == watchers.WATCHERS_PER_FAILURE_DOMAIN
    )


async def _publish_and_wait(group):
    revision = group.table.read(group_module.DOCUMENT_KEY).version
    group.publish(*group_module.DOCUMENT, "/new/ stock safe 2")
    # The users allow two seconds for a change to reach all nodes.
    await group_module.wait_until(
        lambda: all(
            member.node._holder.revision > revision
            for member in group.members.values()
        ),
        timeout_s=2.0,
    )


async def test_change_reaches_the_nodes_that_do_not_watch(six):
    """A node that relies on other watchers must not miss a change."""
    await _publish_and_wait(six)


async def test_others_watch_when_the_watchers_lose_the_store(six):
    """A change is not missed if only the watchers lose the store."""
    lost = _watching(six)
    for member in lost:
        member.store.inject(memory.FaultMode.DOWN)
    await group_module.wait_until(
        lambda: (
            len(set(_watching(six)) - set(lost))
            == watchers.WATCHERS_PER_FAILURE_DOMAIN
        ),
    )
    await _publish_and_wait(six)


async def test_others_watch_when_the_watchers_are_gone(six):
    """A change is not missed if the watching nodes fail."""
    for member in _watching(six):
        member.scope.cancel()
        del six.members[member.name]
    await group_module.wait_until(
        lambda: len(_watching(six)) == watchers.WATCHERS_PER_FAILURE_DOMAIN
    )
    await _publish_and_wait(six)


async def test_node_behind_gets_the_document_once(six):
    """Only one node sends the document to a node with an older revision."""
    sent = []
    behind = next(m for m in six.members.values() if m not in _watching(six))
    holder = behind.node._holder
    offer = holder.offer

    def count(revision, value, source):
        sent.append(source)
        return offer(revision, value, source)

    holder.offer = count
    await _publish_and_wait(six)
    await asyncio.sleep(1.0)
    assert sent == ["node"]


def _publish_number(group, number):
    group.publish(f"version {number}", *group_module.DOCUMENT)


async def _until_in_force(nodes, number, timeout_s=5.0):
    await group_module.wait_until(
        lambda: all(
            member.node._holder.table.document.version == number
            for member in nodes
        ),
        timeout_s,
    )


@pytest.fixture
async def returned(six):
    """Six nodes whose store has returned from a copy without versions 3 and 4.

    Nodes that do not watch have not heard of it from the store.
    """
    _publish_number(six, 2)
    older = six.table.copy()
    for number in (3, 4):
        _publish_number(six, number)
        await _until_in_force(six.members.values(), number)
    six.table.restore(older)
    yield six


async def test_change_after_a_return_reaches_all_nodes(returned):
    """A node compares revisions of another era with its own."""
    _publish_number(returned, 5)
    await _until_in_force(returned.members.values(), 5, timeout_s=2.0)


async def test_node_started_after_a_return_gets_the_document(returned):
    """A node that starts serves by the older copy in the store."""
    started = await returned.add("s6", "stock")
    await group_module.wait_until(lambda: started.node.is_ready)
    await _until_in_force([started], 4)
    await asyncio.sleep(1.0)
    await _until_in_force(returned.members.values(), 4, timeout_s=0.1)


async def test_withdrawn_key_is_refused_by_a_node_started_after_a_return(six):
    """A key that was withdrawn before the return is accepted again after it."""
    six.publish("version 2", "team t1 k1,k2 1", *group_module.DOCUMENT)
    older = six.table.copy()
    six.publish("version 3", "team t1 k2 1", *group_module.DOCUMENT)
    await _until_in_force(six.members.values(), 3)
    six.table.restore(older)
    started = await six.add("s6", "stock")
    await group_module.wait_until(lambda: started.node.is_ready)
    await _until_in_force([started], 3)
    answer = await started.call("/read/", lines=["Authorization: Bearer k1"])
    assert answer.status == 401


async def test_document_of_an_earlier_era_is_sent_once(returned):
    """A node requests a document again and again that it does not adopt."""
    _publish_number(returned, 5)
    await _until_in_force(returned.members.values(), 5)
    offered = []
    for member in returned.members.values():
        offer = member.node._holder.offer
        member.node._holder.offer = lambda *values, offer=offer: (
            offered.append(values[-1]) or offer(*values)
        )
    await asyncio.sleep(1.5)
    assert offered.count("node") == 0
