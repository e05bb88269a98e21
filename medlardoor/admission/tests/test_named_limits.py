"""Tests of the limit that an upstream names, with explicit times."""

import pytest

from medlardoor.admission import named_limits


@pytest.fixture
def limit():
    made = named_limits.NamedLimit()
    made.observe(20.0, 0.9, 1.0)
    return made


def test_limit_ends_when_the_upstream_no_longer_names_it(limit):
    """A limit stays in force after the need of the upstream has passed."""
    limit.observe(None, 1.1, 1.2)
    assert limit.rate_per_s is None


def test_overtaken_response_does_not_end_the_limit(limit):
    """A response from before the limit lifts it while it is still needed."""
    limit.observe(None, 0.8, 1.2)
    assert limit.rate_per_s == 20.0


def test_last_named_limit_is_in_force(limit):
    """An upstream that needs less, or more, gets what it took before."""
    limit.observe(5.0, 1.1, 1.2)
    assert limit.rate_per_s == 5.0


def test_limit_of_an_earlier_upstream_ends(limit):
    """A new upstream at the address inherits the limit of the former one."""
    limit.clear()
    assert limit.rate_per_s is None
