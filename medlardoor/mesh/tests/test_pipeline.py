"""Tests of several requests on one connection, and of the room for bodies."""

import asyncio

import pytest

from medlardoor.mesh import server_connection
from medlardoor.mesh.tests import test_server_connection

GET = test_server_connection.GET


@pytest.fixture
def run():
    """Runs a test function inside of an event loop."""

    def runner(check):
        async def main():
            await check(test_server_connection._Client())

        asyncio.run(main())

    return runner


POST = (
    b"POST /order HTTP/1.1\r\nHost: x\r\nX-Id: 8\r\nContent-Length: 2\r\n\r\nab"
)


def test_slow_request_does_not_hold_up_those_behind(run):
    """Requests sent without waiting run one after the other."""

    async def check(client):
        client.send(GET * 3)
        assert len(client.handler.requests) == 3

    run(check)


def test_request_that_must_not_run_twice_waits_for_those_before(run):
    """An order runs and is sent again, as one that counts as not read."""

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


def test_request_behind_a_closing_answer_is_never_passed_on(run):
    """An order behind an answer that closes the connection runs."""

    async def check(client):
        client.send(GET + POST)
        client.reply(close=True)
        await asyncio.sleep(0)
        assert client.transport.closed
        assert len(client.handler.requests) == 1
        assert client.transport.written.count(b"HTTP/1.1 200") == 1

    run(check)


def test_request_behind_the_last_one_is_never_passed_on(run):
    """A request behind one with "Connection: close" runs."""

    async def check(client):
        last = GET.replace(b"X-Id: 7", b"Connection: close")
        client.send(last + GET)
        assert len(client.handler.requests) == 1
        client.reply()
        assert client.transport.closed

    run(check)


def test_stop_answers_what_runs_and_starts_nothing_behind(run):
    """A planned stop cuts requests that run beside others."""

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


def test_caller_that_leaves_cancels_all(run):
    """Requests that run beside others go on for a caller that has gone."""

    async def check(client):
        client.send(GET * 2 + POST)
        client.connection.connection_lost(None)
        assert len(client.handler.cancelled) == 2
        assert len(client.handler.requests) == 2

    run(check)


def test_malformed_request_does_not_cost_those_before(run):
    """Good requests get no answer because of input behind them."""

    async def check(client):
        client.send(GET * 2 + b"NONSENSE\r\n\r\n" + GET)
        assert len(client.handler.requests) == 2
        client.reply(body=b"first")
        client.reply(body=b"second")
        written = client.transport.written
        assert written.index(b"second") < written.index(b"HTTP/1.1 400")
        assert client.transport.closed

    run(check)


def test_number_of_unanswered_requests_is_bounded(run):
    """One connection fills the memory with requests."""

    async def check(client):
        client.send(GET * server_connection.MAX_PIPELINED_REQUESTS)
        assert client.transport.paused
        for _ in range(server_connection.MAX_PIPELINED_REQUESTS):
            client.reply()
        assert not client.transport.paused

    run(check)


def test_body_without_room_is_refused_at_once(run):
    """A node takes more bodies than fit into its memory."""

    async def check(client):
        client.buffers.take(4_000)
        now = asyncio.get_running_loop().time()
        client.send(
            b"POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
            b"Content-Length: 2000\r\n\r\n"
        )
        assert b" 503 " in client.transport.written
        assert b" 100 " not in client.transport.written
        assert client.transport.ended
        # What is still under way must not reset the connection.
        assert not client.transport.closed
        client.send(b"b" * 2_000 + GET)
        assert client.handler.requests == []
        client.connection.check_timeouts(
            now + server_connection.REFUSAL_LINGER_S + 1.0
        )
        assert client.transport.closed
        assert client.buffers.used_bytes == 4_000

    run(check)


def test_memory_of_a_body_is_given_back(run):
    """A node refuses for ever because bodies are counted for ever."""

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
