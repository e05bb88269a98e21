"""Runs calls on the local upstream or hands them to a peer."""

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

MAX_HANDOVERS = 2

# Refusals before anything was dispatched, which a peer may not share.
_HANDOVER_REASONS = frozenset(
    {
        errors.Reason.OVERLOAD,
        errors.Reason.QUEUE_TIMEOUT,
        errors.Reason.UPSTREAM_UNAVAILABLE,
        errors.Reason.LEAVING,
    }
)
_LOAD_REASONS = frozenset({errors.Reason.OVERLOAD, errors.Reason.QUEUE_TIMEOUT})

# The upstream did not take the request, which is a sign of its load.
_SHED_REASONS = frozenset(
    {errors.Reason.UPSTREAM_SHED, errors.Reason.UPSTREAM_UNAVAILABLE}
)

Ended = result.Result[None, errors.Refusal]


@dataclasses.dataclass(slots=True)
class Work:
    """One request with all that is needed to run it.

    Attributes:
        active: The call and its budget.
        request: Head of the request.
        body: Body of the request.
        reply: Receives the answer.
        dispatched: Whether anything was sent to an upstream or a peer.
        fingerprint: Identity of the request for crash attribution.
    """

    active: calls.ActiveCall
    request: exchange.Request
    body: exchange.RequestBody
    reply: exchange.Reply
    dispatched: bool = False
    fingerprint: bytes = b""


class Executor:
    """Runs calls of the own service.

    Args:
        node: Parts of this node.
    """

    def __init__(self, node: parts.NodeParts):
        self._node = node
        self._suspect_lock = anyio.Lock()

    async def run(self, work: Work) -> Ended:
        """Runs a call here, or at a peer if this node cannot.

        The deadline of the call bounds everything. If the deadline passes
        after the answer had started, the answer is cut.

        Raises:
            exchange.TruncatedAnswer: If a started answer ended early.
            exchange.CallerGone: If the caller left while its body was read.
        """
        with anyio.CancelScope(deadline=work.active.call.deadline) as scope:
            ended = await self._run_or_hand_over(work)
        if not scope.cancelled_caught:
            return ended
        if work.reply.started:
            raise exchange.TruncatedAnswer("deadline")
        outcome = (
            errors.Outcome.UNKNOWN
            if work.dispatched
            else errors.Outcome.NOT_RUN
        )
        return result.Err(
            errors.Refusal(
                outcome,
                errors.Reason.DEADLINE_EXCEEDED,
                "The time limit of the request has passed.",
            )
        )

    async def _run_or_hand_over(self, work: Work) -> Ended:
        ended = await self._run_local(work)
        call = work.active.call
        if ended.is_ok() or call.handed_over or work.reply.started:
            return ended
        return await self._hand_over(work, ended.err())

    async def _run_local(self, work: Work) -> Ended:
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
            return await self._enter_and_dispatch(work)
        async with self._suspect_lock:
            check = self._check_quarantine(work)
            if isinstance(check, quarantine_controller.Quarantined):
                return result.Err(check.refusal)
            if isinstance(check, quarantine_controller.Suspect):
                return await self._enter_and_dispatch(work)
        # Another request of this kind has cleared the suspicion meanwhile.
        return await self._enter_and_dispatch(work)

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
                "The upstream of this node does not take requests.",
                self._retry_after_ms(),
            )
        if call.depth > 0 or call.handed_over:
            return None
        path_level = self._node.paths.level_for(call.kind, anyio.current_time())
        if call.level < path_level:
            return self._node.admission.refusal(call)
        return None

    async def _enter_and_dispatch(self, work: Work) -> Ended:
        node = self._node
        call = work.active.call
        entered = await node.gate.enter(call)
        if entered.is_err():
            return entered
        started_at = anyio.current_time()
        completion = admission_controller.Completion(
            0.0, errors.Outcome.UNKNOWN
        )
        node.registry.open(work.active)
        node.quarantine.started(call.call_id, work.fingerprint, started_at)
        try:
            work.dispatched = True
            ended = await node.upstream.run(
                work.active, work.request, work.body, work.reply
            )
            if ended.is_ok():
                completion = admission_controller.Completion(
                    ended.ok(),
                    errors.Outcome.ANSWERED,
                    child_wait_s=work.active.child_wait_s,
                )
                return result.Ok(None)
            # No child call may start once the outcome is decided.
            node.registry.close(work.active)
            refusal = await self._failed(work, ended.err())
            completion = admission_controller.Completion(
                anyio.current_time() - started_at,
                refusal.outcome,
                refusal.reason in _SHED_REASONS,
                work.active.child_wait_s,
            )
            return result.Err(refusal)
        finally:
            node.registry.close(work.active)
            self._note_finished(call, completion)
            node.gate.leave(call, completion)

    def _note_finished(
        self,
        call: context.CallContext,
        completion: admission_controller.Completion,
    ) -> None:
        """Tells peers if the run has cleared a suspect."""
        success = completion.outcome is errors.Outcome.ANSWERED
        update = self._node.quarantine.finished(
            call.call_id, success, anyio.current_time()
        )
        if update is not None:
            self._node.push_quarantine(ttypes.Message(quarantine_update=update))

    async def _failed(
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
        # The probe decides whether this was a crash while all calls that were
        # in flight are still known to the quarantine controller.
        await self._node.probe_upstream()
        if not failure.dispatched:
            work.dispatched = False
            return _not_run(
                errors.Reason.UPSTREAM_UNAVAILABLE,
                "The upstream refused the connection.",
                self._retry_after_ms(),
            )
        reason = errors.Reason.UPSTREAM_FAILED
        if not isinstance(
            self._check_quarantine(work), quarantine_controller.Allowed
        ):
            # No node retries this by itself: one request must not crash one
            # upstream after the other.
            reason = errors.Reason.UPSTREAM_CRASHED
        return errors.Refusal(errors.Outcome.UNKNOWN, reason, failure.message)

    async def _hand_over(self, work: Work, refusal: errors.Refusal) -> Ended:
        node = self._node
        call = work.active.call
        tried = {node.board.instance}
        # An earlier attempt of unknown outcome makes the whole call unknown.
        in_doubt = refusal.outcome is errors.Outcome.UNKNOWN
        for _ in range(MAX_HANDOVERS):
            # What was streamed to the upstream or a peer cannot be sent again.
            if not work.body.replayable:
                break
            if not self._may_hand_over(work, refusal, tried):
                break
            now = anyio.current_time()
            picked = node.nodes.pick(node.board.service, call, tried, now)
            if picked.is_err():
                break
            member = picked.ok()
            tried.add(member.instance)
            ended = await self._send_to_peer(work, member)
            if ended.is_ok() or work.reply.started:
                return ended
            refusal = ended.err()
            in_doubt |= refusal.outcome is errors.Outcome.UNKNOWN
            work.dispatched = in_doubt
            if in_doubt and not call.idempotent:
                break
        if in_doubt:
            refusal = dataclasses.replace(
                refusal, outcome=errors.Outcome.UNKNOWN
            )
        if refusal.reason in _LOAD_REASONS:
            node.admission.record_failed_forwarding(
                call.rank, anyio.current_time()
            )
        return result.Err(refusal)

    async def _send_to_peer(self, work: Work, member: topics.Member) -> Ended:
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

    def _may_hand_over(
        self, work: Work, refusal: errors.Refusal, tried: set[str]
    ) -> bool:
        call = work.active.call
        if refusal.outcome is errors.Outcome.NOT_RUN:
            if refusal.reason in _LOAD_REASONS:
                return call.rank > 0
            if refusal.reason in _HANDOVER_REASONS:
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
        """Between 0.5 and 1.5 s, so that callers do not return together."""
        return 500 + self._node.rng.randrange(1_000)


def _not_run(
    reason: errors.Reason, detail: str, retry_after_ms: int = 1_000
) -> errors.Refusal:
    return errors.Refusal(
        errors.Outcome.NOT_RUN, reason, detail, retry_after_ms
    )
