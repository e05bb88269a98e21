"""Tests of late second copies of rejections, through nodes on loopback."""

import asyncio

import pytest

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
