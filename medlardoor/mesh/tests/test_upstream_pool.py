"""Tests of the pool of connections to the local upstream."""

import asyncio

import anyio
import pytest

from medlardoor.admission import buffers
from medlardoor.mesh import (
    response_origin,
    settings,
    upstream_connection,
    upstream_pool,
)
from medlardoor.mesh.tests import group

pytestmark = pytest.mark.anyio

MARKS = response_origin.ResponseMarks(group.HEADERS)


class _Transport:
    def abort(self):
        pass


async def test_rejected_attempt_gets_another_connection():
    """The response to a second send must not share a connection with copies."""
    pool = _make_pool()
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
        settings.UpstreamSettings(), MARKS, buffers.BufferBudget(1_000)
    )
    connection.connection_made(_Transport())
    return connection


async def test_connection_reset_before_its_first_request_fails(monkeypatch):
    """A request waited until its deadline for a connection that had ended."""

    async def create_connection(factory, host, port):
        connection = factory()
        connection.connection_made(_Transport())
        connection.connection_lost(ConnectionResetError())
        return None, connection

    loop = asyncio.get_running_loop()
    monkeypatch.setattr(loop, "create_connection", create_connection)
    connected, failed = [], []
    await _make_pool().connect(
        connected.append, lambda *outcome: failed.append(outcome)
    )
    assert (connected, failed) == ([], [("ConnectionResetError", False)])


async def test_connection_that_never_opens_fails_in_time(monkeypatch):
    """A request waited for an upstream whose machine does not answer."""

    async def create_connection(factory, host, port):
        await anyio.sleep_forever()

    loop = asyncio.get_running_loop()
    monkeypatch.setattr(loop, "create_connection", create_connection)
    connected, failed = [], []
    with anyio.fail_after(1.0):
        await _make_pool(connect_timeout_s=0.05).connect(
            connected.append, lambda *outcome: failed.append(outcome)
        )
    assert (connected, failed) == ([], [("TimeoutError", False)])


def _make_pool(**changes):
    return upstream_pool.UpstreamPool(
        settings.UpstreamSettings(**changes),
        settings.Address("127.0.0.1", 1),
        MARKS,
        buffers.BufferBudget(1_000),
    )
