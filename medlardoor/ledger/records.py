"""Records of idempotency keys: which request may run, and what came of it.

The owner of a key is the only process that permits its request to run. A
record holds the digest of the request, its retry budget and its outcome. A
bitmap of used keys outlives the records, so that a key whose record was
evicted cannot run again.
"""

import collections
import dataclasses

import result

from medlardoor import errors
from medlardoor.config import settings as settings_module
from medlardoor.ledger import keys, refusals, state, succession, usage
from medlardoor.retries import budget as budget_module

__all__ = [
    "Denied",
    "Join",
    "Ledger",
    "Replay",
    "Run",
]

DEFAULT_RETRY_BUDGET = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """The request may run now.

    Attributes:
        budget: Retries left to the key; this run has been paid for.
    """

    budget: budget_module.RetryBudget


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The request has run; its answer was kept."""

    answer: state.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """The request is running; the caller may wait for that run.

    Attributes:
        key: Key of the run; a successor of the key that was asked for, if
            that one is retired.
    """

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """The request does not run."""

    refusal: errors.Refusal


class Ledger:
    """Decides which request with a key runs.

    Records are bounded in number and bytes: the oldest answered and not-run
    records are evicted first. Records of runs in progress, or with an unknown
    outcome before the key expires, are never evicted; if they fill the ledger,
    requests with unused keys are refused as not run.

    Args:
        settings: Bounds of the records.
        issuer: Issuer of the own process.
    """

    def __init__(
        self,
        settings: settings_module.LedgerSettings,
        issuer: keys.KeyIssuer,
    ):
        self._settings = settings
        self._issuer = issuer
        self._records: dict[int, state.Record] = {}
        self._used = usage.UsedKeys()
        self._successors = succession.Successors()
        # Records in order of completion; the first may be evicted.
        self._evictable: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._unknown: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._bytes = 0

    @property
    def record_count(self) -> int:
        """Number of records."""
        return len(self._records)

    @property
    def used_bytes(self) -> int:
        """Memory that is counted against `max_bytes`."""
        return self._bytes

    def begin(
        self,
        key: str,
        request_digest: bytes,
        now: float,
        retry_budget: int = DEFAULT_RETRY_BUDGET,
        idempotent: bool = False,
    ) -> Run | Replay | Join | Denied:
        """Decides on a request before anything of it is dispatched.

        Args:
            key: Idempotency key of the request.
            request_digest: Digest of method, target and body.
            now: Local clock, in seconds.
            retry_budget: Retries of the kind; used by the first run.
            idempotent: Whether the kind may run again after an unknown
                outcome.

        Returns:
            `Run` permits one run, which must end with `complete`.
        """
        self.expire(now)
        owned = self._own_sequence(key)
        if owned.is_err():
            return Denied(owned.unwrap_err())
        sequence = owned.unwrap()
        record = self._records.get(sequence)
        if record is not None:
            return self._begin_again(sequence, record, request_digest)
        if sequence <= self._issuer.low_water or sequence in self._used:
            return Denied(refusals.expired())
        if not self._make_room(state.RECORD_BYTES, 1):
            return Denied(refusals.full(self._replace_unused(sequence, now)))
        record = state.Record(
            request_digest, budget_module.RetryBudget(retry_budget), idempotent
        )
        inherited = self._successors.find(sequence)
        if inherited is not None:
            refusal = succession.inherit(record, inherited)
            if refusal is not None:
                return Denied(refusal)
            self._successors.remove(sequence)
            self._bytes -= succession.INHERITANCE_BYTES
        self._records[sequence] = record
        self._used.add(sequence)
        self._bytes += state.RECORD_BYTES
        return Run(record.budget)

    def complete(
        self,
        key: str,
        outcome: errors.Outcome,
        answer: state.Answer | None,
        now: float,
        dispatched: bool = True,
        reason: errors.Reason = errors.Reason.UPSTREAM_FAILED,
    ) -> errors.Outcome:
        """Records the end of a run.

        An answer that arrives after the run ended as unknown is kept too.

        Args:
            key: Idempotency key of the request.
            outcome: What is known of this run.
            answer: Complete answer, if the outcome is answered.
            now: Local clock, in seconds.
            dispatched: False if the run was refused before anything was sent
                to an upstream or peer; such a run costs no retry.
            reason: Why there is no answer.

        Returns:
            The outcome that may be reported to the caller. It is unknown
            instead of not-run if an earlier run of the key is in doubt.
        """
        owned = self._own_sequence(key)
        sequence = owned.unwrap_or(0)
        record = self._records.get(sequence)
        if record is None:
            return _without_record(outcome)
        answered = outcome is errors.Outcome.ANSWERED
        if record.state is state.State.UNKNOWN and answered:
            del self._unknown[sequence]
        elif record.state is not state.State.RUNNING:
            return _without_record(outcome)
        if outcome is errors.Outcome.NOT_RUN and not dispatched:
            record.refund()
        else:
            record.dispatched = True
        record.finished_at = now
        record.reason = reason
        self._settle(sequence, record, outcome)
        if answered and answer is not None:
            self._keep_answer(sequence, record, answer)
        if record.state is state.State.NOT_RUN:
            self._add_successor(record, now)
        return record.outcome

    def successor_of(self, key: str) -> str:
        """Key that continues a request that was not run; empty if none."""
        record = self._records.get(self._own_sequence(key).unwrap_or(0))
        if record is None or record.successor == 0:
            return ""
        return self._issuer.key_of(record.successor)

    def expire(self, now: float) -> None:
        """Drops records that have been kept long enough.

        Args:
            now: Local clock, in seconds.
        """
        self._issuer.expire(now)
        low_water = self._issuer.low_water
        self._used.drop_through(low_water)
        dropped = self._successors.drop_through(low_water)
        self._bytes -= dropped * succession.INHERITANCE_BYTES
        oldest = now - self._settings.keep_s
        while self._evictable:
            sequence = next(iter(self._evictable))
            if self._records[sequence].finished_at > oldest:
                break
            self._drop(sequence)
        while self._unknown:
            sequence = next(iter(self._unknown))
            too_new = self._records[sequence].finished_at > oldest
            if too_new or sequence > low_water:
                break
            self._drop(sequence)

    def budget_of(self, key: str) -> budget_module.RetryBudget | None:
        """Retry budget of a key; None without a record."""
        record = self._records.get(self._own_sequence(key).unwrap_or(0))
        return record.budget if record else None

    def _own_sequence(self, key: str) -> result.Result[int, errors.Refusal]:
        parsed = self._issuer.parse(key)
        if parsed.is_err():
            return parsed
        if not self._issuer.owns(parsed.unwrap()):
            return result.Err(refusals.owner_lost())
        sequence = parsed.unwrap().sequence
        if not self._issuer.was_issued(sequence):
            return result.Err(refusals.invalid())
        return result.Ok(sequence)

    def _begin_again(
        self, sequence: int, record: state.Record, digest: bytes
    ) -> Run | Replay | Join | Denied:
        if digest != record.digest:
            return Denied(
                record.refuse(
                    errors.Reason.KEY_MISMATCH,
                    "The key belongs to a request with another content.",
                )
            )
        if record.state is state.State.NOT_RUN:
            return self._follow_successor(record, digest)
        if record.state is state.State.RUNNING:
            return Join(self._issuer.key_of(sequence))
        if record.state is state.State.ANSWERED:
            return self._replay(record)
        if record.state is state.State.UNKNOWN and not record.idempotent:
            return Denied(
                record.refuse(
                    record.reason,
                    "An earlier run of this key has an unknown outcome.",
                )
            )
        if not record.budget.spend():
            return Denied(
                record.refuse(
                    errors.Reason.BUDGET_EXHAUSTED,
                    "The retries of this key are spent.",
                )
            )
        self._unknown.pop(sequence, None)
        self._evictable.pop(sequence, None)
        record.state = state.State.RUNNING
        record.paid = True
        return Run(record.budget)

    def _follow_successor(
        self, record: state.Record, digest: bytes
    ) -> Run | Replay | Join | Denied:
        """Answers for a retired key; it never permits a run itself."""
        successor = record.successor
        if successor == 0:
            return Denied(
                record.refuse(
                    errors.Reason.BUDGET_EXHAUSTED,
                    "The retries of this key are spent.",
                )
            )
        following = self._records.get(successor)
        if following is None:
            if successor in self._successors:
                return Denied(refusals.retired(self._issuer.key_of(successor)))
            return Denied(refusals.expired())
        if following.state is state.State.UNKNOWN:
            return Denied(
                following.refuse(
                    following.reason,
                    "A later run of this request has an unknown outcome.",
                )
            )
        return self._begin_again(successor, following, digest)

    def _replace_unused(self, sequence: int, now: float) -> str:
        """Retires a key without a record and gives another one for it."""
        self._issuer.issue(1, now)
        replacement = self._issuer.last_issued
        self._used.add(sequence)
        inherited = self._successors.find(sequence)
        if inherited is not None:
            self._successors.remove(sequence)
            self._successors.add(replacement, inherited)
        return self._issuer.key_of(replacement)

    def _add_successor(self, record: state.Record, now: float) -> None:
        """Reserves the key that the caller may continue with."""
        spent = record.dispatched and record.budget.remaining == 0
        if spent or not self._make_room(succession.INHERITANCE_BYTES, 0):
            return
        self._issuer.issue(1, now)
        record.successor = self._issuer.last_issued
        self._bytes += succession.INHERITANCE_BYTES
        self._successors.add(
            record.successor,
            succession.Inheritance(
                record.digest, record.budget, record.dispatched
            ),
        )

    def _replay(self, record: state.Record) -> Replay | Denied:
        if record.answer is not None:
            return Replay(record.answer)
        return Denied(
            record.refuse(
                errors.Reason.KEY_EXPIRED,
                "The request was answered; its answer was not kept.",
            )
        )

    def _settle(
        self, sequence: int, record: state.Record, outcome: errors.Outcome
    ) -> None:
        record.settle(outcome)
        if record.state is state.State.UNKNOWN:
            self._unknown[sequence] = None
        else:
            self._evictable[sequence] = None

    def _keep_answer(
        self, sequence: int, record: state.Record, answer: state.Answer
    ) -> None:
        size = answer.size_bytes
        if size > self._settings.max_answer_bytes:
            return
        # The record itself must not be evicted to make room for its answer.
        del self._evictable[sequence]
        if self._make_room(size, 0):
            record.answer = answer
            self._bytes += size
        self._evictable[sequence] = None

    def _make_room(self, size: int, records: int) -> bool:
        """Evicts the oldest settled records until there is room."""
        while self._exceeds(size, records):
            if not self._evictable:
                return False
            self._drop(next(iter(self._evictable)))
        return True

    def _exceeds(self, size: int, records: int) -> bool:
        return (
            self._bytes + size > self._settings.max_bytes
            or len(self._records) + records > self._settings.max_records
        )

    def _drop(self, sequence: int) -> None:
        record = self._records.pop(sequence)
        self._evictable.pop(sequence, None)
        self._unknown.pop(sequence, None)
        self._bytes -= record.size_bytes


def _without_record(outcome: errors.Outcome) -> errors.Outcome:
    """Outcome to report when the record does not prove that nothing ran."""
    if outcome is errors.Outcome.NOT_RUN:
        return errors.Outcome.UNKNOWN
    return outcome
