"""Responses that the node sends in place of an upstream."""

from medlardoor import errors
from medlardoor.calls import problems
from medlardoor.mesh import handlers

__all__ = ["refusal_response"]

# A refusal that promises that the request has not run must have status 503, 404
# or 400, and a refusal without that promise must not have one of them.
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
TIMEOUT_STATUS = 504
MIN_SERVER_ERROR_STATUS = 500
NOT_FOUND_STATUS = 404
BAD_REQUEST_STATUS = 400

_STATUS_BY_REASON = {
    errors.Reason.UNKNOWN_KIND: NOT_FOUND_STATUS,
    errors.Reason.INVALID_REQUEST: BAD_REQUEST_STATUS,
}


def refusal_response(
    outcome: errors.Outcome,
    reason: errors.Reason,
    retry_after_s: float = 0.0,
) -> handlers.Response:
    """Returns the response to a request that got none from an upstream.

    Args:
        outcome: Whether the request may have run.
        reason: Why there is no response of an upstream.
        retry_after_s: Time after which the caller may retry, in seconds; 0 if
            it is unknown.
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
    if status == NOT_RUN_STATUS and retry_after_s > 0:
        headers += b"retry-after: %.3f\r\n" % retry_after_s
    body = problems.problem_body(refusal, b"", "", status)
    return handlers.Response(status, headers, body)
