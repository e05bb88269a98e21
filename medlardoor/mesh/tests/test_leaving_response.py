"""Tests that an upstream whose responses say that it leaves gets no work."""

import asyncio

import anyio
import pytest

from medlardoor.mesh.tests import group as group_module
from medlardoor.store import memory

pytestmark = pytest.mark.anyio

LEAVING_LINE = b"Leaving: 1\r\n"


async def _hear_that_it_leaves(group):
    """Lets the first upstream say so in a response, without a heartbeat."""
    leaving = group.members["s1"]
    leaving.upstream.extra_headers = LEAVING_LINE
    # More requests at once than the other upstream has slots.
    for name in ("s1", "s2"):
        group.members[name].upstream.delay_s = 0.05
    async with anyio.create_task_group() as tasks:
        for number in range(60):
            tasks.start_soon(leaving.call, "/read/x", f"first{number}")
    assert leaving.upstream.runs
    leaving.upstream.runs.clear()
    return leaving


async def test_upstream_that_names_its_leaving_gets_no_new_requests(group):
    """Requests reach an upstream after its answers have said that it leaves."""
    group.members["s2"].send_heartbeat(slots=64)
    leaving = await _hear_that_it_leaves(group)
    responses = await asyncio.gather(
        *(
            group.members[name].call(f"/read/{n}", f"{name}-{n}")
            for name in ("s1", "s2", "o1")
            for n in range(10)
        )
    )
    assert [r.status for r in responses] == [200] * 30
    assert leaving.upstream.runs == []


async def test_leaving_named_in_a_response_outlasts_a_restart(group):
    """A restarted node uses an upstream whose answers said that it leaves."""
    member = await _hear_that_it_leaves(group)
    await group_module.wait_until(
        lambda: (
            b"i-s1" in getattr(group.table.read("instances/s1"), "value", b"")
        )
    )
    member.scope.cancel()
    await member.done.wait()
    await member.start_node(group.tasks)
    await group_module.wait_until(lambda: not member.node.register.is_usable)


async def test_response_of_a_former_upstream_does_not_end_the_next(group):
    """A late answer takes the upstream that has taken over out of use."""
    member = group.members["s1"]
    member.upstream.extra_headers = LEAVING_LINE
    member.upstream.delay_s = 0.2
    async with anyio.create_task_group() as tasks:
        for number in range(8):
            tasks.start_soon(member.call, "/read/x", f"late{number}")
        await group_module.wait_until(lambda: member.upstream.runs)
        member.send_heartbeat(born_ms=2_000)
        member.upstream.extra_headers = b""
    assert member.node.register.is_usable


async def test_departure_of_an_unknown_upstream_outlasts_a_restart(group):
    """A late heartbeat of an upstream that had left put it in use again.

    Its departure came before any heartbeat to this process of the node.
    """
    member = group.members["s1"]
    register = member.node.register
    register.record_replacement("i-s1")
    member.node.handle_upstream_change(register.deregister("i-2", 5_000))
    await group_module.wait_until(
        lambda: b"i-2" in group.table.read("instances/s1").value
    )
    member.scope.cancel()
    await member.done.wait()
    await member.start_node(group.tasks)
    await group_module.wait_until(lambda: member.node._presence.has_read_own)
    member.send_heartbeat(upstream_id="i-2", born_ms=5_000)
    assert member.node.register.current.upstream_id == "i-s1"
    member.send_heartbeat(upstream_id="i-3", born_ms=6_000)
    assert member.node.register.current.upstream_id == "i-3"


async def test_misdirected_response_does_not_discard_the_next_upstream(group):
    """A 421 to a request for the former upstream took the new one out of use.

    The heartbeat of the new upstream and the response cross.
    """
    member = group.members["o1"]
    upstream = member.upstream
    handle = upstream.handle

    def announce_and_handle(request, reply):
        if upstream.upstream_id == "i-o1":
            upstream.upstream_id = "i-new"
            member.send_heartbeat(upstream_id="i-new", born_ms=2_000)
        return handle(request, reply)

    upstream.handle = announce_and_handle
    response = await member.call("/order/1", "first", method="POST")
    assert response.status == 503
    assert member.node.register.current.upstream_id == "i-new"
    response = await member.call("/order/1", "second", method="POST")
    assert response.status == 200


@pytest.mark.parametrize("is_store_down", [False, True])
async def test_departures_of_two_starts_outlast_a_restart(group, is_store_down):
    """Of two departures the later one alone was kept for a restart.

    The first one is of a start that had not been announced yet; the other one
    is of another upstream and arrives late.
    """
    member = group.members["s1"]
    if is_store_down:
        member.store.inject(memory.FaultMode.DOWN)
    for upstream_id, born_ms in (("i-s1", 3_000), ("i-0", 500)):
        change = member.node.register.deregister(upstream_id, born_ms)
        member.node.handle_upstream_change(change)
    peer = group.members["o1"].node._fleet._roster.peers["s1"]

    def is_kept():
        stored = group.table.read("instances/s1")
        return len(list(peer.departures)) == 2 and (
            is_store_down or b'"i-0"' in stored.value
        )

    await group_module.wait_until(is_kept)
    member.scope.cancel()
    await member.done.wait()
    await member.start_node(group.tasks)
    await group_module.wait_until(lambda: not member.node.register.is_usable)
    for upstream_id, born_ms in (("i-s1", 3_000), ("i-0", 500)):
        member.send_heartbeat(upstream_id=upstream_id, born_ms=born_ms)
        assert not member.node.register.is_usable
    member.send_heartbeat(born_ms=4_000)
    assert member.node.register.is_usable


async def test_departure_of_another_upstream_does_not_mark_this_one_as_up(
    group,
):
    """A message of a departed upstream hid that the present one is down."""
    member = group.members["s1"]
    local = member.node._local
    local._mark_down("test")
    change = member.node.register.deregister("i-0", 500)
    member.node.handle_upstream_change(change)
    assert not local.is_usable
