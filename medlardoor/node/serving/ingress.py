"""ASGI applications for calls from outside callers and other nodes."""

import functools
import json

import anyio
import logbook
import result

from medlardoor import errors, logs
from medlardoor.admission import levels
from medlardoor.blackboard import topics
from medlardoor.calls import access, arrival, context, exchange, problems
from medlardoor.node import parts
from medlardoor.node.serving import calls
from medlardoor.node.transport import forwarding
from medlardoor.node.upstream import executor, keyed, replays
from medlardoor.retries import budget as budget_module

__all__ = ["CallerApp", "PeerApp"]

KEYS_PATH = "/.medlardoor/keys"
NEXT_KEY_HEADER = b"idempotency-key-next"
KEY_HEADER = b"idempotency-key"
MAX_KEYS_BODY_BYTES = 256
KEYS_BODY_TIMEOUT_S = 5.0
FIRST_SERVER_ERROR_STATUS = 500
MAX_LOGGED_ID_BYTES = 128

_LOG = logbook.Logger("medlardoor.ingress")

_KEY_REASONS = frozenset(
    {errors.Reason.KEY_REQUIRED, errors.Reason.KEY_INVALID}
)


class _IngressApp:
    """Base class that runs calls and logs refusals."""

    def __init__(
        self,
        node: parts.NodeParts,
        runner: executor.Executor,
        keyed_calls: keyed.KeyedCalls,
    ):
        self._node = node
        self._runner = runner
        self._keyed_calls = keyed_calls

    def _is_shutting_down(self) -> bool:
        return self._node.board.shutdown.phase is not topics.Phase.SERVING

    async def _run(
        self, work: executor.Work, is_for_key_owner: bool
    ) -> result.Result[None, errors.Refusal]:
        """Runs the call; stops waiting for it if the caller disconnects.

        Args:
            work: Call to run.
            is_for_key_owner: Whether the call must run at the node that owns
                its idempotency key.

        Raises:
            exchange.CallerGone: If the caller closed the connection.
        """
        run = self._keyed_calls.run if is_for_key_owner else self._runner.run
        return await exchange.run_while_connected(
            work.body, functools.partial(run, work), self._node.tasks
        )

    def _log_refusal(
        self,
        call: context.CallContext,
        request: exchange.Request,
        refusal: errors.Refusal,
    ) -> None:
        request_id = request.header(b"x-request-id") or b""
        logs.log_event(
            _LOG,
            logbook.INFO,
            "call_refused",
            chain_id=call.chain_id.hex(),
            request_id=request_id[:MAX_LOGGED_ID_BYTES].decode("latin-1"),
            kind=call.kind,
            outcome=refusal.outcome.value,
            reason=refusal.reason.value,
        )


class CallerApp(_IngressApp):
    """ASGI application for outside callers."""

    async def __call__(self, scope, receive, send) -> None:
        """Handles one request."""
        if scope["type"] != "http":
            return
        request = exchange.Request.from_scope(scope)
        body = exchange.RequestBody(receive)
        if request.path == KEYS_PATH:
            await self._issue_keys(request, body, exchange.Reply(send))
            return
        reply = exchange.Reply(send, closing=self._is_shutting_down)
        try:
            await self._serve(request, body, reply)
        except exchange.CallerGone:
            return

    async def _serve(
        self,
        request: exchange.Request,
        body: exchange.RequestBody,
        reply: exchange.Reply,
    ) -> None:
        node = self._node
        board = node.board
        has_key = request.header(KEY_HEADER) is not None
        refusal = arrival.refusal_before_arrival(node.adoption, has_key)
        if refusal is not None:
            await problems.send_problem(reply, refusal)
            return
        started_at = anyio.current_time()
        arrived = arrival.new_call(
            board.policy.policy,
            board.service,
            request,
            node.registry.new_call_id(),
            started_at,
            board.policy.version,
        )
        if arrived.is_err():
            await problems.send_problem(reply, arrived.err())
            return
        call = arrived.ok()
        checked = access.check_key(board.policy.policy, call.team, request)
        if checked.is_err():
            self._log_refusal(call, request, checked.err())
            await problems.send_problem(
                reply, checked.err(), call.chain_id, call.kind
            )
            return
        request = checked.ok()
        reply.set_answer_headers(lambda: self._response_headers(call))
        self._evaluate_trial(call, request, started_at)
        ended = await self._run_call(call, request, body, reply)
        self._record_outcome(call, ended, reply, started_at)
        if ended.is_err():
            self._log_refusal(call, request, ended.err())
            await self._send_refusal(reply, ended.err(), call)

    def _record_outcome(
        self,
        call: context.CallContext,
        ended: result.Result[None, errors.Refusal],
        reply: exchange.Reply,
        started_at: float,
    ) -> None:
        """Records the outcome at the entry node, so that it counts once."""
        outcome = errors.Outcome.ANSWERED
        reason = None
        if ended.is_err():
            outcome = ended.err().outcome
            reason = ended.err().reason
        elif reply.status >= FIRST_SERVER_ERROR_STATUS:
            reason = errors.Reason.UPSTREAM_FAILED
        now = anyio.current_time()
        self._node.recorder.record(call, outcome, reason, now - started_at, now)

    async def _run_call(
        self,
        call: context.CallContext,
        request: exchange.Request,
        body: exchange.RequestBody,
        reply: exchange.Reply,
    ) -> result.Result[None, errors.Refusal]:
        active = calls.ActiveCall(call, budget_module.RetryBudget(call.budget))
        work = executor.Work(active, request, body, reply)
        if call.idempotent and self._node.keys.parse(call.key).is_err():
            # Idempotent calls need no key, and callers may send keys that no
            # node issued; these are ignored.
            call.key = ""
        if not call.key and not call.idempotent:
            return result.Err(
                errors.Refusal(
                    errors.Outcome.NOT_RUN,
                    errors.Reason.KEY_REQUIRED,
                    "Requests of this kind need an idempotency key issued by a "
                    "node; send the request again with the key in the "
                    "Idempotency-Key header of this response.",
                )
            )
        return await self._run(work, is_for_key_owner=bool(call.key))

    async def _send_refusal(
        self,
        reply: exchange.Reply,
        refusal: errors.Refusal,
        call: context.CallContext,
    ) -> None:
        headers: exchange.Headers = []
        if refusal.next_key:
            headers.append((KEY_HEADER, refusal.next_key.encode()))
        elif refusal.reason in _KEY_REASONS or not call.key:
            headers.append((KEY_HEADER, self._new_key()))
        await problems.send_problem(
            reply, refusal, call.chain_id, call.kind, headers
        )

    def _response_headers(self, call: context.CallContext) -> exchange.Headers:
        headers = [
            (problems.OUTCOME_HEADER, errors.Outcome.ANSWERED.value.encode())
        ]
        if not call.idempotent:
            headers.append((NEXT_KEY_HEADER, self._new_key()))
        return headers

    def _new_key(self) -> bytes:
        return self._node.keys.issue(1, anyio.current_time())[0].encode()

    def _evaluate_trial(
        self,
        call: context.CallContext,
        request: exchange.Request,
        now: float,
    ) -> None:
        """Records a refusal if the document on trial would refuse the call."""
        board = self._node.board
        if board.policy.trial is None:
            return
        trial_call = arrival.new_call(
            board.policy.trial, board.service, request, 0, now, 0
        )
        if trial_call.is_err():
            reason = trial_call.err().reason
        else:
            level = max(
                board.limits.effective_level,
                self._node.paths.level_for(call.kind, now),
            )
            trial_level = levels.level_of(trial_call.ok().rank, call.chain_id)
            if trial_level >= level:
                return
            reason = errors.Reason.OVERLOAD
        self._node.recorder.record_trial_refusal(call, reason, now)

    async def _issue_keys(
        self,
        request: exchange.Request,
        body: exchange.RequestBody,
        reply: exchange.Reply,
    ) -> None:
        data = None
        try:
            with anyio.move_on_after(KEYS_BODY_TIMEOUT_S):
                data = await body.read_prefix()
        except exchange.CallerGone:
            return
        count = None if data is None else _parse_key_count(data)
        if request.method != "POST" or count is None:
            refusal = errors.Refusal(
                errors.Outcome.NOT_RUN,
                errors.Reason.INVALID_REQUEST,
                'Expected POST with {"count": N}, N from 1 to 256, in at most '
                f"{MAX_KEYS_BODY_BYTES} bytes.",
            )
            await problems.send_problem(reply, refusal)
            return
        keys = self._node.keys.issue(count, anyio.current_time())
        await reply.send_complete(
            200,
            [(b"content-type", b"application/json")],
            json.dumps({"keys": list(keys)}).encode(),
        )


class PeerApp(_IngressApp):
    """ASGI application for calls from other nodes."""

    def __init__(
        self,
        node: parts.NodeParts,
        runner: executor.Executor,
        keyed_calls: keyed.KeyedCalls,
    ):
        super().__init__(node, runner, keyed_calls)
        self._replays = replays.ReplayFilter()

    async def __call__(self, scope, receive, send) -> None:
        """Handles one call."""
        if scope["type"] != "http":
            return
        request = exchange.Request.from_scope(scope)
        body = exchange.RequestBody(receive)
        reply = exchange.Reply(send, closing=self._is_shutting_down)
        now = anyio.current_time()
        decoded = forwarding.decode_context_header(
            request.header(forwarding.CONTEXT_HEADER) or b"",
            self._node.cluster_key,
            self._node.registry.new_call_id(),
            now,
        )
        if decoded.is_err():
            refusal = errors.Refusal(
                errors.Outcome.NOT_RUN,
                errors.Reason.INVALID_REQUEST,
                decoded.err().message,
            )
            logs.log_event(_LOG, logbook.WARNING, "context_invalid")
            await problems.send_problem(reply, refusal)
            return
        call = decoded.ok()
        value = request.header(forwarding.CONTEXT_HEADER)
        if not call.idempotent and not self._replays.is_new(value, now):
            refusal = errors.Refusal(
                errors.Outcome.UNKNOWN,
                errors.Reason.INVALID_REQUEST,
                "A call with the same context header was already received.",
            )
            await problems.send_problem(reply, refusal)
            return
        try:
            await self._serve(call, request, body, reply)
        except exchange.CallerGone:
            return

    async def _serve(
        self,
        call: context.CallContext,
        request: exchange.Request,
        body: exchange.RequestBody,
        reply: exchange.Reply,
    ) -> None:
        self._node.configuration_task.observe_version(call.document_version)
        active = calls.ActiveCall(call, budget_module.RetryBudget(call.budget))
        reply.set_answer_headers(lambda: self._result_headers(active, None))
        work = executor.Work(active, request, body, reply)
        refusal = arrival.refusal_before_arrival(
            self._node.adoption, bool(call.key) and not call.handed_over
        )
        if refusal is None:
            is_for_key_owner = (
                bool(call.key) and call.depth == 0 and not call.handed_over
            )
            ended = await self._run(work, is_for_key_owner=is_for_key_owner)
            if ended.is_ok():
                return
            refusal = ended.err()
        self._log_refusal(call, request, refusal)
        headers = self._result_headers(active, refusal)
        await problems.send_problem(
            reply, refusal, call.chain_id, call.kind, headers
        )

    def _result_headers(
        self, active: calls.ActiveCall, refusal: errors.Refusal | None
    ) -> exchange.Headers:
        """Encodes the result of a call for the node that sent it."""
        board = self._node.board
        call_result = context.CallResult(
            outcome=errors.Outcome.ANSWERED.value,
            # The sender gets back all unspent retries; this node keeps none.
            unspent_budget=active.take_unspent(),
            # Reports the level of this service and the levels observed by this
            # call. Stored levels of other services would circulate among
            # services that call each other.
            path_level=max(
                self._node.admission.path_level(anyio.current_time()),
                active.path_level,
            ),
            document_version=board.policy.version,
        )
        if refusal is not None:
            call_result.outcome = refusal.outcome.value
            call_result.reason = refusal.reason.value
            call_result.retry_after_ms = refusal.retry_after_ms
            call_result.next_key = refusal.next_key
        value = forwarding.encode_result_header(
            call_result, self._node.cluster_key
        )
        return [(forwarding.RESULT_HEADER, value)]


def _parse_key_count(data: bytes) -> int | None:
    """Returns the number of keys requested, or None if the body is invalid."""
    if len(data) > MAX_KEYS_BODY_BYTES:
        return None
    try:
        value = json.loads(data or b"{}")
    except ValueError:
        return None
    count = value.get("count", 1) if isinstance(value, dict) else None
    if not isinstance(count, int) or not 1 <= count <= 256:
        return None
    return count
