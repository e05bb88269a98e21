"""Tests of server connections on a fake transport."""

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
        # Whether the client ends its side once the other one has ended, which
        # closes a transport.
        self.ends_with_sending = True
        self.unsent = 0

    def write(self, data):
        assert not self.ended
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
        return self.unsent

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False

    def write_eof(self):
        self.ended = True
        self.closed = self.ends_with_sending


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
    """Returns a function that runs an asynchronous check with a new client."""

    def runner(check):
        async def main():
            await check(_Client())

        asyncio.run(main())

    return runner


GET = b"GET /a/b?c=d HTTP/1.1\r\nHost: x\r\nX-Id: 7\r\n\r\n"


def test_request_is_complete_before_it_is_handled(run):
    """A request is passed to the handler only with its complete body."""

    async def check(client):
        client.send(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n")
        client.send(b"ab")
        assert client.handler.requests == []
        client.send(b"cd")
        assert client.handler.requests[0].body == b"abcd"

    run(check)


def test_chunked_body_is_joined(run):
    """The chunks of a body are joined without their chunk headers."""

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
    """Responses are sent in the order of the requests of a connection."""

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


def test_disconnection_cancels_the_request(run):
    """Closing the connection cancels the request in progress."""

    async def check(client):
        client.send(GET)
        client.connection.connection_lost(None)
        assert len(client.handler.cancelled) == 1
        assert client.connections == set()

    run(check)


def test_reply_after_disconnection_is_dropped(run):
    """A reply after the end of the connection is dropped without an error."""

    async def check(client):
        client.send(GET)
        client.connection.connection_lost(None)
        client.reply()
        assert client.transport.written == b""

    run(check)


def test_stop_closes_connection_after_the_response(run):
    """A planned stop closes a connection only after the pending response."""

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
    """Invalid input gets an error status and is neither handled nor kept."""

    async def check(client):
        client.send(data)
        assert status in client.transport.written
        assert client.transport.closed
        assert client.handler.requests == []
        # Later input is ignored.
        client.send(GET)
        assert client.handler.requests == []

    run(check)


def test_smuggled_request_is_refused(run):
    """A body with two lengths cannot hide another request."""

    async def check(client):
        client.send(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + GET
        )
        assert client.handler.requests == []
        assert client.transport.closed

    run(check)


def test_slow_request_head_times_out(run):
    """A connection that never completes a request head is closed.

    Such connections could otherwise shut out other callers.
    """

    async def check(client):
        now = asyncio.get_running_loop().time()
        client.send(b"GET / HTTP/1.1\r\nHo")
        client.connection.check_timeouts(now + 0.5)
        assert not client.transport.closed
        client.connection.check_timeouts(now + 1.5)
        assert b" 408 " in client.transport.written
        assert client.transport.closed

    run(check)


def test_slow_request_body_times_out(run):
    """A body whose bytes stop coming held its connection for ever."""

    async def check(client):
        now = asyncio.get_running_loop().time()
        client.send(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab"
        )
        client.connection.check_timeouts(now + 3.5)
        assert not client.transport.closed
        client.connection.check_timeouts(now + 4.5)
        assert b" 408 " in client.transport.written
        assert client.transport.closed
        client.connection.connection_lost(None)
        assert client.buffers.used_bytes == 0

    run(check)


def test_unread_response_times_out(run):
    """A response that the caller stops reading was kept for ever."""

    async def check(client):
        now = asyncio.get_running_loop().time()
        client.send(GET)
        client.reply()
        for progress in range(1, 4):
            client.transport.unsent = 10 - progress
            client.connection.check_timeouts(now + 3.0 * progress)
        assert not client.transport.aborted
        client.connection.check_timeouts(now + 12.5)
        assert not client.transport.aborted
        client.connection.check_timeouts(now + 13.5)
        assert client.transport.aborted

    run(check)


def test_idle_connection_is_closed_after_its_timeout(run):
    """An idle connection is closed after its timeout, and not earlier.

    Idle connections would otherwise use up the file descriptors.
    """

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


def test_handler_exception_is_logged_and_aborts(run):
    """An exception of the handler is logged and aborts without a status."""

    async def check(client):
        client.handler.fails = True
        with logbook.TestHandler() as log:
            client.send(GET)
        assert log.records[0].extra["fields"]["error"] == "KeyError('defect')"
        assert client.transport.written == b""
        assert client.transport.aborted

    run(check)
