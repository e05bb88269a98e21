"""Tests of numbers that messages between nodes cannot carry."""

import json

import anyio
import pytest

from medlardoor.mesh import presence
from medlardoor.store import client

pytestmark = pytest.mark.anyio


async def test_response_with_a_load_out_of_range_leaves_the_node_linked(group):
    """Other nodes lost the node whose upstream reported too many slots."""
    member = group.members["o1"]
    member.upstream.extra_headers = b"X-Load: 0,0,%d\r\n" % (10**30)
    for number in range(8):
        response = await group.members["s1"].call(
            "/order/1", f"order-{number}", method="POST"
        )
        assert response.status == 200
        await anyio.sleep(0.3)
    for other in group.members.values():
        assert other.node.usable_nodes == 3


@pytest.mark.parametrize("born_ms", [-1, 10**30])
async def test_stored_departure_out_of_range_is_skipped(born_ms):
    """The stored object of a node held a time that no message can carry."""
    value = {
        "host": "10.1.0.1",
        "port": 1,
        "service": "s",
        "failure_domain": "d",
        "left_id": "i-7",
        "left_born_ms": born_ms,
    }
    stored = client.StoredObject("instances/x", json.dumps(value).encode(), 1)
    assert presence._parse(stored) is None


@pytest.mark.parametrize("digits", [16, 400, 4_400])
async def test_deadline_of_many_digits_is_ignored(group, digits):
    """A caller's connection was closed without a response."""
    member = group.members["s1"]
    response = await member.call("/read/1", deadline_ms="9" * digits)
    assert response.status == 200
