"""Sends calls to other nodes and relays their responses."""

import contextlib

import anyio
import result

from medlardoor import errors
from medlardoor.admission import levels
from medlardoor.blackboard import topics
from medlardoor.calls import arrival, context, exchange
from medlardoor.config import models
from medlardoor.node.transport import transport as transport_module
from medlardoor.wire import authentication, codec
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = [
    "CONTEXT_HEADER",
    "RESULT_HEADER",
    "Forwarder",
    "decode_context_header",
    "encode_context_header",
    "discard_body",
    "relay",
    "encode_result_header",
]

# Maximum values of the fields of a context. Returning the unspent retries of a
# budget in the millions would take the node seconds.
_MAX_VALUES = {
    "rank": models.MAX_CLASSES - 1,
    "level": models.MAX_CLASSES * levels.LEVELS_PER_RANK - 1,
    "deadline_ms": models.MAX_TIMEOUT_MS,
    "max_wait_ms": models.MAX_TIMEOUT_MS,
    "budget": models.MAX_RETRY_BUDGET,
    "depth": context.MAX_DEPTH,
    "document_version": 2**63 - 1,
}

CONTEXT_HEADER = b"medlardoor-context"
RESULT_HEADER = b"medlardoor-result"


def encode_context_header(
    call: context.CallContext, key: authentication.ClusterKey, now: float
) -> bytes:
    """Encodes a call context; the deadline is sent as remaining time."""
    return codec.encode_header(
        ttypes.CallContext(
            chain_id=call.chain_id,
            call_id=call.call_id,
            team=call.team,
            kind=call.kind,
            rank=call.rank,
            level=call.level,
            deadline_ms=max(0, int((call.deadline - now) * 1_000)),
            budget=call.budget,
            idempotent=call.idempotent,
            depth=call.depth,
            key=call.key,
            document_version=call.document_version,
            handed_over=call.handed_over,
            entry_service=call.entry_service,
            max_wait_ms=int(call.max_wait_s * 1_000),
        ),
        key,
    )


def decode_context_header(
    value: bytes, key: authentication.ClusterKey, call_id: int, now: float
) -> result.Result[context.CallContext, codec.MalformedMessage]:
    """Decodes a call context received by this node.

    Args:
        value: Value of the context header.
        key: Key that authenticates it.
        call_id: Identifier of the call in this node.
        now: Current time, in seconds.

    Returns:
        The context, or `MalformedMessage` if the value is not authentic or a
        field is missing or out of range.
    """
    decoded = codec.decode_header(ttypes.CallContext, value, key)
    if decoded.is_err():
        return decoded
    struct = decoded.ok()
    error = _find_invalid_field(struct)
    if error is not None:
        return result.Err(codec.MalformedMessage(error))
    return result.Ok(
        context.CallContext(
            chain_id=struct.chain_id,
            call_id=call_id,
            team=struct.team or "",
            kind=struct.kind,
            rank=struct.rank or 0,
            level=struct.level,
            deadline=now + struct.deadline_ms / 1_000,
            budget=max(0, struct.budget or 0),
            idempotent=bool(struct.idempotent),
            max_wait_s=(struct.max_wait_ms or 0) / 1_000,
            depth=struct.depth or 0,
            key=struct.key or "",
            document_version=struct.document_version or 0,
            handed_over=bool(struct.handed_over),
            entry_service=struct.entry_service or "",
        )
    )


def _find_invalid_field(struct: ttypes.CallContext) -> str | None:
    """Returns a description of the first invalid field, or None."""
    required = (struct.chain_id, struct.kind, struct.level, struct.deadline_ms)
    if any(field is None for field in required):
        return "chain_id, kind, level and deadline_ms are required"
    if len(struct.chain_id) != arrival.CHAIN_ID_BYTES:
        return (
            f"chain_id must have {arrival.CHAIN_ID_BYTES} bytes, "
            f"got {len(struct.chain_id)}"
        )
    for name, max_value in _MAX_VALUES.items():
        value = getattr(struct, name)
        if value is not None and not 0 <= value <= max_value:
            return f"{name} must be from 0 to {max_value}, got {value}"
    texts = (struct.team, struct.kind, struct.key, struct.entry_service)
    # The decoder replaces invalid UTF-8 with this character.
    if any("\ufffd" in (text or "") for text in texts):
        return "team, kind, key and entry_service must be valid UTF-8"
    return None


def encode_result_header(
    call_result: context.CallResult, key: authentication.ClusterKey
) -> bytes:
    """Encodes the result that a node reports with its response."""
    return codec.encode_header(
        ttypes.CallResult(
            outcome=call_result.outcome,
            reason=call_result.reason,
            unspent_budget=call_result.unspent_budget,
            path_level=call_result.path_level,
            document_version=call_result.document_version,
            retry_after_ms=call_result.retry_after_ms,
            next_key=call_result.next_key,
        ),
        key,
    )


def _decode_result_header(
    value: bytes | None, key: authentication.ClusterKey
) -> context.CallResult | None:
    if value is None:
        return None
    decoded = codec.decode_header(ttypes.CallResult, value, key)
    if decoded.is_err():
        return None
    struct = decoded.ok()
    if struct.outcome not in {item.value for item in errors.Outcome}:
        return None
    return context.CallResult(
        outcome=struct.outcome,
        reason=struct.reason or "",
        unspent_budget=max(0, struct.unspent_budget or 0),
        path_level=struct.path_level or 0,
        document_version=struct.document_version or 0,
        retry_after_ms=struct.retry_after_ms or 0,
        next_key=struct.next_key or "",
    )


async def relay(
    response: transport_module.Response, reply: exchange.Reply
) -> None:
    """Relays a response to the caller.

    Raises:
        exchange.TruncatedAnswer: If the response ended early.
    """
    await reply.start_answer(
        response.status, exchange.without_hop_headers(response.headers)
    )
    async for chunk in response.chunks():
        if chunk:
            await reply.write(chunk)
    await reply.end()


async def discard_body(response: transport_module.Response) -> None:
    """Reads and discards a body so that the connection can be reused.

    Truncation is ignored, because the headers of a refusal contain all of it.
    """
    with contextlib.suppress(exchange.TruncatedAnswer):
        async for _ in response.chunks():
            pass


class Forwarder:
    """Sends a call to one node and relays the response.

    Args:
        transport: Connections to other nodes.
        key: Key that authenticates contexts and results.
        connect_timeout_s: Time limit for a new connection, in seconds.
    """

    def __init__(
        self,
        transport: transport_module.Transport,
        key: authentication.ClusterKey,
        connect_timeout_s: float = 1.0,
    ):
        self._transport = transport
        self._key = key
        self._connect_timeout_s = connect_timeout_s

    async def send(
        self,
        member: topics.Member,
        call: context.CallContext,
        request: exchange.Request,
        body: exchange.RequestBody,
        reply: exchange.Reply,
    ) -> tuple[
        context.CallResult | None,
        result.Result[None, errors.Refusal],
    ]:
        """Sends a call and relays the response of the upstream, if any.

        Args:
            member: Node to send to.
            call: Context to send, with the retry budget reserved for this
                attempt.
            request: Head of the request.
            body: Body of the request; must be replayable.
            reply: Receives the response, if there is one.

        Returns:
            The result that the other node reported (None if no valid result
            was received), and `Ok` if a response was relayed, else the
            refusal.
        """
        outgoing = transport_module.OutgoingRequest(
            method=request.method,
            target=request.target,
            headers=[
                *exchange.without_hop_headers(request.headers),
                *_transfer_encoding_headers(request),
                (
                    CONTEXT_HEADER,
                    encode_context_header(
                        call, self._key, anyio.current_time()
                    ),
                ),
            ],
            body=body.chunks() if request.framing_headers else b"",
        )
        sent = await self._transport.send(
            transport_module.Address(member.host, member.peer_port),
            outgoing,
            self._connect_timeout_s,
        )
        if sent.is_err():
            return None, result.Err(_transport_refusal(sent.err()))
        response = sent.ok()
        try:
            return await self._handle_response(response, reply)
        finally:
            await response.aclose()

    async def _handle_response(
        self, response: transport_module.Response, reply: exchange.Reply
    ) -> tuple[
        context.CallResult | None,
        result.Result[None, errors.Refusal],
    ]:
        report = _decode_result_header(
            exchange.header_value(response.headers, RESULT_HEADER), self._key
        )
        if report is None:
            refusal = errors.Refusal(
                errors.Outcome.UNKNOWN,
                errors.Reason.NODE_UNREACHABLE,
                "The other node sent a response without a valid result header.",
            )
            return None, result.Err(refusal)
        if report.outcome == errors.Outcome.ANSWERED.value:
            await relay(response, reply)
            return report, result.Ok(None)
        await discard_body(response)
        return report, result.Err(_reported_refusal(report))


def _transfer_encoding_headers(request: exchange.Request) -> exchange.Headers:
    return [
        header
        for header in request.framing_headers
        if header[0] == b"transfer-encoding"
    ]


def _transport_refusal(
    failure: transport_module.TransportFailure,
) -> errors.Refusal:
    outcome = (
        errors.Outcome.UNKNOWN if failure.dispatched else errors.Outcome.NOT_RUN
    )
    return errors.Refusal(
        outcome, errors.Reason.NODE_UNREACHABLE, failure.message
    )


def _reported_refusal(report: context.CallResult) -> errors.Refusal:
    try:
        reason = errors.Reason(report.reason)
    except ValueError:
        reason = errors.Reason.UPSTREAM_FAILED
    return errors.Refusal(
        errors.Outcome(report.outcome),
        reason,
        "",
        report.retry_after_ms,
        report.unspent_budget,
        report.next_key,
    )
