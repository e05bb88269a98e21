"""Tests of the bound on repeated sends."""

import bisect
import random

import hypothesis
from hypothesis import strategies

from medlardoor.retries import shares

SETTINGS = shares.RetryShareSettings(window_s=10.0, ratio=0.1, slack=20.0)


def test_slack_is_shared_by_all_nodes():
    """Each node uses the slack of all nodes for itself."""
    share = shares.RetryShare(SETTINGS)
    taken = sum(share.try_repeat(nodes=10, now=1.0) for _ in range(50))
    assert taken == 2


def test_repeats_are_free_again_after_the_window():
    """A burst of repeats blocks all later ones."""
    share = shares.RetryShare(SETTINGS)
    assert share.try_repeat(nodes=20, now=1.0)
    assert not share.try_repeat(nodes=20, now=10.9)
    assert share.try_repeat(nodes=20, now=12.1)


def test_long_pause_empties_the_window():
    """Counts of an hour ago still allow repeats."""
    share = shares.RetryShare(SETTINGS)
    for _ in range(1_000):
        share.count_first(5.0)
    assert share.try_repeat(nodes=1_000, now=6.0)
    assert not share.try_repeat(nodes=1_000, now=3_600.0)


@hypothesis.given(seed=strategies.integers(0, 10_000))
@hypothesis.settings(max_examples=25, deadline=None)
def test_no_sliding_window_exceeds_the_bound(seed):
    """Repeats around the edge of two buckets exceed the bound."""
    generator = random.Random(seed)
    share = shares.RetryShare(SETTINGS)
    now = 0.0
    firsts, repeats = [], []
    for _ in range(600):
        now += generator.expovariate(20.0)
        share.count_first(now)
        firsts.append(now)
        if share.try_repeat(nodes=1, now=now):
            repeats.append(now)
    for end in repeats:
        start = end - SETTINGS.window_s
        in_window = sum(start < at <= end for at in repeats)
        requests = sum(start - SETTINGS.window_s < at <= end for at in firsts)
        assert in_window <= SETTINGS.ratio * requests + SETTINGS.slack


# The users' stock service, with all of its upstreams shedding: chains of so
# many calls, the share of calls that is shed, and chains a second by urgency.
CALLS = 8
SHED = 0.45
RATES = {0.9: 36.0, 0.25: 125.0}
CALLERS = 6
SHED_S = 8.5


def _replay_shedding(seed, urgency_of):
    """Share of whole chains by urgency, and the repeats in each window."""
    generator = random.Random(seed)
    retry_settings = shares.RetryShareSettings(10.0, 0.045, 0.15, 5.0)
    nodes = [shares.RetryShare(retry_settings) for _ in range(CALLERS)]
    whole = dict.fromkeys(RATES, 0)
    begun = dict.fromkeys(RATES, 0)
    firsts, repeats = [], []
    now = 0.0
    while now < 10.0 + SHED_S:
        now += generator.expovariate(sum(RATES.values()))
        urgency = generator.choices(list(RATES), list(RATES.values()))[0]
        share = generator.choice(nodes)
        shed = SHED if now > 10.0 else 0.0
        begun[urgency] += now > 10.0
        for _ in range(CALLS):
            share.count_first(now)
            firsts.append(now)
            while (is_shed := generator.random() < shed) and share.try_repeat(
                CALLERS, now, urgency_of(urgency), makes_calls=False
            ):
                repeats.append(now)
            if is_shed:
                break
        else:
            whole[urgency] += now > 10.0

    def count(times, start, end):
        return bisect.bisect(times, end) - bisect.bisect(times, start)

    for end in repeats:
        requests = max(
            count(firsts, end - 10.0, end),
            count(firsts, end - 20.0, end - 10.0),
        )
        assert count(repeats, end - 10.0, end) <= 0.2 * requests + 5.0
    return {urgency: whole[urgency] / begun[urgency] for urgency in RATES}


def test_urgent_chains_stay_whole_when_upstreams_shed():
    """Repeats are spread over all chains, and none of them is whole."""
    for seed in range(3):
        served = _replay_shedding(seed, lambda urgency: urgency)
        alike = _replay_shedding(seed, lambda urgency: 1.0)
        assert served[0.9] > 0.5
        assert served[0.9] > 2 * alike[0.9]


def test_less_urgent_chains_use_the_repeats_when_alone():
    """Repeats are kept for urgent chains although there are none."""
    share = shares.RetryShare(shares.RetryShareSettings(10.0, 0.1, 0.1, 0.0))
    taken = 0
    for step in range(4_000):
        now = step * 0.01
        share.count_first(now)
        taken += share.try_repeat(1, now, urgency=0.2, makes_calls=False)
    # Of 4,000 first sends, those of the first seconds are not seen at once.
    assert taken > 0.8 * 0.1 * 4_000


def test_calls_of_repeated_runs_use_up_the_repeats():
    """Repeats of a hop above add to those of a service without a bound."""
    share = shares.RetryShare(shares.RetryShareSettings(10.0, 0.1, 0.1, 0.0))
    for _ in range(100):
        share.count_first(1.0)
    for _ in range(10):
        share.count_nested(1.0)
    assert not share.try_repeat(1, 1.0)
