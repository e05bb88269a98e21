"""Tests of the memory that bodies in small chunks and trailers take."""

import asyncio
import tracemalloc

import pytest

from medlardoor.admission import buffers
from medlardoor.config import routes
from medlardoor.mesh import (
    handlers,
    response_origin,
    server_connection,
    settings,
    upstream_connection,
)
from medlardoor.mesh.tests import group

BUFFER_BYTES = 64_000_000
READ_BYTES = 65_536
# Chunks of four bytes, which fill one read.
SMALL_CHUNKS = b"4\r\nxxxx\r\n" * (READ_BYTES // 9)
SMALL_CHUNKS_READS = 60
# Python's allocator and the parser keep some memory of their own.
OVERHEAD_BYTES = 500_000


class _Transport:
    def __init__(self):
        self.written = b""
        self.is_closed = False

    def write(self, data):
        self.written += data

    def abort(self):
        self.is_closed = True

    # The other side ends when this one does.
    close = write_eof = abort

    def is_closing(self):
        return self.is_closed

    def get_write_buffer_size(self):
        return 0


class _Events(upstream_connection.ConnectionEvents):
    def __init__(self):
        self.responses = []
        self.breaks = []

    def response_received(self, connection, response):
        self.responses.append(response)

    def exchange_broken(self, connection, reason):
        self.breaks.append(reason)


class _Handler(handlers.RequestHandler):
    def __init__(self):
        self.requests = []

    @property
    def limits(self):
        return routes.ConnectionLimits()

    @property
    def closes_connections(self):
        return False

    def handle(self, request, reply):
        self.requests.append(request)


class _Receiver:
    """A connection in the middle of a chunked body."""

    def __init__(self, connection, budget, head):
        self.transport = _Transport()
        self.budget = budget
        self.receive = connection.data_received
        self.end = lambda: connection.connection_lost(None)
        connection.connection_made(self.transport)
        self._head = head

    def receive_head(self):
        self.receive(self._head)


class _FromUpstream(_Receiver):
    def __init__(self):
        budget = buffers.BufferBudget(BUFFER_BYTES)
        connection = upstream_connection.UpstreamConnection(
            settings.UpstreamSettings(),
            response_origin.ResponseMarks(group.HEADERS),
            budget,
        )
        head = (
            b"HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal: s\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        super().__init__(connection, budget, head)
        self.events = _Events()
        connection.send(b"request", b"a1", False, self.events)

    @property
    def bodies(self):
        return [response.body for response in self.events.responses]


class _FromCaller(_Receiver):
    def __init__(self):
        budget = buffers.BufferBudget(BUFFER_BYTES)
        self.handler = _Handler()
        connection = server_connection.ServerConnection(
            self.handler, set(), budget
        )
        head = (
            b"POST /order/ HTTP/1.1\r\nHost: x\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        super().__init__(connection, budget, head)

    @property
    def bodies(self):
        return [request.body for request in self.handler.requests]


@pytest.fixture(params=[_FromUpstream, _FromCaller], ids=["upstream", "caller"])
def run(request):
    """Returns a function that runs a check inside an event loop."""

    def runner(check):
        async def main():
            receiver = request.param()
            receiver.receive_head()
            check(receiver)

        asyncio.run(main())

    return runner


def test_small_chunks_take_what_the_budget_counts(run):
    """A body in small chunks took eleven times the memory that was counted."""

    def check(receiver):
        tracemalloc.start()
        try:
            for _ in range(SMALL_CHUNKS_READS):
                receiver.receive(SMALL_CHUNKS)
            held, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        counted = receiver.budget.used_bytes
        assert counted == SMALL_CHUNKS_READS * (READ_BYTES // 9) * 4
        # A growing buffer reserves some space ahead.
        assert held <= counted * 1.2 + OVERHEAD_BYTES
        receiver.receive(b"0\r\n\r\n")
        assert receiver.bodies == [b"x" * counted]

    run(check)


@pytest.mark.parametrize(
    ("start", "part"),
    [
        (b"0\r\nX-Trailer: ", b"a" * 10_000),
        (b"0\r\n", b"X-Trailer: " + b"a" * 9_000 + b"\r\n"),
        (b"4;extension=", b"a" * 10_000),
    ],
    ids=["value", "fields", "chunk extension"],
)
def test_framing_without_end_closes_the_connection(run, start, part):
    """A trailer without end must not fill the memory, nor take its time."""

    def check(receiver):
        receiver.receive(b"4\r\nxxxx\r\n")
        receiver.receive(start)
        for _ in range(100):
            if receiver.transport.is_closed:
                break
            receiver.receive(part)
        assert receiver.transport.is_closed
        receiver.end()
        assert receiver.bodies == []
        assert receiver.budget.used_bytes == 0

    run(check)


def test_short_trailer_is_dropped(run):
    """The limit must not refuse a message with an ordinary trailer."""

    def check(receiver):
        receiver.receive(b"4\r\nxxxx\r\n")
        receiver.receive(b"0\r\nX-Trailer: value\r\n\r\n")
        assert receiver.bodies == [b"xxxx"]

    run(check)
