"""Tests of requests that arrive in parts, and of the limits on heads."""

import asyncio
import tracemalloc

import pytest

from medlardoor.admission import buffers, connection_budget
from medlardoor.config import routes
from medlardoor.mesh import connection_guard, server_connection
from medlardoor.mesh.tests import test_server_connection

Reason = connection_budget.ClosingReason

CHUNKED = (
    b"POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nab\r\n3;e=1\r\n\n\n\r\r\n0\r\nTrailer: z\r\n\r\n"
)
OFFER = (
    b"POST /u HTTP/1.1\r\nHost: x\r\nConnection: Upgrade, HTTP2-Settings\r\n"
    b"Upgrade: h2c\r\nHTTP2-Settings: AA\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nab\r\n0\r\n\r\n"
)
STREAMS = {
    "one": test_server_connection.GET,
    "empty lines before": b"\r\n\r\n" + test_server_connection.GET,
    "length": b"POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n"
    b"\r\n\r\n",
    "chunked": CHUNKED,
    "expect": b"POST /e HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
    b"Content-Length: 2\r\n\r\nab",
    "offer": b"POST /u HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\n"
    b"Upgrade: h2c\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab",
    "offers": OFFER + CHUNKED + OFFER + test_server_connection.GET,
    "odd headers": b"GET /o HTTP/1.1\r\nHost: x\r\na:\r\na: \r\nb: c:d\r\n"
    b"b:\te \r\n\r\n",
    "two hosts": b"GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
    "no header end": b"GET / HTTP/1.1\r\nHost: x\r\nbroken\r\n\r\n",
    "pipelined": CHUNKED + test_server_connection.GET + CHUNKED,
}


def _guarded(max_header_lines=1_000, buffer_bytes=1_000_000):
    """Returns a client and the guard of its connection."""
    client = test_server_connection._Client()
    client.buffers = buffers.BufferBudget(buffer_bytes)
    guard = connection_guard.ConnectionGuard(
        connection_budget.ClientSettings(max_header_lines=max_header_lines),
        client.buffers,
    )
    client.connection = server_connection.ServerConnection(
        client.handler, client.connections, client.buffers, guard
    )
    client.connection.connection_made(client.transport)
    return client, guard


def _outcome(parts):
    """Requests, output and state after a stream was received in parts."""

    async def main():
        client, guard = _guarded()
        for part in parts:
            client.send(part)
        requests = [
            (r.method, r.target, r.host, r.headers, r.body)
            for r in client.handler.requests
        ]
        while client.handler.replies:
            client.reply()
            await asyncio.sleep(0)
            requests += [
                (r.method, r.target, r.host, r.headers, r.body)
                for r in client.handler.requests[len(requests) :]
            ]
        client.connection.connection_lost(None)
        assert client.buffers.used_bytes == 0
        assert guard.budget.unfinished_heads == 0
        return requests, client.transport.written, client.transport.closed

    return asyncio.run(main())


@pytest.mark.parametrize("name", STREAMS)
def test_every_split_gives_the_same_requests(name):
    """A request that arrives in parts is read as another request."""
    stream = STREAMS[name]
    whole = _outcome([stream])
    # The interim response is only sent while the body is awaited.
    awaited = b"HTTP/1.1 100 Continue\r\n\r\n"
    for position in range(1, len(stream)):
        parts = _outcome([stream[:position], stream[position:]])
        assert parts[0] == whole[0], position
        assert parts[1].replace(awaited, b"") == whole[1].replace(awaited, b"")
        assert parts[2] == whole[2], position
    single = _outcome([stream[n : n + 1] for n in range(len(stream))])
    assert single[0] == whole[0]


def test_offer_of_another_protocol_is_ignored():
    """An order that offered HTTP/2 was run with an empty body."""
    (request,), written, closed = _outcome([OFFER])
    assert request[:3] == (b"POST", b"/u", b"x")
    assert request[4] == b"ab"
    assert b"upgrade" not in [name for name, _ in request[3]]
    assert written.startswith(b"HTTP/1.1 200 ")
    assert not closed


def test_tunnel_is_refused():
    """A CONNECT request was passed on before it was refused."""
    requests, written, closed = _outcome(
        [b"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n"]
    )
    assert requests == []
    assert written.startswith(b"HTTP/1.1 400 ")
    assert closed


def _lines(count):
    return b"GET / HTTP/1.1\r\nHost: x\r\n" + b"a:\r\n" * count


def test_default_allows_all_heads_within_the_size_limit(monkeypatch):
    """A single request within `maxHeaderBytes` was refused for its lines."""

    async def main():
        settings = connection_budget.ClientSettings()
        client, guard = _guarded(settings.max_header_lines, 8_000_000)
        limits = routes.ConnectionLimits()
        monkeypatch.setattr(type(client.handler), "limits", limits)
        head = b"GET / HTTP/1.1\r\nHost: x\r\n"
        count = (limits.max_head_bytes - len(head) - 2) // 4
        client.send(head + b"a:\r\n" * count + b"\r\n")
        assert len(client.handler.requests[0].headers) == count
        assert not guard.closings

    asyncio.run(main())


@pytest.mark.parametrize("ending", [b"", b"\r\n"], ids=["unfinished", "whole"])
def test_number_of_header_lines_is_bounded(ending):
    """Each header line of a request took an object, without a limit."""

    async def main():
        client, guard = _guarded(max_header_lines=50)
        # The parser reports a line when the next one begins.
        client.send(_lines(52) + ending)
        assert b" 431 " in client.transport.written
        assert client.transport.closed
        assert client.handler.requests == []
        assert guard.closings == {Reason.HEAD_LINES: 1}
        client, guard = _guarded(max_header_lines=50)
        client.send(_lines(50) + b"\r\n")
        assert len(client.handler.requests[0].headers) == 50

    asyncio.run(main())


def test_unfinished_head_takes_the_memory_of_its_text():
    """An unfinished head of short lines took forty times its text."""

    async def main():
        clients = [_guarded()[0] for _ in range(20)]
        part = b"ab:c\r\n" * 20
        tracemalloc.start()
        try:
            for client in clients:
                client.send(b"GET / HTTP/1.1\r\n")
                for _ in range(8):
                    client.send(part)
            held, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert held <= len(clients) * (8 * len(part) * 1.2 + 1_000)

    asyncio.run(main())


def test_lines_of_whole_heads_count_in_the_budget():
    """Whole heads of many lines filled the memory beside the budget."""

    async def main():
        client, _ = _guarded(buffer_bytes=20_000)
        client.send(_lines(40) + b"\r\n")
        assert len(client.handler.requests) == 1
        assert client.buffers.used_bytes == 40 * 200
        client.send(_lines(40) + b"\r\n")
        assert len(client.handler.requests) == 1
        client.reply()
        assert b" 503 " in client.transport.written
        assert client.buffers.used_bytes == 0

    asyncio.run(main())


def test_pipelined_requests_beyond_the_limit_wait_unparsed():
    """One read of many short requests made objects for all of them."""

    async def main():
        client, _ = _guarded()
        request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
        count = 1_000
        client.send(request * count)
        assert len(client.handler.requests) < 200
        assert client.transport.paused
        answered = 0
        while client.handler.replies:
            client.reply()
            answered += 1
            await asyncio.sleep(0)
        assert answered == count
        assert not client.transport.paused

    asyncio.run(main())


def test_client_that_does_not_read_is_not_read():
    """Requests were read on while their answers filled the memory."""

    async def main():
        client, guard = _guarded()
        client.send(test_server_connection.GET)
        client.reply(body=b"x" * 100_000)
        client.transport.unsent = 90_000
        client.connection.pause_writing()
        assert client.transport.paused
        assert client.buffers.used_bytes == 100_000
        client.transport.unsent = 0
        client.connection.resume_writing()
        assert not client.transport.paused
        assert client.buffers.used_bytes == 0

    asyncio.run(main())


def test_refused_head_is_answered_after_earlier_requests():
    """A request in progress is cut when the next one is refused."""

    async def main():
        client, guard = _guarded(buffer_bytes=1_000)
        client.send(test_server_connection.GET)
        client.send(b"GET / HTTP/1.1\r\nX: " + b"x" * 300)
        assert guard.closings == {Reason.HEADS_OVER_BUDGET: 1}
        assert not client.transport.closed
        client.reply()
        assert client.transport.written.startswith(b"HTTP/1.1 200 ")
        assert b"HTTP/1.1 503 " in client.transport.written
        assert client.transport.closed
        assert len(client.handler.requests) == 1

    asyncio.run(main())


def test_empty_lines_are_an_unfinished_head():
    """Empty lines before a request kept a connection open without end."""

    async def main():
        now = asyncio.get_running_loop().time()
        client, guard = _guarded()
        client.send(b"\r\n\r\n")
        assert guard.budget.unfinished_heads == 1
        client.connection.check_timeouts(now + 1.5)
        assert b" 408 " in client.transport.written
        assert guard.closings == {Reason.HEAD_TIMEOUT: 1}

    asyncio.run(main())


def test_level_of_a_body_in_many_chunks_is_looked_up_once():
    """A body in small chunks held the event loop with a lookup for each."""

    async def main():
        client, _ = _guarded()
        lookups = []
        client.handler.body_level = lambda *request: (
            lookups.append(request) or 0
        )
        chunked = CHUNKED.replace(b"2\r\nab\r\n", b"1\r\nx\r\n" * 3_000)
        for _ in range(2):
            client.send(chunked)
            client.reply()
        return [len(r.body) for r in client.handler.requests], lookups

    sizes, lookups = asyncio.run(main())
    assert sizes == [3_003, 3_003]
    assert lookups == [(b"x", b"/c")] * 2
