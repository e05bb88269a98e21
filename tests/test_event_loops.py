"""Tests of the event loop of the programs."""

import random

import anyio
from anyio._backends import _asyncio as backend
import pytest

from medlardoor import event_loops

DEADLINES = 300


@pytest.fixture
def checks(monkeypatch):
    """Counts how often a deadline compares itself with the clock."""
    found = []
    compare = backend.CancelScope._timeout

    def counted(scope):
        found.append(scope)
        compare(scope)

    monkeypatch.setattr(backend.CancelScope, "_timeout", counted)
    return found


def test_deadline_that_is_nearly_due_does_not_spin(checks):
    """A deadline within a millisecond runs in each turn until it is over."""
    generator = random.Random(1)
    most = 0

    async def pass_deadlines():
        nonlocal most
        for _ in range(DEADLINES):
            checks.clear()
            with anyio.move_on_after(generator.uniform(0.0005, 0.004)):
                await anyio.sleep_forever()
            most = max(most, len(checks))

    anyio.run(pass_deadlines, backend_options=event_loops.BACKEND_OPTIONS)
    # Once when the deadline is set and once when it is over.
    assert most == 2


@pytest.mark.parametrize("delay_s", [-1.0, 0.0, 1e-9, 0.0004, 0.0013, 0.002])
def test_timer_never_runs_before_its_time(delay_s):
    """A rounded timer ends a wait before its time."""

    async def measure():
        loop = backend.get_running_loop()
        ended = anyio.Event()
        when = loop.time() + delay_s
        loop.call_at(when, ended.set)
        await ended.wait()
        return loop.time() - when

    late_s = anyio.run(measure, backend_options=event_loops.BACKEND_OPTIONS)
    assert late_s >= 0.0


def test_timer_for_a_distant_time_is_set_at_once():
    """A time that whole milliseconds cannot express takes forever to round."""

    async def set_timer():
        backend.get_running_loop().call_at(9.93988540507759e24, list).cancel()

    anyio.run(set_timer, backend_options=event_loops.BACKEND_OPTIONS)
