"""State of one idempotency key."""

import dataclasses
import enum

from medlardoor import errors
from medlardoor.retries import budget as budget_module

__all__ = ["RECORD_BYTES", "Answer", "Record", "State"]

# Memory of one record without its answer, with its entries in the tables;
# `bench/ledger_slopes.py` prints the actual size.
RECORD_BYTES = 450


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Complete answer of an upstream, kept for a resent request.

    Attributes:
        status: HTTP status.
        headers: Header names and values.
        body: Complete body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def size_bytes(self) -> int:
        """Size of the header fields and the body."""
        fields = sum(len(name) + len(value) for name, value in self.headers)
        return fields + len(self.body)


class State(enum.Enum):
    """State of a record."""

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


_OUTCOMES = {
    State.RUNNING: errors.Outcome.UNKNOWN,
    State.ANSWERED: errors.Outcome.ANSWERED,
    State.NOT_RUN: errors.Outcome.NOT_RUN,
    State.UNKNOWN: errors.Outcome.UNKNOWN,
}


@dataclasses.dataclass(slots=True)
class Record:
    """What the owner knows of one key.

    Attributes:
        digest: Digest of the request that first used the key.
        budget: Retries left.
        idempotent: Whether an unknown outcome permits another run.
        state: State of the last run.
        in_doubt: Whether any run had an unknown outcome.
        paid: Whether the last run cost one retry.
        dispatched: Whether any run sent something to an upstream or peer.
        reason: Why the last run has no answer.
        finished_at: End of the last run, in seconds.
        answer: Kept answer.
        successor: Sequence number of the key that continues the request
            after it was not run; 0 if there is none.
    """

    digest: bytes
    budget: budget_module.RetryBudget
    idempotent: bool
    state: State = State.RUNNING
    in_doubt: bool = False
    paid: bool = False
    dispatched: bool = False
    reason: errors.Reason = errors.Reason.UPSTREAM_FAILED
    finished_at: float = 0.0
    answer: Answer | None = None
    successor: int = 0

    @property
    def outcome(self) -> errors.Outcome:
        """What is known about the request over all its runs."""
        return _OUTCOMES[self.state]

    @property
    def size_bytes(self) -> int:
        """Memory that the record is charged with."""
        return RECORD_BYTES + (self.answer.size_bytes if self.answer else 0)

    def refuse(self, reason: errors.Reason, detail: str) -> errors.Refusal:
        """Refusal that says what is known about the request."""
        return errors.Refusal(
            self.outcome,
            reason,
            detail,
            unspent_budget=self.budget.remaining,
        )

    def refund(self) -> None:
        """Returns the retry that a run cost which was not dispatched."""
        if self.paid:
            self.budget.refund()
        self.paid = False

    def settle(self, outcome: errors.Outcome) -> None:
        """Records the outcome of a run; doubt about an earlier one stays."""
        self.in_doubt |= outcome is errors.Outcome.UNKNOWN
        if outcome is errors.Outcome.ANSWERED:
            self.state = State.ANSWERED
        elif self.in_doubt:
            self.state = State.UNKNOWN
        else:
            self.state = State.NOT_RUN
