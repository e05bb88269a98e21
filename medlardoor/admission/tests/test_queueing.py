"""Tests of the priority queue and of levels."""

import hypothesis
from hypothesis import strategies

from medlardoor.admission import levels, queueing
from medlardoor.calls import context


def _call(call_id, rank=0, deadline=10.0, level=None, max_wait_s=1.0):
    level = rank * 128 + call_id % 128 if level is None else level
    return context.CallContext(
        bytes(16),
        call_id,
        "t",
        "k",
        rank,
        level,
        deadline,
        max_wait_s=max_wait_s,
    )


def _queue(*calls):
    queue = queueing.PriorityQueue()
    for call in calls:
        queue.push(call, 0.0)
    return queue


@hypothesis.settings(derandomize=True, max_examples=100)
@hypothesis.given(
    rows=strategies.lists(
        strategies.tuples(strategies.integers(0, 3), strategies.floats(0, 9)),
        max_size=30,
    ),
    removed=strategies.sets(strategies.integers(0, 29)),
)
def test_order_by_rank_then_deadline(rows, removed):
    """No cancelled call may start, and no call before a more important one."""
    calls = [_call(i, rank, end) for i, (rank, end) in enumerate(rows)]
    queue = _queue(*calls)
    for call_id in removed:
        queue.cancel(call_id)
    kept = [c for c in calls if c.call_id not in removed]
    expected = sorted(kept, key=lambda c: (-c.rank, c.deadline, c.call_id))
    assert len(queue) == len(kept)
    popped = [queue.pop().call.call_id for _ in kept]
    assert popped == [c.call_id for c in expected]
    assert queue.pop() is None


def test_eviction_takes_the_lowest_level():
    """No order may be evicted while a stock check stays in the queue."""
    queue = _queue(
        _call(1, rank=2, level=256),
        _call(2, rank=0, level=9, deadline=1.0),
        _call(3, rank=0, level=5, deadline=0.5),
    )
    assert [queue.evict().call.call_id for _ in range(3)] == [3, 2, 1]
    assert queue.evict() is None


def test_expiry_by_deadline_and_wait():
    """No call may start after its caller has stopped waiting."""
    queue = _queue(
        _call(1, deadline=1.0),
        _call(2, deadline=1.2),
        _call(3, deadline=9.0, max_wait_s=0.5),
    )
    late = queue.expire(0.9, lambda kind: 0.2)
    assert sorted(e.call.call_id for e in late) == [1, 3]
    assert [queue.count_from_rank(rank) for rank in (0, 1)] == [1, 0]


def test_level_is_stable():
    """All nodes must decide alike on the calls of one chain."""
    assert levels.level_of(2, b"0123456789abcdef") == 256 + 36
    spread = {levels.level_of(0, bytes([i]) * 16) for i in range(256)}
    assert len(spread) > 100
    assert max(spread) < 128


def test_level_fits_the_load_to_the_capacity():
    """The level must reject excess load and fall after the overload."""
    level = levels.AdmissionLevel()
    for _ in range(20):
        for value in range(256):
            level.record(value)
        level.adapt(64, lambda rank: 20, 10, False)
    assert 180 <= level.value <= 200
    for _ in range(20):
        level.adapt(64, lambda rank: 0, 10, False)
    assert level.value == 0
