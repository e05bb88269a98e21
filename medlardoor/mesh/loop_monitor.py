"""Observes whether the event loop waits, and what runs while it does not.

A loop in which something is always ready uses a whole processor and never
waits, and a callback that does not return stops everything else. A node in
either state reports nothing by itself, so its code is sampled from outside the
loop.
"""

import abc
import asyncio.runners
import collections
import dataclasses
import os
import resource
import signal
import types

import logbook

from medlardoor import logs

__all__ = ["LoopMonitor", "NoAlarm", "Samples", "SignalAlarm", "StallAlarm"]

_LOG = logbook.Logger("event_loop")

# Interval of the samples, in seconds. No periodic task has an interval that is
# a multiple of it, so it is not in step with any of them.
SAMPLE_INTERVAL_S = 0.13

# Length of a window whose samples are judged together, in seconds.
WINDOW_S = 5.0

# Samples that a window needs for a verdict: half of those of a whole one.
MIN_SAMPLES = 19

# Part of the samples in one function from which on it counts as the reason for
# which the loop does not wait. The work of a busy node is spread over many.
DOMINANT_SHARE = 0.5

# Waits per second below which the loop counts as not waiting. The periodic
# tasks of an idle node alone make more than ten.
MIN_WAITS_PER_S = 2.0

# Time without a check after which the running code is reported, in seconds.
STALL_S = 2.0

# Frames of a stack, and functions of a window, that are reported.
_MAX_FRAMES = 8
_MAX_FUNCTIONS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Samples:
    """Samples of the code that ran.

    Attributes:
        outside: Number of samples in which no Python code ran inside of the
            event loop: it waited, or began or ended a turn.
        running: Number of other samples by function.
        waits: Times that the process gave up the processor to wait, since its
            start.
    """

    outside: int
    running: collections.Counter[str]
    waits: int

    @property
    def total(self) -> int:
        """Number of samples."""
        return self.outside + self.running.total()

    @property
    def dominant_share(self) -> float:
        """Part of the samples that the most frequent function has."""
        return max(self.running.values(), default=0) / max(1, self.total)


class StallAlarm(abc.ABC):
    """Samples the code that runs, and reports code that holds up the loop."""

    @abc.abstractmethod
    def postpone(self) -> None:
        """Notes that the event loop runs; called several times a second."""

    @abc.abstractmethod
    def take_samples(self) -> Samples:
        """Returns the samples since the last call."""


class NoAlarm(StallAlarm):
    """Alarm of a process whose signals belong to others."""

    def postpone(self) -> None:
        """Does nothing."""

    def take_samples(self) -> Samples:
        """Returns no samples."""
        return Samples(0, collections.Counter(), 0)


class SignalAlarm(StallAlarm):
    """Alarm by SIGALRM, whose handler runs between two Python instructions.

    It must be created in the main thread, while the event loop runs, and closed
    before the loop ends. A loop inside of a C function is not interrupted and
    not reported.
    """

    def __init__(self):
        self._outside = 0
        self._running: collections.Counter[str] = collections.Counter()
        self._samples_since_check = 0
        self._is_reported = False
        signal.signal(signal.SIGALRM, self._handle)
        signal.setitimer(
            signal.ITIMER_REAL, SAMPLE_INTERVAL_S, SAMPLE_INTERVAL_S
        )

    def postpone(self) -> None:
        """Begins the time until a report again; see `StallAlarm`."""
        self._samples_since_check = 0
        self._is_reported = False

    def take_samples(self) -> Samples:
        """Returns the samples since the last call; see `StallAlarm`."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        taken = Samples(self._outside, self._running, used.ru_nvcsw)
        self._outside = 0
        self._running = collections.Counter()
        return taken

    def close(self) -> None:
        """Stops the timer and ignores a signal on its way."""
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        signal.signal(signal.SIGALRM, signal.SIG_IGN)

    def _handle(self, _number: int, frame: types.FrameType | None) -> None:
        if frame is None:
            return
        self._samples_since_check += 1
        if _is_outside(frame):
            self._outside += 1
            return
        self._running[_name(frame.f_code)] += 1
        silent_s = self._samples_since_check * SAMPLE_INTERVAL_S
        if silent_s >= STALL_S and not self._is_reported:
            self._is_reported = True
            logs.log_event(
                _LOG,
                logbook.WARNING,
                "event_loop_stalled",
                stack=_describe_stack(frame),
            )


def _is_outside(frame: types.FrameType) -> bool:
    """Whether no Python code runs inside of the event loop."""
    return frame.f_code is asyncio.runners.Runner.run.__code__


def _name(code: types.CodeType) -> str:
    return f"{code.co_filename}:{code.co_qualname}"


def _describe_stack(frame: types.FrameType | None) -> list[str]:
    """Describes the innermost frames, the running one first."""
    lines = []
    while frame is not None and len(lines) < _MAX_FRAMES:
        lines.append(f"{_name(frame.f_code)}:{frame.f_lineno}")
        frame = frame.f_back
    return lines


class LoopMonitor:
    """Reports an event loop that does not wait.

    Args:
        alarm: Samples the code that runs.
    """

    def __init__(self, alarm: StallAlarm):
        self._alarm = alarm
        self._window_at: float | None = None
        self._checked_at: float | None = None
        self._longest_gap_s = 0.0
        self._waits = 0
        self._windows_without_waits = 0

    @property
    def gauges(self) -> dict[str, int]:
        """Metrics by name."""
        return {
            "event_loop_windows_without_waits_total": (
                self._windows_without_waits
            ),
            "event_loop_longest_gap_ms": int(self._longest_gap_s * 1_000),
            "threads": count_threads(),
        }

    def check(self, now: float) -> None:
        """Notes that the loop runs; called several times a second.

        Args:
            now: Current time, in seconds.
        """
        if self._checked_at is not None:
            gap_s = now - self._checked_at
            self._longest_gap_s = max(self._longest_gap_s, gap_s)
        self._checked_at = now
        self._alarm.postpone()
        if self._window_at is None:
            self._window_at = now
        if now - self._window_at >= WINDOW_S:
            self._end_window(now)

    def _end_window(self, now: float) -> None:
        elapsed_s = now - self._window_at
        self._window_at = now
        samples = self._alarm.take_samples()
        waits = samples.waits - self._waits
        self._waits = samples.waits
        if samples.total < MIN_SAMPLES:
            return
        # A simulated process makes voluntary context switches without waiting.
        has_waited = waits >= elapsed_s * MIN_WAITS_PER_S
        if has_waited and samples.dominant_share < DOMINANT_SHARE:
            return
        self._windows_without_waits += 1
        logs.log_event(
            _LOG,
            logbook.WARNING,
            "event_loop_without_waits",
            elapsed_ms=int(elapsed_s * 1_000),
            waits=waits,
            samples=samples.total,
            functions=dict(samples.running.most_common(_MAX_FUNCTIONS)),
        )


def count_threads() -> int:
    """Number of threads of this process; 0 if the kernel does not tell."""
    try:
        return len(os.listdir("/proc/self/task"))
    except OSError:
        return 0
