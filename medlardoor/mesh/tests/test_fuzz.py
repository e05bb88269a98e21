"""Generated input for connections and links."""

import asyncio

import hypothesis
from hypothesis import strategies
import pytest

from medlardoor.admission import buffers
from medlardoor.mesh import handlers, server_connection
from medlardoor.mesh.tests import (
    fuzzing,
    test_server_connection,
    test_upstream_connection,
)
from medlardoor.wire import frames
from medlardoor.wire.generated.medlardoor_messages import ttypes

BODY = strategies.binary(max_size=300)


def _chunked(body):
    if not body:
        return b"0\r\n\r\n"
    return b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)


def _framed(start, headers, body, is_chunked):
    if is_chunked:
        head = b"%b%bTransfer-Encoding: chunked\r\n\r\n" % (start, headers)
        return head + _chunked(body)
    return b"%b%bContent-Length: %d\r\n\r\n%b" % (
        start,
        headers,
        len(body),
        body,
    )


@strategies.composite
def answers(draw):
    """What an upstream sends for one request, and its body."""
    body = draw(BODY)
    interim = b"HTTP/1.1 100 Continue\r\n\r\n" * draw(strategies.integers(0, 2))
    return body, draw(strategies.booleans()), interim


@hypothesis.given(
    answers=strategies.lists(answers(), min_size=1, max_size=4),
    late=strategies.booleans(),
    changes=fuzzing.mutations,
    sizes=fuzzing.cuts,
)
@fuzzing.examples(150)
def test_answers_of_an_upstream(answers, late, changes, sizes):
    """Bytes of an upstream end a node, or reach the wrong request."""

    async def play():
        exchange = test_upstream_connection._Exchange()
        received = []
        exchange.events.answered = lambda _, answer: received.append(answer)
        for number, (body, is_chunked, interim) in enumerate(answers, 1):
            if number > 1:
                if not exchange.is_usable():
                    return
                exchange.send(b"id-%d" % number)
            header = b"X-Attempt: id-%d\r\n" % number
            data = interim + _framed(
                b"HTTP/1.1 200 OK\r\n", header, body, is_chunked
            )
            is_last = number == len(answers)
            if late and number > 1:
                earlier = b"X-Attempt: id-%d\r\n" % (number - 1)
                data = (
                    _framed(b"HTTP/1.1 200 OK\r\n", earlier, b"old", False)
                    + data
                )
            if is_last:
                data = fuzzing.mutate(data, changes)
            known = len(received)
            for part in fuzzing.split(data, sizes):
                exchange.receive(part)
            if is_last and changes:
                # What is taken for an answer names the request.
                for answer in received[known:]:
                    named = answer.header(b"x-attempt")
                    assert named == b"id-%d" % number or number == 1
            else:
                assert [a.body for a in received[known:]] == [body]
            assert len(exchange.events.breaks) <= 1
        exchange.connection.abort()
        assert exchange.buffers.used_bytes == 0

    asyncio.run(play())


@hypothesis.given(
    body=BODY, is_chunked=strategies.booleans(), data=strategies.data()
)
@fuzzing.examples(100)
def test_cut_answer_is_never_complete(body, is_chunked, data):
    """An answer that broke off reaches the caller as a success."""

    async def play():
        exchange = test_upstream_connection._Exchange()
        whole = _framed(
            b"HTTP/1.1 200 OK\r\n", b"X-Attempt: id-1\r\n", body, is_chunked
        )
        cut = data.draw(strategies.integers(0, len(whole) - 1))
        exchange.receive(whole[:cut])
        exchange.connection.eof_received()
        exchange.connection.connection_lost(None)
        assert exchange.events.answers == []
        assert len(exchange.events.breaks) == 1

    asyncio.run(play())


@strategies.composite
def requests(draw):
    """A valid request: its bytes, its method and its body."""
    method = draw(strategies.sampled_from([b"GET", b"POST"]))
    body = draw(BODY)
    start = b"%b /a/%d HTTP/1.1\r\n" % (method, draw(strategies.integers(0, 9)))
    headers = b"Host: x\r\nX-Id: 7\r\n"
    return _framed(start, headers, body, draw(strategies.booleans())), body


@hypothesis.given(
    sent=strategies.lists(requests(), min_size=1, max_size=6),
    changes=fuzzing.mutations,
    sizes=fuzzing.cuts,
    order=strategies.randoms(use_true_random=False),
)
@fuzzing.examples(150)
def test_requests_of_a_caller(sent, changes, sizes, order):
    """Bytes of a caller end a node, or answers change their places."""

    async def play():
        client = test_server_connection._Client()
        data = fuzzing.mutate(b"".join(one for one, _ in sent), changes)
        replies = client.handler.replies
        numbered = 0
        for part in fuzzing.split(data, sizes):
            client.send(part)
            if replies and order.random() < 0.3:
                reply = replies.pop(order.randrange(len(replies)))
                reply(handlers.Response(200, b"", b"<%d>" % numbered))
                numbered += 1
        for _ in range(2 * len(sent)):
            while replies:
                reply = replies.pop(order.randrange(len(replies)))
                reply(handlers.Response(200, b"", b"ok"))
            # Requests that wait for those before start in the next turn.
            await asyncio.sleep(0)
        if not changes:
            bodies = [r.body for r in client.handler.requests]
            assert bodies == [body for _, body in sent]
            assert client.transport.written.count(b"HTTP/1.1 200") == len(sent)
        client.connection.connection_lost(None)
        assert client.buffers.used_bytes == 0

    asyncio.run(play())


@hypothesis.given(
    numbers=strategies.lists(strategies.integers(0, 1_000), max_size=4),
    body=BODY,
    changes=fuzzing.mutations,
    sizes=fuzzing.cuts,
)
@fuzzing.examples(150)
def test_frames_of_a_peer(numbers, body, changes, sizes):
    """Bytes of another node raise in the reader of its frames."""
    sent = [
        ttypes.Frame(answer=ttypes.RunAnswer(id=number, body=body))
        for number in numbers
    ]
    data = b"".join(frames.encode_frame(frame) for frame in sent)
    reader = frames.FrameReader(10_000)
    received = []
    for part in fuzzing.split(fuzzing.mutate(data, changes), sizes):
        taken = reader.feed(part)
        if taken.is_err():
            return
        received += taken.ok_value
    if not changes:
        assert [frame.answer.id for frame in received] == numbers


@pytest.mark.parametrize("size", [1, 1_000, 100_000])
def test_budget_ends_where_it_began(size):
    """Bytes are given back twice, or never."""
    budget = buffers.BufferBudget(2 * size)
    assert budget.try_take_request(size, 0)
    budget.release(size)
    assert budget.used_bytes == 0


def test_limits_of_a_connection_hold_for_generated_input():
    """A pipeline grows past its bound in one part of input."""

    async def play():
        client = test_server_connection._Client()
        one = test_server_connection.GET
        client.send(one * 3 * server_connection.MAX_PIPELINED_REQUESTS)
        assert client.transport.paused

    asyncio.run(play())
