"""Creates the call context of requests that enter the graph."""

import dataclasses
import re
import secrets

import result

from medlardoor import errors
from medlardoor.admission import levels
from medlardoor.adoption import controller as adoption_controller
from medlardoor.calls import context, exchange
from medlardoor.config import policy as policy_module

__all__ = [
    "chain_id_of",
    "new_call",
    "refusal_before_arrival",
    "parse_grpc_timeout",
]

_TRACE_PARENT = re.compile(rb"^[0-9a-f]{2}-([0-9a-f]{32})-[0-9a-f]{16}-")
_GRPC_TIMEOUT = re.compile(rb"^(\d{1,8})([HMSmun])$")
_SECONDS_PER_UNIT = {
    b"H": 3_600.0,
    b"M": 60.0,
    b"S": 1.0,
    b"m": 1e-3,
    b"u": 1e-6,
    b"n": 1e-9,
}
CHAIN_ID_BYTES = 16
# A node receives the document within seconds after it reconnects.
RETRY_AFTER_MS = 2_000


def chain_id_of(request: exchange.Request) -> bytes:
    """Returns the trace id of the ``traceparent`` header, or a random id."""
    value = request.header(b"traceparent")
    match = _TRACE_PARENT.match(value) if value else None
    if match is None:
        return secrets.token_bytes(CHAIN_ID_BYTES)
    return bytes.fromhex(match.group(1).decode())


def parse_grpc_timeout(request: exchange.Request) -> float | None:
    """Returns the timeout of the ``grpc-timeout`` header, in seconds.

    Returns:
        The timeout, or None without a valid header.

    References:
        gRPC over HTTP/2, "Timeout".
    """
    value = request.header(b"grpc-timeout")
    match = _GRPC_TIMEOUT.match(value) if value else None
    if match is None:
        return None
    return int(match.group(1)) * _SECONDS_PER_UNIT[match.group(2)]


def refusal_before_arrival(
    adoption: adoption_controller.AdoptionController, has_key: bool
) -> errors.Refusal | None:
    """Returns a refusal while this node must not serve any request.

    Args:
        adoption: Controller that decides whether the node may serve.
        has_key: Whether the request has an idempotency key. An earlier
            attempt may then have run on another node, so the outcome is
            unknown.

    Returns:
        The refusal, or None if the node may serve.
    """
    refusal = adoption.refusal()
    if refusal is None:
        return None
    outcome = errors.Outcome.UNKNOWN if has_key else refusal.outcome
    return dataclasses.replace(
        refusal, outcome=outcome, retry_after_ms=RETRY_AFTER_MS
    )


def new_call(
    policy: policy_module.Policy,
    service: str,
    request: exchange.Request,
    call_id: int,
    now: float,
    document_version: int,
) -> result.Result[context.CallContext, errors.Refusal]:
    """Creates the context of a request that enters the graph at this node.

    Args:
        policy: Policy in force.
        service: Service that the request enters at.
        request: Method, target and headers of the request.
        call_id: Identifier of the call in this node.
        now: Current time, in seconds.
        document_version: Version of the policy.

    Returns:
        The context, or a refusal if no kind matches the request.
    """
    kind = policy.kind_for(service, request.method, request.path)
    if kind is None:
        return result.Err(
            errors.Refusal(
                errors.Outcome.NOT_RUN,
                errors.Reason.UNKNOWN_KIND,
                f"No kind of request of {service} matches {request.method} "
                f"{request.path[:100]}.",
            )
        )
    timeout_s = kind.timeout_ms / 1_000
    requested_timeout_s = parse_grpc_timeout(request)
    if requested_timeout_s is not None:
        timeout_s = min(timeout_s, requested_timeout_s)
    chain_id = chain_id_of(request)
    key = request.header(b"idempotency-key") or b""
    return result.Ok(
        context.CallContext(
            chain_id=chain_id,
            call_id=call_id,
            team=kind.team,
            kind=kind.name,
            rank=kind.rank,
            level=levels.level_of(kind.rank, chain_id),
            deadline=now + timeout_s,
            budget=kind.retry_budget,
            idempotent=kind.idempotent,
            max_wait_s=kind.max_wait_ms / 1_000,
            key=key.decode("latin-1"),
            document_version=document_version,
            entry_service=service,
        )
    )
