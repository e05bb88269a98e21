"""Calls with an idempotency key: run at most once by the key's owner."""

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

Ended = result.Result[None, errors.Refusal]


class KeyedCalls:
    """Sends calls with a key to its owner, or runs them as the owner.

    A run goes on when its caller leaves, so that a resent request gets the
    answer of the first run instead of an unknown outcome.

    Args:
        node: Parts of this node.
        runner: Executor of calls.
    """

    def __init__(self, node: parts.NodeParts, runner: executor.Executor):
        self._node = node
        self._runner = runner
        self._runs: dict[str, anyio.Event] = {}

    @property
    def running(self) -> int:
        """Runs in progress; they go on when their callers leave."""
        return len(self._runs)

    async def run(self, work: executor.Work) -> Ended:
        """Runs the call if this node owns its key, else asks the owner."""
        key = work.active.call.key
        parsed = self._node.keys.parse(key)
        if parsed.is_err():
            return parsed
        if parsed.ok().instance == self._node.board.instance:
            # Callers may put the key in quotation marks.
            work.active.call.key = key.strip().strip('"')
            return await self._run_as_owner(work)
        return await self._ask_owner(work, parsed.ok())

    async def _ask_owner(
        self, work: executor.Work, parsed: keys_module.ParsedKey
    ) -> Ended:
        members = self._node.board.membership.members
        member = members.get(parsed.instance)
        if member is None or member.process_id != parsed.process_id:
            return result.Err(_owner_lost())
        attempt = sending.Attempt(
            self._node.board.service,
            member,
            work.active.call,
            work.request,
            work.body,
            work.reply,
        )
        with anyio.CancelScope(deadline=work.active.call.deadline):
            ended = await sending.send_attempt(self._node, work.active, attempt)
            if ended.is_err() and (
                ended.err().reason is errors.Reason.NODE_UNREACHABLE
            ):
                # An earlier attempt may have reached the owner.
                return result.Err(_owner_lost())
            return ended
        return result.Err(_unknown_in_time())

    async def _run_as_owner(self, work: executor.Work) -> Ended:
        call = work.active.call
        with anyio.CancelScope(deadline=call.deadline) as scope:
            prefix = await work.body.read_prefix()
        if scope.cancelled_caught:
            return result.Err(_unknown_in_time())
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
                await self._runs[decision.key].wait()
            if scope.cancelled_caught:
                return result.Err(_unknown_in_time())
        if isinstance(decision, records.Denied):
            return result.Err(decision.refusal)
        if isinstance(decision, records.Replay):
            await _replay(decision.answer, work.reply)
            return result.Ok(None)
        # The budget of the record outlives this attempt; what the attempt
        # received with its context goes back to the node that sent it.
        run = dataclasses.replace(work.active, budget=decision.budget)
        ended = await self._run_in_background(
            dataclasses.replace(work, active=run)
        )
        work.active.path_level = run.path_level
        return ended

    async def _run_in_background(self, work: executor.Work) -> Ended:
        finished = anyio.Event()
        self._runs[work.active.call.key] = finished
        holder: list[Ended] = []
        work.reply.capture(self._node.settings.ledger.max_answer_bytes)
        self._node.tasks.start_soon(
            self._run_and_record, work, finished, holder
        )
        try:
            await finished.wait()
        except BaseException:
            work.reply.detach()
            raise
        if not holder:
            raise exchange.TruncatedAnswer("run failed")
        return holder[0]

    async def _run_and_record(
        self, work: executor.Work, finished: anyio.Event, holder: list[Ended]
    ) -> None:
        ended: Ended = result.Err(_unknown_in_time())
        try:
            ended = await self._runner.run(work)
            holder.append(ended)
        except (exchange.TruncatedAnswer, exchange.CallerGone):
            pass
        except Exception as error:  # A defect must not end the process.
            logs.log_event(_LOG, logbook.ERROR, "run_failed", error=repr(error))
        finally:
            recorded = self._record(work, ended)
            if holder and recorded.is_err():
                holder[0] = recorded
            self._runs.pop(work.active.call.key, None)
            finished.set()

    def _record(self, work: executor.Work, ended: Ended) -> Ended:
        outcome = errors.Outcome.ANSWERED
        reason = errors.Reason.UPSTREAM_FAILED
        if ended.is_err():
            outcome = ended.err().outcome
            reason = ended.err().reason
        recorded = self._node.ledger.complete(
            work.active.call.key,
            outcome,
            _captured_answer(work.reply) if ended.is_ok() else None,
            anyio.current_time(),
            work.dispatched,
            reason,
        )
        if ended.is_ok():
            return ended
        next_key = self._node.ledger.successor_of(work.active.call.key)
        return result.Err(
            dataclasses.replace(
                ended.err(), outcome=recorded, next_key=next_key
            )
        )


def _captured_answer(reply: exchange.Reply) -> ledger_state.Answer | None:
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
    """Digest of method, target, length and the first part of the body."""
    digest = hashlib.sha256()
    length = request.header(b"content-length") or b""
    for part in (request.method.encode(), request.target, length, prefix):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def _owner_lost() -> errors.Refusal:
    return errors.Refusal(
        errors.Outcome.UNKNOWN,
        errors.Reason.KEY_OWNER_LOST,
        "The node that issued the key cannot be reached.",
    )


def _unknown_in_time() -> errors.Refusal:
    return errors.Refusal(
        errors.Outcome.UNKNOWN,
        errors.Reason.KEY_IN_PROGRESS,
        "The request did not end within its time limit.",
    )
