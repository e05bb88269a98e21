"""Conversion between link messages and data classes, and validation."""

import ipaddress

from medlardoor import errors
from medlardoor.mesh import runs
from medlardoor.routing import placement
from medlardoor.store import versions
from medlardoor.wire import ranges
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = [
    "affects_usability",
    "from_call",
    "is_valid_status",
    "is_valid_address",
    "to_answer",
    "to_call",
    "to_result",
    "update_candidate",
]

_MAX_PORT = 65_535
_MAX_NAME_LENGTH = 128

# Outcomes and reasons by their values in messages.
_OUTCOMES = {outcome.value: outcome for outcome in errors.Outcome}
_REASONS = {reason.value: reason for reason in errors.Reason}


def to_call(run: runs.Run, call_id: int, now: float) -> ttypes.RunCall:
    """Converts a run to a message.

    Args:
        run: The run.
        call_id: Identifier of the call on its link.
        now: Current time, in seconds.
    """
    return ttypes.RunCall(
        id=call_id,
        attempt_id=run.attempt_id,
        method=run.method,
        target=run.target,
        headers=run.headers,
        body=run.body,
        time_left_ms=int((run.deadline - now) * 1_000),
        goal_left_ms=int((run.objective_deadline - now) * 1_000),
        level=run.level,
        idempotent=run.idempotent,
        service_name=run.service,
        repeated=run.repeated,
        nested=run.nested,
        team=run.team or None,
    )


def from_call(call: ttypes.RunCall, now: float) -> runs.Run:
    """Converts a message to a run.

    Args:
        call: The message.
        now: Arrival time of the message, in seconds.
    """
    return runs.Run(
        service=call.service_name or "",
        attempt_id=call.attempt_id or b"",
        method=call.method or b"",
        target=call.target or b"",
        headers=call.headers or b"",
        body=call.body or b"",
        deadline=now + (call.time_left_ms or 0) / 1_000,
        objective_deadline=now + (call.goal_left_ms or 0) / 1_000,
        level=call.level or 0,
        idempotent=bool(call.idempotent),
        repeated=bool(call.repeated),
        nested=bool(call.nested),
        team=call.team or b"",
    )


def to_answer(call_id: int, result: runs.RunResult) -> ttypes.RunAnswer:
    """Converts the result of a run to a message.

    Args:
        call_id: Identifier of the call on its link.
        result: The result.
    """
    answer = ttypes.RunAnswer(
        id=call_id,
        outcome=result.outcome.value,
        status=result.status,
        headers=result.headers,
        body=result.body,
        offered=result.offered,
        running=result.running,
        waiting=result.waiting,
        level=result.level,
        path_level=result.path_level,
        made_calls=result.made_calls,
        waited_ms=int(result.waited_s * 1_000),
        leaf_ms=int(result.leaf_slot_s * 1_000),
        time_percent=result.time_percent or None,
    )
    if result.reason is not None:
        answer.reason = result.reason.value
    return answer


def to_result(answer: ttypes.RunAnswer) -> runs.RunResult:
    """Converts a message to the result of a run.

    An unrecognized outcome counts as `Outcome.UNKNOWN`.
    """
    outcome = _OUTCOMES.get(answer.outcome, errors.Outcome.UNKNOWN)
    reason = _REASONS.get(answer.reason)
    if reason is None and outcome is not errors.Outcome.ANSWERED:
        reason = errors.Reason.UPSTREAM_FAILED
    return runs.RunResult(
        outcome=outcome,
        reason=reason,
        status=answer.status or 0,
        headers=answer.headers or b"",
        body=answer.body or b"",
        offered=bool(answer.offered),
        running=-1 if answer.running is None else answer.running,
        waiting=max(0, answer.waiting or 0),
        level=answer.level or 0,
        path_level=answer.path_level or 0,
        made_calls=bool(answer.made_calls),
        waited_s=max(0, answer.waited_ms or 0) / 1_000,
        leaf_slot_s=max(0, answer.leaf_ms or 0) / 1_000,
        time_percent=_valid_time_percent(answer.time_percent),
    )


def update_candidate(
    candidate: placement.Candidate, status: ttypes.NodeStatus, now: float
) -> None:
    """Updates a placement candidate from a status message.

    Args:
        candidate: The candidate for the upstream of the node.
        status: The status of the node.
        now: Arrival time of the status, in seconds.
    """
    candidate.failure_domain = status.failure_domain or ""
    candidate.limit = status.limit or 0
    candidate.reported_busy = (status.running or 0) + (status.waiting or 0)
    candidate.sent_since_report = 0
    candidate.cold_until = now + (status.cold_ms or 0) / 1_000
    candidate.level = status.level or 0
    candidate.level_updated_at = now
    candidate.service = status.service_name or ""
    candidate.set_time_percent(_valid_time_percent(status.time_percent), now)


def affects_usability(
    before: ttypes.NodeStatus, after: ttypes.NodeStatus
) -> bool:
    """Whether two statuses of a node differ in whether it can be called."""
    return (
        before.upstream_id != after.upstream_id
        or before.service_name != after.service_name
        or bool(before.leaving) != bool(after.leaving)
        or bool(before.limit) != bool(after.limit)
    )


def is_valid_status(status: ttypes.NodeStatus) -> bool:
    """Whether the sender's name and address and its versions are valid."""
    return (
        _is_valid_endpoint(status.instance, status.host, status.port)
        and 0 <= (status.document_revision or 0) <= versions.MAX_REVISION
        and versions.is_valid(status.document_stored or 0)
        and 0 <= (status.store_era or 0) <= versions.MAX_ERA
    )


def is_valid_address(address: ttypes.NodeAddress) -> bool:
    """Whether an address has a valid instance name, IP address and port."""
    return _is_valid_endpoint(address.instance, address.host, address.port)


def _valid_time_percent(time_percent: int | None) -> int:
    """Returns a processing time in percent; 0 if unknown or out of range."""
    return time_percent if ranges.is_time_percent(time_percent) else 0


def _is_valid_endpoint(
    instance: str | None, host: str | None, port: int | None
) -> bool:
    if not instance or len(instance) > _MAX_NAME_LENGTH:
        return False
    if port is None or not 0 < port <= _MAX_PORT:
        return False
    try:
        ipaddress.ip_address(host or "")
    except ValueError:
        return False
    return True
