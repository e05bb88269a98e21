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

    def __init__(self, waiting, running):
        self._samples = loop_monitor.Samples(
            waiting, collections.Counter(running)
        )

    def take_samples(self):
        return self._samples


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


def test_loop_without_waits_is_reported_with_what_runs(lines):
    """A spinning node writes nothing that tells what it does."""
    monitor = _run(Alarm(0, {"a": 1, "b": 30, "c": 2, "d": 3}))
    assert [event for event, _ in lines] == ["event_loop_without_waits"] * 2
    assert lines[0][1]["functions"] == {"b": 30, "d": 3, "c": 2}
    assert monitor.gauges["event_loop_windows_without_waits_total"] == 2


@pytest.mark.parametrize(("waiting", "running"), [(1, 37), (0, 3)])
def test_busy_loop_that_waits_is_not_reported(lines, waiting, running):
    """Load, or too few samples, are taken for a spin."""
    monitor = _run(Alarm(waiting, {"a": running}))
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


def test_samples_tell_waits_from_the_function_that_runs(lines):
    """The function that spins is not named, or a wait counts as one."""

    async def run():
        alarm = loop_monitor.SignalAlarm()
        signal.setitimer(signal.ITIMER_REAL, 0.001, 0.001)
        try:
            for _ in range(MAX_ROUNDS):
                alarm.postpone()
                await anyio.sleep(0.002)
                samples = alarm.take_samples()
                if samples.waiting:
                    break
            for _ in range(MAX_ROUNDS):
                alarm.postpone()
                _run_for_long()
                running = alarm.take_samples().running
                if any("_run_for_long" in name for name in running):
                    return samples.waiting
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
