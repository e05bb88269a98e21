"""Tests of the monitor of the event loop."""

import collections
import signal

import anyio
import pytest

from medlardoor import logs
from medlardoor.mesh import loop_monitor

# Enough for a sample on any machine.
MAX_ROUNDS = 1_000_000


class Alarm(loop_monitor.NoAlarm):
    """Alarm with samples of its own."""

    def __init__(self, outside, running, waits_per_window):
        self._outside = outside
        self._running = running
        self._waits_per_window = waits_per_window
        self._waits = 0

    def take_samples(self):
        self._waits += self._waits_per_window
        return loop_monitor.Samples(
            self._outside, collections.Counter(self._running), self._waits
        )


@pytest.fixture(autouse=True)
def lines(monkeypatch):
    found = []

    def log_event(_logger, _level, event, **fields):
        found.append((event, fields))

    monkeypatch.setattr(logs, "log_event", log_event)
    return found


def _run(alarm):
    """Checks a loop for two windows; returns its monitor."""
    monitor = loop_monitor.LoopMonitor(alarm)
    for step in range(int(2 * loop_monitor.WINDOW_S * 4) + 1):
        monitor.check(100.0 + step * 0.25)
    return monitor


@pytest.mark.parametrize(
    ("outside", "waits"), [(10, 3), (3, 1_000)], ids=["waits", "share"]
)
def test_loop_without_waits_is_reported_with_what_runs(lines, outside, waits):
    """A spinning node writes nothing that tells what it does."""
    monitor = _run(Alarm(outside, {"a": 1, "b": 20, "c": 2, "d": 3}, waits))
    assert [event for event, _ in lines] == ["event_loop_without_waits"] * 2
    assert lines[0][1]["functions"] == {"b": 20, "d": 3, "c": 2}
    assert monitor.gauges["event_loop_windows_without_waits_total"] == 2


@pytest.mark.parametrize(("outside", "running"), [(18, 9), (0, 3)])
def test_busy_loop_that_waits_is_not_reported(lines, outside, running):
    """Load, or too few samples, are taken for a spin."""
    monitor = _run(Alarm(outside, {"a": running, "b": running}, 20))
    assert not lines
    assert monitor.gauges["event_loop_longest_gap_ms"] == 250


def test_code_that_holds_up_the_loop_is_reported_while_it_runs(lines):
    """A callback that does not return is never named."""
    alarm = loop_monitor.SignalAlarm()
    signal.setitimer(signal.ITIMER_REAL, 0.001, 0.001)
    try:
        for _ in range(MAX_ROUNDS):
            if lines:
                break
            _run_for_long()
    finally:
        alarm.close()
    ((event, fields),) = lines
    assert event == "event_loop_stalled"
    assert any("test_code_that_holds_up" in line for line in fields["stack"])


def test_samples_tell_the_function_that_runs(lines):
    """The function that spins is not named, or a wait counts as one."""

    async def run():
        alarm = loop_monitor.SignalAlarm()
        signal.setitimer(signal.ITIMER_REAL, 0.001, 0.001)
        try:
            for _ in range(MAX_ROUNDS):
                alarm.postpone()
                await anyio.sleep(0.002)
                samples = alarm.take_samples()
                if samples.outside:
                    break
            for _ in range(MAX_ROUNDS):
                alarm.postpone()
                _run_for_long()
                running = alarm.take_samples().running
                if any("_run_for_long" in name for name in running):
                    return samples.outside
        finally:
            alarm.close()

    assert anyio.run(run, backend_options={"use_uvloop": True})
    assert not lines


def _run_for_long():
    for _ in range(100_000):
        pass


def test_closed_alarm_ends_no_process():
    """A timer that is left behind ends the process with SIGALRM."""
    alarm = loop_monitor.SignalAlarm()
    alarm.close()
    assert signal.getitimer(signal.ITIMER_REAL) == (0.0, 0.0)
    signal.raise_signal(signal.SIGALRM)
