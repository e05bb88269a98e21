"""Tests of the queue for slots."""

import collections
import heapq
import random

import pytest

from medlardoor.admission import levels, waiting

Decision = waiting.Decision


def _make_queue(slots=10, **settings):
    admission_queue = waiting.AdmissionQueue(
        waiting.AdmissionQueueSettings(**settings)
    )
    admission_queue.set_slots(slots)
    return admission_queue


def _level(rank):
    return rank * levels.LEVELS_PER_RANK


def _ticket(rank=2, deadline=5.0, objective_deadline=1.0):
    return waiting.Ticket(_level(rank), deadline, objective_deadline)


def _fill(admission_queue):
    """Takes the last slot."""
    ticket = _ticket()
    assert admission_queue.offer(ticket, 0.0) is Decision.START
    return ticket


def test_limit_leaves_some_slots():
    """Not all slots may be used, because an upstream would become slow."""
    admission_queue = _make_queue(slots=48)
    assert admission_queue.limit == 45


def test_nothing_starts_without_slots():
    """No request may start before the upstream has reported its slots."""
    admission_queue = waiting.AdmissionQueue(waiting.AdmissionQueueSettings())
    assert admission_queue.offer(_ticket(), 0.0) is Decision.REFUSE


def test_urgent_request_overtakes():
    """An urgent request must not wait behind less urgent ones."""
    admission_queue = _make_queue(slots=1)
    running = _fill(admission_queue)
    low, high = _ticket(rank=0), _ticket(rank=1)
    assert admission_queue.offer(low, 0.0) is Decision.WAIT
    assert admission_queue.offer(high, 0.0) is Decision.WAIT
    admission_queue.end(running, 0.01, True)
    assert admission_queue.start_next(0.01) is high
    assert admission_queue.start_next(0.01) is None


def test_cancelled_ticket_never_starts():
    """A request whose caller disconnected must not be given a slot."""
    admission_queue = _make_queue(slots=1)
    running = _fill(admission_queue)
    cancelled, next_ticket = _ticket(), _ticket()
    admission_queue.offer(cancelled, 0.0)
    admission_queue.offer(next_ticket, 0.0)
    admission_queue.withdraw(cancelled)
    admission_queue.end(running, 0.01, True)
    assert admission_queue.start_next(0.01) is next_ticket
    assert admission_queue.waiting == 0


def test_least_urgent_rank_expires_early():
    """Rank 0 must be refused early enough to be served by another instance."""
    admission_queue = _make_queue(slots=1)
    _fill(admission_queue)
    low, high = _ticket(rank=0), _ticket(rank=1)
    admission_queue.offer(low, 0.0)
    admission_queue.offer(high, 0.0)
    assert admission_queue.expire(0.2) == [low]
    assert admission_queue.expire(3.1) == [high]


def test_passed_deadline_is_refused():
    """A request past its deadline must not be given a slot."""
    admission_queue = _make_queue()
    assert admission_queue.offer(_ticket(deadline=1.0), 1.0) is Decision.REFUSE


def test_too_long_wait_is_refused_at_once():
    """A long queue must not accept requests that it cannot serve in time."""
    admission_queue = _make_queue(slots=1)
    now = 0.0
    running = _ticket(deadline=1e9)
    admission_queue.offer(running, now)
    for _ in range(50):
        now += 0.5
        admission_queue.offer(_ticket(deadline=1e9), now)
        admission_queue.end(running, now, True)
        running = admission_queue.start_next(now)
        admission_queue.tick(now)
    admission_queue.offer(_ticket(deadline=1e9), now)
    late = _ticket(rank=0, deadline=now + 2.0, objective_deadline=now + 1.0)
    assert admission_queue.offer(late, now) is Decision.REFUSE


def test_clear_returns_each_ticket_once():
    """Each request that waits for a leaving upstream must be refused once."""
    admission_queue = _make_queue(slots=1)
    _fill(admission_queue)
    waiting_tickets = [_ticket(), _ticket(rank=3)]
    for ticket in waiting_tickets:
        admission_queue.offer(ticket, 0.0)
    assert admission_queue.clear() == waiting_tickets
    assert admission_queue.clear() == []
    assert admission_queue.waiting == 0


class _Replay:
    """Replays arrivals at a queue for a given number of slots."""

    def __init__(self, slots):
        self.admission_queue = _make_queue(slots=slots)
        self.started = []
        self._ends = []

    def arrive(self, at, level, work_s, deadline, goal, chain=None):
        self._finish_until(at)
        payload = (work_s, chain)
        ticket = waiting.Ticket(level, at + deadline, at + goal, payload)
        decision = self.admission_queue.offer(ticket, at)
        if decision is Decision.START:
            self._start(ticket, at)
        return decision

    def finish(self):
        self._finish_until(1e9)

    def _start(self, ticket, now):
        self.started.append((now, ticket))
        end = now + ticket.payload[0]
        heapq.heappush(self._ends, (end, id(ticket), ticket))

    def _finish_until(self, now):
        while self._ends and self._ends[0][0] <= now:
            at, _, ticket = heapq.heappop(self._ends)
            self.admission_queue.end(ticket, at, True)
            self.admission_queue.expire(at)
            self.admission_queue.tick(at)
            while (
                next_ticket := self.admission_queue.start_next(at)
            ) is not None:
                self._start(next_ticket, at)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overload_serves_cheap_urgent_calls(seed):
    """Expensive requests of low rank must not displace nested calls.

    Replays a parts inventory at 1.3 times its capacity: calls of 15 ms with an
    objective of 300 ms, and requests of 240 ms that may be refused.
    """
    generator = random.Random(seed)
    load = _Replay(slots=48)
    arrivals = []
    for rate, rank, work_s, deadline, goal in (
        (1_700, 1, 0.015, 0.7, 0.3),
        (150, 0, 0.240, 2.5, 0.6),
    ):
        at = 0.0
        while at < 6.0:
            at += generator.expovariate(rate)
            level = _level(rank) + generator.randrange(levels.LEVELS_PER_RANK)
            arrivals.append((at, level, work_s, deadline, goal))
    for arrival in sorted(arrivals):
        load.arrive(*arrival)
    load.finish()
    offered = collections.Counter(
        a[1] // levels.LEVELS_PER_RANK for a in arrivals
    )
    served = collections.Counter(
        ticket.rank
        for now, ticket in load.started
        if now + ticket.payload[0] <= ticket.objective_deadline
    )
    assert served[1] >= 0.99 * offered[1]
    # Rank 0 uses at least 0.75 of the capacity that the calls leave.
    capacity_left = (load.admission_queue.limit - 1_700 * 0.015) / 0.240 * 6.0
    assert served[0] >= 0.75 * min(capacity_left, offered[0])


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overload_completes_whole_chains(seed):
    """Refusals must be concentrated on some chains, so that others complete.

    Replays a parts inventory that has lost two of its three upstreams: chains
    of four sequential calls at 1.6 times the capacity. Without levels, calls of
    all chains are refused with the same probability, so that hardly any chain
    completes.
    """
    generator = random.Random(seed)
    load = _Replay(slots=48)
    capacity = load.admission_queue.limit / 0.015
    events = []
    at = 0.0
    while at < 8.0:
        at += generator.expovariate(1.6 * capacity / 4)
        chain = generator.randbytes(8)
        heapq.heappush(events, (at, chain, 0))
    completed = 0
    while events:
        at, chain, step = heapq.heappop(events)
        level = levels.nested_level(levels.entry_level(0, chain))
        decision = load.arrive(at, level, 0.015, 0.7, 0.3, chain)
        if decision is Decision.REFUSE:
            continue
        if step == 3:
            completed += at > 2.0
        else:
            heapq.heappush(events, (at + 0.03, chain, step + 1))
    possible = capacity / 4 * 6.0
    assert completed >= 0.8 * possible


def _replay_chains(tracks_runs):
    """Replays chains of calls under overload.

    Replays clearflow-bengal scale-1: chains of eight sequential calls at three
    upstreams, with twice the calls that fit.

    Args:
        tracks_runs: Whether the node at which a chain starts offers the run of
            the chain as a request, and its calls are nested. Otherwise each
            call is admitted on its own.

    Returns:
        The number of completed chains, and the share of the served calls that
        belong to other chains.
    """
    generator = random.Random(7)
    settings = waiting.AdmissionQueueSettings()
    if not tracks_runs:
        settings = waiting.AdmissionQueueSettings(level=levels.LevelSettings())
    call_queues = [waiting.AdmissionQueue(settings) for _ in range(3)]
    for admission_queue in call_queues:
        admission_queue.set_slots(17)
    entry_queues = [
        waiting.AdmissionQueue(waiting.AdmissionQueueSettings())
        for _ in range(5)
    ]
    for admission_queue in entry_queues:
        admission_queue.set_slots(36)
    ends = []
    completed_chains = served = 0

    def enter(chain, now):
        if not tracks_runs:
            offer(chain, now)
            return
        admission_queue = generator.choice(entry_queues)
        level = chain["level"] - levels.LEVELS_PER_RANK
        chain["run"] = waiting.Ticket(level, now + 5.0, now + 1.5, chain)
        chain["queue"] = admission_queue
        if admission_queue.offer(chain["run"], now) is waiting.Decision.START:
            offer(chain, now)

    def leave(chain, now):
        if not tracks_runs:
            return
        admission_queue = chain["queue"]
        admission_queue.end(chain["run"], now, True)
        while (started_ticket := admission_queue.start_next(now)) is not None:
            offer(started_ticket.payload, now)

    def offer(chain, now):
        admission_queue = generator.choice(call_queues)
        ticket = waiting.Ticket(
            chain["level"], now + 0.7, now + 0.3, (admission_queue, chain)
        )
        ticket.nested = tracks_runs
        decision = admission_queue.offer(ticket, now)
        if decision is waiting.Decision.START:
            start(ticket, now)
        elif decision is waiting.Decision.REFUSE:
            refuse(chain, now)

    def refuse(chain, now):
        if tracks_runs:
            chain["run"].nested_wait_s += 1.0
        leave(chain, now)

    def start(ticket, now):
        run_s = generator.uniform(0.03, 0.08)
        heapq.heappush(ends, (now + run_s, id(ticket), ticket))

    now, next_chain, next_tick = 0.0, 0.0, 0.0
    while now < 20.0:
        due = min(next_chain, next_tick, ends[0][0] if ends else 99.0)
        now = due
        if due == next_tick:
            next_tick += 0.1
            for admission_queue in entry_queues:
                admission_queue.tick(now)
                admission_queue.expire(now)
            for admission_queue in call_queues:
                admission_queue.tick(now)
                for expired in admission_queue.expire(now):
                    refuse(expired.payload[1], now)
        elif due == next_chain:
            next_chain += generator.expovariate(230.0)
            level = levels.nested_level(
                levels.entry_level(0, generator.randbytes(8))
            )
            enter({"level": level, "done": 0}, now)
        else:
            ticket = heapq.heappop(ends)[2]
            admission_queue, chain = ticket.payload
            admission_queue.end(ticket, now, True)
            served += 1
            chain["done"] += 1
            if tracks_runs:
                waited_s = ticket.started_at - ticket.offered_at
                chain["run"].nested_wait_s += waited_s
            if chain["done"] < 8:
                offer(chain, now)
            else:
                completed_chains += 1
                leave(chain, now)
            while (
                started_ticket := admission_queue.start_next(now)
            ) is not None:
                start(started_ticket, now)
    return completed_chains, 1 - 8 * completed_chains / served


def test_chains_that_have_begun_are_ended():
    """A rising level must not refuse calls of chains already in progress."""
    completed_chains, wasted_share = _replay_chains(tracks_runs=True)
    untracked_completed, untracked_wasted_share = _replay_chains(
        tracks_runs=False
    )
    assert wasted_share < 0.1
    assert completed_chains > 1.1 * untracked_completed
    assert wasted_share < untracked_wasted_share / 2
