"""Listener for the outgoing calls of the local upstream."""

import dataclasses
import functools
import secrets

import anyio
import logbook
import result

from medlardoor import errors, logs
from medlardoor.blackboard import topics
from medlardoor.calls import arrival, context, exchange, problems
from medlardoor.node import parts
from medlardoor.node.serving import calls, sending
from medlardoor.node.upstream import upstream as upstream_module
from medlardoor.retries import budget as budget_module
from medlardoor.retries import policy as retry_policy

__all__ = ["EgressApp"]

_LOG = logbook.Logger("medlardoor.egress")

RETRY_AFTER_MS = 1_000

# Methods that are idempotent by RFC 9110, section 9.2.2.
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})

# No new chain starts in these phases; the planned stop waits for existing ones.
_PHASES_WITHOUT_NEW_CHAINS = (topics.Phase.REFUSING, topics.Phase.FINISHED)

# A longer directory read would leave no time for the call itself.
DISCOVERY_TIMEOUT_S = 2.0

Ended = result.Result[None, errors.Refusal]


@dataclasses.dataclass(slots=True)
class _OutgoingCall:
    """One outgoing call of the upstream."""

    service: str
    parent: calls.ActiveCall
    call: context.CallContext
    request: exchange.Request
    body: exchange.RequestBody
    reply: exchange.Reply


class EgressApp:
    """ASGI application for outgoing calls, reachable on loopback only.

    Args:
        node: Parts of this node.
    """

    def __init__(self, node: parts.NodeParts):
        self._node = node

    async def __call__(self, scope, receive, send) -> None:
        """Handles one outgoing call."""
        if scope["type"] != "http":
            return
        request = exchange.Request.from_scope(scope)
        body = exchange.RequestBody(receive)
        reply = exchange.Reply(send, self._response_headers)
        prepared = self._prepare_call(request, body, reply)
        if prepared.is_err():
            await problems.send_problem(reply, prepared.err())
            return
        outgoing = prepared.ok()
        try:
            ended = await self._run_as_child(outgoing)
        except exchange.CallerGone:
            return
        if ended.is_ok():
            return
        refusal = ended.err()
        call = outgoing.call
        logs.log_event(
            _LOG,
            logbook.INFO,
            "outgoing_call_refused",
            chain_id=call.chain_id.hex(),
            kind=call.kind,
            service=outgoing.service,
            outcome=refusal.outcome.value,
            reason=refusal.reason.value,
        )
        await problems.send_problem(reply, refusal, call.chain_id, call.kind)

    def _response_headers(self) -> exchange.Headers:
        value = errors.Outcome.ANSWERED.value.encode()
        return [(problems.OUTCOME_HEADER, value)]

    def _prepare_call(
        self,
        request: exchange.Request,
        body: exchange.RequestBody,
        reply: exchange.Reply,
    ) -> result.Result[_OutgoingCall, errors.Refusal]:
        """Finds the parent of an outgoing call and builds its context."""
        host = (request.header(b"host") or b"").decode("latin-1")
        service = host.partition(":")[0]
        token = request.header(upstream_module.CALL_HEADER)
        if token is None:
            root = self._start_chain(service, request)
            if root.is_err():
                return root
            parent = root.ok()
            call = parent.call
        else:
            found = self._node.registry.find(token.decode("latin-1"))
            if found is None:
                return result.Err(_unknown_token_refusal())
            parent = found
            call = self._child_context(parent, service, request)
        if call.depth > context.MAX_DEPTH:
            return result.Err(_depth_exceeded_refusal())
        return result.Ok(
            _OutgoingCall(service, parent, call, request, body, reply)
        )

    def _start_chain(
        self, service: str, request: exchange.Request
    ) -> result.Result[calls.ActiveCall, errors.Refusal]:
        """Starts a chain for a call that belongs to no request in flight."""
        board = self._node.board
        if board.shutdown.phase in _PHASES_WITHOUT_NEW_CHAINS:
            return result.Err(_shutting_down_refusal())
        refusal = arrival.refusal_before_arrival(
            self._node.adoption, has_key=False
        )
        if refusal is not None:
            return result.Err(refusal)
        arrived = arrival.new_call(
            board.policy.policy,
            service,
            request,
            self._node.registry.new_call_id(),
            anyio.current_time(),
            board.policy.version,
        )
        if arrived.is_err():
            return arrived
        call = dataclasses.replace(arrived.ok(), key="")
        budget = budget_module.RetryBudget(call.budget)
        return result.Ok(calls.ActiveCall(call, budget))

    def _child_context(
        self,
        parent: calls.ActiveCall,
        service: str,
        request: exchange.Request,
    ) -> context.CallContext:
        now = anyio.current_time()
        deadline = parent.call.deadline
        requested_timeout_s = arrival.parse_grpc_timeout(request)
        if requested_timeout_s is not None:
            deadline = min(deadline, now + requested_timeout_s)
        return dataclasses.replace(
            parent.call,
            call_id=secrets.randbits(62),
            deadline=deadline,
            idempotent=self._is_idempotent(service, request),
            depth=parent.call.depth + 1,
            key="",
            handed_over=False,
            document_version=self._node.board.policy.version,
        )

    def _is_idempotent(self, service: str, request: exchange.Request) -> bool:
        policy = self._node.board.policy.policy
        if policy is not None:
            kind = policy.kind_for(service, request.method, request.path)
            if kind is not None:
                return kind.idempotent
        return request.method in _IDEMPOTENT_METHODS

    async def _run_as_child(self, outgoing: _OutgoingCall) -> Ended:
        """Runs the call and records its outcome at its parent.

        Raises:
            exchange.CallerGone: If the upstream closed the connection.
            exchange.TruncatedAnswer: If a started response ended early.
        """
        parent = outgoing.parent
        # If the call ends in an exception, it may still have been dispatched.
        outcome = errors.Outcome.UNKNOWN
        parent.begin_child(anyio.current_time())
        try:
            ended = await self._run(outgoing)
            outcome = errors.Outcome.ANSWERED
            if ended.is_err():
                outcome = ended.err().outcome
            return ended
        finally:
            parent.end_child(outcome, anyio.current_time())

    async def _run(self, outgoing: _OutgoingCall) -> Ended:
        with anyio.CancelScope(deadline=outgoing.call.deadline):
            return await exchange.run_while_connected(
                outgoing.body,
                functools.partial(self._send_with_retries, outgoing),
                self._node.tasks,
            )
        if outgoing.reply.started:
            raise exchange.TruncatedAnswer("deadline")
        return result.Err(
            errors.Refusal(
                errors.Outcome.UNKNOWN,
                errors.Reason.DEADLINE_EXCEEDED,
                "The deadline of the call has passed.",
            )
        )

    async def _send_with_retries(self, outgoing: _OutgoingCall) -> Ended:
        """Sends the call and retries it while retries are allowed."""
        node = self._node
        await outgoing.body.read_prefix()
        await self._discover(outgoing.service)
        node.throttle.record_first_attempt()
        tried: set[str] = set()
        may_have_run = False
        while True:
            picked = node.nodes.pick(
                outgoing.service, outgoing.call, tried, anyio.current_time()
            )
            if picked.is_err():
                return _refusal_of_attempts(picked.err(), may_have_run)
            member = picked.ok()
            tried.add(member.instance)
            ended = await self._send_attempt(outgoing, member)
            if ended.is_ok() or outgoing.reply.started:
                return ended
            refusal = ended.err()
            may_have_run |= refusal.outcome is errors.Outcome.UNKNOWN
            delay_s = self._retry_delay(outgoing, refusal, tried)
            if delay_s is None:
                return _refusal_of_attempts(refusal, may_have_run)
            await anyio.sleep(delay_s)

    async def _send_attempt(self, outgoing: _OutgoingCall, member) -> Ended:
        attempt = sending.Attempt(
            outgoing.service,
            member,
            outgoing.call,
            outgoing.request,
            outgoing.body,
            outgoing.reply,
        )
        return await sending.send_attempt(self._node, outgoing.parent, attempt)

    def _retry_delay(
        self, outgoing: _OutgoingCall, refusal: errors.Refusal, tried: set[str]
    ) -> float | None:
        """Returns the delay before the next attempt, or None to stop."""
        if not outgoing.body.replayable:
            return None
        membership = self._node.board.membership
        if outgoing.service == self._node.board.service:
            members = membership.members
        else:
            members = membership.services.get(outgoing.service, {})
        decision = self._node.retries.decide(
            outgoing.call,
            refusal,
            outgoing.parent.budget,
            [m for name, m in members.items() if name not in tried],
            anyio.current_time(),
        )
        if isinstance(decision, retry_policy.Retry):
            return decision.delay_s
        return None

    async def _discover(self, service: str) -> None:
        """Waits for members of a service, at most `DISCOVERY_TIMEOUT_S`."""
        if service == self._node.board.service:
            return
        if self._node.board.membership.services.get(service):
            return
        with anyio.move_on_after(DISCOVERY_TIMEOUT_S):
            await self._node.discover(service)


def _refusal_of_attempts(refusal: errors.Refusal, may_have_run: bool) -> Ended:
    """Reports an unknown outcome if an earlier attempt may have run."""
    if may_have_run:
        refusal = dataclasses.replace(refusal, outcome=errors.Outcome.UNKNOWN)
    return result.Err(refusal)


def _unknown_token_refusal() -> errors.Refusal:
    return errors.Refusal(
        errors.Outcome.NOT_RUN,
        errors.Reason.INVALID_REQUEST,
        "The token in the Medlardoor-Call header belongs to no call in "
        "progress.",
    )


def _shutting_down_refusal() -> errors.Refusal:
    return errors.Refusal(
        errors.Outcome.NOT_RUN,
        errors.Reason.LEAVING,
        "This node is shutting down.",
        RETRY_AFTER_MS,
    )


def _depth_exceeded_refusal() -> errors.Refusal:
    return errors.Refusal(
        errors.Outcome.NOT_RUN,
        errors.Reason.DEPTH_EXCEEDED,
        f"The call chain is deeper than {context.MAX_DEPTH} calls.",
    )
