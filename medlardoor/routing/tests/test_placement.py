"""Tests of the choice of upstreams."""

import collections
import random

import pytest

from medlardoor.routing import placement

SETTINGS = placement.PlacementSettings(failure_domain="a")


@pytest.fixture
def chooser():
    return placement.Placement(SETTINGS, random.Random(1))


def _candidate(instance, domain="a", **fields):
    values = {"limit": 100, "run_s": 0.05, **fields}
    return placement.Candidate(instance, domain, **values)


def _shares(chooser, candidates, now=10.0, rank=1, draws=500):
    counts = collections.Counter()
    for _ in range(draws):
        counts[chooser.choose(candidates, rank, now).instance] += 1
    return {name: count / draws for name, count in counts.items()}


def test_near_upstream_first(chooser):
    """Traffic crosses failure domains although there is room nearby."""
    candidates = [_candidate("near", run_s=0.08), _candidate("far", "b")]
    assert _shares(chooser, candidates) == {"near": 1.0}


def test_slow_near_upstream_is_left(chooser):
    """A near upstream keeps requests that it serves too late."""
    candidates = [_candidate("near", run_s=0.5), _candidate("far", "b")]
    assert _shares(chooser, candidates) == {"far": 1.0}


def test_busy_upstream_is_left(chooser):
    """The near upstream is overloaded while others have room."""
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
        chosen.sent_since += 1
    assert all(60 < c.sent_since < 120 for c in candidates)


def test_failing_upstream_keeps_a_trickle(chooser):
    """An upstream that fails requests keeps its share, or never returns."""
    grey, sound = _candidate("grey"), _candidate("sound")
    candidates = [grey, sound]
    for _ in range(30):
        chooser.answered(grey, 0.05, False, 10.0)
    assert _shares(chooser, candidates, now=10.0) == {"sound": 1.0}
    assert _shares(chooser, candidates, now=25.0)["grey"] > 0.3


def test_refused_level_is_not_sent_again(chooser):
    """Requests go to an upstream that has just refused their level."""
    full = _candidate("full", level=200, level_at=10.0)
    assert chooser.choose([full], 199, 10.1) is None
    assert chooser.choose([full], 200, 10.1) is full
    assert chooser.choose([full], 199, 11.0) is full


def test_slow_upstream_gets_less(chooser):
    """An upstream that turned slow keeps its share."""
    slow, fast = _candidate("slow"), _candidate("fast")
    for _ in range(50):
        chooser.answered(slow, 0.6, True, 10.0)
    assert _shares(chooser, [slow, fast]) == {"fast": 1.0}


def test_no_repeat_where_all_upstreams_fail(chooser):
    """Repeats add to the load of a service that fails everywhere."""
    candidates = [_candidate("x"), _candidate("y")]
    assert chooser.has_sound(candidates, 10.0)
    for _ in range(6):
        for candidate in candidates:
            chooser.answered(candidate, 0.05, False, 10.0)
    assert not chooser.has_sound(candidates, 10.0)
    assert not chooser.has_sound([], 10.0)


def test_sound_upstream_far_away_goes_before_a_failing_near_one(chooser):
    """Half of the requests fail at a near upstream while others have room."""
    candidates = [
        _candidate("near", run_s=0.02, success=0.45, success_at=10.0),
        _candidate("far", "b", run_s=0.02, reported_busy=70),
    ]
    assert _shares(chooser, candidates) == {"far": 1.0}


def test_sound_upstreams_without_room_do_not_get_everything(chooser):
    """The last sound upstream is overloaded by what the others would run."""
    candidates = [
        _candidate("failing", success=0.6, success_at=10.0),
        _candidate("sound", reported_busy=100),
    ]
    assert _shares(chooser, candidates)["failing"] > 0.9


def test_chains_complete_while_most_upstreams_shed(chooser):
    """Chains of calls fail although the sound upstreams could run them.

    The load: 19 of 29 upstreams shed 55 percent of their requests, and a
    chain of four calls is lost when one of them is.
    """
    draw = random.Random(2)
    shedding = [_candidate(f"shed-{n}", "ab"[n % 2]) for n in range(19)]
    sound = [_candidate(f"sound-{n}", "ab"[n % 2]) for n in range(10)]
    complete = 0
    chains = 2_000
    for number in range(chains):
        now = 10.0 + number * 0.002
        for _ in range(4):
            chosen = chooser.choose(shedding + sound, 1, now)
            good = chosen in sound or draw.random() > 0.55
            chooser.answered(chosen, 0.05, good, now)
            if not good:
                break
        else:
            complete += 1
    assert complete / chains > 0.9


def _share_of_remote(draws, near_run_s):
    """Share of calls of 15 ms that leave the failure domain under overload.

    Replays derwent-wheels scale-1: all upstreams of the last service are busy,
    with queues that differ by chance.
    """
    generator = random.Random(3)
    chooser = placement.Placement(SETTINGS, generator)
    near = _candidate("near", run_s=near_run_s, limit=45)
    remote = [
        _candidate(f"remote{n}", domain, run_s=0.015, limit=45)
        for n, domain in enumerate("bc")
    ]
    left = 0
    for _ in range(draws):
        for candidate in (near, *remote):
            candidate.reported_busy = generator.randrange(45, 75)
        chosen = chooser.choose([near, *remote], 0, 0.0)
        left += chosen is not near
    return left / draws


def test_busy_service_is_called_nearby():
    """Calls cross failure domains though nothing is gained there."""
    assert _share_of_remote(1_000, near_run_s=0.015) < 0.25


def test_slow_upstream_nearby_is_left_when_busy():
    """Calls queue at a slow upstream while a faster one is as busy."""
    assert _share_of_remote(1_000, near_run_s=0.06) > 0.75
