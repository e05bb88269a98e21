"""Responses that the node sends in place of an upstream."""

from medlardoor import errors
from medlardoor.calls import problems
from medlardoor.mesh import handlers

__all__ = ["refusal_response"]

# A refusal that promises that the request has not run must have status 503 or a
# 4xx, and a refusal without that promise must not have one of them.
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
TIMEOUT_STATUS = 504
MIN_SERVER_ERROR_STATUS = 500
NOT_FOUND_STATUS = 404
BAD_REQUEST_STATUS = 400
UNAUTHORIZED_STATUS = 401
RATE_LIMITED_STATUS = 429

_STATUS_BY_REASON = {
    errors.Reason.UNKNOWN_KIND: NOT_FOUND_STATUS,
    errors.Reason.INVALID_REQUEST: BAD_REQUEST_STATUS,
    errors.Reason.CREDENTIALS_MISSING: UNAUTHORIZED_STATUS,
    errors.Reason.CREDENTIALS_INVALID: UNAUTHORIZED_STATUS,
    errors.Reason.RATE_LIMITED: RATE_LIMITED_STATUS,
}

# Statuses of refusals after which the same request may succeed later.
_TEMPORARY_STATUSES = frozenset({NOT_RUN_STATUS, RATE_LIMITED_STATUS})


def refusal_response(
    outcome: errors.Outcome,
    reason: errors.Reason,
    retry_after_s: float = 0.0,
    credential_scheme: bytes = b"",
) -> handlers.Response:
    """Returns the response to a request that got none from an upstream.

    Args:
        outcome: Whether the request may have run.
        reason: Why there is no response of an upstream.
        retry_after_s: Time after which the caller may retry, in seconds; 0 if
            it is unknown.
        credential_scheme: Authentication scheme that callers must use; given
            with a refusal of their credentials.
    """
    if outcome is errors.Outcome.NOT_RUN:
        status = _STATUS_BY_REASON.get(reason, NOT_RUN_STATUS)
    elif reason is errors.Reason.DEADLINE_EXCEEDED:
        status = TIMEOUT_STATUS
    else:
        status = UNKNOWN_STATUS
    refusal = errors.Refusal(
        outcome, reason, retry_after_ms=int(retry_after_s * 1_000)
    )
    headers = b"content-type: application/problem+json\r\n%b: %b\r\n" % (
        problems.OUTCOME_HEADER,
        outcome.value.encode(),
    )
    if status == UNAUTHORIZED_STATUS:
        headers += b"www-authenticate: %b\r\n" % credential_scheme
    if status in _TEMPORARY_STATUSES and retry_after_s > 0:
        headers += b"retry-after: %.3f\r\n" % retry_after_s
    body = problems.problem_body(refusal, b"", "", status)
    return handlers.Response(status, headers, body)
