"""Tests of connections that close while their clients may still send."""

import asyncio
import contextlib
import socket

import pytest

from medlardoor import lingering
from medlardoor.config import routes
from medlardoor.mesh import handlers, server_connection
from medlardoor.mesh.tests import group as group_module
from medlardoor.mesh.tests import test_server_connection

pytestmark = pytest.mark.anyio

GET = test_server_connection.GET
MAX_BODY_BYTES = 5_000
# More than the receive buffer of the client takes.
RESPONSE_BYTES = 30_000
RECEIVE_BUFFER_BYTES = 4_096
REQUESTS = 6
WAIT_S = 10.0


class _Handler(test_server_connection._Handler):
    """Holds the requests until they are answered together."""

    @property
    def limits(self):
        return routes.ConnectionLimits(
            max_head_bytes=1_000, max_body_bytes=MAX_BODY_BYTES
        )

    def answer_all(self, **fields):
        replies, self.replies = self.replies, []
        for reply in replies:
            reply(handlers.Response(200, b"", b"x" * RESPONSE_BYTES, **fields))


class _Client:
    """A client on a plain socket that reads only when it is told to."""

    def __init__(self, address):
        self._loop = asyncio.get_running_loop()
        self._address = address
        self._socket = socket.socket()
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.setblocking(False)

    async def connect(self):
        await self._loop.sock_connect(self._socket, self._address)

    async def send(self, data):
        """Sends data, as far as the connection takes it."""
        with contextlib.suppress(OSError):
            await asyncio.wait_for(
                self._loop.sock_sendall(self._socket, data), WAIT_S
            )

    async def read_to_end(self):
        """Returns all data until the connection ends."""
        received = b""
        with contextlib.suppress(ConnectionResetError):
            while data := await asyncio.wait_for(
                self._loop.sock_recv(self._socket, 4_096), WAIT_S
            ):
                received += data
        return received

    def close(self):
        self._socket.close()


@contextlib.asynccontextmanager
async def _connect(handler):
    """Yields a client and the connections of a server with the handler."""
    connections = set()
    server = await asyncio.get_running_loop().create_server(
        lambda: server_connection.ServerConnection(handler, connections),
        "127.0.0.1",
        0,
    )
    client = _Client(server.sockets[0].getsockname())
    try:
        await client.connect()
        yield client, connections
    finally:
        client.close()
        server.close()


async def _send_requests(client, handler):
    await client.send(GET * REQUESTS)
    await group_module.wait_until(lambda: len(handler.requests) == REQUESTS)


def _count_whole(received):
    return received.count(b"x" * RESPONSE_BYTES)


async def test_late_request_does_not_cut_the_last_responses():
    """A stop cut responses of clients that sent a further request.

    The closed socket was reset by the request, and the kernel dropped the
    responses that the client had not received.
    """
    handler = _Handler()
    async with _connect(handler) as (client, connections):
        await _send_requests(client, handler)
        handler.closes = True
        handler.answer_all()
        await client.send(GET)
        received = await client.read_to_end()
        assert _count_whole(received) == REQUESTS
        assert received.count(b"connection: close") == 1
        assert len(handler.requests) == REQUESTS
        client.close()
        await group_module.wait_until(lambda: not connections)


async def test_late_request_does_not_cut_a_response_that_closes():
    """A response that closes its connection was cut by a further request."""
    handler = _Handler()
    async with _connect(handler) as (client, _):
        await client.send(GET)
        await group_module.wait_until(lambda: handler.replies)
        handler.answer_all(close=True)
        await client.send(GET)
        assert _count_whole(await client.read_to_end()) == 1
        assert len(handler.requests) == 1


async def test_invalid_request_does_not_cut_earlier_responses():
    """An invalid request reset the responses that were on their way."""
    handler = _Handler()
    async with _connect(handler) as (client, _):
        await _send_requests(client, handler)
        handler.answer_all()
        await client.send(b"NONSENSE\r\n\r\n")
        await asyncio.sleep(0)
        await client.send(GET * 100)
        received = await client.read_to_end()
        assert _count_whole(received) == REQUESTS
        assert received.count(b"HTTP/1.1 400 ") == 1


async def test_idle_close_does_not_cut_the_last_response():
    """Closing an idle connection reset what its client had still to read."""
    handler = _Handler()
    async with _connect(handler) as (client, connections):
        await _send_requests(client, handler)
        handler.answer_all()
        (connection,) = connections
        connection.close_if_idle()
        await client.send(GET)
        assert _count_whole(await client.read_to_end()) == REQUESTS
        assert len(handler.requests) == REQUESTS


async def test_client_that_never_ends_its_side_is_closed():
    """A client that keeps its side open held the connection for ever."""
    client = test_server_connection._Client()
    client.transport.ends_with_sending = False
    now = asyncio.get_running_loop().time()
    client.send(GET)
    client.reply(close=True)
    assert client.transport.ended
    assert not client.transport.closed
    client.send(GET)
    client.connection.check_timeouts(now + lingering.LINGER_S - 0.1)
    assert not client.transport.closed
    client.connection.check_timeouts(now + lingering.LINGER_S + 0.1)
    assert client.transport.closed
    assert len(client.handler.requests) == 1


async def test_undelivered_bytes_count_those_of_the_kernel():
    """A slow reader was cut some time after the last write.

    The kernel may hold megabytes of a response when the buffer of the
    transport is already empty.
    """
    handler = _Handler()
    async with _connect(handler) as (client, connections):
        await _send_requests(client, handler)
        handler.closes = True
        handler.answer_all()
        (connection,) = connections
        transport = connection._transport
        await group_module.wait_until(
            lambda: not transport.get_write_buffer_size()
        )
        assert lingering.undelivered_bytes(transport) > RESPONSE_BYTES
        now = asyncio.get_running_loop().time()
        for later_s in (0.0, lingering.LINGER_S, 2 * lingering.LINGER_S):
            connection.check_timeouts(now + later_s)
        assert not transport.is_closing()
        assert _count_whole(await client.read_to_end()) == REQUESTS
        await group_module.wait_until(
            lambda: not lingering.undelivered_bytes(transport)
        )


async def test_reader_without_progress_is_closed():
    """A client that reads nothing held a closing connection for ever."""
    handler = _Handler()
    async with _connect(handler) as (client, connections):
        await _send_requests(client, handler)
        handler.closes = True
        handler.answer_all()
        (connection,) = connections
        now = asyncio.get_running_loop().time()
        assert connection.has_unread_responses
        idle_timeout_s = handler.limits.idle_timeout_s
        for later_s in (1.0, 1.0 + 2 * idle_timeout_s):
            connection.check_timeouts(now + later_s)
        await group_module.wait_until(lambda: not connections)
