"""Records of idempotency keys and the decision whether a request may run.

Only the owner of a key permits its request to run. A record holds the digest
of the request, its retry budget and its outcome. A bitmap of used keys is kept
longer than the records, so that the request of an evicted record cannot run
again.
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
        budget: Retries left to the key, after any that this run has spent.
    """

    budget: budget_module.RetryBudget


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The request has run and its stored response is to be sent."""

    answer: state.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """The request is running; the caller may wait for that run.

    Attributes:
        key: Key of the run; for a retired key, its successor.
    """

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """The request must not run."""

    refusal: errors.Refusal


class Ledger:
    """Decides which requests with an idempotency key may run.

    Records are bounded in number and bytes. The answered and not-run records
    that finished first are evicted first. A record is never evicted during a
    run, nor after an unknown outcome before its key expires. If such records
    fill the ledger, requests with unused keys are refused as not run.

    Args:
        settings: Lifetime of the keys and bounds of the records.
        issuer: Issuer of the keys of this process.
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
        # Records that may be evicted, in order of completion.
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
        """Memory counted against the setting `max_bytes`, in bytes."""
        return self._bytes

    def begin(
        self,
        key: str,
        request_digest: bytes,
        now: float,
        retry_budget: int = DEFAULT_RETRY_BUDGET,
        idempotent: bool = False,
    ) -> Run | Replay | Join | Denied:
        """Decides whether a request may run; called before it is dispatched.

        Args:
            key: Idempotency key of the request.
            request_digest: Digest of method, target and body.
            now: Local clock, in seconds.
            retry_budget: Retries that the kind of request allows; used only
                by the first run.
            idempotent: Whether requests of the kind may run again after an
                unknown outcome.

        Returns:
            The decision. `Run` permits one run; the caller of this method must
            call `complete` at its end.
        """
        self.expire(now)
        owned = self._parse_own_key(key)
        if owned.is_err():
            return Denied(owned.unwrap_err())
        sequence = owned.unwrap()
        record = self._records.get(sequence)
        if record is not None:
            return self._begin_again(sequence, record, request_digest)
        if sequence <= self._issuer.low_water or sequence in self._used:
            return Denied(refusals.expired())
        if not self._make_room(state.RECORD_BYTES, 1):
            return Denied(refusals.full(self._replace_key(sequence, now)))
        record = state.Record(
            request_digest, budget_module.RetryBudget(retry_budget), idempotent
        )
        request_state = self._successors.find(sequence)
        if request_state is not None:
            refusal = succession.continue_request(record, request_state)
            if refusal is not None:
                return Denied(refusal)
            self._successors.remove(sequence)
            self._bytes -= succession.REQUEST_STATE_BYTES
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

        A response that arrives after an unknown outcome is stored, too.

        Args:
            key: Idempotency key of the request.
            outcome: Outcome of this run.
            answer: Complete response, if the outcome is answered.
            now: Local clock, in seconds.
            dispatched: False if the run was refused before anything was sent
                to an upstream or peer; such a run costs no retry.
            reason: Why there is no response.

        Returns:
            The outcome to report to the caller. It is unknown instead of
            not-run if an earlier run of the key had an unknown outcome.
        """
        owned = self._parse_own_key(key)
        sequence = owned.unwrap_or(0)
        record = self._records.get(sequence)
        if record is None:
            return _outcome_without_record(outcome)
        answered = outcome is errors.Outcome.ANSWERED
        if record.state is state.State.UNKNOWN and answered:
            del self._unknown[sequence]
        elif record.state is not state.State.RUNNING:
            return _outcome_without_record(outcome)
        if outcome is errors.Outcome.NOT_RUN and not dispatched:
            record.refund()
        else:
            record.dispatched = True
        record.finished_at = now
        record.reason = reason
        self._apply_outcome(sequence, record, outcome)
        if answered and answer is not None:
            self._store_answer(sequence, record, answer)
        if record.state is state.State.NOT_RUN:
            self._issue_successor(record, now)
        return record.outcome

    def successor_of(self, key: str) -> str:
        """Key to resend a request that was not run; empty if there is none."""
        record = self._records.get(self._parse_own_key(key).unwrap_or(0))
        if record is None or record.successor == 0:
            return ""
        return self._issuer.key_of(record.successor)

    def expire(self, now: float) -> None:
        """Removes expired records, successor keys and bitmap chunks.

        Args:
            now: Local clock, in seconds.
        """
        self._issuer.expire(now)
        low_water = self._issuer.low_water
        self._used.drop_through(low_water)
        dropped = self._successors.drop_through(low_water)
        self._bytes -= dropped * succession.REQUEST_STATE_BYTES
        expired_before = now - self._settings.keep_s
        while self._evictable:
            sequence = next(iter(self._evictable))
            if self._records[sequence].finished_at > expired_before:
                break
            self._remove(sequence)
        while self._unknown:
            sequence = next(iter(self._unknown))
            is_retained = self._records[sequence].finished_at > expired_before
            if is_retained or sequence > low_water:
                break
            self._remove(sequence)

    def budget_of(self, key: str) -> budget_module.RetryBudget | None:
        """Retry budget of a key; None without a record."""
        record = self._records.get(self._parse_own_key(key).unwrap_or(0))
        return record.budget if record else None

    def _parse_own_key(self, key: str) -> result.Result[int, errors.Refusal]:
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
                    "The key was first used with a different method, target "
                    "or body.",
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
                    "An earlier run with this key has an unknown outcome.",
                )
            )
        if not record.budget.spend():
            return Denied(
                record.refuse(
                    errors.Reason.BUDGET_EXHAUSTED,
                    "The retry budget of this key is exhausted.",
                )
            )
        self._unknown.pop(sequence, None)
        self._evictable.pop(sequence, None)
        record.state = state.State.RUNNING
        record.has_spent_retry = True
        return Run(record.budget)

    def _follow_successor(
        self, record: state.Record, digest: bytes
    ) -> Run | Replay | Join | Denied:
        """Decides on a request with a retired key."""
        successor = record.successor
        if successor == 0:
            return Denied(
                record.refuse(
                    errors.Reason.BUDGET_EXHAUSTED,
                    "The retry budget of this key is exhausted.",
                )
            )
        successor_record = self._records.get(successor)
        if successor_record is None:
            if successor in self._successors:
                return Denied(refusals.retired(self._issuer.key_of(successor)))
            return Denied(refusals.expired())
        if successor_record.state is state.State.UNKNOWN:
            return Denied(
                successor_record.refuse(
                    successor_record.reason,
                    "A later run of this request has an unknown outcome.",
                )
            )
        return self._begin_again(successor, successor_record, digest)

    def _replace_key(self, sequence: int, now: float) -> str:
        """Retires a key without a record and issues its replacement."""
        self._issuer.issue(1, now)
        replacement = self._issuer.last_issued
        self._used.add(sequence)
        request_state = self._successors.find(sequence)
        if request_state is not None:
            self._successors.remove(sequence)
            self._successors.add(replacement, request_state)
        return self._issuer.key_of(replacement)

    def _issue_successor(self, record: state.Record, now: float) -> None:
        """Issues the key with which the caller may resend the request."""
        is_spent = record.dispatched and record.budget.remaining == 0
        if is_spent or not self._make_room(succession.REQUEST_STATE_BYTES, 0):
            return
        self._issuer.issue(1, now)
        record.successor = self._issuer.last_issued
        self._bytes += succession.REQUEST_STATE_BYTES
        self._successors.add(
            record.successor,
            succession.RequestState(
                record.digest, record.budget, record.dispatched
            ),
        )

    def _replay(self, record: state.Record) -> Replay | Denied:
        if record.answer is not None:
            return Replay(record.answer)
        return Denied(
            record.refuse(
                errors.Reason.KEY_EXPIRED,
                "The request was answered, but its response was not stored.",
            )
        )

    def _apply_outcome(
        self, sequence: int, record: state.Record, outcome: errors.Outcome
    ) -> None:
        record.apply_outcome(outcome)
        if record.state is state.State.UNKNOWN:
            self._unknown[sequence] = None
        else:
            self._evictable[sequence] = None

    def _store_answer(
        self, sequence: int, record: state.Record, answer: state.Answer
    ) -> None:
        size = answer.size_bytes
        if size > self._settings.max_answer_bytes:
            return
        # Keeps the record from being evicted to make room for its own response.
        del self._evictable[sequence]
        if self._make_room(size, 0):
            record.answer = answer
            self._bytes += size
        self._evictable[sequence] = None

    def _make_room(self, size_bytes: int, record_count: int) -> bool:
        """Evicts records until there is room; returns whether there is."""
        while self._is_over_limit(size_bytes, record_count):
            if not self._evictable:
                return False
            self._remove(next(iter(self._evictable)))
        return True

    def _is_over_limit(self, size_bytes: int, record_count: int) -> bool:
        return (
            self._bytes + size_bytes > self._settings.max_bytes
            or len(self._records) + record_count > self._settings.max_records
        )

    def _remove(self, sequence: int) -> None:
        record = self._records.pop(sequence)
        self._evictable.pop(sequence, None)
        self._unknown.pop(sequence, None)
        self._bytes -= record.size_bytes


def _outcome_without_record(outcome: errors.Outcome) -> errors.Outcome:
    """Outcome to report without a record that proves that nothing ran."""
    if outcome is errors.Outcome.NOT_RUN:
        return errors.Outcome.UNKNOWN
    return outcome
