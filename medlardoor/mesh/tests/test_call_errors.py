"""Tests of unexpected exceptions while a call is in progress."""

import asyncio

import pytest

from medlardoor.mesh import sends
from medlardoor.mesh.tests import group as group_module

pytestmark = pytest.mark.anyio


async def test_error_of_a_call_ends_it_alone(group, monkeypatch):
    """An exception for one call kept the others of a lost link waiting."""
    record = sends.SendTracker.record

    def fail(tracker, candidate, result):
        if tracker._run.attempt_id == b"bad":
            raise KeyError(candidate.instance)
        record(tracker, candidate, result)

    monkeypatch.setattr(sends.SendTracker, "record", fail)
    member, order = group.members["s1"], group.members["o1"]
    order.upstream.delay_s = 5.0
    calls = [
        asyncio.create_task(member.call("/order/1", name, method="POST"))
        for name in ("bad", "good")
    ]
    await group_module.wait_until(lambda: len(order.upstream.runs) == 2)
    member.node._fleet.roster.open_link("o1").abort()
    responses = await asyncio.gather(*calls)
    assert [r.status for r in responses] == [502, 502]
    assert b"internal_error" in responses[0].body
    assert not member.node._dispatcher.in_progress
