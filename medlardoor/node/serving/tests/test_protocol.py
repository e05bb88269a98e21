"""Tests of the HTTP/1.1 connections of callers."""

import asyncio
import contextlib
import socket

import anyio
import pytest

from medlardoor.config import settings
from medlardoor.node.serving import servers

pytestmark = pytest.mark.anyio

GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
GET_AND_CLOSE = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
OFFER = (
    b"POST / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade, HTTP2-Settings\r\n"
    b"Upgrade: h2c\r\nHTTP2-Settings: AA\r\nContent-Length: 2\r\n\r\nab"
)
# More than the receive buffer of the client takes.
BODY = b"x" * 200_000
RECEIVE_BUFFER_BYTES = 4_096
WAIT_S = 10.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


class _App:
    """Sends a large response to each request."""

    def __init__(self):
        self.started = anyio.Event()
        self.may_answer = anyio.Event()

    async def __call__(self, scope, receive, send):
        self.started.set()
        await self.may_answer.wait()
        length = b"%d" % len(BODY)
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [(b"content-length", length)],
            }
        )
        await send({"type": "http.response.body", "body": BODY})


class _Echo:
    """Answers each request with its body."""

    def __init__(self):
        self.bodies = []

    async def __call__(self, scope, receive, send):
        body = b""
        has_more = True
        while has_more:
            message = await receive()
            body += message.get("body", b"")
            has_more = message.get("more_body", False)
        self.bodies.append(body)
        headers = [(b"content-length", b"%d" % len(body))]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})


@contextlib.asynccontextmanager
async def _serve(app, **limits):
    listener = servers.HttpListener(
        settings.AddressSettings(host="127.0.0.1", port=0),
        settings.ListenerSettings(**limits),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, app)
        yield listener
        listener.stop()


async def _connect(listener):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (listener.host, listener.port))
    return sock


async def _send(sock, data):
    await asyncio.get_running_loop().sock_sendall(sock, data)


async def _read_to_end(sock):
    received = b""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(ConnectionResetError), anyio.fail_after(WAIT_S):
        while data := await loop.sock_recv(sock, 4_096):
            received += data
    return received


@pytest.mark.parametrize("is_stop", [False, True], ids=["close", "stop"])
async def test_late_request_does_not_cut_the_response(is_stop):
    """A further request reset the connection and cut the last response."""
    app = _App()
    async with _serve(app) as listener:
        sock = await _connect(listener)
        await _send(sock, GET if is_stop else GET_AND_CLOSE)
        await app.started.wait()
        if is_stop:
            listener.stop()
            # The server looks for a stop ten times a second.
            await anyio.sleep(0.3)
        app.may_answer.set()
        await anyio.sleep(0.1)
        await _send(sock, GET)
        received = await _read_to_end(sock)
        sock.close()
    assert received.endswith(BODY)
    assert received.count(b"HTTP/1.1 200") == 1


async def test_connection_that_awaits_its_close_makes_room():
    """Connections that were already answered kept new clients out."""
    app = _App()
    app.may_answer.set()
    async with _serve(app, max_connections=1) as listener:
        first = await _connect(listener)
        await _send(first, GET_AND_CLOSE)
        assert (await _read_to_end(first)).endswith(BODY)
        # The kernel of the client may delay its last acknowledgement.
        await anyio.sleep(0.2)
        second = await _connect(listener)
        await _send(second, GET_AND_CLOSE)
        assert (await _read_to_end(second)).endswith(BODY)
        assert listener.refused_connections == 0
        first.close()
        second.close()


async def test_client_that_never_closes_is_closed():
    """A connection stayed open for as long as its client did."""
    app = _App()
    app.may_answer.set()
    async with _serve(app, idle_timeout_s=0.4) as listener:
        sock = await _connect(listener)
        await _send(sock, GET_AND_CLOSE)
        assert (await _read_to_end(sock)).endswith(BODY)
        connections = listener._server.server_state.connections
        with anyio.fail_after(WAIT_S):
            while connections:  # noqa: ASYNC110
                await anyio.sleep(0.05)
        sock.close()


async def test_offer_of_another_protocol_is_ignored():
    """A request that offered HTTP/2 was run with an empty body."""
    app = _Echo()
    async with _serve(app) as listener:
        sock = await _connect(listener)
        request = OFFER + GET_AND_CLOSE
        # One byte at a time, so that each part of the head is read apart.
        for position in range(len(request)):
            await _send(sock, request[position : position + 1])
            await asyncio.sleep(0)
        received = await _read_to_end(sock)
        sock.close()
    assert app.bodies == [b"ab", b""]
    assert received.count(b"HTTP/1.1 200") == 2


async def test_tunnel_is_refused():
    """A CONNECT request has no path by which it could be routed."""
    app = _Echo()
    async with _serve(app) as listener:
        sock = await _connect(listener)
        await _send(sock, b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n")
        received = await _read_to_end(sock)
        sock.close()
    assert received.startswith(b"HTTP/1.1 400 ")
    assert not app.bodies
