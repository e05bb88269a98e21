"""Tests that unexpected exceptions do not end the node process."""

import json

import anyio
import logbook
import pytest

from medlardoor.mesh import presence, supervision
from medlardoor.mesh.tests import group as group_module
from medlardoor.store import client

pytestmark = pytest.mark.anyio


async def test_node_goes_on_after_an_unexpected_error(group, monkeypatch):
    """An exception in one task must not end the process and its requests."""
    monkeypatch.setattr(supervision, "RESTART_PAUSE_S", 0.01)
    member = group.members["s1"]
    failed = []

    def fail(now):
        failed.append(now)
        raise RuntimeError("defect")

    local = member.node._local
    tick = local._admission_queue.tick
    local._admission_queue.tick = fail
    with logbook.TestHandler().applicationbound() as log:
        await group_module.wait_until(lambda: len(failed) > 2)
        local._admission_queue.tick = tick
        assert (await member.call("/read/1")).status == 200
    assert not member.done.is_set()
    assert any(record.message == "task_failed" for record in log.records)


async def test_error_of_the_store_client_does_not_end_the_node(group):
    """A response that the store client cannot parse must not end the node."""
    member = group.members["s1"]

    async def fail(*args, **kwargs):
        raise RecursionError("deeply nested answer")

    member.store.watch = fail
    member.store.list = fail
    group.publish(*group_module.DOCUMENT, "/new/ stock safe 2")
    await group_module.wait_until(
        lambda: member.node._holder.table.find(b"x", b"/new/1") is not None
    )
    assert (await member.call("/new/1")).status == 200
    assert not member.done.is_set()


async def test_cancellation_ends_a_task():
    """A supervised task must end when it is cancelled during a stop."""
    with anyio.move_on_after(0.05) as scope:
        await supervision.keep_running(lambda: anyio.sleep(60))
    assert scope.cancelled_caught


@pytest.mark.parametrize("host", ["", "node-7", "10.1.0", "10.1.0.1\x00"])
async def test_object_with_a_host_that_is_no_address_is_skipped(host):
    """A host that is not an IP address would raise in each dial."""
    value = {"host": host, "port": 1, "service": "s", "failure_domain": "d"}
    stored = client.StoredObject("instances/x", json.dumps(value).encode(), 1)
    assert presence._parse(stored) is None
