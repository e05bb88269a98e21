"""Runs calls with an idempotency key at most once, at the key's owner."""

import dataclasses
import hashlib

import anyio
import logbook
import result

from medlardoor import errors, logs
from medlardoor.calls import exchange
from medlardoor.ledger import keys as keys_module
from medlardoor.ledger import records
from medlardoor.ledger import state as ledger_state
from medlardoor.node import parts
from medlardoor.node.serving import sending
from medlardoor.node.upstream import executor

__all__ = ["KeyedCalls"]

REPLAY_HEADER = (b"idempotent-replayed", b"true")

_LOG = logbook.Logger("medlardoor.keyed")

RunResult = result.Result[None, errors.Refusal]


class KeyedCalls:
    """Runs calls whose key this node issued and forwards all others.

    The owner of a key is the node process that issued it. A run continues
    after its caller has disconnected, so that a resent request gets the
    response of the first run instead of an unknown outcome.

    Args:
        node: Parts of this node.
        runner: Executor of calls.
    """

    def __init__(self, node: parts.NodeParts, runner: executor.Executor):
        self._node = node
        self._runner = runner
        self._run_finished: dict[str, anyio.Event] = {}

    @property
    def runs_in_progress(self) -> int:
        """Number of runs in progress, with or without a connected caller."""
        return len(self._run_finished)

    async def run(self, work: executor.Work) -> RunResult:
        """Runs the call if this node owns its key, else forwards it."""
        key = work.active.call.key
        parsed = self._node.keys.parse(key)
        if parsed.is_err():
            return parsed
        if parsed.ok().instance == self._node.board.instance:
            # Callers may put the key in quotation marks.
            work.active.call.key = key.strip().strip('"')
            return await self._run_as_owner(work)
        return await self._forward_to_owner(work, parsed.ok())

    async def _forward_to_owner(
        self, work: executor.Work, parsed: keys_module.ParsedKey
    ) -> RunResult:
        members = self._node.board.membership.members
        member = members.get(parsed.instance)
        if member is None or member.process_id != parsed.process_id:
            return result.Err(_owner_lost_refusal())
        attempt = sending.Attempt(
            self._node.board.service,
            member,
            work.active.call,
            work.request,
            work.body,
            work.reply,
        )
        with anyio.CancelScope(deadline=work.active.call.deadline):
            run_result = await sending.send_attempt(
                self._node, work.active, attempt
            )
            if run_result.is_err() and (
                run_result.err().reason is errors.Reason.NODE_UNREACHABLE
            ):
                # An earlier attempt may have reached the owner.
                return result.Err(_owner_lost_refusal())
            return run_result
        return result.Err(_in_progress_refusal())

    async def _run_as_owner(self, work: executor.Work) -> RunResult:
        call = work.active.call
        with anyio.CancelScope(deadline=call.deadline) as scope:
            prefix = await work.body.read_prefix()
        if scope.cancelled_caught:
            return result.Err(_in_progress_refusal())
        digest = _request_digest(work.request, prefix)
        while True:
            decision = self._node.ledger.begin(
                call.key,
                digest,
                anyio.current_time(),
                work.active.budget.remaining,
                call.idempotent,
            )
            if not isinstance(decision, records.Join):
                break
            with anyio.CancelScope(deadline=call.deadline) as scope:
                await self._run_finished[decision.key].wait()
            if scope.cancelled_caught:
                return result.Err(_in_progress_refusal())
        if isinstance(decision, records.Denied):
            return result.Err(decision.refusal)
        if isinstance(decision, records.Replay):
            await _replay(decision.answer, work.reply)
            return result.Ok(None)
        # The run spends the retry budget of the ledger record, which all
        # attempts with the key share. The budget that this attempt received
        # with its context is returned to the node that sent it.
        run = dataclasses.replace(work.active, budget=decision.budget)
        run_result = await self._run_in_background(
            dataclasses.replace(work, active=run)
        )
        work.active.path_level = run.path_level
        return run_result

    async def _run_in_background(self, work: executor.Work) -> RunResult:
        finished = anyio.Event()
        self._run_finished[work.active.call.key] = finished
        run_results: list[RunResult] = []
        work.reply.capture(self._node.settings.ledger.max_answer_bytes)
        self._node.tasks.start_soon(
            self._run_and_record, work, finished, run_results
        )
        try:
            await finished.wait()
        except BaseException:
            work.reply.detach()
            raise
        if not run_results:
            raise exchange.TruncatedAnswer(
                "run of the keyed request ended without a result"
            )
        return run_results[0]

    async def _run_and_record(
        self,
        work: executor.Work,
        finished: anyio.Event,
        run_results: list[RunResult],
    ) -> None:
        run_result: RunResult = result.Err(_in_progress_refusal())
        try:
            run_result = await self._runner.run(work)
            run_results.append(run_result)
        except (exchange.TruncatedAnswer, exchange.CallerGone):
            pass
        except (
            Exception
        ) as error:  # A defect in one run must not end the process.
            logs.log_event(_LOG, logbook.ERROR, "run_failed", error=repr(error))
        finally:
            recorded = self._record(work, run_result)
            if run_results and recorded.is_err():
                run_results[0] = recorded
            self._run_finished.pop(work.active.call.key, None)
            finished.set()

    def _record(self, work: executor.Work, run_result: RunResult) -> RunResult:
        outcome = errors.Outcome.ANSWERED
        reason = errors.Reason.UPSTREAM_FAILED
        if run_result.is_err():
            outcome = run_result.err().outcome
            reason = run_result.err().reason
        recorded = self._node.ledger.complete(
            work.active.call.key,
            outcome,
            _captured_response(work.reply) if run_result.is_ok() else None,
            anyio.current_time(),
            work.dispatched,
            reason,
        )
        if run_result.is_ok():
            return run_result
        next_key = self._node.ledger.successor_of(work.active.call.key)
        return result.Err(
            dataclasses.replace(
                run_result.err(), outcome=recorded, next_key=next_key
            )
        )


def _captured_response(reply: exchange.Reply) -> ledger_state.Answer | None:
    if reply.captured is None:
        return None
    return ledger_state.Answer(
        reply.status, tuple(reply.headers), reply.captured
    )


async def _replay(answer: ledger_state.Answer, reply: exchange.Reply) -> None:
    framing = (b"content-length", b"transfer-encoding")
    headers = [h for h in answer.headers if h[0] not in framing]
    length = (b"content-length", str(len(answer.body)).encode())
    await reply.start_answer(answer.status, [*headers, length, REPLAY_HEADER])
    if answer.body:
        await reply.write(answer.body)
    await reply.end()


def _request_digest(request: exchange.Request, prefix: bytes) -> bytes:
    """Digest of the method, target, body length and body prefix."""
    digest = hashlib.sha256()
    length = request.header(b"content-length") or b""
    for part in (request.method.encode(), request.target, length, prefix):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def _owner_lost_refusal() -> errors.Refusal:
    return errors.Refusal(
        errors.Outcome.UNKNOWN,
        errors.Reason.KEY_OWNER_LOST,
        "The node that issued the key cannot be reached.",
    )


def _in_progress_refusal() -> errors.Refusal:
    return errors.Refusal(
        errors.Outcome.UNKNOWN,
        errors.Reason.KEY_IN_PROGRESS,
        "The run of the request did not end before the deadline.",
    )
