"""Tests of the server side of connections, on a transport without network."""

import asyncio

import logbook
import pytest

from medlardoor.admission import buffers
from medlardoor.config import routes
from medlardoor.mesh import handlers, server_connection


class _Transport:
    def __init__(self):
        self.written = b""
        self.closed = False
        self.aborted = False
        self.paused = False
        self.ended = False

    def write(self, data):
        self.written += data

    def close(self):
        self.closed = True

    def abort(self):
        self.aborted = True

    def is_closing(self):
        return self.closed or self.aborted

    def get_extra_info(self, name):
        return None

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False

    def write_eof(self):
        self.ended = True


class _Handle(handlers.RequestHandle):
    def __init__(self, cancelled):
        self._cancelled = cancelled

    def cancel(self):
        self._cancelled.append(self)


class _Handler(handlers.RequestHandler):
    def __init__(self):
        self.requests = []
        self.replies = []
        self.cancelled = []
        self.closes = False
        self.fails = False

    @property
    def limits(self):
        return routes.ConnectionLimits(
            max_head_bytes=1_000,
            max_body_bytes=5_000,
            head_timeout_s=1.0,
            idle_timeout_s=4.0,
        )

    @property
    def closes_connections(self):
        return self.closes

    def may_run_concurrently(self, request):
        return request.method == b"GET"

    def handle(self, request, reply):
        if self.fails:
            raise KeyError("defect")
        self.requests.append(request)
        self.replies.append(reply)
        return _Handle(self.cancelled)


class _Client:
    def __init__(self):
        self.handler = _Handler()
        self.connections = set()
        self.transport = _Transport()
        self.buffers = buffers.BufferBudget(10_000)
        self.connection = server_connection.ServerConnection(
            self.handler, self.connections, self.buffers
        )
        self.connection.connection_made(self.transport)

    def send(self, data):
        self.connection.data_received(data)

    def reply(self, status=200, body=b"ok", **fields):
        self.handler.replies.pop(0)(
            handlers.Response(status, b"", body, **fields)
        )


@pytest.fixture
def run():
    """Runs a test function inside of an event loop."""

    def runner(check):
        async def main():
            await check(_Client())

        asyncio.run(main())

    return runner


GET = b"GET /a/b?c=d HTTP/1.1\r\nHost: x\r\nX-Id: 7\r\n\r\n"


def test_request_is_complete_before_it_is_handled(run):
    """A request is passed on before its body has arrived."""

    async def check(client):
        client.send(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n")
        client.send(b"ab")
        assert client.handler.requests == []
        client.send(b"cd")
        assert client.handler.requests[0].body == b"abcd"

    run(check)


def test_chunked_body_is_joined(run):
    """Chunk headers end up in the body."""

    async def check(client):
        client.send(
            b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n2\r\ncd\r\n0\r\nTrailer: z\r\n\r\n"
        )
        request = client.handler.requests[0]
        assert request.body == b"abcd"
        assert request.header(b"trailer") is None

    run(check)


def test_pipelined_requests_are_answered_in_order(run):
    """The second request of a connection is answered first."""

    async def check(client):
        client.send(GET + GET.replace(b"/a/b", b"/second"))
        assert client.handler.requests[1].target.startswith(b"/second")
        second = client.handler.replies.pop()
        second(handlers.Response(200, b"", b"second"))
        assert client.transport.written == b""
        client.reply(body=b"first")
        written = client.transport.written
        assert written.index(b"first") < written.index(b"second")

    run(check)


def test_caller_that_leaves_cancels(run):
    """Work goes on for a caller that has closed its connection."""

    async def check(client):
        client.send(GET)
        client.connection.connection_lost(None)
        assert len(client.handler.cancelled) == 1
        assert client.connections == set()

    run(check)


def test_late_reply_to_gone_caller_is_dropped(run):
    """A reply after the end of the connection raises."""

    async def check(client):
        client.send(GET)
        client.connection.connection_lost(None)
        client.reply()
        assert client.transport.written == b""

    run(check)


def test_stop_ends_connection_with_a_response(run):
    """A connection is closed at a planned stop without the answer."""

    async def check(client):
        client.send(GET)
        client.handler.closes = True
        client.connection.close_if_idle()
        assert not client.transport.closed
        client.reply()
        assert b"connection: close" in client.transport.written
        assert client.transport.closed

    run(check)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"NONSENSE\r\n\r\n", b" 400 "),
        (b"GET / HTTP/1.1\r\n\r\n", b" 400 "),
        (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", b" 400 "),
        (b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"b" * 2_000, b" 431 "),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\n"
            + b"b" * 6_000,
            b" 413 ",
        ),
    ],
)
def test_invalid_input_ends_the_connection(run, data, status):
    """Input that is not valid reaches an upstream or keeps memory."""

    async def check(client):
        client.send(data)
        assert status in client.transport.written
        assert client.transport.closed
        assert client.handler.requests == []
        # Nothing that follows is taken for a request.
        client.send(GET)
        assert client.handler.requests == []

    run(check)


def test_smuggled_request_is_refused(run):
    """A body with two lengths hides a request in another one."""

    async def check(client):
        client.send(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + GET
        )
        assert client.handler.requests == []
        assert client.transport.closed

    run(check)


def test_slow_head_is_ended(run):
    """Connections with half a head shut out other callers."""

    async def check(client):
        now = asyncio.get_running_loop().time()
        client.send(b"GET / HTTP/1.1\r\nHo")
        client.connection.check_timeouts(now + 0.5)
        assert not client.transport.closed
        client.connection.check_timeouts(now + 1.5)
        assert b" 408 " in client.transport.written
        assert client.transport.closed

    run(check)


def test_idle_connection_is_closed_after_its_time(run):
    """Idle connections use up descriptors, or are closed too early."""

    async def check(client):
        now = asyncio.get_running_loop().time()
        client.send(GET)
        client.connection.check_timeouts(now + 100)
        assert not client.transport.closed
        client.reply()
        client.connection.check_timeouts(now + 3.5)
        assert not client.transport.closed
        client.connection.check_timeouts(now + 5.0)
        assert client.transport.closed

    run(check)


def test_defect_is_logged_and_not_answered(run):
    """A defect of the handler leaves no trace, or a status that is not true."""

    async def check(client):
        client.handler.fails = True
        with logbook.TestHandler() as log:
            client.send(GET)
        assert log.records[0].extra["fields"]["error"] == "KeyError('defect')"
        assert client.transport.written == b""
        assert client.transport.aborted

    run(check)
