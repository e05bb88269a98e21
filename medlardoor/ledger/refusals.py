"""Refusals of requests whose key has no record."""

from medlardoor import errors

__all__ = ["expired", "full", "invalid", "owner_lost", "retired"]

# A full ledger frees records as runs complete; callers come back after 1 s.
FULL_RETRY_AFTER_MS = 1_000


def expired() -> errors.Refusal:
    """No record says whether the request of an old key ran."""
    return errors.Refusal(
        errors.Outcome.UNKNOWN,
        errors.Reason.KEY_EXPIRED,
        "The key has expired; whether its request ran is not known.",
    )


def owner_lost() -> errors.Refusal:
    """The owner that could know the outcome is gone."""
    return errors.Refusal(
        errors.Outcome.UNKNOWN,
        errors.Reason.KEY_OWNER_LOST,
        "The process that issued the key is no longer running.",
    )


def full(next_key: str) -> errors.Refusal:
    """No record can be made, so an unused key does not run.

    Args:
        next_key: Key that takes the place of the unused one.
    """
    return errors.Refusal(
        errors.Outcome.NOT_RUN,
        errors.Reason.OVERLOAD,
        "The ledger of idempotency keys is full.",
        retry_after_ms=FULL_RETRY_AFTER_MS,
        next_key=next_key,
    )


def retired(next_key: str) -> errors.Refusal:
    """The request was reported as not run under this key.

    Args:
        next_key: Successor of the key.
    """
    return errors.Refusal(
        errors.Outcome.NOT_RUN,
        errors.Reason.KEY_RETIRED,
        "The request was not run under this key; send it again with the key "
        "in this answer.",
        next_key=next_key,
    )


def invalid() -> errors.Refusal:
    """No node can have run a request with this key."""
    return errors.Refusal(
        errors.Outcome.NOT_RUN,
        errors.Reason.KEY_INVALID,
        "No node has issued this idempotency key.",
    )
