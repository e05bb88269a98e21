"""Tests of the clock that counts suspended time."""

import time

import pytest

from medlardoor.mesh import clock

pytestmark = pytest.mark.anyio


async def test_suspended_time_counts(monkeypatch):
    """A machine that was suspended lends from pledges that have expired."""
    before = clock.now()
    clock_gettime = time.clock_gettime

    def after_suspension(clock_id):
        suspended_s = 10.0 if clock_id == time.CLOCK_BOOTTIME else 0.0
        return clock_gettime(clock_id) + suspended_s

    monkeypatch.setattr(time, "clock_gettime", after_suspension)
    assert 10.0 <= clock.now() - before < 11.0
