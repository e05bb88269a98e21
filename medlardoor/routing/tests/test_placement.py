"""Tests of the selection of upstreams."""

import collections
import random

import pytest

from medlardoor.routing import placement

SETTINGS = placement.PlacementSettings(failure_domain="a")


@pytest.fixture
def chooser():
    return placement.Placement(SETTINGS, random.Random(1))


def _candidate(instance, domain="a", **fields):
    values = {"limit": 100, "response_time_s": 0.05, **fields}
    return placement.Candidate(instance, domain, **values)


def _shares(chooser, candidates, now=10.0, level=1, draws=500):
    counts = collections.Counter()
    for _ in range(draws):
        counts[chooser.choose(candidates, level, now).instance] += 1
    return {name: count / draws for name, count in counts.items()}


def test_near_upstream_first(chooser):
    """Traffic crosses failure domains although a near upstream is idle."""
    candidates = [
        _candidate("near", response_time_s=0.08),
        _candidate("far", "b"),
    ]
    assert _shares(chooser, candidates) == {"near": 1.0}


def test_slow_near_upstream_is_avoided(chooser):
    """A near upstream keeps getting requests that it answers too late."""
    candidates = [
        _candidate("near", response_time_s=0.5),
        _candidate("far", "b"),
    ]
    assert _shares(chooser, candidates) == {"far": 1.0}


def test_busy_upstream_is_avoided(chooser):
    """The near upstream is overloaded while others have free capacity."""
    candidates = [
        _candidate("near", reported_busy=100),
        _candidate("far", "b", reported_busy=10),
    ]
    assert _shares(chooser, candidates) == {"far": 1.0}


def test_own_sends_count_before_the_next_report(chooser):
    """All requests between two reports go to one upstream."""
    candidates = [_candidate("x"), _candidate("y")]
    for _ in range(180):
        chosen = chooser.choose(candidates, 1, 10.0)
        chosen.sent_since_report += 1
    assert all(60 < c.sent_since_report < 120 for c in candidates)


def test_failing_upstream_keeps_a_trickle(chooser):
    """A failing upstream keeps its full share, or gets no requests again."""
    failing, healthy = _candidate("failing"), _candidate("healthy")
    candidates = [failing, healthy]
    for _ in range(30):
        chooser.answered(failing, 0.05, False, 10.0)
    assert _shares(chooser, candidates, now=10.0) == {"healthy": 1.0}
    assert _shares(chooser, candidates, now=25.0)["failing"] > 0.3


def test_refused_level_is_not_sent_again(chooser):
    """Requests are sent to an upstream that has just refused their level."""
    full = _candidate("full", level=200, level_updated_at=10.0)
    assert chooser.choose([full], 199, 10.1) is None
    assert chooser.choose([full], 200, 10.1) is full
    assert chooser.choose([full], 199, 11.0) is full


def test_slow_upstream_gets_less(chooser):
    """An upstream that became slow keeps its share of requests."""
    slow, fast = _candidate("slow"), _candidate("fast")
    for _ in range(50):
        chooser.answered(slow, 0.6, True, 10.0)
    assert _shares(chooser, [slow, fast]) == {"fast": 1.0}


def test_no_retry_where_all_upstreams_fail(chooser):
    """Retries add to the load of a service whose upstreams all fail."""
    candidates = [_candidate("x"), _candidate("y")]
    assert chooser.has_healthy(candidates, 10.0)
    for _ in range(6):
        for candidate in candidates:
            chooser.answered(candidate, 0.05, False, 10.0)
    assert not chooser.has_healthy(candidates, 10.0)
    assert not chooser.has_healthy([], 10.0)


def test_healthy_remote_upstream_is_preferred_to_a_failing_near_one(chooser):
    """Half the requests fail nearby while a remote upstream has capacity."""
    candidates = [
        _candidate(
            "near",
            response_time_s=0.02,
            success_rate=0.45,
            success_rate_updated_at=10.0,
        ),
        _candidate("far", "b", response_time_s=0.02, reported_busy=70),
    ]
    assert _shares(chooser, candidates) == {"far": 1.0}


def test_full_healthy_upstreams_do_not_get_everything(chooser):
    """The last healthy upstream is overloaded by the load of the others."""
    candidates = [
        _candidate("failing", success_rate=0.6, success_rate_updated_at=10.0),
        _candidate("healthy", reported_busy=100),
    ]
    assert _shares(chooser, candidates)["failing"] > 0.9


def test_chains_complete_while_most_upstreams_shed(chooser):
    """Chains of calls fail although the healthy upstreams could run them.

    19 of 29 upstreams shed 55 percent of their requests, and a chain of four
    calls is lost with the first call that is shed.
    """
    generator = random.Random(2)
    shedding = [_candidate(f"shed-{n}", "ab"[n % 2]) for n in range(19)]
    healthy = [_candidate(f"healthy-{n}", "ab"[n % 2]) for n in range(10)]
    complete = 0
    chains = 2_000
    for number in range(chains):
        now = 10.0 + number * 0.002
        for _ in range(4):
            chosen = chooser.choose(shedding + healthy, 1, now)
            good = chosen in healthy or generator.random() > 0.55
            chooser.answered(chosen, 0.05, good, now)
            if not good:
                break
        else:
            complete += 1
    assert complete / chains > 0.9


def _share_of_remote(draws, near_run_s):
    """Share of calls of 15 ms that cross failure domains under overload.

    Reproduces scenario scale-1 of derwent-wheels: all upstreams of the last
    service are busy, with queues that differ by chance.
    """
    generator = random.Random(3)
    chooser = placement.Placement(SETTINGS, generator)
    near = _candidate("near", response_time_s=near_run_s, limit=45)
    remote = [
        _candidate(f"remote{n}", domain, response_time_s=0.015, limit=45)
        for n, domain in enumerate("bc")
    ]
    crossed = 0
    for _ in range(draws):
        for candidate in (near, *remote):
            candidate.reported_busy = generator.randrange(45, 75)
        chosen = chooser.choose([near, *remote], 0, 0.0)
        crossed += chosen is not near
    return crossed / draws


def test_busy_service_is_called_nearby():
    """Calls cross failure domains although remote upstreams are as busy."""
    assert _share_of_remote(1_000, near_run_s=0.015) < 0.25


def test_slow_near_upstream_is_avoided_when_busy():
    """Calls queue at a slow upstream while a faster one is equally busy."""
    assert _share_of_remote(1_000, near_run_s=0.06) > 0.75
