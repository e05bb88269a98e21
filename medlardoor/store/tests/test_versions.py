"""Tests of versions across eras of the store."""

import hypothesis
from hypothesis import strategies
import pytest

from medlardoor.store import versions

ERAS = strategies.integers(0, versions.MAX_ERA)
REVISIONS = strategies.integers(0, versions.MAX_REVISION)
POSITIONS = strategies.tuples(ERAS, REVISIONS)


@hypothesis.given(POSITIONS, POSITIONS)
def test_versions_are_ordered_by_era_then_revision(first, second):
    """A revision of one era is compared with that of another."""
    composed = versions.compose(*first), versions.compose(*second)
    assert (composed[0] < composed[1]) == (first < second)


@hypothesis.given(POSITIONS)
def test_version_holds_era_and_revision(position):
    """A version is sent to the store with a part of its era."""
    version = versions.compose(*position)
    parts = versions.era_of(version), versions.revision_of(version)
    assert parts == position


@pytest.mark.parametrize(
    ("era", "revision"), [(-1, 0), (1_000_000, 0), (0, -1), (0, 1 << 40)]
)
def test_position_out_of_range_is_refused(era, revision):
    """A revision that does not fit reaches into the era."""
    with pytest.raises(ValueError, match="expected an era"):
        versions.compose(era, revision)
