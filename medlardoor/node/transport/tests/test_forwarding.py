"""Tests of `Forwarder` on a scripted transport."""

import anyio
import pytest
import result

from medlardoor import errors
from medlardoor.blackboard import topics
from medlardoor.calls import context, exchange
from medlardoor.node.transport import forwarding, transport
from medlardoor.wire import authentication

KEY = authentication.ClusterKey("only for these tests")
MEMBER = topics.Member("b-1", "b", 1, "p", "127.0.0.1", 9, 9, "a")
CALL = context.CallContext(
    chain_id=b"c" * 16,
    call_id=1,
    team="sales",
    kind="build_order",
    rank=3,
    level=400,
    deadline=110.0,
    budget=2,
    idempotent=False,
    max_wait_s=0.5,
    depth=4,
    key="k",
    document_version=7,
    entry_service="order",
)


class ScriptedResponse(transport.Response):
    def __init__(self, headers, chunks, is_truncated):
        self._headers = headers
        self._chunks = chunks
        self._is_truncated = is_truncated
        self.closed = False

    @property
    def status(self):
        return 200

    @property
    def headers(self):
        return self._headers

    async def chunks(self):
        for chunk in self._chunks:
            yield chunk
        if self._is_truncated:
            raise exchange.TruncatedAnswer("cut")

    async def aclose(self):
        self.closed = True


class ScriptedTransport(transport.Transport):
    def __init__(self, sent):
        self._sent = sent
        self.request = None

    async def send(self, address, request, connect_timeout_s):
        self.request = request
        return self._sent

    async def aclose(self):
        pass


def report(outcome, reason="", key=KEY):
    call_result = context.CallResult(outcome, reason, 1, 5, 7, 250)
    value = forwarding.encode_result_header(call_result, key)
    return [(forwarding.RESULT_HEADER, value), (b"x", b"1")]


def forward(sent):
    """Sends `CALL`; returns the result, the ASGI messages and the request."""
    messages = []
    ends = []
    client = ScriptedTransport(sent)

    async def keep(message):
        messages.append(message)

    async def body():
        async def receive():
            return {"type": "http.request", "body": b"", "more_body": False}

        request = exchange.Request("GET", "/x", b"/x", [(b"host", b"b")])
        ends.append(
            await forwarding.Forwarder(client, KEY).send(
                MEMBER,
                CALL,
                request,
                exchange.RequestBody(receive),
                exchange.Reply(keep),
            )
        )

    try:
        anyio.run(body)
    except exchange.TruncatedAnswer:
        ends.append(None)
    return ends[0], messages, client.request


def test_context_round_trip():
    """A context must have the same values after encoding and decoding.

    The deadline is relative to the clock of the receiving node.
    """
    value = forwarding.encode_context_header(CALL, KEY, 100.0)
    received = forwarding.decode_context_header(value, KEY, 1, 500.0).ok()
    assert received.deadline == 510.0
    received.deadline = CALL.deadline
    assert received == CALL


@pytest.mark.parametrize("value", [b"", b"x.y", b"\xff", b"a" * 9_000])
def test_forged_context(value):
    """A context that is not authentic must be rejected.

    Otherwise callers could set the importance of their own requests.
    """
    assert forwarding.decode_context_header(value, KEY, 1, 0.0).is_err()
    other = authentication.ClusterKey("another secret")
    forged = forwarding.encode_context_header(CALL, other, 0.0)
    assert forwarding.decode_context_header(forged, KEY, 1, 0.0).is_err()


def test_response_is_relayed():
    """A response must be relayed unchanged, without internal headers."""
    response = ScriptedResponse(report("answered"), [b"he", b"llo"], False)
    (call_result, ended), messages, request = forward(result.Ok(response))
    assert ended.is_ok() and call_result.unspent_budget == 1
    assert messages[0]["headers"] == [(b"x", b"1")]
    assert b"".join(m["body"] for m in messages[1:]) == b"hello"
    assert not messages[-1].get("more_body")
    assert response.closed
    assert exchange.header_value(request.headers, b"medlardoor-context")


def test_truncated_response_is_not_completed():
    """A truncated response must not be relayed as complete."""
    response = ScriptedResponse(report("answered"), [b"he"], True)
    ended, messages, _ = forward(result.Ok(response))
    assert ended is None and response.closed
    assert messages[-1]["more_body"]


def test_reported_refusal():
    """A refusal must keep its outcome, its reason and its retry delay."""
    response = ScriptedResponse(report("not-run", "overload"), [b"{}"], False)
    (_, ended), messages, _ = forward(result.Ok(response))
    refusal = ended.err()
    assert refusal.outcome is errors.Outcome.NOT_RUN
    assert refusal.reason is errors.Reason.OVERLOAD
    assert refusal.retry_after_ms == 250
    assert messages == []


@pytest.mark.parametrize(
    "headers",
    [[], report("not-run", key=authentication.ClusterKey("another"))],
)
def test_response_without_valid_result(headers):
    """Without an authentic result the outcome must be unknown.

    A response that no node sent must not prove that a request did not run.
    """
    response = ScriptedResponse(headers, [], False)
    (call_result, ended), _, _ = forward(result.Ok(response))
    assert call_result is None
    assert ended.err().outcome is errors.Outcome.UNKNOWN


@pytest.mark.parametrize("dispatched", [False, True])
def test_failed_connection(dispatched):
    """A request that may have been received must have an unknown outcome."""
    failure = transport.TransportFailure(dispatched, not dispatched, "X")
    (_, ended), _, _ = forward(result.Err(failure))
    unknown = ended.err().outcome is errors.Outcome.UNKNOWN
    assert unknown == dispatched
