"""Successors of retired keys.

A key is retired when its request is reported as not run: an older attempt
with the key may still be in transit and must not run after that report. The
caller resends the request with the successor key, to which the digest and the
retry budget of the request are transferred.
"""

import dataclasses

from medlardoor import errors
from medlardoor.ledger import state
from medlardoor.retries import budget as budget_module

__all__ = [
    "REQUEST_STATE_BYTES",
    "RequestState",
    "Successors",
    "continue_request",
]

# Memory of one entry of `Successors`, counted against the limit of the ledger.
REQUEST_STATE_BYTES = 200


@dataclasses.dataclass(frozen=True, slots=True)
class RequestState:
    """State of a request that is transferred to its successor key.

    Attributes:
        digest: Digest of the request that the key is bound to.
        budget: Remaining retries of the request.
        dispatched: Whether an earlier run was dispatched; the next run is
            then a retry.
    """

    digest: bytes
    budget: budget_module.RetryBudget
    dispatched: bool


class Successors:
    """Unused successor keys by sequence number."""

    def __init__(self):
        self._unused: dict[int, RequestState] = {}

    def __len__(self) -> int:
        return len(self._unused)

    def __contains__(self, sequence: int) -> bool:
        return sequence in self._unused

    def add(self, sequence: int, request_state: RequestState) -> None:
        """Adds a successor key."""
        self._unused[sequence] = request_state

    def find(self, sequence: int) -> RequestState | None:
        """State for an unused successor key; None if it is not one."""
        return self._unused.get(sequence)

    def remove(self, sequence: int) -> None:
        """Removes a successor key once it is used."""
        self._unused.pop(sequence, None)

    def drop_through(self, sequence: int) -> int:
        """Removes expired keys.

        Args:
            sequence: Highest sequence number that has expired.

        Returns:
            Number of removed keys.
        """
        # Sequence numbers are issued in order, so the first entries are the
        # oldest ones.
        expired = []
        for number in self._unused:
            if number > sequence:
                break
            expired.append(number)
        for number in expired:
            del self._unused[number]
        return len(expired)


def continue_request(
    record: state.Record, request_state: RequestState
) -> errors.Refusal | None:
    """Continues a request under a successor key.

    Args:
        record: New record of the successor key.
        request_state: State transferred to the key.

    Returns:
        Refusal if the request must not run, otherwise None.
    """
    if record.digest != request_state.digest:
        return errors.Refusal(
            errors.Outcome.NOT_RUN,
            errors.Reason.KEY_MISMATCH,
            "The key was issued for a different method, target or body.",
        )
    record.budget = request_state.budget
    record.dispatched = request_state.dispatched
    if not request_state.dispatched:
        return None
    if not record.budget.spend():
        return errors.Refusal(
            errors.Outcome.NOT_RUN,
            errors.Reason.BUDGET_EXHAUSTED,
            "The retry budget of this request is exhausted.",
        )
    record.has_spent_retry = True
    return None
