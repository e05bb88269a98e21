"""Tests of the token bucket."""

import hypothesis
from hypothesis import strategies

from medlardoor.teams import buckets


def _bucket(rate_per_s=10.0, capacity=5.0):
    bucket = buckets.TokenBucket()
    bucket.set_limit(rate_per_s, capacity, 0.0)
    return bucket


def _drain(bucket, now):
    count = 0
    while bucket.take(now):
        count += 1
    return count


def test_bucket_starts_empty():
    """A process that is started again repeats the burst."""
    bucket = _bucket()
    assert not bucket.take(0.0)
    assert _drain(bucket, 100.0) == 5


def test_lower_limit_drops_tokens():
    """Tokens collected under a higher limit are spent under the lower one."""
    bucket = _bucket()
    bucket.set_limit(1.0, 2.0, 100.0)
    assert _drain(bucket, 100.0) == 2


def test_higher_limit_adds_no_tokens():
    """Each increase of a limit gives a burst."""
    bucket = _bucket()
    assert _drain(bucket, 100.0) == 5
    bucket.set_limit(10.0, 50.0, 100.0)
    assert _drain(bucket, 100.0) == 0


def test_held_tokens_count_until_they_expire():
    """Tokens that are spent later add to a full burst."""
    bucket = _bucket()
    assert bucket.take_for_later(4, 0.2, 100.0) == 2
    assert _drain(bucket, 100.15) == 3
    assert _drain(bucket, 100.9) == 5


def test_returned_tokens_do_not_exceed_the_capacity():
    """Tokens of refused requests pile up to a larger burst."""
    bucket = _bucket()
    bucket.give_back(100, 100.0)
    assert _drain(bucket, 100.0) == 5


def test_wait_is_the_time_until_a_token():
    """A caller is told to come back when there is no token yet."""
    bucket = _bucket()
    _drain(bucket, 100.0)
    assert bucket.wait_s() == 0.1
    assert not bucket.take(100.09)
    assert bucket.take(100.11)
    assert bucket.wait_s(reserve=10.0) is None


def test_reserve_is_kept():
    """Requests of little importance use the last tokens."""
    bucket = _bucket()
    assert sum(bucket.take(100.0, reserve=2.0) for _ in range(9)) == 3
    assert _drain(bucket, 100.0) == 2


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0, 2),
            strategies.sampled_from(["take", "later", "shrink", "grow"]),
        ),
        max_size=60,
    )
)
def test_no_window_exceeds_rate_and_burst(steps):
    """Some sequence of calls gives more than rate x window + capacity."""
    bucket = _bucket()
    now, taken = 0.0, []
    for pause_s, step in steps:
        now += pause_s
        if step == "take":
            taken += [now] * _drain(bucket, now)
        elif step == "later":
            # The latest time at which the tokens may be spent.
            taken += [now + 0.2] * bucket.take_for_later(9, 0.2, now)
        else:
            factor = 0.5 if step == "shrink" else 1.0
            bucket.set_limit(10.0 * factor, 5.0 * factor, now)
    taken.sort()
    for first, start in enumerate(taken):
        for last in range(first, len(taken)):
            window_s = taken[last] - start
            assert last - first + 1 <= 10.0 * window_s + 5.0 + 1e-6
