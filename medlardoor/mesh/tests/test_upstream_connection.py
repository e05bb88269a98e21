"""Tests of response parsing on a connection with a fake transport."""

import asyncio

import pytest

from medlardoor.admission import buffers
from medlardoor.mesh import response_origin, settings, upstream_connection
from medlardoor.mesh.tests import group

BreakReason = upstream_connection.BreakReason

_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Seal: s\r\n\r\nabc"


class _Transport:
    def __init__(self):
        self.written = b""
        self.aborted = False
        self.unsent = 0

    def write(self, data):
        self.written += data

    def abort(self):
        self.aborted = True

    def get_write_buffer_size(self):
        return self.unsent


class _Events(upstream_connection.ConnectionEvents):
    def __init__(self):
        self.answers = []
        self.breaks = []

    def response_received(self, connection, response):
        self.answers.append(response)

    def exchange_broken(self, connection, reason):
        self.breaks.append(reason)


class _Exchange:
    """One connection with a request in progress."""

    def __init__(self):
        self.transport = _Transport()
        self.events = _Events()
        self.buffers = buffers.BufferBudget(1_000_000)
        self.connection = upstream_connection.UpstreamConnection(
            settings.UpstreamSettings(),
            response_origin.ResponseMarks(group.HEADERS),
            self.buffers,
        )
        self.connection.connection_made(self.transport)
        self.send(b"id-1")

    def send(self, attempt_id, has_no_body=False):
        self.connection.send(b"request", attempt_id, has_no_body, self.events)

    def receive(self, data):
        self.connection.data_received(data)

    def is_usable(self):
        now = asyncio.get_running_loop().time()
        return self.connection.is_usable(10.0, now)


@pytest.fixture
def run():
    """Returns a function that runs a check inside an event loop."""

    def runner(check):
        async def main():
            check(_Exchange())

        asyncio.run(main())

    return runner


def _response(attempt_id=b"id-1", body=b"done", extra=b""):
    return (
        b"HTTP/1.1 200 OK\r\nX-Attempt: %b\r\nX-Seal: s\r\n"
        b"%bContent-Length: %d\r\n\r\n%b" % (attempt_id, extra, len(body), body)
    )


def test_whole_answer_keeps_the_connection(run):
    """A connection must be reused after a complete response."""

    def check(exchange):
        exchange.receive(_response()[:30])
        assert exchange.events.answers == []
        exchange.receive(_response()[30:])
        assert exchange.events.answers[0].body == b"done"
        assert exchange.is_usable()

    run(check)


def test_cut_answer_is_not_complete(run):
    """A truncated response must not be reported as complete."""

    def check(exchange):
        exchange.receive(_response()[:-1])
        exchange.connection.connection_lost(None)
        assert exchange.events.answers == []
        assert exchange.events.breaks == [BreakReason.CLOSED]

    run(check)


def test_answer_without_length_ends_with_the_connection(run):
    """The end of the stream completes a response without a length."""

    def check(exchange):
        exchange.receive(_WITHOUT_LENGTH)
        assert exchange.events.answers == []
        exchange.connection.eof_received()
        assert exchange.events.answers[0].body == b"abc"
        assert not exchange.is_usable()

    run(check)


def test_reset_answer_without_length_is_not_complete(run):
    """A reset must not complete a response without a length."""

    def check(exchange):
        exchange.receive(_WITHOUT_LENGTH)
        exchange.connection.connection_lost(ConnectionResetError())
        assert exchange.events.answers == []
        assert exchange.events.breaks == [BreakReason.RESET]

    run(check)


def test_late_extra_answer_is_skipped(run):
    """A duplicate response to an earlier request must not be reported."""

    def check(exchange):
        exchange.receive(_response())
        exchange.send(b"id-2")
        exchange.receive(
            _response(b"id-1", b"old") + _response(b"id-2", b"new")
        )
        assert [a.body for a in exchange.events.answers] == [b"done", b"new"]
        assert not exchange.is_usable()

    run(check)


def test_answer_without_identifier_on_used_connection_is_no_answer(run):
    """A response without an identifier could be a duplicate response."""

    def check(exchange):
        exchange.receive(_response())
        exchange.send(b"id-2")
        exchange.receive(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        assert len(exchange.events.answers) == 1
        assert exchange.events.breaks == [BreakReason.NO_IDENTIFIER]

    run(check)


def test_bytes_without_request_close_the_connection(run):
    """Surplus bytes must not be parsed as the next response."""

    def check(exchange):
        exchange.receive(_response())
        exchange.receive(b"HTTP/1.1 200 OK\r\n")
        assert exchange.transport.aborted
        assert not exchange.is_usable()

    run(check)


def test_bytes_that_are_no_answer_break(run):
    """Data that is not HTTP must not be reported as a response."""

    def check(exchange):
        exchange.receive(b"\x00\x01garbage\r\n\r\n")
        assert exchange.events.answers == []
        assert len(exchange.events.breaks) == 1

    run(check)


def test_interim_answer_is_skipped(run):
    """An interim response must not be reported as the final one."""

    def check(exchange):
        exchange.receive(b"HTTP/1.1 100 Continue\r\n\r\n" + _response())
        assert [a.status for a in exchange.events.answers] == [200]

    run(check)


def test_early_answer_does_not_reuse_the_connection(run):
    """An upstream would parse the rest of a body as the next request."""

    def check(exchange):
        exchange.transport.unsent = 10
        exchange.receive(_response())
        assert len(exchange.events.answers) == 1
        assert not exchange.is_usable()

    run(check)


def test_announced_timeout_is_kept(run):
    """A request must not be sent on a connection about to be closed."""

    def check(exchange):
        exchange.receive(_response(extra=b"Keep-Alive: timeout=2\r\n"))
        now = asyncio.get_running_loop().time()
        assert exchange.connection.is_usable(10.0, now + 0.9)
        assert not exchange.connection.is_usable(10.0, now + 1.1)

    run(check)


def test_head_answer_has_no_body(run):
    """A response to HEAD is complete after its head."""

    def check(exchange):
        exchange.receive(_response())
        exchange.send(b"id-2", has_no_body=True)
        exchange.receive(
            b"HTTP/1.1 200 OK\r\nX-Attempt: id-2\r\nX-Seal: s\r\n"
            b"Content-Length: 9\r\n\r\n"
        )
        assert exchange.events.answers[1].body == b""

    run(check)


@pytest.mark.parametrize(
    "part",
    [
        b"X-Filler: " + b"a" * 990 + b"\r\n",
        b"a" * 1_000,
        b"HTTP/1.1 100 Continue\r\n\r\n",
    ],
    ids=["headers", "value", "interim answers"],
)
def test_head_without_end_closes_the_connection(run, part):
    """An endless response head must not fill the memory of the node."""

    def check(exchange):
        if not part.startswith(b"HTTP"):
            exchange.receive(b"HTTP/1.1 200 OK\r\nX-Start: ")
        for _ in range(200):
            if exchange.events.breaks:
                break
            exchange.receive(part)
        assert len(exchange.events.breaks) == 1
        assert exchange.transport.aborted
        assert exchange.events.answers == []

    run(check)


def _lines(count):
    return b"X: y\r\n" * count


def test_head_of_many_lines_closes_the_connection(run):
    """Heads of short lines took a node over its memory limit.

    Each line is an object, which takes many times the memory of its text.
    """

    def check(exchange):
        most = settings.UpstreamSettings().max_head_lines
        exchange.receive(b"HTTP/1.1 200 OK\r\n" + _lines(most))
        assert exchange.events.breaks == []
        assert exchange.buffers.used_bytes > 200 * (most - 50)
        # The parser reports a line when the next one begins.
        exchange.receive(_lines(2))
        assert exchange.events.breaks == [BreakReason.HEAD_TOO_LONG]
        assert exchange.transport.aborted
        assert exchange.buffers.used_bytes == 0

    run(check)


def test_lines_of_heads_are_bounded_for_the_node(run):
    """Many unfinished heads of allowed size filled the memory of the node."""

    def check(exchange):
        exchange.buffers.reserve_unchecked(900_000)
        exchange.receive(b"HTTP/1.1 200 OK\r\n" + _lines(400))
        assert exchange.events.breaks == []
        exchange.receive(_lines(400))
        assert exchange.events.breaks == [BreakReason.BUFFERS_FULL]
        assert exchange.buffers.used_bytes == 900_000

    run(check)


def test_response_with_many_lines_is_passed_on(run):
    """A limit on lines refused a response of a sound upstream."""

    def check(exchange):
        for number in range(1, 4):
            interim = b"HTTP/1.1 103 Early\r\n" + _lines(900) + b"\r\n"
            response = _response(b"id-%d" % number, extra=_lines(900))
            exchange.receive(interim + response)
            assert len(exchange.events.answers[-1].headers) == 903
            assert exchange.buffers.used_bytes == 0
            exchange.send(b"id-%d" % (number + 1))

    run(check)


def test_interim_answers_of_earlier_requests_do_not_count(run):
    """The limit of interim responses applies to each request separately."""

    def check(exchange):
        for number in range(40):
            exchange.receive(b"HTTP/1.1 100 Continue\r\n\r\n")
            exchange.receive(_response(b"id-%d" % (number + 1)))
            exchange.send(b"id-%d" % (number + 2))
        assert len(exchange.events.answers) == 40
        assert exchange.events.breaks == []

    run(check)


@pytest.mark.parametrize(
    "surplus",
    [b"no answer at all\r\n\r\n", _response(b"id-1", b"again"), b"HTTP/1.1 2"],
    ids=["garbage", "second answer", "partial answer"],
)
def test_surplus_after_an_answer_harms_no_other_request(run, surplus):
    """A connection with surplus bytes must not carry the next request."""

    def check(exchange):
        events = exchange.events
        usable = []
        events.response_received = lambda connection, response: (
            events.answers.append(response),
            usable.append(exchange.is_usable()),
        )
        exchange.receive(_response() + surplus)
        assert [a.body for a in events.answers] == [b"done"]
        assert events.breaks == []
        # Checked as the response is reported, before the next request.
        assert usable == [False]

    run(check)


def test_body_without_end_is_bounded_for_the_node(run):
    """Endless response bodies must not fill the memory of the node."""

    def check(exchange):
        exchange.buffers.reserve_unchecked(900_000)
        exchange.receive(_response(body=b"").replace(b": 0", b": 1000000"))
        exchange.receive(b"b" * 60_000)
        assert exchange.events.breaks == []
        exchange.receive(b"b" * 60_000)
        assert exchange.events.breaks == [BreakReason.BUFFERS_FULL]
        assert exchange.buffers.used_bytes == 900_000

    run(check)


def test_memory_of_an_answer_is_given_back(run):
    """Buffered bytes that are never released would block later responses."""

    def check(exchange):
        exchange.receive(_response(body=b"b" * 100))
        assert exchange.buffers.used_bytes == 0
        exchange.send(b"id-2")
        exchange.receive(_response(b"id-2", b"b" * 100)[:-10])
        assert exchange.buffers.used_bytes == 90
        exchange.connection.abort()
        assert exchange.buffers.used_bytes == 0

    run(check)
