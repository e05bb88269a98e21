"""Tests that an upstream gets no more requests than it says it takes."""

import collections

import anyio
import pytest

from medlardoor.mesh.tests import group as group_module

pytestmark = pytest.mark.anyio

LIMIT_PER_S = 20.0
LIMIT_LINE = b"Rate-Limit: 20.0\r\n"
WINDOW_S = 2.0

# What the users allow in a window: half as much again and some more.
ALLOWED = int(LIMIT_PER_S * WINDOW_S * 1.5 + 5)

STOCK = (("s1", "stock"), ("s2", "stock"), ("o1", "orders"))
ONE_STOCK = (("s1", "stock"), ("o1", "orders"))


async def _send(group, per_second, seconds, target="/read/x"):
    """Sends requests to all nodes in turn.

    Returns:
        Number of responses by status.
    """
    statuses = collections.Counter()
    members = list(group.members.values())

    async def call(number):
        member = members[number % len(members)]
        response = await member.call(target, f"r{number}-{target}")
        statuses[response.status] += 1

    async with anyio.create_task_group() as tasks:
        for number in range(int(per_second * seconds)):
            tasks.start_soon(call, number)
            await anyio.sleep(1 / per_second)
    return statuses


async def _name_limit(group, line=LIMIT_LINE):
    """Lets the first upstream name a limit and all nodes hear of it."""
    upstream = group.members["s1"].upstream
    upstream.extra_headers = line
    for member in group.members.values():
        for number in range(20):
            await member.call("/read/x", f"n{member.name}{number}")
    upstream.runs.clear()
    return upstream


async def test_limit_holds_for_the_requests_of_all_nodes():
    """An upstream gets more requests than the limit that it has named."""
    async with group_module.run_group(STOCK) as group:
        # The other upstream is slower, so that more requests prefer this one.
        group.members["s2"].upstream.delay_s = 0.05
        upstream = await _name_limit(group)
        statuses = await _send(group, 90, WINDOW_S)
        count = len(upstream.runs)
    assert count <= ALLOWED, f"{count} requests in 2 s, allowed {ALLOWED}"
    # The other upstream has room for the rest.
    assert statuses == {200: 180}


async def test_refused_requests_go_to_an_upstream_without_a_limit():
    """Requests fail because two of three upstreams name limits."""
    members = (*STOCK, ("s3", "stock"))
    async with group_module.run_group(members) as group:
        group.members["s2"].upstream.extra_headers = LIMIT_LINE
        group.members["s3"].upstream.delay_s = 0.05
        upstream = await _name_limit(group)
        statuses = await _send(group, 90, WINDOW_S)
        count = len(upstream.runs)
    assert count <= ALLOWED, f"{count} requests in 2 s, allowed {ALLOWED}"
    assert statuses == {200: 180}


async def test_limit_ends_with_the_need():
    """An upstream that no longer names its limit still gets few requests."""
    async with group_module.run_group(ONE_STOCK) as group:
        upstream = await _name_limit(group)
        upstream.extra_headers = b""
        await _send(group, 20, 0.5)
        statuses = await _send(group, 60, 1.0, "/read/y")
    assert statuses == {200: 60}


async def test_limit_ends_with_the_upstream():
    """A restarted upstream inherits the limit of its former process."""
    async with group_module.run_group(ONE_STOCK) as group:
        upstream = await _name_limit(group)
        upstream.extra_headers = b""
        group.members["s1"].send_heartbeat(born_ms=2_000)
        statuses = await _send(group, 60, 1.0, "/read/y")
    assert statuses == {200: 60}


async def test_invalid_limit_is_ignored():
    """A limit that is not a number takes the upstream out of use."""
    async with group_module.run_group(ONE_STOCK) as group:
        await _name_limit(group, b"Rate-Limit: -1e9\r\n")
        statuses = await _send(group, 60, 1.0, "/read/y")
    assert statuses == {200: 60}


async def test_limited_upstream_is_used_up_to_its_limit():
    """An upstream without a substitute gets far less than it takes."""
    async with group_module.run_group(ONE_STOCK) as group:
        upstream = await _name_limit(group)
        statuses = await _send(group, 60, WINDOW_S)
        count = len(upstream.runs)
    assert count <= ALLOWED, f"{count} requests in 2 s, allowed {ALLOWED}"
    assert count >= 0.8 * LIMIT_PER_S * WINDOW_S
    # Nothing else than served or truly not run.
    assert set(statuses) <= {200, 503}
    assert statuses[200] == count
