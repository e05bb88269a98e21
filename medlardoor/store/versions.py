"""Versions of stored objects.

The store numbers its changes with a revision. When it returns from an older
copy, its revision goes back and the lost numbers are given out again; its era
then increases by one. A version is one number with the era in its upper bits,
so versions of all eras have one order, and a revision is never compared without
its era.
"""

__all__ = ["compose", "era_of", "revision_of"]

REVISION_BITS = 40
_REVISION_MASK = (1 << REVISION_BITS) - 1


def compose(era: int, revision: int) -> int:
    """Returns the version of a change.

    Args:
        era: Era of the store; 0 for a store without eras.
        revision: Number of the change.

    Raises:
        ValueError: If the era is negative or the revision does not fit.
    """
    if era < 0 or not 0 <= revision <= _REVISION_MASK:
        raise ValueError(
            f"expected an era of at least 0 and a revision below"
            f" 2**{REVISION_BITS}, got {era} and {revision}"
        )
    return era << REVISION_BITS | revision


def era_of(version: int) -> int:
    """Returns the era of a version."""
    return version >> REVISION_BITS


def revision_of(version: int) -> int:
    """Returns the number of a change within the store's era."""
    return version & _REVISION_MASK
