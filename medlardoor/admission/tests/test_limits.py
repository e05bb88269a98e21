"""Tests of the concurrency limit against a fake upstream."""

import random

import pytest

from medlardoor.admission import limits
from medlardoor.bench import simulation
from medlardoor.blackboard import board as board_module
from medlardoor.config import settings as settings_module

SERVICE_S = 0.05
# Times within which the limit has to converge.
WRONG_REPORT_CONVERGENCE_S = 10.0
SLOWNESS_CONVERGENCE_S = 10.0


class LimitHarness:
    """An adaptive limit and an upstream with a FIFO queue and steady demand.

    The upstream may report another number of slots than it has.
    """

    def __init__(self, slots=40, reported=40, sends_reports=True):
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
        self.slowdown = 1.0
        self.max_accepted = 10_000
        self.observed_limits = []
        self._free_at = [0.0] * slots
        self.simulator.every(0.1, self._tick)
        if sends_reports:
            self.simulator.every(0.5, self._report)
        self._arrive()

    def run(self, seconds, rate):
        """Offers requests at a rate and drops those that exceed the limit."""
        self.rate = rate
        self.observed_limits = []
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
        shed = self.in_flight > self.max_accepted
        work_s = self.generator.gammavariate(4, SERVICE_S * self.slowdown / 4)
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
        self.observed_limits.append(self.limit.limit(self.simulator.now))

    def _report(self):
        self.board.load.report_at = self.simulator.now


CAPACITY = 40 / SERVICE_S


def test_lying_report_converges():
    """A report of too many slots must not cause seconds of queueing."""
    harness = LimitHarness(reported=1_000)
    harness.run(10, CAPACITY * 0.6)
    harness.run(WRONG_REPORT_CONVERGENCE_S, CAPACITY * 2)
    harness.run(60, CAPACITY * 2)
    middle = sorted(harness.observed_limits)[len(harness.observed_limits) // 2]
    assert 32 <= middle <= 60
    assert max(harness.observed_limits) <= 80


def test_steady_queueing_does_not_raise_the_limit():
    """Queueing latency must not raise the baseline and thereby the limit."""
    harness = LimitHarness(reported=1_000)
    harness.run(10, CAPACITY * 0.6)
    harness.run(30, CAPACITY * 2)
    early = sum(harness.observed_limits[-100:]) / 100
    harness.run(180, CAPACITY * 2)
    late = sum(harness.observed_limits[-100:]) / 100
    assert late <= early * 1.25


def test_idle_does_not_lower_the_limit():
    """A long idle period must not lower the limit for the load after it."""
    harness = LimitHarness(slots=40, reported=40)
    before = harness.run(20, CAPACITY * 0.9)
    assert harness.run(600, 2.0) >= before
    assert harness.run(60, 0.0) >= before


def test_slow_upstream_keeps_its_limit():
    """Slowness of the upstream itself must not reduce the limit as well."""
    harness = LimitHarness()
    harness.run(20, CAPACITY * 0.7)
    harness.slowdown = 10.0
    harness.run(SLOWNESS_CONVERGENCE_S, CAPACITY * 0.7)
    harness.run(20, CAPACITY * 0.7)
    assert min(harness.observed_limits) >= 36
    harness.slowdown = 1.0
    assert harness.run(20, CAPACITY * 0.7) >= 36


def test_shedding_upstream_lowers_the_limit():
    """An upstream that refuses requests must receive less load."""
    harness = LimitHarness(reported=40)
    harness.max_accepted = 20
    harness.run(20, CAPACITY)
    assert sum(harness.observed_limits[-100:]) / 100 <= 24


def test_old_report_reduces_the_limit_until_a_probe():
    """A node that was paused must not send full load based on an old report."""
    harness = LimitHarness(sends_reports=False)
    assert harness.run(1.0, 0.0) == 40
    assert harness.run(2.0, 0.0) == 4
    assert harness.run(3.0, CAPACITY * 0.5) >= 36


@pytest.mark.parametrize("demand", [0.5, 2.0])
def test_cold_upstream_is_ramped_up(demand):
    """A restarted upstream must not receive all waiting requests at once."""
    harness = LimitHarness()
    harness.run(10, CAPACITY * 0.5)
    harness.limit.restart(harness.simulator.now)
    assert harness.limit.limit(harness.simulator.now) == 4
    harness.run(10, CAPACITY * demand)
    assert harness.observed_limits == sorted(harness.observed_limits)
    assert harness.run(1.0, CAPACITY * demand) >= 36
