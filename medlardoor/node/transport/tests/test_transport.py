"""Tests of both transports against a server that sends raw bytes."""

import anyio
import pytest

from medlardoor.calls import exchange
from medlardoor.node.tests import scripted_server
from medlardoor.node.transport import (
    client_connection,
    protocol_transport,
    transport,
)

TRANSPORTS = (transport.HttpTransport, protocol_transport.ProtocolTransport)
BOTH = pytest.mark.parametrize("make", TRANSPORTS)
HOST = (b"host", b"test")
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
TIMEOUT_S = 5.0


def run(function, *arguments):
    async def bounded():
        with anyio.fail_after(TIMEOUT_S):
            await function(*arguments)

    anyio.run(bounded, backend_options={"use_uvloop": True})


async def ask(client, address, method="GET", headers=(HOST,), body=b""):
    """Status and body of an answer, or the failure."""
    request = transport.OutgoingRequest(method, b"/x", list(headers), body)
    sent = await client.send(address, request, 1.0)
    if sent.is_err():
        return sent.err()
    response = sent.ok()
    try:
        data = b"".join([chunk async for chunk in response.chunks()])
        return response.status, data
    finally:
        await response.aclose()


async def wait_until(condition):
    while not condition():  # noqa: ASYNC110
        await anyio.sleep(0.001)


def check(make, parts, *expected, method="GET"):
    """Sends one request for each expected answer on one client."""

    async def body():
        server = scripted_server.ScriptedServer(lambda head, number: parts)
        client = make()
        async with server.serve() as address:
            for each in expected:
                assert await ask(client, address, method) == each
            await client.aclose()
        return server

    servers = []

    async def keep():
        servers.append(await body())

    run(keep)
    return servers[0]


@BOTH
def test_connection_is_reused(make):
    """Each call pays for a new connection."""
    server = check(make, [WHOLE], (200, b"hello"), (200, b"hello"))
    assert server.connections == 1


@BOTH
def test_chunked_answer_with_trailer(make):
    """Chunk sizes or trailers are relayed as a part of the body."""
    parts = [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
        b"lo\r\n1\r\n!\r\n0\r\nX-Sum: 1\r\n\r\n",
    ]
    server = check(make, parts, (200, b"hello!"), (200, b"hello!"))
    assert server.connections == 1


@BOTH
@pytest.mark.parametrize(
    "head",
    [b"Content-Length: 9", b"Transfer-Encoding: chunked\r\n\r\n9"],
)
def test_cut_answer(make, head):
    """An answer that ended early is relayed as whole."""
    parts = [b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\nhello", None]
    if b"chunked" in head:
        parts = [b"HTTP/1.1 200 OK\r\n" + head + b"\r\nhello", None]
    with pytest.raises(exchange.TruncatedAnswer):
        check(make, parts, None)


@BOTH
def test_answer_until_close(make):
    """An answer that the end of the connection frames is taken as cut."""
    parts = [b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello", None]
    check(make, parts, (200, b"hello"), (200, b"hello"))


@BOTH
@pytest.mark.parametrize(
    "method, status", [("HEAD", 200), ("GET", 204), ("GET", 304)]
)
def test_answer_without_body(make, method, status):
    """A call waits for a body that its answer only describes."""
    length = b"" if status == 204 else b"Content-Length: 5\r\n"
    head = b"HTTP/1.1 %d X\r\n%b\r\n" % (status, length)
    empty = (status, b"")
    server = check(make, [head], empty, empty, method=method)
    assert status == 204 or server.connections == 1


@BOTH
def test_interim_answers(make):
    """An interim answer is taken for the final one."""
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    check(make, [interim + interim, WHOLE], (200, b"hello"))


@BOTH
def test_surplus_bytes_after_an_answer(make):
    """The next call on the connection gets an answer to nobody."""
    server = check(
        make, [WHOLE + WHOLE[:-1] + b"!"], (200, b"hello"), (200, b"hello")
    )
    assert server.connections == 2


@BOTH
@pytest.mark.parametrize(
    "parts",
    [
        [b"garbage\r\n\r\n"],
        [b"HTTP/1.1 abc\r\n\r\n"],
        [b"HTTP/1.1 200 OK\r\nBad Name: 1\r\n\r\n"],
        [b"HTTP/1.1 200 OK\r\nX: " + b"x" * 200_000 + b"\r\n\r\n"],
        [b"HTTP/1.1 200 OK\r\n"] + [b"X: " + b"x" * 9_000 + b"\r\n"] * 20,
        [None],
        [b"HTTP/1.1 200 OK\r\nContent-", None],
    ],
)
def test_unusable_head(make, parts):
    """A broken answer is relayed, or the request is taken as not run."""

    async def body():
        server = scripted_server.ScriptedServer(lambda head, number: parts)
        client = make()
        async with server.serve() as address:
            failure = await ask(client, address)
            assert isinstance(failure, transport.TransportFailure)
            assert failure.dispatched and not failure.refused
            await client.aclose()

    run(body)


@BOTH
def test_refused_connection(make):
    """A request that was never sent is reported as unknown."""

    async def body():
        server = scripted_server.ScriptedServer(lambda head, number: [])
        async with server.serve() as address:
            pass
        failure = await ask(make(), address)
        assert failure.refused and not failure.dispatched

    run(body)


@BOTH
def test_large_answer_to_a_slow_reader(make):
    """Parts of an answer larger than the buffers are lost."""
    data = bytes(range(256)) * 16_384

    async def body():
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data)
        server = scripted_server.ScriptedServer(lambda h, n: [head, data])
        client = make()
        async with server.serve() as address:
            request = transport.OutgoingRequest("GET", b"/", [HOST])
            response = (await client.send(address, request, 1.0)).ok()
            received = b""
            async for chunk in response.chunks():
                assert len(chunk) < 4 * client_connection.MAX_BUFFERED_BYTES
                received += chunk
                await anyio.sleep(0.001)
            assert received == data
            await response.aclose()
            assert (await ask(client, address))[1] == data
            assert server.connections == 1
            await client.aclose()

    run(body)


@BOTH
def test_early_answer_to_a_streamed_body(make):
    """An answer sent before the end of the body reaches another call."""

    async def upload():
        for _ in range(64):
            yield b"x" * 65_536

    def answer(head, number):
        if b"POST" in head:
            return [b"HTTP/1.1 413 X\r\nContent-Length: 0\r\n\r\n"]
        return [WHOLE]

    async def body():
        server = scripted_server.ScriptedServer(answer)
        client = make()
        headers = [HOST, (b"content-length", b"%d" % (64 * 65_536))]
        async with server.serve() as address:
            sent = await ask(client, address, "POST", headers, upload())
            # The server may close the connection on the unread body.
            if isinstance(sent, tuple):
                assert sent == (413, b"")
            else:
                assert sent.dispatched
            assert await ask(client, address) == (200, b"hello")
            await client.aclose()

    run(body)


@BOTH
@pytest.mark.parametrize("chunked", [False, True])
def test_body_is_framed(make, chunked):
    """The server cannot tell where a streamed body ends."""
    framing = (b"content-length", b"4")
    if chunked:
        framing = (b"transfer-encoding", b"chunked")

    async def upload():
        yield b"ab"
        yield b"cd"

    async def body():
        # The end of the body looks like the end of a second head.
        server = scripted_server.ScriptedServer(
            lambda head, number: [WHOLE] if b"0\r\n\r\n" in head else []
        )
        if not chunked:
            server = scripted_server.ScriptedServer(lambda h, n: [WHOLE])
        client = make()
        async with server.serve() as address:
            sent = await ask(client, address, "POST", [HOST, framing], upload())
            assert sent == (200, b"hello")
            if chunked:
                assert server.heads[1] == b"2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n"
            await client.aclose()

    run(body)


@BOTH
def test_cancelled_call(make):
    """A later call receives the answer to a cancelled one."""

    async def body():
        server = scripted_server.ScriptedServer(
            lambda head, number: [WHOLE] if number > 1 else []
        )
        client = make()
        async with server.serve() as address:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask, client, address)
                await wait_until(lambda: server.heads)
                tasks.cancel_scope.cancel()
            await wait_until(lambda: server.open_connections == 0)
            assert await ask(client, address) == (200, b"hello")
            await client.aclose()

    run(body)


@BOTH
def test_answer_left_unread(make):
    """The rest of an answer that nobody read reaches the next call."""

    async def body():
        large = b"HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n"
        server = scripted_server.ScriptedServer(
            lambda h, n: [WHOLE] if n > 1 else [large, b"x" * 4_000_000]
        )
        client = make()
        async with server.serve() as address:
            request = transport.OutgoingRequest("GET", b"/", [HOST])
            response = (await client.send(address, request, 1.0)).ok()
            await response.aclose()
            assert await ask(client, address) == (200, b"hello")
            await client.aclose()

    run(body)


@BOTH
def test_idle_connection_closed_by_the_server(make):
    """A call is lost on a connection that the server has closed."""

    async def body():
        server = scripted_server.ScriptedServer(lambda h, n: [WHOLE, None])
        client = make()
        async with server.serve() as address:
            for _ in range(3):
                assert await ask(client, address) == (200, b"hello")
                await wait_until(lambda: server.open_connections == 0)
            await client.aclose()

    run(body)


@BOTH
def test_header_with_a_line_break(make):
    """A header value adds a header or a request of its own."""

    async def body():
        server = scripted_server.ScriptedServer(lambda h, n: [WHOLE])
        client = make()
        headers = [HOST, (b"x", b"1\r\nY: 2")]
        async with server.serve() as address:
            failure = await ask(client, address, "GET", headers)
            assert isinstance(failure, transport.TransportFailure)
            await client.aclose()
        assert server.heads == []

    run(body)
