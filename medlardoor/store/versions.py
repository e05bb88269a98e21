"""Versions of stored objects.

The store numbers its changes with a revision. When it returns from an older
copy, its revision goes back and the lost numbers are given out again; its era
then increases by one. A version is one number with the era in its upper bits,
so versions of all eras have one order, and a revision is never compared without
its era.
"""

__all__ = [
    "MAX_ERA",
    "MAX_REVISION",
    "compose",
    "era_of",
    "is_plausible_era",
    "is_valid",
    "revision_of",
]

# A version fits into 64 bits with a sign.
REVISION_BITS = 40
MAX_REVISION = (1 << REVISION_BITS) - 1
MAX_ERA = 999_999

# Returns that a process may miss. A larger step is a malformed value: taken for
# an era, it would make all answers of the store look outdated.
MAX_ERA_STEP = 100


def compose(era: int, revision: int) -> int:
    """Returns the version of a change.

    Args:
        era: Era of the store; 0 for a store without eras.
        revision: Number of the change.

    Raises:
        ValueError: If the era or the revision is out of range.
    """
    if not 0 <= era <= MAX_ERA or not 0 <= revision <= MAX_REVISION:
        raise ValueError(
            f"expected an era up to {MAX_ERA} and a revision up to"
            f" {MAX_REVISION}, got {era} and {revision}"
        )
    return era << REVISION_BITS | revision


def era_of(version: int) -> int:
    """Returns the era of a version."""
    return version >> REVISION_BITS


def revision_of(version: int) -> int:
    """Returns the number of a change within the store's era."""
    return version & MAX_REVISION


def is_valid(version: int) -> bool:
    """Whether a number is a version.

    Args:
        version: Number from another process.
    """
    return 0 <= version <= compose(MAX_ERA, MAX_REVISION)


def is_plausible_era(era: int, known: int | None) -> bool:
    """Whether an era may follow the known one.

    Args:
        era: The era.
        known: Highest era so far; None if none is known.
    """
    return known is None or era <= known + MAX_ERA_STEP
