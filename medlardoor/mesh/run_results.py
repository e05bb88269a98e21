"""Results of runs on the local upstream."""

import http

from medlardoor import errors
from medlardoor.admission import waiting
from medlardoor.mesh import (
    http_messages,
    response_origin,
    runs,
    upstream_connection,
)
from medlardoor.mesh import settings as settings_module

__all__ = ["from_response", "refusal"]

# Callers read these statuses as "not run". A response that bears one of them
# without rejecting the request must not be passed on, since it may have run.
_NOT_RUN_STATUSES = (
    http.HTTPStatus.REQUEST_TIMEOUT,
    http.HTTPStatus.TOO_MANY_REQUESTS,
    http.HTTPStatus.SERVICE_UNAVAILABLE,
)


def from_response(
    response: upstream_connection.UpstreamResponse,
    headers: settings_module.HeaderNames,
    marks: response_origin.ResponseMarks,
    queue: waiting.AdmissionQueue,
) -> runs.RunResult:
    """Converts a response of the upstream to a result.

    Args:
        response: The response.
        headers: Names of HTTP headers.
        marks: Tells whether the response rejects the request.
        queue: Queue of the upstream, whose state the result carries.
    """
    result = runs.RunResult(
        errors.Outcome.ANSWERED,
        status=response.status,
        offered=True,
        running=queue.running,
        waiting=queue.waiting,
        level=queue.level,
    )
    if marks.show_rejection(response.status, response.headers):
        result.outcome = errors.Outcome.NOT_RUN
        result.reason = errors.Reason.UPSTREAM_SHED
        return result
    denies_run = response.header(headers.not_run.lower()) is not None
    is_encoded = response.header(b"content-encoding") is not None
    if denies_run or is_encoded or response.status in _NOT_RUN_STATUSES:
        # A success cannot deny its run, and requests ask for no encoding.
        result.outcome = errors.Outcome.UNKNOWN
        result.reason = errors.Reason.UPSTREAM_FAILED
        return result
    dropped = http_messages.CONNECTION_HEADERS | {headers.load.lower()}
    result.headers = http_messages.encode_header_lines(
        [h for h in response.headers if h[0] not in dropped]
    )
    result.body = response.body
    return result


def refusal(
    reason: errors.Reason, queue: waiting.AdmissionQueue
) -> runs.RunResult:
    """Returns the result of a request that is not sent.

    Args:
        reason: Why it is not sent.
        queue: Queue of the upstream, whose state the result carries.
    """
    is_not_run = reason is not errors.Reason.KEY_IN_PROGRESS
    outcome = errors.Outcome.NOT_RUN if is_not_run else errors.Outcome.UNKNOWN
    return runs.RunResult(
        outcome,
        reason,
        running=queue.running,
        waiting=queue.waiting,
        level=queue.level,
    )
