"""Tests of pipelined requests and of the buffer space for their bodies."""

import asyncio

import pytest

from medlardoor import lingering
from medlardoor.mesh import handlers, server_connection
from medlardoor.mesh.tests import test_server_connection

GET = test_server_connection.GET


@pytest.fixture
def run():
    """Returns a function that runs an asynchronous check with a new client."""

    def runner(check):
        async def main():
            await check(test_server_connection._Client())

        asyncio.run(main())

    return runner


POST = (
    b"POST /order HTTP/1.1\r\nHost: x\r\nX-Id: 8\r\nContent-Length: 2\r\n\r\nab"
)


def test_idempotent_requests_run_concurrently(run):
    """Pipelined idempotent requests run concurrently."""

    async def check(client):
        client.send(GET * 3)
        assert len(client.handler.requests) == 3

    run(check)


def test_order_waits_for_earlier_requests(run):
    """An order waits until all requests before it have their responses.

    If one of these closed the connection, the caller would send the order
    again.
    """

    async def check(client):
        client.send(GET + POST + GET)
        assert len(client.handler.requests) == 1
        client.reply()
        await asyncio.sleep(0)
        assert client.handler.requests[1].method == b"POST"
        assert len(client.handler.requests) == 2
        client.reply()
        await asyncio.sleep(0)
        assert len(client.handler.requests) == 3

    run(check)


def test_request_after_a_closing_response_is_dropped(run):
    """An order behind a response that closes the connection does not run."""

    async def check(client):
        client.send(GET + POST)
        client.reply(close=True)
        await asyncio.sleep(0)
        assert client.transport.closed
        assert len(client.handler.requests) == 1
        assert client.transport.written.count(b"HTTP/1.1 200") == 1

    run(check)


def test_request_after_connection_close_is_dropped(run):
    """A request behind one with "Connection: close" does not run."""

    async def check(client):
        last = GET.replace(b"X-Id: 7", b"Connection: close")
        client.send(last + GET)
        assert len(client.handler.requests) == 1
        client.reply()
        assert client.transport.closed

    run(check)


def test_stop_completes_running_requests_only(run):
    """A planned stop completes running requests and starts no others."""

    async def check(client):
        client.send(GET * 2)
        client.handler.closes = True
        client.send(GET)
        assert len(client.handler.requests) == 2
        client.reply(body=b"first")
        assert not client.transport.closed
        client.reply(body=b"second")
        assert client.transport.closed
        written = client.transport.written
        assert written.count(b"connection: close") == 1
        assert written.index(b"first") < written.index(b"connection: close")
        await asyncio.sleep(0)
        assert len(client.handler.requests) == 2

    run(check)


def test_disconnection_cancels_all_requests(run):
    """Closing the connection cancels all requests in progress."""

    async def check(client):
        client.send(GET * 2 + POST)
        client.connection.connection_lost(None)
        assert len(client.handler.cancelled) == 2
        assert len(client.handler.requests) == 2

    run(check)


def test_malformed_request_does_not_affect_earlier_ones(run):
    """Requests before malformed input get their responses first."""

    async def check(client):
        client.send(GET * 2 + b"NONSENSE\r\n\r\n" + GET)
        assert len(client.handler.requests) == 2
        client.reply(body=b"first")
        client.reply(body=b"second")
        written = client.transport.written
        assert written.index(b"second") < written.index(b"HTTP/1.1 400")
        assert client.transport.closed

    run(check)


def test_number_of_pipelined_requests_is_bounded(run):
    """Reading pauses at the limit of pipelined requests, to bound memory."""

    async def check(client):
        client.send(GET * server_connection.MAX_PIPELINED_REQUESTS)
        assert client.transport.paused
        for _ in range(server_connection.MAX_PIPELINED_REQUESTS):
            client.reply()
        assert not client.transport.paused

    run(check)


def test_body_beyond_the_buffer_space_is_refused(run):
    """A body that exceeds the buffer space is refused before it is received."""

    async def check(client):
        client.transport.ends_with_sending = False
        client.buffers.reserve_unchecked(4_000)
        now = asyncio.get_running_loop().time()
        client.send(
            b"POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
            b"Content-Length: 2000\r\n\r\n"
        )
        assert b" 503 " in client.transport.written
        assert b" 100 " not in client.transport.written
        assert client.transport.ended
        # Closing now would reset the connection, as bytes are still in transit.
        assert not client.transport.closed
        client.send(b"b" * 2_000 + GET)
        assert client.handler.requests == []
        client.connection.check_timeouts(now + lingering.LINGER_S + 1.0)
        assert client.transport.closed
        assert client.buffers.used_bytes == 4_000

    run(check)


def test_refusal_behind_earlier_requests_keeps_its_headers(run):
    """A refusal that waited for earlier responses lost its Retry-After."""

    async def check(client):
        refusal = handlers.Response(503, b"Retry-After: 2\r\n", b"full")
        client.handler.refuse_body = lambda host, target: refusal
        client.buffers.reserve_unchecked(4_000)
        client.send(GET + POST.replace(b"Length: 2", b"Length: 2000"))
        client.reply()
        first, second = client.transport.written.split(b"HTTP/1.1 ")[1:]
        assert first.startswith(b"200 ")
        assert second.startswith(b"503 ")
        assert b"Retry-After: 2\r\n" in second
        assert second.endswith(b"\r\n\r\nfull")

    run(check)


def test_buffer_space_of_a_body_is_released(run):
    """Buffer space is released after each response and on disconnection.

    A leak would make the node refuse all further bodies.
    """

    async def check(client):
        chunked = POST.replace(
            b"Content-Length: 2\r\n\r\nab",
            b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        )
        client.send(POST + chunked)
        assert client.buffers.used_bytes == 4
        client.reply()
        assert client.buffers.used_bytes == 2
        client.send(POST[:-1])
        client.connection.connection_lost(None)
        assert client.buffers.used_bytes == 0

    run(check)
