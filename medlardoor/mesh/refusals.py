"""Responses that are not the upstream's own."""

from medlardoor import errors
from medlardoor.calls import problems
from medlardoor.mesh import handlers

__all__ = ["refusal_response"]

# A promise that the request has not run needs one of these statuses, and they
# must not be sent otherwise.
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
TIMEOUT_STATUS = 504
SERVER_ERROR = 500
NOT_FOUND_STATUS = 404
BAD_REQUEST_STATUS = 400

_STATUS = {
    errors.Reason.UNKNOWN_KIND: NOT_FOUND_STATUS,
    errors.Reason.INVALID_REQUEST: BAD_REQUEST_STATUS,
}


def refusal_response(
    outcome: errors.Outcome,
    reason: errors.Reason,
    retry_after_s: float = 0.0,
) -> handlers.Response:
    """Makes the response of a request that got no answer of an upstream.

    Args:
        outcome: What is known about the run.
        reason: Why there is no answer.
        retry_after_s: When the caller may come back, in seconds; 0 if nothing
            is known.
    """
    if outcome is errors.Outcome.NOT_RUN:
        status = _STATUS.get(reason, NOT_RUN_STATUS)
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
