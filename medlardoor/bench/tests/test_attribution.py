"""Tests of the simulation of crash attribution."""

import pytest

from medlardoor.bench import attribution

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("seed", range(8))
async def test_popular_request_stays_in_service(seed):
    """A popular request was refused for an hour beside a crashing one."""
    case = attribution.Case(rate_per_s=40, popular_share=0.6, copies=3)
    outcome = attribution.simulate(case, seed)
    assert not outcome.popular_quarantined
    assert outcome.is_contained
    # Each of the three copies may be in flight once more at the third crash.
    assert outcome.crashes <= 5
