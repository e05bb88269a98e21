"""Tests of ASGI requests, bodies and responses."""

import anyio
import anyio.lowlevel
import pytest

from medlardoor.calls import exchange

TIMEOUT_S = 5.0


def run(function):
    async def bounded():
        with anyio.fail_after(TIMEOUT_S):
            await function()

    anyio.run(bounded)


class Connection:
    """ASGI channel that delivers messages, then waits for `disconnect`."""

    def __init__(self, *messages):
        self._messages = list(messages)
        self._disconnected = anyio.Event()
        self.received = 0
        self.sent = []

    def disconnect(self):
        self._disconnected.set()

    async def receive(self):
        self.received += 1
        if self._messages:
            return self._messages.pop(0)
        await self._disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(self, message):
        self.sent.append(message)


def part(body, more=False):
    return {"type": "http.request", "body": body, "more_body": more}


async def _run_while_connected(request_body, function):
    """Runs a function with a task group, as the node does."""
    failure = None
    async with anyio.create_task_group() as tasks:
        # Raised inside, the exception would be wrapped in an exception group.
        try:
            return await exchange.run_while_connected(
                request_body, function, tasks
            )
        except (exchange.CallerGone, exchange.TruncatedAnswer, ValueError) as e:
            failure = e
    raise failure


def test_value_of_a_call_that_never_waits():
    """A call that is refused immediately starts a watching task."""

    async def body():
        connection = Connection(part(b""))
        request_body = exchange.RequestBody(connection.receive)

        async def refuse():
            await request_body.read_prefix()
            return "refused"

        ended = await _run_while_connected(request_body, refuse)
        assert ended == "refused"
        await anyio.wait_all_tasks_blocked()
        assert connection.received == 1

    run(body)


def test_value_of_a_call_that_waits():
    """The return value is lost when the coroutine is stepped explicitly."""

    async def body():
        request_body = exchange.RequestBody(Connection(part(b"")).receive)

        async def work():
            await request_body.read_prefix()
            for _ in range(3):
                await anyio.lowlevel.checkpoint()
            return 7

        assert await _run_while_connected(request_body, work) == 7

    run(body)


def test_caller_that_disconnects():
    """A call continues after its caller disconnected."""

    async def body():
        connection = Connection(part(b""))
        request_body = exchange.RequestBody(connection.receive)
        ended = []

        async def work():
            await request_body.read_prefix()
            connection.disconnect()
            try:
                await anyio.sleep_forever()
            finally:
                ended.append("cancelled")

        with pytest.raises(exchange.CallerGone):
            await _run_while_connected(request_body, work)
        assert ended == ["cancelled"]

    run(body)


def test_caller_that_disconnects_while_the_body_is_read():
    """The watching task receives a part of the body instead of the call."""

    async def body():
        connection = Connection(part(b"a", True))
        request_body = exchange.RequestBody(connection.receive)
        connection.disconnect()
        with pytest.raises(exchange.CallerGone):
            await _run_while_connected(request_body, request_body.read_prefix)

    run(body)


@pytest.mark.parametrize("wait", [False, True])
@pytest.mark.parametrize("error", [exchange.TruncatedAnswer, ValueError])
def test_error_of_a_call(wait, error):
    """A truncated response or a defect is raised as another exception."""

    async def body():
        request_body = exchange.RequestBody(Connection(part(b"")).receive)

        async def work():
            if wait:
                await anyio.lowlevel.checkpoint()
            raise error("cut")

        with pytest.raises(error):
            await _run_while_connected(request_body, work)

    run(body)


def test_outer_deadline():
    """An outer deadline is reported as a disconnected caller."""

    async def body():
        request_body = exchange.RequestBody(Connection(part(b"")).receive)
        with anyio.move_on_after(0.01) as scope:
            await _run_while_connected(request_body, anyio.sleep_forever)
        assert scope.cancelled_caught

    run(body)


def test_no_watching_task_remains():
    """A watching task remains after its call and leaks memory."""

    async def body():
        connection = Connection(part(b""))
        request_body = exchange.RequestBody(connection.receive)

        async def work():
            await request_body.read_prefix()
            await anyio.lowlevel.checkpoint()

        await _run_while_connected(request_body, work)
        await anyio.wait_all_tasks_blocked()
        assert len(anyio.get_running_tasks()) == 1

    run(body)


def test_prefix_and_rest_of_a_body():
    """Data of a long body is lost between the prefix and the stream."""

    async def body():
        whole = [b"a" * 60_000, b"b" * 60_000, b"c" * 10]
        connection = Connection(
            part(whole[0], True), part(whole[1], True), part(whole[2])
        )
        request_body = exchange.RequestBody(connection.receive)
        assert await request_body.read_prefix() == whole[0] + whole[1]
        assert request_body.replayable
        chunks = [chunk async for chunk in request_body.chunks()]
        assert b"".join(chunks) == b"".join(whole)
        assert not request_body.replayable

    run(body)


def test_detached_reply():
    """A detached response is still sent."""

    async def body():
        connection = Connection()
        reply = exchange.Reply(connection.send)
        reply.capture(100)
        reply.detach()
        await reply.send_complete(200, [], b"whole")
        assert connection.sent == []
        assert reply.captured == b"whole"

    run(body)


def test_answer_over_the_capture_limit():
    """A truncated response is replayed as if it were complete."""

    async def body():
        reply = exchange.Reply(Connection().send)
        reply.capture(4)
        await reply.write(b"abc")
        await reply.write(b"de")
        assert reply.captured is None

    run(body)


@pytest.mark.parametrize("data", [b"", b"x"])
def test_whole_answer_ends(data):
    """The server waits for the end of a response that is complete."""

    async def body():
        connection = Connection()
        await exchange.Reply(connection.send).send_complete(503, [], data)
        last = connection.sent[-1]
        assert last["body"] == data and not last["more_body"]
        assert len(connection.sent) == 2

    run(body)


def test_internal_headers_are_dropped():
    """A caller sets the call context or the framing of the next hop."""
    headers = [
        (b"medlardoor-context", b"x"),
        (b"transfer-encoding", b"chunked"),
        (b"connection", b"close"),
        (b"accept", b"*/*"),
    ]
    assert exchange.without_hop_headers(headers) == [(b"accept", b"*/*")]
