"""Tests of the planned stop of a node."""

import asyncio

import pytest

from medlardoor import lingering
from medlardoor.mesh import settings
from medlardoor.mesh.tests import group as group_module

pytestmark = pytest.mark.anyio


async def test_planned_stop_interrupts_no_request(group):
    """A planned stop interrupts no request, on either node of a call."""
    for name in ("s1", "s2"):
        group.members[name].upstream.delay_s = 0.6
    stopping = group.members["s1"]
    calls = [
        asyncio.create_task(member.call(f"/read/{n}", f"{name}-{n}"))
        for n in range(5)
        for name, member in group.members.items()
    ]
    await group_module.wait_until(lambda: stopping.upstream.runs)
    stopping.stop.set()
    await asyncio.sleep(0)
    calls += [
        asyncio.create_task(stopping.call(f"/read/x{n}", f"x{n}"))
        for n in range(5)
    ]
    responses = await asyncio.gather(*calls)
    assert {r.status for r in responses} == {200}
    await stopping.done.wait()


async def test_request_that_may_outlast_the_stop_is_refused(group):
    """A planned stop refuses requests that may outlast the process."""
    for name in ("s1", "s2"):
        group.members[name].upstream.delay_s = 1.9
    stopping = group.members["s1"]
    early = asyncio.create_task(stopping.call("/read/1", "early"))
    await group_module.wait_until(lambda: stopping.node._dispatcher.in_progress)
    stopping.stop.set()
    # A request with a deadline of two seconds could outlast the process.
    await asyncio.sleep(1.0)
    late = await stopping.call("/read/2", "late")
    assert late.status == 503
    assert float(late.headers["retry-after"]) > 1.5
    assert (await early).status == 200
    await stopping.done.wait()


async def test_request_that_ends_before_the_stop_is_served(group):
    """A planned stop serves requests that end before the process does."""
    for name in ("s1", "s2"):
        group.members[name].upstream.delay_s = 1.5
    stopping = group.members["s1"]
    early = asyncio.create_task(stopping.call("/read/1", "early"))
    await group_module.wait_until(lambda: stopping.node._dispatcher.in_progress)
    stopping.stop.set()
    await asyncio.sleep(1.0)
    for name in ("s1", "s2"):
        group.members[name].upstream.delay_s = 0.0
    short = await stopping.call("/read/2", "short", deadline_ms=1_000)
    assert short.status == 200
    assert (await early).status == 200
    await stopping.done.wait()


async def test_call_of_a_run_is_served_during_the_stop(group):
    """Calls made by a run in progress are served during a planned stop."""
    for name in ("s1", "s2"):
        group.members[name].upstream.delay_s = 1.9
    stopping = group.members["s1"]
    early = [
        asyncio.create_task(stopping.call(f"/read/{n}", f"p{n}"))
        for n in range(8)
    ]
    await group_module.wait_until(lambda: stopping.upstream.runs)
    parent = stopping.upstream.runs[0].header(b"x-attempt").decode()
    stopping.stop.set()
    await asyncio.sleep(1.0)
    group.members["s2"].upstream.delay_s = 0.0
    assert (await stopping.call("/read/9", f"{parent}.1")).status == 200
    assert {r.status for r in await asyncio.gather(*early)} == {200}
    await stopping.done.wait()


async def test_node_of_a_leaving_upstream_stops_in_time(group):
    """A node whose upstream is leaving stops within its time limit."""
    member = group.members["s1"]
    member.send_heartbeat(draining=True)
    started_at = asyncio.get_running_loop().time()
    member.stop.set()
    await member.done.wait()
    assert asyncio.get_running_loop().time() - started_at < 1.0
    assert group.table.read("instances/s1") is None


async def test_stop_waits_for_clients_to_close(monkeypatch):
    """The end of the process reset connections on which clients still read."""
    monkeypatch.setattr(lingering, "LINGER_S", 30.0)
    stop = settings.StopSettings(accept_s=0.1, grace_s=30.0, margin_s=0.2)
    async with group_module.run_group(stop=stop) as group:
        member = group.members["s1"]
        reader, writer = await asyncio.open_connection(
            member.host, member.settings.caller_address.port
        )
        member.stop.set()
        writer.write(
            b"GET /read/1 HTTP/1.1\r\nHost: x\r\nX-Attempt: a1\r\n\r\n"
        )
        assert b"connection: close" in await reader.read()
        await asyncio.sleep(0.5)
        assert not member.done.is_set()
        writer.close()
        await member.done.wait()


async def test_stop_delivers_answers_to_other_nodes(group):
    """The end of the process cut answers that another node had yet to read."""
    caller, stopping = group.members["s1"], group.members["o1"]
    stopping.upstream.extra_body = bytes(8_000_000)
    stopping.upstream.delay_s = 0.2
    call = asyncio.create_task(caller.call("/order/1", method="POST"))
    await group_module.wait_until(lambda: stopping.upstream.runs)
    link = caller.node._fleet.roster.open_link("o1")
    link._transport.pause_reading()
    stopping.stop.set()
    await asyncio.sleep(0.8)
    assert not stopping.done.is_set()
    link._transport.resume_reading()
    response = await call
    assert response.status == 200
    assert len(response.body) > 8_000_000
    await stopping.done.wait()
