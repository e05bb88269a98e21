"""Tests of what links between nodes hold for nodes that stand still."""

import asyncio

import pytest

from medlardoor.admission import link_budget
from medlardoor.mesh.tests import group as group_module

pytestmark = pytest.mark.anyio

BUFFER_BYTES = 4_000_000
BODY_BYTES = 500_000
CALLS = 60


@pytest.fixture
async def small_group():
    """A group whose nodes may hold a few bodies."""
    async with group_module.run_group(buffer_bytes=BUFFER_BYTES) as group:
        yield group


def _unsent_bytes(member):
    links = member.node._fleet._inbound
    return sum(link._transport.get_write_buffer_size() for link in links)


async def test_answers_to_a_node_that_stands_still_are_bounded(small_group):
    """One frozen node made the nodes beside it exceed their memory.

    Answers to it were held by its link, without a limit, and the bytes were
    not counted. Other nodes still get answers.
    """
    members = small_group.members
    frozen, other, order = members["s1"], members["s2"], members["o1"]
    order.upstream.extra_body = bytes(BODY_BYTES)
    link = frozen.node._fleet.roster.open_link("o1")
    link._transport.pause_reading()
    calls = [
        asyncio.create_task(frozen.call(f"/order/{n}", f"f{n}", method="POST"))
        for n in range(CALLS)
    ]
    await group_module.wait_until(lambda: len(order.upstream.runs) == CALLS)
    await asyncio.sleep(0.2)
    limit = BUFFER_BYTES * link_budget.UNSENT_SHARE
    assert 0 < _unsent_bytes(order) < limit + 2 * BODY_BYTES
    assert order.node._buffers.used_bytes >= _unsent_bytes(order)
    response = await other.call("/order/x", "other", method="POST")
    assert response.status == 200
    assert len(response.body) > BODY_BYTES
    link._transport.resume_reading()
    statuses = [response.status for response in await asyncio.gather(*calls)]
    assert set(statuses) == {200, 502}
    await group_module.wait_until(lambda: not order.node._buffers.used_bytes)
