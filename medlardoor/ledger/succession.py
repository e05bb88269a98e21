"""Successors of retired keys.

A key whose request was reported as not run is retired: an older attempt with
this key may still be on its way, unread in a connection, and must not run
after the caller was told so. The caller continues with the successor key,
which inherits digest and retry budget.
"""

import dataclasses

from medlardoor import errors
from medlardoor.ledger import state
from medlardoor.retries import budget as budget_module

__all__ = ["INHERITANCE_BYTES", "Inheritance", "Successors", "inherit"]

# Memory of one entry with its keys, charged to the bound of the ledger.
INHERITANCE_BYTES = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Inheritance:
    """What a successor key takes over.

    Attributes:
        digest: Digest of the request that the key is bound to.
        budget: Retries left to the request.
        dispatched: Whether an earlier run was dispatched; the next run is
            then a retry.
    """

    digest: bytes
    budget: budget_module.RetryBudget
    dispatched: bool


class Successors:
    """Successor keys that were not used yet, by sequence number."""

    def __init__(self):
        self._unused: dict[int, Inheritance] = {}

    def __len__(self) -> int:
        return len(self._unused)

    def __contains__(self, sequence: int) -> bool:
        return sequence in self._unused

    def add(self, sequence: int, inheritance: Inheritance) -> None:
        """Registers a successor key."""
        self._unused[sequence] = inheritance

    def find(self, sequence: int) -> Inheritance | None:
        """Inheritance of an unused successor key, or None."""
        return self._unused.get(sequence)

    def remove(self, sequence: int) -> None:
        """Forgets a successor key when it is used."""
        self._unused.pop(sequence, None)

    def drop_through(self, sequence: int) -> int:
        """Forgets keys that have expired.

        Returns:
            Number of entries that were dropped.
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


def inherit(
    record: state.Record, inherited: Inheritance
) -> errors.Refusal | None:
    """Continues a request under a successor key.

    Args:
        record: New record of the successor key.
        inherited: What the key takes over.

    Returns:
        Why the request does not run, or None.
    """
    if record.digest != inherited.digest:
        return errors.Refusal(
            errors.Outcome.NOT_RUN,
            errors.Reason.KEY_MISMATCH,
            "The key belongs to a request with another content.",
        )
    record.budget = inherited.budget
    record.dispatched = inherited.dispatched
    if not inherited.dispatched:
        return None
    if not record.budget.spend():
        return errors.Refusal(
            errors.Outcome.NOT_RUN,
            errors.Reason.BUDGET_EXHAUSTED,
            "The retries of this request are spent.",
        )
    record.paid = True
    return None
