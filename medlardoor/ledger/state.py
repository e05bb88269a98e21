"""Record of one idempotency key."""

import dataclasses
import enum

from medlardoor import errors
from medlardoor.retries import budget as budget_module

__all__ = ["RECORD_BYTES", "Answer", "Record", "State"]

# Memory of one record without its response but with its entries in the
# tables of the ledger; `bench/ledger_slopes.py` prints the actual size.
RECORD_BYTES = 450


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Complete response of an upstream, stored for resent requests.

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
        """Size of the header fields and the body, in bytes."""
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
    """Record that the owner keeps of one key.

    Attributes:
        digest: Digest of the request that first used the key.
        budget: Remaining retries of the request.
        idempotent: Whether the request may run again after an unknown
            outcome.
        state: State of the key.
        in_doubt: Whether any run had an unknown outcome.
        has_spent_retry: Whether the last run has spent one retry.
        dispatched: Whether any run was sent to an upstream or peer.
        reason: Why the last run has no response.
        finished_at: End of the last run on the local clock, in seconds.
        answer: Stored response, or None.
        successor: Sequence number of the key with which a request that was
            not run may be resent; 0 if there is none.
    """

    digest: bytes
    budget: budget_module.RetryBudget
    idempotent: bool
    state: State = State.RUNNING
    in_doubt: bool = False
    has_spent_retry: bool = False
    dispatched: bool = False
    reason: errors.Reason = errors.Reason.UPSTREAM_FAILED
    finished_at: float = 0.0
    answer: Answer | None = None
    successor: int = 0

    @property
    def outcome(self) -> errors.Outcome:
        """Outcome of the request over all its runs."""
        return _OUTCOMES[self.state]

    @property
    def size_bytes(self) -> int:
        """Memory counted for the record and its response, in bytes."""
        return RECORD_BYTES + (self.answer.size_bytes if self.answer else 0)

    def refuse(self, reason: errors.Reason, detail: str) -> errors.Refusal:
        """Refusal with the outcome and the remaining retries of the request."""
        return errors.Refusal(
            self.outcome,
            reason,
            detail,
            unspent_budget=self.budget.remaining,
        )

    def refund(self) -> None:
        """Returns the retry spent by a run that was not dispatched."""
        if self.has_spent_retry:
            self.budget.refund()
        self.has_spent_retry = False

    def apply_outcome(self, outcome: errors.Outcome) -> None:
        """Records the outcome of a run.

        After an unknown outcome, only an answered run changes the state.
        """
        self.in_doubt |= outcome is errors.Outcome.UNKNOWN
        if outcome is errors.Outcome.ANSWERED:
            self.state = State.ANSWERED
        elif self.in_doubt:
            self.state = State.UNKNOWN
        else:
            self.state = State.NOT_RUN
