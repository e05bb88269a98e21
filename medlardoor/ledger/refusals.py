"""Refusals of requests whose key has no record."""

from medlardoor import errors

__all__ = ["expired", "full", "invalid", "owner_lost", "retired"]

# Records become evictable as runs complete, so callers may retry after 1 s.
FULL_RETRY_AFTER_MS = 1_000


def expired() -> errors.Refusal:
    """Refusal of a used or expired key that has no record."""
    return errors.Refusal(
        errors.Outcome.UNKNOWN,
        errors.Reason.KEY_EXPIRED,
        "The key has expired; it is unknown whether its request ran.",
    )


def owner_lost() -> errors.Refusal:
    """Refusal of a key whose owner, which held its record, has ended."""
    return errors.Refusal(
        errors.Outcome.UNKNOWN,
        errors.Reason.KEY_OWNER_LOST,
        "The process that issued the key is no longer running.",
    )


def full(next_key: str) -> errors.Refusal:
    """Refusal of an unused key because the ledger has no room for a record.

    Args:
        next_key: Key that replaces the unused one.
    """
    return errors.Refusal(
        errors.Outcome.NOT_RUN,
        errors.Reason.OVERLOAD,
        "The ledger of idempotency keys is full.",
        retry_after_ms=FULL_RETRY_AFTER_MS,
        next_key=next_key,
    )


def retired(next_key: str) -> errors.Refusal:
    """Refusal of a key whose request was already reported as not run.

    Args:
        next_key: Successor of the key.
    """
    return errors.Refusal(
        errors.Outcome.NOT_RUN,
        errors.Reason.KEY_RETIRED,
        "The request was not run under this key; resend it with the key in "
        "this response.",
        next_key=next_key,
    )


def invalid() -> errors.Refusal:
    """Refusal of a key that no node has issued."""
    return errors.Refusal(
        errors.Outcome.NOT_RUN,
        errors.Reason.KEY_INVALID,
        "No node has issued this idempotency key.",
    )
