"""Tests of late second copies of rejections, through nodes on loopback."""

import asyncio

import pytest

from medlardoor.admission import buffers
from medlardoor.mesh import settings, upstream_connection, upstream_pool
from medlardoor.mesh.tests import group as group_module

pytestmark = pytest.mark.anyio


class _RepeatingUpstream(group_module.Upstream):
    """Repeats each rejection where the next response is expected."""

    def __init__(self, upstream_id):
        super().__init__(upstream_id)
        self.delay_s = 0.05
        self._repeat_on = set()
        self._copy = b""

    def handle(self, request, reply):
        if not self.remaining_sheds:
            for connection in self._repeat_on:
                connection._transport.write(self._copy)
            self._repeat_on = set()
            return super().handle(request, reply)

        def reply_and_keep(response):
            self._repeat_on = set(self.connections)
            self._copy = b"HTTP/1.1 %d X\r\n%bContent-Length: 0\r\n\r\n" % (
                response.status,
                response.headers,
            )
            reply(response)

        return super().handle(request, reply_and_keep)


async def _send_order(group):
    """Sends an order that is shed once, with a late copy of the rejection."""
    member = group.members["o1"]
    upstream = _RepeatingUpstream(member.upstream.upstream_id)
    upstream.remaining_sheds = 1
    member.upstream.handle = upstream.handle
    upstream.connections = member.upstream.connections
    response = await group.members["s1"].call("/order/1", method="POST")
    await asyncio.sleep(0.1)
    return response, upstream.runs


async def test_late_copy_of_a_rejection_is_no_answer_to_the_next_send(group):
    """An order ran twice: a copy said that its second send had not run."""
    response, runs = await _send_order(group)
    assert len(runs) == 1
    assert response.status == 200


class _Transport:
    def abort(self):
        pass


async def test_rejected_attempt_gets_another_connection():
    """The response to a second send must not share a connection with copies."""
    pool = upstream_pool.UpstreamPool(
        settings.UpstreamSettings(),
        settings.Address("127.0.0.1", 1),
        b"x-attempt",
        buffers.BufferBudget(1_000),
    )
    now = asyncio.get_running_loop().time()
    older, newer = _make_connection(), _make_connection()
    newer.record_rejection(b"a1")
    pool.return_connection(older, now)
    pool.return_connection(newer, now)
    assert pool.acquire(b"a1", False, now) is older
    assert pool.acquire(b"a1", False, now) is None
    assert pool.acquire(b"a2", False, now) is newer


async def test_connection_with_many_rejections_is_closed():
    """A connection must not forget an attempt that it may carry again."""
    connection = _make_connection()
    now = asyncio.get_running_loop().time()
    for number in range(upstream_connection.MAX_REJECTED_ATTEMPTS):
        connection.record_rejection(b"%d" % number)
    assert connection.is_usable(10.0, now)
    connection.record_rejection(b"last")
    assert not connection.is_usable(10.0, now)


def _make_connection():
    connection = upstream_connection.UpstreamConnection(
        settings.UpstreamSettings(), b"x-attempt", buffers.BufferBudget(1_000)
    )
    connection.connection_made(_Transport())
    return connection
