"""Counts and latencies of one kind in rotating windows."""

import array
import collections
import collections.abc
import dataclasses

from hdrh import histogram

from medlardoor.config import policy as policy_module

__all__ = [
    "MAX_WINDOWS",
    "WINDOW_S",
    "KindWindows",
    "WindowSeries",
    "WindowTotals",
    "decode_histogram",
    "encode_histogram",
    "latency_ms",
    "new_histogram",
]

WINDOW_S = 10.0
# An hour of windows. A longer span is kept in longer windows, so that the
# memory for a kind does not grow with the objective.
MAX_WINDOWS = 360
UNITS_PER_SECOND = 10_000
MAX_LATENCY_S = 60
SIGNIFICANT_DIGITS = 2
COUNTER_BYTES = 4


def new_histogram() -> histogram.HdrHistogram:
    """Gives an empty histogram of latencies in units of 100 µs."""
    return histogram.HdrHistogram(
        1,
        MAX_LATENCY_S * UNITS_PER_SECOND,
        SIGNIFICANT_DIGITS,
        word_size=COUNTER_BYTES,
    )


def encode_histogram(found: histogram.HdrHistogram) -> str:
    """Gives a histogram in the compressed form of HdrHistogram, base64."""
    return found.encode().decode("ascii")


def decode_histogram(text: str) -> histogram.HdrHistogram:
    """Reads what `encode_histogram` gives.

    Raises:
        Exception: The text is not a histogram; the codec raises exceptions
            of several libraries without a common base.
    """
    return histogram.HdrHistogram.decode(text.encode("ascii"))


def latency_ms(found: histogram.HdrHistogram, percentile: float) -> float:
    """Latency at a percentile, in milliseconds; 0 if nothing is recorded."""
    if not found.get_total_count():
        return 0.0
    units = found.get_value_at_percentile(percentile)
    return units * 1_000 / UNITS_PER_SECOND


@dataclasses.dataclass(frozen=True, slots=True)
class WindowTotals:
    """Sums over several windows.

    Attributes:
        total: Requests.
        bad: Requests that miss the objective.
        latency: Latencies of answered requests.
    """

    total: int
    bad: int
    latency: histogram.HdrHistogram


@dataclasses.dataclass(frozen=True, slots=True)
class _ClosedWindow:
    """A window that is no longer written.

    Only counters above zero are kept, as pairs of arrays: a histogram of its
    own would take 7 KB a window.
    """

    ended_at: float
    total: int
    bad: int
    indexes: array.array
    counts: array.array


class _SpanSum:
    """Running sum over the closed windows that end within a span.

    A sum over 360 windows at each query took 65 ms a kind, during which the
    node would answer no calls.
    """

    def __init__(self, span_s: float):
        self.span_s = span_s
        self.windows: collections.deque[_ClosedWindow] = collections.deque()
        self.total = 0
        self.bad = 0
        self.counts: collections.Counter[int] = collections.Counter()

    def add(self, window: _ClosedWindow) -> None:
        """Adds a window."""
        self.windows.append(window)
        self._change(window, 1)

    def expire(self, now: float) -> None:
        """Takes out the windows that ended before the span."""
        while self.windows and self.windows[0].ended_at <= now - self.span_s:
            self._change(self.windows.popleft(), -1)
        if not self.windows:
            self.counts.clear()

    def _change(self, window, sign):
        self.total += sign * window.total
        self.bad += sign * window.bad
        for index, count in zip(window.indexes, window.counts, strict=True):
            self.counts[index] += sign * count


class WindowSeries:
    """Windows that together cover one or several spans of time.

    Args:
        spans_s: Spans to sum over, in seconds; the longest decides how long
            a window is.
        now: Current time, in seconds.
    """

    def __init__(self, spans_s: collections.abc.Iterable[float], now: float):
        self._sums = {span_s: _SpanSum(span_s) for span_s in spans_s}
        self.window_s = max(WINDOW_S, max(self._sums) / MAX_WINDOWS)
        self._open(now)

    @property
    def window_count(self) -> int:
        """Number of closed windows that are kept."""
        return max(len(each.windows) for each in self._sums.values())

    def record(self, bad: bool, latency_s: float | None, now: float) -> None:
        """Counts one request.

        Args:
            bad: Whether it misses the objective.
            latency_s: Its latency in seconds if it was answered.
            now: Current time, in seconds.
        """
        self.rotate(now)
        self._total += 1
        self._bad += bad
        if latency_s is not None:
            bounded = min(max(latency_s, 0.0), MAX_LATENCY_S)
            self._latency.record_value(
                max(1, round(bounded * UNITS_PER_SECOND))
            )

    def rotate(self, now: float) -> None:
        """Closes the current window if its time is over."""
        if now - self._opened_at < self.window_s:
            return
        if self._total:
            window = _ClosedWindow(
                self._opened_at + self.window_s,
                self._total,
                self._bad,
                *self._nonzero_counts(),
            )
            for each in self._sums.values():
                each.add(window)
        for each in self._sums.values():
            each.expire(now)
        self._open(now)

    def totals(self, span_s: float, now: float) -> WindowTotals:
        """Sums the current window and those that end within a span.

        Args:
            span_s: One of the spans of the series, in seconds.
            now: Current time, in seconds.
        """
        self.rotate(now)
        found = self._sums[span_s]
        latency = new_histogram()
        for index, count in found.counts.items():
            if count:
                value = latency.get_value_from_index(index)
                latency.record_value(value, count)
        for index, count in zip(*self._nonzero_counts(), strict=True):
            value = latency.get_value_from_index(index)
            latency.record_value(value, count)
        return WindowTotals(
            found.total + self._total, found.bad + self._bad, latency
        )

    def _open(self, now):
        self._opened_at = now
        self._total = 0
        self._bad = 0
        self._latency = new_histogram()

    def _nonzero_counts(self):
        """Indexes and values of the counters above zero."""
        indexes = array.array("H")
        counts = array.array("I")
        if self._latency.get_total_count():
            greatest = self._latency.get_max_value()
            last = self._latency.get_counts_array_index(greatest)
            for index in range(last + 1):
                count = self._latency.get_count_at_index(index)
                if count:
                    indexes.append(index)
                    counts.append(count)
        return indexes, counts


class KindWindows:
    """The windows of one kind for both windows of its objective.

    One series serves both spans unless the long span needs longer windows.

    Args:
        objective: Objective of the kind.
        now: Current time, in seconds.
    """

    def __init__(self, objective: policy_module.Objective, now: float):
        self.objective = objective
        short_s = objective.window_short_s
        long_s = objective.window_long_s
        self._long = WindowSeries((short_s, long_s), now)
        self._short = self._long
        if self._long.window_s > WINDOW_S:
            self._long = WindowSeries((long_s,), now)
            self._short = WindowSeries((short_s,), now)

    def record(self, bad: bool, latency_s: float | None, now: float) -> None:
        """Counts one request in both series."""
        self._long.record(bad, latency_s, now)
        if self._short is not self._long:
            self._short.record(bad, latency_s, now)

    def short_totals(self, now: float) -> WindowTotals:
        """Sums over the short window of the objective."""
        return self._short.totals(self.objective.window_short_s, now)

    def long_totals(self, now: float) -> WindowTotals:
        """Sums over the long window of the objective."""
        return self._long.totals(self.objective.window_long_s, now)
