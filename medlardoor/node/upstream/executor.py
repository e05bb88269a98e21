"""Runs calls on the local upstream or forwards them to a peer."""

import dataclasses

import anyio
import result

from medlardoor import errors
from medlardoor.admission import controller as admission_controller
from medlardoor.blackboard import topics
from medlardoor.calls import context, exchange
from medlardoor.node import parts
from medlardoor.node.serving import calls, sending
from medlardoor.node.transport import transport as transport_module
from medlardoor.quarantine import controller as quarantine_controller
from medlardoor.quarantine import fingerprints
from medlardoor.retries import policy as retry_policy
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["Executor", "Work"]

MAX_FORWARD_ATTEMPTS = 2

# Refusals before dispatch whose cause lies in this node or its upstream, so
# that a peer may still accept the call.
_FORWARDABLE_REASONS = frozenset(
    {
        errors.Reason.OVERLOAD,
        errors.Reason.QUEUE_TIMEOUT,
        errors.Reason.UPSTREAM_UNAVAILABLE,
        errors.Reason.LEAVING,
    }
)
_LOAD_REASONS = frozenset({errors.Reason.OVERLOAD, errors.Reason.QUEUE_TIMEOUT})

# The upstream refused the request or the connection because of its load.
_SHED_REASONS = frozenset(
    {errors.Reason.UPSTREAM_SHED, errors.Reason.UPSTREAM_UNAVAILABLE}
)

RunResult = result.Result[None, errors.Refusal]


@dataclasses.dataclass(slots=True)
class Work:
    """A request with the state of its execution.

    Attributes:
        active: The call and its retry budget.
        request: Head of the request.
        body: Body of the request.
        reply: Receives the response.
        dispatched: Whether the request was sent to an upstream or a peer that
            may have run it.
        fingerprint: Identity of the request for crash attribution.
    """

    active: calls.ActiveCall
    request: exchange.Request
    body: exchange.RequestBody
    reply: exchange.Reply
    dispatched: bool = False
    fingerprint: bytes = b""


class Executor:
    """Runs calls of the service of this node.

    Args:
        node: Parts of this node.
    """

    def __init__(self, node: parts.NodeParts):
        self._node = node
        self._suspect_lock = anyio.Lock()

    async def run(self, work: Work) -> RunResult:
        """Runs a call on the local upstream, or at a peer if it is refused.

        The deadline of the call covers queueing, execution and forwarding. A
        response that has started when the deadline passes is truncated.

        Raises:
            exchange.TruncatedAnswer: If a started response ended early.
            exchange.CallerGone: If the caller disconnected while its request
                body was read.
        """
        with anyio.CancelScope(deadline=work.active.call.deadline) as scope:
            run_result = await self._run_or_forward(work)
        if not scope.cancelled_caught:
            return run_result
        if work.reply.started:
            raise exchange.TruncatedAnswer(
                "response truncated at the deadline of the request"
            )
        outcome = (
            errors.Outcome.UNKNOWN
            if work.dispatched
            else errors.Outcome.NOT_RUN
        )
        return result.Err(
            errors.Refusal(
                outcome,
                errors.Reason.DEADLINE_EXCEEDED,
                "The deadline of the request has passed.",
            )
        )

    async def _run_or_forward(self, work: Work) -> RunResult:
        run_result = await self._run_local(work)
        call = work.active.call
        if run_result.is_ok() or call.handed_over or work.reply.started:
            return run_result
        return await self._forward_to_peers(work, run_result.err())

    async def _run_local(self, work: Work) -> RunResult:
        refusal = self._refusal_before_queue(work.active.call)
        if refusal is not None:
            return result.Err(refusal)
        call = work.active.call
        prefix = await work.body.read_prefix()
        work.fingerprint = fingerprints.fingerprint(
            call.kind,
            work.request.method,
            work.request.target.decode("latin-1"),
            prefix,
        )
        check = self._check_quarantine(work)
        if isinstance(check, quarantine_controller.Quarantined):
            return result.Err(check.refusal)
        if isinstance(check, quarantine_controller.Allowed):
            return await self._admit_and_dispatch(work)
        async with self._suspect_lock:
            check = self._check_quarantine(work)
            if isinstance(check, quarantine_controller.Quarantined):
                return result.Err(check.refusal)
            if isinstance(check, quarantine_controller.Suspect):
                return await self._admit_and_dispatch(work)
        # Another request with this fingerprint has cleared the suspicion while
        # this one waited for the lock.
        return await self._admit_and_dispatch(work)

    def _check_quarantine(
        self, work: Work
    ) -> (
        quarantine_controller.Allowed
        | quarantine_controller.Suspect
        | quarantine_controller.Quarantined
    ):
        return self._node.quarantine.check(
            work.fingerprint, anyio.current_time()
        )

    def _refusal_before_queue(
        self, call: context.CallContext
    ) -> errors.Refusal | None:
        board = self._node.board
        phase = board.shutdown.phase
        if phase is not topics.Phase.SERVING and (
            not call.handed_over or phase is not topics.Phase.FORWARDING
        ):
            return _not_run(
                errors.Reason.LEAVING, "This node is shutting down."
            )
        if board.load.upstream_state in (
            topics.UpstreamState.DOWN,
            topics.UpstreamState.DRAINING,
        ):
            return _not_run(
                errors.Reason.UPSTREAM_UNAVAILABLE,
                "The upstream of this node is down or draining.",
                self._retry_after_ms(),
            )
        if call.depth > 0 or call.handed_over:
            return None
        path_level = self._node.paths.level_for(call.kind, anyio.current_time())
        if call.level < path_level:
            return self._node.admission.refusal(call)
        return None

    async def _admit_and_dispatch(self, work: Work) -> RunResult:
        node = self._node
        call = work.active.call
        admitted = await node.gate.enter(call)
        if admitted.is_err():
            return admitted
        started_at = anyio.current_time()
        completion = admission_controller.Completion(
            0.0, errors.Outcome.UNKNOWN
        )
        node.registry.open(work.active)
        node.quarantine.started(call.call_id, work.fingerprint, started_at)
        try:
            work.dispatched = True
            run_result = await node.upstream.run(
                work.active, work.request, work.body, work.reply
            )
            if run_result.is_ok():
                completion = admission_controller.Completion(
                    run_result.ok(),
                    errors.Outcome.ANSWERED,
                    child_wait_s=work.active.child_wait_s,
                )
                return result.Ok(None)
            # No child call may start after the outcome has been decided.
            node.registry.close(work.active)
            refusal = await self._handle_failure(work, run_result.err())
            completion = admission_controller.Completion(
                anyio.current_time() - started_at,
                refusal.outcome,
                refusal.reason in _SHED_REASONS,
                work.active.child_wait_s,
            )
            return result.Err(refusal)
        finally:
            node.registry.close(work.active)
            self._record_finished(call, completion)
            node.gate.leave(call, completion)

    def _record_finished(
        self,
        call: context.CallContext,
        completion: admission_controller.Completion,
    ) -> None:
        """Records the end of a run; notifies peers of a cleared suspicion."""
        success = completion.outcome is errors.Outcome.ANSWERED
        update = self._node.quarantine.finished(
            call.call_id, success, anyio.current_time()
        )
        if update is not None:
            self._node.push_quarantine(ttypes.Message(quarantine_update=update))

    async def _handle_failure(
        self,
        work: Work,
        failure: errors.Refusal | transport_module.TransportFailure,
    ) -> errors.Refusal:
        if isinstance(failure, errors.Refusal):
            if work.active.may_have_children:
                return dataclasses.replace(
                    failure, outcome=errors.Outcome.UNKNOWN
                )
            return failure
        # The probe detects a crash of the upstream. It runs before the end of
        # this call is recorded, because the quarantine controller blames the
        # calls in flight.
        await self._node.probe_upstream()
        if not failure.dispatched:
            work.dispatched = False
            return _not_run(
                errors.Reason.UPSTREAM_UNAVAILABLE,
                "No connection to the upstream could be opened.",
                self._retry_after_ms(),
            )
        reason = errors.Reason.UPSTREAM_FAILED
        if not isinstance(
            self._check_quarantine(work), quarantine_controller.Allowed
        ):
            # Nodes do not retry calls with this reason, since the request could
            # crash one upstream after another.
            reason = errors.Reason.UPSTREAM_CRASHED
        return errors.Refusal(errors.Outcome.UNKNOWN, reason, failure.message)

    async def _forward_to_peers(
        self, work: Work, refusal: errors.Refusal
    ) -> RunResult:
        node = self._node
        call = work.active.call
        tried = {node.board.instance}
        # One attempt with an unknown outcome makes the call's outcome unknown.
        may_have_run = refusal.outcome is errors.Outcome.UNKNOWN
        for _ in range(MAX_FORWARD_ATTEMPTS):
            # A body that was streamed in an earlier attempt is not buffered and
            # cannot be sent again.
            if not work.body.replayable:
                break
            if not self._may_forward(work, refusal, tried):
                break
            now = anyio.current_time()
            picked = node.nodes.pick(node.board.service, call, tried, now)
            if picked.is_err():
                break
            member = picked.ok()
            tried.add(member.instance)
            run_result = await self._send_to_peer(work, member)
            if run_result.is_ok() or work.reply.started:
                return run_result
            refusal = run_result.err()
            may_have_run |= refusal.outcome is errors.Outcome.UNKNOWN
            work.dispatched = may_have_run
            if may_have_run and not call.idempotent:
                break
        if may_have_run:
            refusal = dataclasses.replace(
                refusal, outcome=errors.Outcome.UNKNOWN
            )
        if refusal.reason in _LOAD_REASONS:
            node.admission.record_failed_forwarding(
                call.rank, anyio.current_time()
            )
        return result.Err(refusal)

    async def _send_to_peer(
        self, work: Work, member: topics.Member
    ) -> RunResult:
        call = dataclasses.replace(work.active.call, handed_over=True)
        attempt = sending.Attempt(
            self._node.board.service,
            member,
            call,
            work.request,
            work.body,
            work.reply,
        )
        work.dispatched = True
        return await sending.send_attempt(self._node, work.active, attempt)

    def _may_forward(
        self, work: Work, refusal: errors.Refusal, tried: set[str]
    ) -> bool:
        call = work.active.call
        if refusal.outcome is errors.Outcome.NOT_RUN:
            if refusal.reason in _LOAD_REASONS:
                return call.rank > 0
            if refusal.reason in _FORWARDABLE_REASONS:
                return True
        now = anyio.current_time()
        members = self._node.board.membership.members.values()
        decision = self._node.retries.decide(
            call,
            refusal,
            work.active.budget,
            [m for m in members if m.instance not in tried],
            now,
        )
        return isinstance(decision, retry_policy.Retry)

    def _retry_after_ms(self) -> int:
        """Random delay of 0.5 to 1.5 s that spreads the retries of callers."""
        return 500 + self._node.rng.randrange(1_000)


def _not_run(
    reason: errors.Reason, detail: str, retry_after_ms: int = 1_000
) -> errors.Refusal:
    return errors.Refusal(
        errors.Outcome.NOT_RUN, reason, detail, retry_after_ms
    )
