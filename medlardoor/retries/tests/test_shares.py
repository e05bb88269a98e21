"""Tests of the bound on the retries to a service."""

import bisect
import random

import hypothesis
from hypothesis import strategies

from medlardoor.retries import shares

SETTINGS = shares.RetryShareSettings(window_s=10.0, ratio=0.1, slack=20.0)


def test_slack_is_shared_by_all_nodes():
    """Each node uses the whole slack instead of its part."""
    share = shares.RetryShare(SETTINGS)
    granted = sum(share.try_retry(nodes=10, now=1.0) for _ in range(50))
    assert granted == 2


def test_retries_are_available_again_after_the_window():
    """A burst of retries blocks all later ones."""
    share = shares.RetryShare(SETTINGS)
    assert share.try_retry(nodes=20, now=1.0)
    assert not share.try_retry(nodes=20, now=10.9)
    assert share.try_retry(nodes=20, now=12.1)


def test_long_pause_empties_the_window():
    """First attempts of an hour ago still allow retries."""
    share = shares.RetryShare(SETTINGS)
    for _ in range(1_000):
        share.count_first_attempt(5.0)
    assert share.try_retry(nodes=1_000, now=6.0)
    assert not share.try_retry(nodes=1_000, now=3_600.0)


@hypothesis.given(seed=strategies.integers(0, 10_000))
@hypothesis.settings(max_examples=25, deadline=None)
def test_no_sliding_window_exceeds_the_bound(seed):
    """Retries around the boundary of two buckets exceed the bound."""
    generator = random.Random(seed)
    share = shares.RetryShare(SETTINGS)
    now = 0.0
    first_attempt_times, retry_times = [], []
    for _ in range(600):
        now += generator.expovariate(20.0)
        share.count_first_attempt(now)
        first_attempt_times.append(now)
        if share.try_retry(nodes=1, now=now):
            retry_times.append(now)
    for end in retry_times:
        start = end - SETTINGS.window_s
        in_window = sum(start < at <= end for at in retry_times)
        requests = sum(
            start - SETTINGS.window_s < at <= end for at in first_attempt_times
        )
        assert in_window <= SETTINGS.ratio * requests + SETTINGS.slack


# The stock service of the users while all its upstreams shed: calls in a chain,
# share of calls that is shed, and rate of chains by urgency.
CALLS_PER_CHAIN = 8
SHED_SHARE = 0.45
CHAINS_PER_S = {0.9: 36.0, 0.25: 125.0}
NODES = 6
SHED_S = 8.5


def _replay_shedding(seed, urgency_of):
    """Replays a fault of the service and checks the bound in each window.

    Returns:
        The share of completed chains by urgency.
    """
    generator = random.Random(seed)
    retry_settings = shares.RetryShareSettings(10.0, 0.045, 0.15, 5.0)
    nodes = [shares.RetryShare(retry_settings) for _ in range(NODES)]
    complete_chains = dict.fromkeys(CHAINS_PER_S, 0)
    started_chains = dict.fromkeys(CHAINS_PER_S, 0)
    first_attempt_times, retry_times = [], []
    now = 0.0
    while now < 10.0 + SHED_S:
        now += generator.expovariate(sum(CHAINS_PER_S.values()))
        urgency = generator.choices(
            list(CHAINS_PER_S), list(CHAINS_PER_S.values())
        )[0]
        share = generator.choice(nodes)
        shed = SHED_SHARE if now > 10.0 else 0.0
        started_chains[urgency] += now > 10.0
        for _ in range(CALLS_PER_CHAIN):
            share.count_first_attempt(now)
            first_attempt_times.append(now)
            while (is_shed := generator.random() < shed) and share.try_retry(
                NODES, now, urgency_of(urgency), makes_calls=False
            ):
                retry_times.append(now)
            if is_shed:
                break
        else:
            complete_chains[urgency] += now > 10.0

    def count(times, start, end):
        return bisect.bisect(times, end) - bisect.bisect(times, start)

    for end in retry_times:
        requests = max(
            count(first_attempt_times, end - 10.0, end),
            count(first_attempt_times, end - 20.0, end - 10.0),
        )
        assert count(retry_times, end - 10.0, end) <= 0.2 * requests + 5.0
    return {
        urgency: complete_chains[urgency] / started_chains[urgency]
        for urgency in CHAINS_PER_S
    }


def test_urgent_chains_stay_whole_when_upstreams_shed():
    """Retries are spread over all chains, and none of them completes."""
    for seed in range(3):
        prioritized = _replay_shedding(seed, lambda urgency: urgency)
        unprioritized = _replay_shedding(seed, lambda urgency: 1.0)
        assert prioritized[0.9] > 0.5
        assert prioritized[0.9] > 2 * unprioritized[0.9]


def test_less_urgent_chains_use_the_retries_when_alone():
    """Retries are reserved for urgent chains although there are none."""
    share = shares.RetryShare(shares.RetryShareSettings(10.0, 0.1, 0.1, 0.0))
    granted = 0
    for step in range(4_000):
        now = step * 0.01
        share.count_first_attempt(now)
        granted += share.try_retry(1, now, urgency=0.2, makes_calls=False)
    # The window is only partly filled in the first seconds, so fewer than a
    # tenth of the 4,000 first attempts can be retried.
    assert granted > 0.8 * 0.1 * 4_000


def test_calls_of_retried_runs_use_up_the_retries():
    """Calls of retried runs are not counted in the bound of a service."""
    share = shares.RetryShare(shares.RetryShareSettings(10.0, 0.1, 0.1, 0.0))
    for _ in range(100):
        share.count_first_attempt(1.0)
    for _ in range(10):
        share.count_call_of_retried_run(1.0)
    assert not share.try_retry(1, 1.0)
