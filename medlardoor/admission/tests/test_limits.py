"""Tests of the concurrency limit against a fake upstream."""

import random

import pytest

from medlardoor.admission import limits
from medlardoor.bench import simulation
from medlardoor.blackboard import board as board_module
from medlardoor.config import settings as settings_module

SERVICE_S = 0.05
# Stated times of convergence.
LYING_REPORT_S = 10.0
SLOWNESS_S = 10.0


class Bench:
    """An upstream with true slots and a FIFO queue, under steady demand."""

    def __init__(self, slots=40, reported=40, reports=True):
        self.simulator = simulation.Simulator()
        self.board = board_module.Blackboard("inventory-1", "inventory", "a")
        self.board.load.reported_slots = reported
        self.board.load.report_at = 0.0
        self.limit = limits.AdaptiveLimit(
            settings_module.AdmissionSettings(), self.board
        )
        self.generator = random.Random(3)
        self.slots = slots
        self.in_flight = 0
        self.rate = 0.0
        self.slow = 1.0
        self.sheds_above = 10_000
        self.seen = []
        self._free_at = [0.0] * slots
        self.simulator.every(0.1, self._tick)
        if reports:
            self.simulator.every(0.5, self._report)
        self._arrive()

    def run(self, seconds, rate):
        """Offers a rate; what exceeds the limit is dropped."""
        self.rate = rate
        self.seen = []
        self.simulator.run(self.simulator.now + seconds)
        return self.limit.limit(self.simulator.now)

    def _arrive(self):
        rate = max(self.rate, 1.0)
        gap_s = self.generator.expovariate(rate)
        self.simulator.after(gap_s, self._arrive)
        now = self.simulator.now
        if self.rate == 0 or self.in_flight >= self.limit.limit(now):
            return
        self.in_flight += 1
        self.limit.record_start(self.in_flight, now)
        shed = self.in_flight > self.sheds_above
        work_s = self.generator.gammavariate(4, SERVICE_S * self.slow / 4)
        slot = min(range(self.slots), key=self._free_at.__getitem__)
        end = now if shed else max(now, self._free_at[slot]) + work_s
        self._free_at[slot] = max(end, self._free_at[slot])
        self.simulator.after(end - now, self._end, now, shed)

    def _end(self, began, shed):
        self.in_flight -= 1
        now = self.simulator.now
        self.limit.record_end("k", now - began, not shed, shed, now)

    def _tick(self):
        self.limit.tick(self.simulator.now)
        self.seen.append(self.limit.limit(self.simulator.now))

    def _report(self):
        self.board.load.report_at = self.simulator.now


CAPACITY = 40 / SERVICE_S


def test_lying_report_converges():
    """A report of 1,000 slots that lets the upstream queue for seconds."""
    bench = Bench(reported=1_000)
    bench.run(10, CAPACITY * 0.6)
    bench.run(LYING_REPORT_S, CAPACITY * 2)
    bench.run(60, CAPACITY * 2)
    middle = sorted(bench.seen)[len(bench.seen) // 2]
    assert 32 <= middle <= 60
    assert max(bench.seen) <= 80


def test_steady_queueing_does_not_raise_the_limit():
    """A baseline that follows the queue and lets the limit drift up."""
    bench = Bench(reported=1_000)
    bench.run(10, CAPACITY * 0.6)
    bench.run(30, CAPACITY * 2)
    early = sum(bench.seen[-100:]) / 100
    bench.run(180, CAPACITY * 2)
    late = sum(bench.seen[-100:]) / 100
    assert late <= early * 1.25


def test_idle_does_not_shrink_the_limit():
    """A quiet night after which the morning's load is refused."""
    bench = Bench(slots=40, reported=40)
    before = bench.run(20, CAPACITY * 0.9)
    assert bench.run(600, 2.0) >= before
    assert bench.run(60, 0.0) >= before


def test_slow_upstream_keeps_its_limit():
    """Slowness of the upstream itself that costs throughput on top."""
    bench = Bench()
    bench.run(20, CAPACITY * 0.7)
    bench.slow = 10.0
    bench.run(SLOWNESS_S, CAPACITY * 0.7)
    bench.run(20, CAPACITY * 0.7)
    assert min(bench.seen) >= 36
    bench.slow = 1.0
    assert bench.run(20, CAPACITY * 0.7) >= 36


def test_shedding_upstream_shrinks_the_limit():
    """An upstream that answers 503 and still gets the same load."""
    bench = Bench(reported=40)
    bench.sheds_above = 20
    bench.run(20, CAPACITY)
    assert sum(bench.seen[-100:]) / 100 <= 24


def test_stale_report_is_distrusted_until_a_probe():
    """A paused node that sends full load to an upstream it knows old."""
    bench = Bench(reports=False)
    assert bench.run(1.0, 0.0) == 40
    assert bench.run(2.0, 0.0) == 4
    assert bench.run(3.0, CAPACITY * 0.5) >= 36


@pytest.mark.parametrize("demand", [0.5, 2.0])
def test_cold_upstream_is_ramped_up(demand):
    """A restarted upstream that gets all waiting callers at once."""
    bench = Bench()
    bench.run(10, CAPACITY * 0.5)
    bench.limit.restart(bench.simulator.now)
    assert bench.limit.limit(bench.simulator.now) == 4
    bench.run(10, CAPACITY * demand)
    assert bench.seen == sorted(bench.seen)
    assert bench.run(1.0, CAPACITY * demand) >= 36
