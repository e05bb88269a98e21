"""Counters, histograms and log lines of the data path."""

import collections

from hdrh import histogram
import logbook

from medlardoor import errors, logs
from medlardoor.mesh import runs

__all__ = ["Recorder"]

_LOG = logbook.Logger("calls")

# Latencies from 1 ms to 2 minutes, in milliseconds, with two digits.
LOWEST_MS = 1
HIGHEST_MS = 120_000
DIGITS = 2

# Routes with histograms of their own; the bound protects the memory.
MAX_HISTOGRAMS = 32

QUANTILES = (50.0, 90.0, 99.0)


class Recorder:
    """Counts what happens to requests and logs what is not plain success.

    Args:
        attempt_header: Name of the header with the identifier of a request.
    """

    def __init__(self, attempt_header: bytes):
        self._attempt_header = attempt_header.lower()
        self._counts: collections.Counter[tuple[str, str, str | int]] = (
            collections.Counter()
        )
        # Counts by latency in milliseconds; a histogram is made of them when
        # it is asked for, since recording in it costs more than the rest.
        self._latencies: dict[str, collections.Counter[int]] = {}

    def record_response(self, call, attempt, result: runs.RunResult) -> None:
        """Counts an answer of an upstream; logs failures and late answers."""
        name = call.route.name
        finished_at = call.now
        self._count(name, "answered", result.status)
        self._time(name, finished_at - call.request.received_at)
        is_late = finished_at > call.run.goal_by
        if result.status < 500 and not is_late:
            return
        event = "request_late" if result.status < 500 else "request_failed"
        self._log(
            logbook.INFO,
            event,
            call,
            attempt,
            status=result.status,
        )

    def record_refusal(
        self,
        call,
        attempt,
        outcome: errors.Outcome,
        reason: errors.Reason,
        retry_after_s: float,
    ) -> None:
        """Counts and logs a request that gets no answer of an upstream."""
        self._count(call.route.name, outcome.value, reason.value)
        event = "request_failed"
        if outcome is errors.Outcome.NOT_RUN:
            event = "request_refused"
        fields = {}
        if call.path_level:
            fields["path_level"] = call.path_level
        self._log(
            logbook.INFO,
            event,
            call,
            attempt,
            outcome=outcome.value,
            reason=reason.value,
            retry_after_ms=int(retry_after_s * 1_000),
            **fields,
        )

    def record_retry(self, call, attempt, reason: errors.Reason) -> None:
        """Counts and logs that a request is sent once more."""
        self._count(call.route.name, "repeated", reason.value)
        self._log(
            logbook.INFO,
            "request_repeated",
            call,
            attempt,
            reason=reason.value,
        )

    def record_cancellation(self, call, attempt) -> None:
        """Counts and logs that a caller has gone."""
        self._count(call.route.name, "cancelled", "caller_gone")
        self._log(logbook.INFO, "request_cancelled", call, attempt)

    def record_rejection(
        self,
        attempt_id: bytes,
        host: bytes,
        target: bytes,
        reason: errors.Reason,
    ) -> None:
        """Counts and logs a request that was not tried.

        Args:
            attempt_id: Its identifier; empty if it is not known.
            host: Value of its ``Host`` header.
            target: Its path and query.
            reason: Why it was not tried.
        """
        self._count("", errors.Outcome.NOT_RUN.value, reason.value)
        logs.log_request(
            _LOG,
            logbook.INFO,
            "request_rejected",
            request_id=_text(attempt_id),
            host=_text(host),
            target=_text(target)[:200],
            reason=reason.value,
        )

    def render(self) -> list[str]:
        """Metrics as lines of text, in the Prometheus exposition format."""
        lines = ["# TYPE medlardoor_requests_total counter"]
        for (route, outcome, detail), count in sorted(
            self._counts.items(), key=str
        ):
            labels = f'route="{route}",outcome="{outcome}",detail="{detail}"'
            lines.append(f"medlardoor_requests_total{{{labels}}} {count}")
        lines.append("# TYPE medlardoor_latency_ms summary")
        for route in sorted(self._latencies):
            values = self._histogram(route)
            for quantile in QUANTILES:
                value = values.get_value_at_percentile(quantile)
                labels = f'route="{route}",quantile="{quantile / 100}"'
                lines.append(f"medlardoor_latency_ms{{{labels}}} {value}")
            lines.append(
                f'medlardoor_latency_ms_count{{route="{route}"}} '
                f"{values.get_total_count()}"
            )
        return lines

    def _count(self, route: str, outcome: str, detail: str | int) -> None:
        self._counts[route, outcome, detail] += 1

    def _time(self, route: str, latency_s: float) -> None:
        counts = self._latencies.get(route)
        if counts is None:
            if len(self._latencies) >= MAX_HISTOGRAMS:
                return
            counts = self._latencies[route] = collections.Counter()
        counts[int(latency_s * 1_000)] += 1

    def _histogram(self, route: str) -> histogram.HdrHistogram:
        values = histogram.HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS)
        for latency_ms, count in self._latencies[route].items():
            bounded_ms = min(max(latency_ms, LOWEST_MS), HIGHEST_MS)
            values.record_value(bounded_ms, count)
        return values

    def _log(self, level: int, event: str, call, attempt, **fields) -> None:
        now = call.now
        candidate = attempt.candidate if attempt is not None else None
        if candidate is not None:
            fields["upstream"] = candidate.instance
            fields["upstream_busy"] = candidate.busy
            fields["upstream_limit"] = candidate.limit
            fields["upstream_level"] = candidate.level
            if candidate.level_at:
                reported_ms = int((now - candidate.level_at) * 1_000)
                fields["reported_ms_ago"] = reported_ms
            fields["sent_ms_ago"] = int((now - attempt.sent_at) * 1_000)
        logs.log_request(
            _LOG,
            level,
            event,
            request_id=_text(call.run.attempt_id),
            route=call.route.name,
            service=call.run.service,
            call_level=call.run.level,
            age_ms=int((now - call.request.received_at) * 1_000),
            left_ms=int((call.run.deadline - now) * 1_000),
            offers=call.offer_count,
            **fields,
        )


def _text(value: bytes) -> str:
    return value.decode("latin-1")
