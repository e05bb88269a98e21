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

# No new chain begins in these phases; a planned stop waits for the others.
_STOPPED_PHASES = (topics.Phase.REFUSING, topics.Phase.FINISHED)

# A directory read that takes longer than this leaves no time for the call.
DISCOVERY_WAIT_S = 2.0

Ended = result.Result[None, errors.Refusal]


@dataclasses.dataclass(slots=True)
class _Outgoing:
    """One outgoing call of the upstream."""

    service: str
    parent: calls.ActiveCall
    call: context.CallContext
    request: exchange.Request
    body: exchange.RequestBody
    reply: exchange.Reply


class EgressApp:
    """ASGI application on loopback for the local upstream.

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
        reply = exchange.Reply(send, self._answer_headers)
        prepared = self._prepare(request, body, reply)
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

    def _answer_headers(self) -> exchange.Headers:
        value = errors.Outcome.ANSWERED.value.encode()
        return [(problems.OUTCOME_HEADER, value)]

    def _prepare(
        self,
        request: exchange.Request,
        body: exchange.RequestBody,
        reply: exchange.Reply,
    ) -> result.Result[_Outgoing, errors.Refusal]:
        """Finds the parent of an outgoing call and makes its context."""
        host = (request.header(b"host") or b"").decode("latin-1")
        service = host.partition(":")[0]
        token = request.header(upstream_module.CALL_HEADER)
        if token is None:
            root = self._root(service, request)
            if root.is_err():
                return root
            parent = root.ok()
            call = parent.call
        else:
            found = self._node.registry.find(token.decode("latin-1"))
            if found is None:
                return result.Err(_unknown_token())
            parent = found
            call = self._child_call(parent, service, request)
        if call.depth > context.MAX_DEPTH:
            return result.Err(_too_deep())
        return result.Ok(_Outgoing(service, parent, call, request, body, reply))

    def _root(
        self, service: str, request: exchange.Request
    ) -> result.Result[calls.ActiveCall, errors.Refusal]:
        """A call that the upstream makes on its own account."""
        board = self._node.board
        if board.shutdown.phase in _STOPPED_PHASES:
            return result.Err(_leaving())
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

    def _child_call(
        self,
        parent: calls.ActiveCall,
        service: str,
        request: exchange.Request,
    ) -> context.CallContext:
        now = anyio.current_time()
        deadline = parent.call.deadline
        asked_s = arrival.parse_grpc_timeout(request)
        if asked_s is not None:
            deadline = min(deadline, now + asked_s)
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

    async def _run_as_child(self, outgoing: _Outgoing) -> Ended:
        """Runs the call and notes its outcome at its parent.

        Raises:
            exchange.CallerGone: If the upstream closed the connection.
            exchange.TruncatedAnswer: If a started answer ended early.
        """
        parent = outgoing.parent
        # Without an answer the call may have been dispatched all the same.
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

    async def _run(self, outgoing: _Outgoing) -> Ended:
        with anyio.CancelScope(deadline=outgoing.call.deadline):
            return await exchange.run_while_connected(
                outgoing.body,
                functools.partial(self._attempts, outgoing),
                self._node.tasks,
            )
        if outgoing.reply.started:
            raise exchange.TruncatedAnswer("deadline")
        return result.Err(
            errors.Refusal(
                errors.Outcome.UNKNOWN,
                errors.Reason.DEADLINE_EXCEEDED,
                "The time limit of the call has passed.",
            )
        )

    async def _attempts(self, outgoing: _Outgoing) -> Ended:
        """Sends the call until it ends or no retry is left."""
        node = self._node
        await outgoing.body.read_prefix()
        await self._discover(outgoing.service)
        node.throttle.record_first_attempt()
        tried: set[str] = set()
        in_doubt = False
        while True:
            picked = node.nodes.pick(
                outgoing.service, outgoing.call, tried, anyio.current_time()
            )
            if picked.is_err():
                return _with_doubt(picked.err(), in_doubt)
            member = picked.ok()
            tried.add(member.instance)
            ended = await self._attempt(outgoing, member)
            if ended.is_ok() or outgoing.reply.started:
                return ended
            refusal = ended.err()
            in_doubt |= refusal.outcome is errors.Outcome.UNKNOWN
            delay_s = self._retry_delay(outgoing, refusal, tried)
            if delay_s is None:
                return _with_doubt(refusal, in_doubt)
            await anyio.sleep(delay_s)

    async def _attempt(self, outgoing: _Outgoing, member) -> Ended:
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
        self, outgoing: _Outgoing, refusal: errors.Refusal, tried: set[str]
    ) -> float | None:
        """Time to wait before the next attempt, or None to give up."""
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
        """Waits until members of a service are known, for a bounded time."""
        if service == self._node.board.service:
            return
        if self._node.board.membership.services.get(service):
            return
        with anyio.move_on_after(DISCOVERY_WAIT_S):
            await self._node.discover(service)


def _with_doubt(refusal: errors.Refusal, in_doubt: bool) -> Ended:
    """An earlier attempt of unknown outcome makes the whole call unknown."""
    if in_doubt:
        refusal = dataclasses.replace(refusal, outcome=errors.Outcome.UNKNOWN)
    return result.Err(refusal)


def _unknown_token() -> errors.Refusal:
    return errors.Refusal(
        errors.Outcome.NOT_RUN,
        errors.Reason.INVALID_REQUEST,
        "The Medlardoor-Call header names no call in progress.",
    )


def _leaving() -> errors.Refusal:
    return errors.Refusal(
        errors.Outcome.NOT_RUN,
        errors.Reason.LEAVING,
        "This node is shutting down.",
        RETRY_AFTER_MS,
    )


def _too_deep() -> errors.Refusal:
    return errors.Refusal(
        errors.Outcome.NOT_RUN,
        errors.Reason.DEPTH_EXCEEDED,
        f"The chain is more than {context.MAX_DEPTH} calls deep.",
    )
