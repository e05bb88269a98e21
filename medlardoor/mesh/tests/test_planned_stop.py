"""Tests of the planned stop of a node."""

import asyncio

import pytest

from medlardoor.mesh.tests import group as group_module

pytestmark = pytest.mark.anyio


async def test_planned_stop_cuts_nothing(group):
    """A planned stop interrupts requests, at either node of a call."""
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
    answers = await asyncio.gather(*calls)
    assert {a.status for a in answers} == {200}
    await stopping.done.wait()


async def test_late_request_of_a_planned_stop_is_refused(group):
    """A request is taken shortly before the process ends, and cut by it."""
    for name in ("s1", "s2"):
        group.members[name].upstream.delay_s = 1.9
    stopping = group.members["s1"]
    early = asyncio.create_task(stopping.call("/read/1", "early"))
    await group_module.wait_until(lambda: stopping.node._dispatcher.in_progress)
    stopping.stop.set()
    # With two seconds to go, it could outlast the process.
    await asyncio.sleep(1.0)
    late = await stopping.call("/read/2", "late")
    assert late.status == 503
    assert float(late.headers["retry-after"]) > 1.5
    assert (await early).status == 200
    await stopping.done.wait()


async def test_short_request_is_served_late_in_a_planned_stop(group):
    """A planned stop refuses what ends before the process does."""
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


async def test_call_of_a_run_is_served_late_in_a_planned_stop(group):
    """A planned stop refuses the calls that a run in progress waits for."""
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
    assert {a.status for a in await asyncio.gather(*early)} == {200}
    await stopping.done.wait()


async def test_node_of_a_gone_upstream_stops_in_time(group):
    """A node whose upstream has gone for good outlasts its time to stop."""
    member = group.members["s1"]
    member.beat(draining=True)
    begun = asyncio.get_running_loop().time()
    member.stop.set()
    await member.done.wait()
    assert asyncio.get_running_loop().time() - begun < 1.0
    assert group.table.read("instances/s1") is None
