"""Refusals as responses with problem details (RFC 9457)."""

import json
import math

from medlardoor import errors
from medlardoor.calls import exchange

__all__ = ["OUTCOME_HEADER", "problem_body", "send_problem", "status_of"]

OUTCOME_HEADER = b"medlardoor-outcome"
TYPE_PREFIX = "urn:medlardoor:reason:"

_UNAUTHORIZED = 401

_STATUS_BY_REASON = {
    errors.Reason.DEADLINE_EXCEEDED: 504,
    errors.Reason.UPSTREAM_FAILED: 502,
    errors.Reason.NODE_UNREACHABLE: 502,
    errors.Reason.QUARANTINED: 409,
    errors.Reason.KEY_REQUIRED: 428,
    errors.Reason.KEY_INVALID: 428,
    errors.Reason.KEY_RETIRED: 428,
    errors.Reason.KEY_EXPIRED: 409,
    errors.Reason.KEY_OWNER_LOST: 409,
    errors.Reason.KEY_IN_PROGRESS: 409,
    errors.Reason.KEY_MISMATCH: 422,
    errors.Reason.DEPTH_EXCEEDED: 508,
    errors.Reason.UNKNOWN_KIND: 404,
    errors.Reason.UNKNOWN_SERVICE: 404,
    errors.Reason.INVALID_REQUEST: 400,
    errors.Reason.CREDENTIALS_MISSING: _UNAUTHORIZED,
    errors.Reason.CREDENTIALS_INVALID: _UNAUTHORIZED,
}
DEFAULT_STATUS = 503


def status_of(refusal: errors.Refusal) -> int:
    """Returns the HTTP status of a refusal."""
    return _STATUS_BY_REASON.get(refusal.reason, DEFAULT_STATUS)


def problem_body(
    refusal: errors.Refusal, chain_id: bytes, kind: str, status: int = 0
) -> bytes:
    """Encodes the JSON body of a refusal.

    Args:
        refusal: Refusal to send.
        chain_id: Identifier of the chain.
        kind: Kind of request, or the empty string.
        status: HTTP status; 0 for the default status of the reason.
    """
    return json.dumps(
        {
            "type": TYPE_PREFIX + refusal.reason.value,
            "title": refusal.reason.value.replace("_", " ").capitalize(),
            "status": status or status_of(refusal),
            "detail": refusal.message,
            "outcome": refusal.outcome.value,
            "reason": refusal.reason.value,
            "retry_after_ms": refusal.retry_after_ms,
            "chain_id": chain_id.hex(),
            "kind": kind,
        }
    ).encode()


async def send_problem(
    reply: exchange.Reply,
    refusal: errors.Refusal,
    chain_id: bytes = b"",
    kind: str = "",
    extra_headers: exchange.Headers | None = None,
) -> None:
    """Sends a refusal as the response.

    Args:
        reply: Response that has not been started.
        refusal: Refusal to send.
        chain_id: Identifier of the chain.
        kind: Kind of request, or the empty string.
        extra_headers: Additional headers of the response.
    """
    headers = [
        *(extra_headers or []),
        (b"content-type", b"application/problem+json"),
        (OUTCOME_HEADER, refusal.outcome.value.encode()),
    ]
    if refusal.retry_after_ms > 0:
        seconds = math.ceil(refusal.retry_after_ms / 1_000)
        headers.append((b"retry-after", str(seconds).encode()))
    if status_of(refusal) == _UNAUTHORIZED:
        headers.append((b"www-authenticate", b"Bearer"))
    body = problem_body(refusal, chain_id, kind)
    await reply.send_complete(status_of(refusal), headers, body)
