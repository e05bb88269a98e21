"""Counters, latency histograms and log events of callers' requests."""

import collections
import collections.abc

from hdrh import histogram
import logbook

from medlardoor import errors, logs
from medlardoor.mesh import runs

__all__ = ["Recorder"]

_LOG = logbook.Logger("calls")

# Range and precision of the latency histograms.
LOWEST_LATENCY_MS = 1
HIGHEST_LATENCY_MS = 120_000
SIGNIFICANT_DIGITS = 2

# Number of routes with a latency histogram, to limit the memory used.
MAX_HISTOGRAMS = 32

PERCENTILES = (50.0, 90.0, 99.0)

# Number of teams with counters of their own, to limit the number of series.
# The requests of further teams are counted under one name.
MAX_COUNTED_TEAMS = 256
OTHER_TEAMS = "(other)"


class Recorder:
    """Counts the outcomes of requests and logs all but timely successes.

    Args:
        attempt_header: Name of the header with the identifier of a request.
    """

    def __init__(self, attempt_header: bytes):
        self._attempt_header = attempt_header.lower()
        self._request_counts: collections.Counter[
            tuple[str, str, str | int]
        ] = collections.Counter()
        # Number of callers' requests by team and outcome.
        self._team_counts: dict[str, collections.Counter[str]] = {}
        self._refusal_listener: (
            collections.abc.Callable[[runs.Run, errors.Reason, float], None]
            | None
        ) = None
        # Number of requests by latency in milliseconds, for each route. The
        # histogram is built from it on demand, since recording a value in a
        # histogram would cost more than all other work of the recorder.
        self._latency_counts: dict[str, collections.Counter[int]] = {}

    def listen_to_refusals(
        self,
        listener: collections.abc.Callable[
            [runs.Run, errors.Reason, float], None
        ],
    ) -> None:
        """Sets the function that is called with each refused request.

        Args:
            listener: Called with the request, the reason and the current time
                in seconds.
        """
        self._refusal_listener = listener

    def record_response(self, call, attempt, result: runs.RunResult) -> None:
        """Counts a response of an upstream; logs server errors and late ones.

        Args:
            call: The call that ended.
            attempt: The last attempt.
            result: The response.
        """
        name = call.route.name
        finished_at = call.now
        self._count(name, "answered", result.status)
        self._count_team(call, "answered")
        self._record_latency(name, finished_at - call.request.received_at)
        is_late = finished_at > call.run.objective_deadline
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
        """Counts and logs a request that gets no response of an upstream.

        Args:
            call: The call that ended.
            attempt: The last attempt; None if the request was not sent.
            outcome: Whether the request may have run.
            reason: Why there is no response of an upstream.
            retry_after_s: Time after which the caller may retry, in seconds.
        """
        self._count(call.route.name, outcome.value, reason.value)
        self._count_team(call, reason.value)
        event = "request_failed"
        if outcome is errors.Outcome.NOT_RUN:
            event = "request_refused"
            if self._refusal_listener is not None:
                self._refusal_listener(call.run, reason, call.now)
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
        """Counts and logs a retry.

        Args:
            call: The call that is retried.
            attempt: The attempt that failed.
            reason: Why the attempt failed.
        """
        self._count(call.route.name, "repeated", reason.value)
        self._log(
            logbook.INFO,
            "request_repeated",
            call,
            attempt,
            reason=reason.value,
        )

    def record_cancellation(self, call, attempt) -> None:
        """Counts and logs a request whose caller has disconnected.

        Args:
            call: The call that ended.
            attempt: The last attempt; None if the request was not sent.
        """
        self._count(call.route.name, "cancelled", "caller_gone")
        self._count_team(call, "cancelled")
        self._log(logbook.INFO, "request_cancelled", call, attempt)

    def record_rejection(
        self,
        attempt_id: bytes,
        host: bytes,
        target: bytes,
        reason: errors.Reason,
        team: str = "",
    ) -> None:
        """Counts and logs a request that was refused without a call.

        Args:
            attempt_id: Identifier of the request; empty if it is unknown.
            host: Value of the ``Host`` header.
            target: Path and query.
            reason: Why the request was refused.
            team: Name of the caller's team; empty if it is unknown.
        """
        self._count("", errors.Outcome.NOT_RUN.value, reason.value)
        if team:
            self._add_to_team(team, reason.value)
        logs.log_request(
            _LOG,
            logbook.INFO,
            "request_rejected",
            request_id=_decode(attempt_id),
            host=_decode(host),
            target=_decode(target)[:200],
            reason=reason.value,
            **({"team": team} if team else {}),
        )

    def render(self) -> list[str]:
        """Returns the metrics as lines in the Prometheus exposition format."""
        lines = ["# TYPE medlardoor_requests_total counter"]
        for (route, outcome, detail), count in sorted(
            self._request_counts.items(), key=str
        ):
            labels = f'route="{route}",outcome="{outcome}",detail="{detail}"'
            lines.append(f"medlardoor_requests_total{{{labels}}} {count}")
        lines.append("# TYPE medlardoor_team_requests_total counter")
        for team, counts in sorted(self._team_counts.items()):
            for detail, count in sorted(counts.items()):
                labels = f'team="{team}",detail="{detail}"'
                lines.append(
                    f"medlardoor_team_requests_total{{{labels}}} {count}"
                )
        lines.append("# TYPE medlardoor_latency_ms summary")
        for route in sorted(self._latency_counts):
            latencies = self._histogram(route)
            for percentile in PERCENTILES:
                value = latencies.get_value_at_percentile(percentile)
                labels = f'route="{route}",quantile="{percentile / 100}"'
                lines.append(f"medlardoor_latency_ms{{{labels}}} {value}")
            lines.append(
                f'medlardoor_latency_ms_count{{route="{route}"}} '
                f"{latencies.get_total_count()}"
            )
        return lines

    def _count(self, route: str, outcome: str, detail: str | int) -> None:
        self._request_counts[route, outcome, detail] += 1

    def _count_team(self, call, detail: str) -> None:
        """Counts a request of a caller; calls of runs are not counted."""
        if call.run.team and not call.run.nested:
            self._add_to_team(_decode(call.run.team), detail)

    def _add_to_team(self, team: str, detail: str) -> None:
        counts = self._team_counts.get(team)
        if counts is None:
            if len(self._team_counts) >= MAX_COUNTED_TEAMS:
                team = OTHER_TEAMS
            counts = self._team_counts.setdefault(team, collections.Counter())
        counts[detail] += 1

    def _record_latency(self, route: str, latency_s: float) -> None:
        counts = self._latency_counts.get(route)
        if counts is None:
            if len(self._latency_counts) >= MAX_HISTOGRAMS:
                return
            counts = self._latency_counts[route] = collections.Counter()
        counts[int(latency_s * 1_000)] += 1

    def _histogram(self, route: str) -> histogram.HdrHistogram:
        latencies = histogram.HdrHistogram(
            LOWEST_LATENCY_MS, HIGHEST_LATENCY_MS, SIGNIFICANT_DIGITS
        )
        for latency_ms, count in self._latency_counts[route].items():
            bounded_ms = min(
                max(latency_ms, LOWEST_LATENCY_MS), HIGHEST_LATENCY_MS
            )
            latencies.record_value(bounded_ms, count)
        return latencies

    def _log(self, level: int, event: str, call, attempt, **fields) -> None:
        now = call.now
        candidate = attempt.candidate if attempt is not None else None
        if candidate is not None:
            fields["upstream"] = candidate.instance
            fields["upstream_busy"] = candidate.busy
            fields["upstream_limit"] = candidate.limit
            fields["upstream_level"] = candidate.level
            if candidate.level_updated_at:
                reported_ms = int((now - candidate.level_updated_at) * 1_000)
                fields["reported_ms_ago"] = reported_ms
            fields["sent_ms_ago"] = int((now - attempt.sent_at) * 1_000)
        logs.log_request(
            _LOG,
            level,
            event,
            request_id=_decode(call.run.attempt_id),
            route=call.route.name,
            service=call.run.service,
            call_level=call.run.level,
            age_ms=int((now - call.request.received_at) * 1_000),
            left_ms=int((call.run.deadline - now) * 1_000),
            offers=call.offer_count,
            **fields,
        )


def _decode(value: bytes) -> str:
    return value.decode("latin-1")
