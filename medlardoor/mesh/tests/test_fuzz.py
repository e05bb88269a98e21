"""Tests of connections and links with generated input."""

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
def responses(draw):
    """Draws a response: its body, whether it is chunked, interim responses."""
    body = draw(BODY)
    interim = b"HTTP/1.1 100 Continue\r\n\r\n" * draw(strategies.integers(0, 2))
    return body, draw(strategies.booleans()), interim


@hypothesis.given(
    sent_responses=strategies.lists(responses(), min_size=1, max_size=4),
    has_late_responses=strategies.booleans(),
    changes=fuzzing.mutations,
    sizes=fuzzing.part_sizes,
)
@fuzzing.examples(150)
def test_responses_of_an_upstream(
    sent_responses, has_late_responses, changes, sizes
):
    """Arbitrary bytes of an upstream neither raise nor mix up responses."""

    async def main():
        exchange = test_upstream_connection._Exchange()
        received = []
        exchange.events.response_received = lambda _, answer: received.append(
            answer
        )
        for number, (body, is_chunked, interim) in enumerate(sent_responses, 1):
            if number > 1:
                if not exchange.is_usable():
                    return
                exchange.send(b"id-%d" % number)
            header = b"X-Attempt: id-%d\r\nX-Seal: s\r\n" % number
            data = interim + _framed(
                b"HTTP/1.1 200 OK\r\n", header, body, is_chunked
            )
            is_last = number == len(sent_responses)
            if has_late_responses and number > 1:
                earlier = b"X-Attempt: id-%d\r\nX-Seal: s\r\n" % (number - 1)
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
                # Each accepted response carries the id of its request.
                for answer in received[known:]:
                    named = answer.header(b"x-attempt")
                    assert named == b"id-%d" % number or number == 1
                    is_sealed = answer.header(b"x-seal") is not None
                    assert is_sealed or not 200 <= answer.status < 300
            else:
                assert [a.body for a in received[known:]] == [body]
            assert len(exchange.events.breaks) <= 1
        exchange.connection.abort()
        assert exchange.buffers.used_bytes == 0

    asyncio.run(main())


@hypothesis.given(
    body=BODY, is_chunked=strategies.booleans(), data=strategies.data()
)
@fuzzing.examples(100)
def test_truncated_response_is_never_complete(body, is_chunked, data):
    """A truncated response is not taken for a complete one."""

    async def main():
        exchange = test_upstream_connection._Exchange()
        whole = _framed(
            b"HTTP/1.1 200 OK\r\n",
            b"X-Attempt: id-1\r\nX-Seal: s\r\n",
            body,
            is_chunked,
        )
        cut = data.draw(strategies.integers(0, len(whole) - 1))
        exchange.receive(whole[:cut])
        exchange.connection.eof_received()
        exchange.connection.connection_lost(None)
        assert exchange.events.answers == []
        assert len(exchange.events.breaks) == 1

    asyncio.run(main())


@strategies.composite
def requests(draw):
    """Draws a valid request: its bytes and its body."""
    method = draw(strategies.sampled_from([b"GET", b"POST"]))
    body = draw(BODY)
    start = b"%b /a/%d HTTP/1.1\r\n" % (method, draw(strategies.integers(0, 9)))
    headers = b"Host: x\r\nX-Id: 7\r\n"
    return _framed(start, headers, body, draw(strategies.booleans())), body


@hypothesis.given(
    sent=strategies.lists(requests(), min_size=1, max_size=6),
    changes=fuzzing.mutations,
    sizes=fuzzing.part_sizes,
    order=strategies.randoms(use_true_random=False),
)
@fuzzing.examples(150)
def test_requests_of_a_caller(sent, changes, sizes, order):
    """Arbitrary bytes of a caller neither raise nor reorder responses."""

    async def main():
        client = test_server_connection._Client()
        data = fuzzing.mutate(b"".join(request for request, _ in sent), changes)
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
            # Waiting requests start in the next iteration of the event loop.
            await asyncio.sleep(0)
        if not changes:
            bodies = [r.body for r in client.handler.requests]
            assert bodies == [body for _, body in sent]
            assert client.transport.written.count(b"HTTP/1.1 200") == len(sent)
        client.connection.connection_lost(None)
        assert client.buffers.used_bytes == 0

    asyncio.run(main())


@hypothesis.given(
    numbers=strategies.lists(strategies.integers(0, 1_000), max_size=4),
    body=BODY,
    changes=fuzzing.mutations,
    sizes=fuzzing.part_sizes,
)
@fuzzing.examples(150)
def test_frames_of_a_peer(numbers, body, changes, sizes):
    """Arbitrary bytes of another node raise nothing in the frame reader."""
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
def test_released_budget_is_empty(size):
    """Released bytes no longer count as used."""
    budget = buffers.BufferBudget(2 * size)
    assert budget.try_reserve_request(size, 0)
    budget.release(size)
    assert budget.used_bytes == 0


def test_pipeline_limit_holds_within_one_input():
    """Reading pauses after more requests than the limit arrive at once."""

    async def main():
        client = test_server_connection._Client()
        request = test_server_connection.GET
        client.send(request * 3 * server_connection.MAX_PIPELINED_REQUESTS)
        assert client.transport.paused

    asyncio.run(main())
