"""Tests of the limit that an upstream names, with explicit times."""

import heapq

import pytest

from medlardoor.admission import levels, named_limits, waiting


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


def test_limit_bounds_each_window(limit):
    """Unused requests of a quiet time are all sent in one burst."""
    sent = []
    for step in range(1_000):
        now = 1.0 + step * 0.01
        # Nothing is sent in the first three seconds.
        while now > 4.0 and limit.allows(now):
            limit.count_request(now)
            sent.append(now)
    for begin in sent:
        in_window = sum(begin <= at < begin + 4.0 for at in sent)
        assert in_window <= 20.0 * 4.0 * 1.5 + 5


def test_limit_of_zero_is_tried_now_and_then():
    """No response can show the end of a limit that lets nothing through."""
    limit = named_limits.NamedLimit()
    limit.observe(0.0, 0.0, 0.0)
    assert not limit.allows(1.0)
    assert limit.allows(4.0)
    limit.observe(None, 4.0, 4.1)
    assert limit.rate_per_s is None


def test_repeated_limit_gives_no_new_burst(limit):
    """Each response that names the same limit fills the bucket again."""
    for step in range(100):
        now = 1.0 + step * 0.001
        limit.observe(20.0, now, now)
    assert not limit.allows(1.04)


def test_concurrency_follows_the_limit(limit):
    """Other nodes choose a limited upstream by all of its slots."""
    assert limit.bound_concurrency(300, 0.1) == 2
    assert limit.bound_concurrency(1, 0.1) == 1
    assert limit.bound_concurrency(300, 0.0) == 1


def _replay(per_second, seconds, service_time_s=0.05, limit_per_s=50.0):
    """Offers requests by rank to a queue whose upstream names a limit.

    Returns:
        Numbers of started requests by rank, and all start times.
    """
    queue = waiting.AdmissionQueue(waiting.AdmissionQueueSettings())
    queue.set_slots(300)
    queue.named_limit.observe(limit_per_s, 0.0, 0.0)
    started = dict.fromkeys(per_second, 0)
    starts = []
    ends = []
    owed = dict.fromkeys(per_second, 0.0)
    number = 0

    def start(ticket, now):
        nonlocal number
        number += 1
        started[ticket.rank] += 1
        starts.append(now)
        heapq.heappush(ends, (now + service_time_s, number, ticket))

    for step in range(int(seconds * 100)):
        now = step * 0.01
        while ends and ends[0][0] <= now:
            queue.end(heapq.heappop(ends)[2], now, True)
        queue.expire(now)
        for rank, rate in per_second.items():
            owed[rank] += rate * 0.01
            while owed[rank] >= 1:
                owed[rank] -= 1
                number += 1
                level = levels.level_of(rank, b"%d" % number)
                ticket = waiting.Ticket(level, now + 2.0, now + 1.0)
                if queue.offer(ticket, now) is waiting.Decision.START:
                    start(ticket, now)
        if step % 10 == 0:
            queue.tick(now)
        while (ticket := queue.start_next(now)) is not None:
            start(ticket, now)
    return started, starts


def test_urgent_requests_get_the_rate_of_a_limited_upstream_first():
    """Orders are refused for a limit while stock checks are served."""
    started, starts = _replay({0: 100.0, 4: 40.0}, 8.0)
    assert len(starts) <= 50.0 * 8.0 + 13
    assert len(starts) >= 0.9 * 50.0 * 8.0
    assert started[4] >= 0.95 * 40.0 * 8.0


def test_limited_upstream_within_its_limit_serves_all():
    """A limit that the load keeps to refuses requests."""
    started, _ = _replay({0: 20.0, 4: 20.0}, 4.0)
    assert started[0] >= 0.97 * 80
    assert started[4] >= 0.97 * 80
