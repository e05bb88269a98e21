"""Turns requests of outside callers into calls with a context."""

import dataclasses
import re
import secrets

import result

from medlardoor import errors
from medlardoor.admission import levels
from medlardoor.adoption import controller as adoption_controller
from medlardoor.calls import context, exchange
from medlardoor.config import policy as policy_module

__all__ = ["chain_id_of", "new_call", "refusal_before_arrival", "timeout_of"]

_TRACE_PARENT = re.compile(rb"^[0-9a-f]{2}-([0-9a-f]{32})-[0-9a-f]{16}-")
_GRPC_TIMEOUT = re.compile(rb"^(\d{1,8})([HMSmun])$")
_UNIT_S = {
    b"H": 3_600.0,
    b"M": 60.0,
    b"S": 1.0,
    b"m": 1e-3,
    b"u": 1e-6,
    b"n": 1e-9,
}
CHAIN_ID_BYTES = 16
# A node gets its document within seconds once it has contact again.
RETRY_AFTER_MS = 2_000


def chain_id_of(request: exchange.Request) -> bytes:
    """Trace id of the ``traceparent`` header, or a new random identifier."""
    value = request.header(b"traceparent")
    match = _TRACE_PARENT.match(value) if value else None
    if match is None:
        return secrets.token_bytes(CHAIN_ID_BYTES)
    return bytes.fromhex(match.group(1).decode())


def timeout_of(request: exchange.Request) -> float | None:
    """Time limit of the ``grpc-timeout`` header in seconds, or None.

    References:
        gRPC over HTTP/2, "Timeout".
    """
    value = request.header(b"grpc-timeout")
    match = _GRPC_TIMEOUT.match(value) if value else None
    if match is None:
        return None
    return int(match.group(1)) * _UNIT_S[match.group(2)]


def refusal_before_arrival(
    adoption: adoption_controller.AdoptionController, keyed: bool
) -> errors.Refusal | None:
    """Refusal if this node must not serve at all at the moment.

    Args:
        adoption: Knows whether a document is in force.
        keyed: Whether the request has an idempotency key; an earlier attempt
            may then have run elsewhere.
    """
    refusal = adoption.refusal()
    if refusal is None:
        return None
    outcome = errors.Outcome.UNKNOWN if keyed else refusal.outcome
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
    """Context of a request that enters the graph here.

    Args:
        policy: Policy in force.
        service: Service that the request enters at.
        request: Head of the request.
        call_id: Identifier of the call in this node.
        now: Current time, in seconds.
        document_version: Version of the policy.
    """
    kind = policy.kind_for(service, request.method, request.path)
    if kind is None:
        return result.Err(
            errors.Refusal(
                errors.Outcome.NOT_RUN,
                errors.Reason.UNKNOWN_KIND,
                f"No kind of {service} matches {request.method} "
                f"{request.path[:100]}.",
            )
        )
    timeout_s = kind.timeout_ms / 1_000
    asked_s = timeout_of(request)
    if asked_s is not None:
        timeout_s = min(timeout_s, asked_s)
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
