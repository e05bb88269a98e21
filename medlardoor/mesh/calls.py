"""Handling of one caller's request, from the first send to the response."""

import asyncio
import collections.abc
import dataclasses

import logbook

from medlardoor import errors, logs
from medlardoor.config import routes as routes_module
from medlardoor.mesh import handlers, local_run, refusals, runs, sends
from medlardoor.routing import placement as placement_module

__all__ = ["Call"]

_LOG = logbook.Logger("calls")

# The upstream enforces the same deadline and responds by itself, so the node
# ends a request only this long after its deadline, in seconds.
RESPONSE_MARGIN_S = 0.06

# Maximum number of times that a request is sent again after a refusal, for
# `_REDIRECT_REASONS` and for `_OVERLOAD_REASONS`.
MAX_REDIRECTS = 4
MAX_OVERLOAD_REDIRECTS = 1

_REDIRECT_REASONS = frozenset(
    {
        errors.Reason.LEAVING,
        errors.Reason.NO_UPSTREAM,
        errors.Reason.UPSTREAM_UNAVAILABLE,
        errors.Reason.NODE_UNREACHABLE,
        errors.Reason.BUFFERS_FULL,
    }
)
_OVERLOAD_REASONS = frozenset(
    {errors.Reason.OVERLOAD, errors.Reason.QUEUE_TIMEOUT}
)


@dataclasses.dataclass(slots=True)
class Attempt:
    """One send of a request to an upstream.

    Attributes:
        candidate: The upstream that the request was sent to.
        sent_at: When it was sent, in seconds of the event loop's clock.
    """

    candidate: placement_module.Candidate
    sent_at: float


class Call(handlers.RequestHandle):
    """One caller's request while it is in progress.

    Args:
        shared: State shared by all calls of the node.
        request: The request.
        route: Route that matches the request.
        run: The request in the form that is sent to an upstream.
        reply: Called once with the response.
        parent: Run of the local upstream that made the request; None if the
            request comes from outside.
    """

    __slots__ = (
        "_attempt",
        "_shared",
        "_run_handle",
        "_loop",
        "_may_have_run",
        "_overload_redirects",
        "_parent",
        "_redirects",
        "_reply",
        "_send_tracker",
        "_timer",
        "is_done",
        "on_not_run",
        "path_level",
        "request",
        "route",
        "run",
        "fallback_result",
    )

    def __init__(
        self,
        shared: sends.SharedState,
        request: handlers.Request,
        route: routes_module.Route,
        run: runs.Run,
        reply: handlers.Reply,
        parent: local_run.LocalRun | None,
    ):
        self._shared = shared
        self._loop = asyncio.get_running_loop()
        self._reply = reply
        self._parent = parent
        self._attempt: Attempt | None = None
        self._run_handle: runs.RunHandle | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._send_tracker = sends.SendTracker(shared, route, run)
        self._redirects = 0
        self._overload_redirects = 0
        self._may_have_run = False
        self.is_done = False
        # Called when the request ends and has not run; None if nothing is to
        # be done.
        self.on_not_run: collections.abc.Callable[[], None] | None = None
        # Admission level of the called services if the request was refused
        # because of it, else 0.
        self.path_level = 0
        self.request = request
        self.route = route
        self.run = run
        # Error response of an upstream, returned if the retry yields no
        # response.
        self.fallback_result: runs.RunResult | None = None

    @property
    def now(self) -> float:
        """Current time, in seconds."""
        return self._loop.time()

    @property
    def offer_count(self) -> int:
        """Number of ended attempts that were sent to an upstream."""
        return self._send_tracker.offer_count

    def open(self) -> None:
        """Counts the request as in progress and sets its time limit.

        The limit holds for whatever the request waits for from now on.
        """
        self._shared.in_progress += 1
        self._timer = self._loop.call_at(
            self.run.deadline + RESPONSE_MARGIN_S, self._on_timeout
        )

    def withdraw(self) -> None:
        """Ends an open request that is not sent; the owner responds to it."""
        self._end()

    def start(self, path_level: int) -> None:
        """Sends an open request to an upstream, or refuses it.

        Args:
            path_level: Level of the calls that the upstream will make for the
                request.
        """
        now = self._loop.time()
        paths = self._shared.paths
        # A call made by a run in progress is not refused here: the work done by
        # the run would be lost, and its calls may still be admitted.
        is_entry = self._parent is None
        if is_entry and not paths.admits(self.route.name, path_level, now):
            # The calls made for the request would be refused, and the work
            # done for it would be wasted.
            self.path_level = paths.level_for(self.route.name, now)
            self._report_path_level(self.path_level)
            self._fail(errors.Outcome.NOT_RUN, errors.Reason.OVERLOAD)
            return
        share = self._shared.retry_share(self.run.service)
        if self.run.repeated:
            share.count_call_of_retried_run(now)
        else:
            share.count_first_attempt(now)
        self._send(now)

    def cancel(self) -> None:
        """Ends the request after its caller has disconnected."""
        if self.is_done:
            return
        self._end()
        self._shared.recorder.record_cancellation(self, self._attempt)
        self._cancel_attempt()

    def _send(self, now: float) -> None:
        candidates = self._send_tracker.candidates()
        candidate = self._shared.domain_placement.choose(
            candidates, self.run, self._send_tracker.was_sent, now
        )
        if candidate is None:
            reason = errors.Reason.NO_UPSTREAM
            if candidates or self._overload_redirects:
                reason = errors.Reason.OVERLOAD
                self._report_path_level(
                    min((c.level for c in candidates), default=0)
                )
            self._fail(errors.Outcome.NOT_RUN, reason)
            return
        candidate.outstanding += 1
        candidate.sent_since_report += 1
        attempt = Attempt(candidate, now)
        self._attempt = attempt
        self._run_handle = None
        target = self._shared.fleet.target(candidate.instance)
        handle = target.run(
            self.run, lambda result: self._receive_result(attempt, result)
        )
        if self._attempt is attempt and not self.is_done:
            self._run_handle = handle

    def end_after_error(self, error: Exception) -> None:
        """Ends the request after an unexpected exception, with a response.

        It may have been sent or not, so its outcome is unknown.
        """
        logs.log_exception(
            _LOG,
            "call_failed",
            error,
            request_id=self.run.attempt_id.decode("latin-1"),
            route=self.route.name,
        )
        if self.is_done:
            return
        self._end()
        self._cancel_attempt()
        self._reply(
            refusals.refusal_response(
                errors.Outcome.UNKNOWN, errors.Reason.INTERNAL_ERROR
            )
        )

    def _receive_result(self, attempt: Attempt, result: runs.RunResult) -> None:
        """Handles a result; an exception ends no other call beside it."""
        try:
            self._on_result(attempt, result)
        except Exception as error:  # noqa: BLE001
            self.end_after_error(error)

    def _on_result(self, attempt: Attempt, result: runs.RunResult) -> None:
        now = self._loop.time()
        candidate = attempt.candidate
        candidate.outstanding -= 1
        if result.running >= 0:
            candidate.reported_busy = result.running + result.waiting
            candidate.sent_since_report = 0
            candidate.set_time_percent(result.time_percent, now)
        if self.is_done or self._attempt is not attempt:
            return
        self._run_handle = None
        self._send_tracker.record(candidate, result)
        if self._parent is not None:
            self._parent.record_nested_wait(result.waited_s)
            self._parent.record_leaf_time(result.leaf_slot_s)
        self._report_path_level(
            max(
                result.level,
                result.path_level,
                self._send_tracker.retry_cutoff_level(now),
            )
        )
        if result.offered:
            self._shared.paths.observe(
                self.run.service, self.route.name, result.path_level, now
            )
        if result.outcome is errors.Outcome.ANSWERED:
            self._on_response(attempt, result, now)
        elif result.outcome is errors.Outcome.NOT_RUN:
            self._on_not_run(attempt, result, now)
        else:
            self._may_have_run = True
            self._record_result(attempt, False, now)
            if self._send_tracker.try_retry_failed(now):
                self._retry(result.reason, now)
            else:
                self._fail(result.outcome, result.reason)

    def _on_response(
        self, attempt: Attempt, result: runs.RunResult, now: float
    ) -> None:
        self._shared.domain_placement.record_response(
            self.run.service,
            attempt.candidate.failure_domain,
            result,
            now - attempt.sent_at,
        )
        is_success = result.status < refusals.MIN_SERVER_ERROR_STATUS
        if is_success or not result.path_level:
            # If a path level is reported, a failure may come from a called
            # service and is not counted against the upstream.
            self._record_result(attempt, is_success, now)
        if not is_success:
            self._may_have_run = True
            # The upstream itself responds 504 when the deadline has passed.
            is_upstream_failure = (
                result.status != refusals.TIMEOUT_STATUS
                and not result.path_level
            )
            if is_upstream_failure and self._send_tracker.try_retry_failed(now):
                self.fallback_result = result
                self._retry(errors.Reason.UPSTREAM_FAILED, now)
                return
        self._respond(result)

    def _on_not_run(
        self, attempt: Attempt, result: runs.RunResult, now: float
    ) -> None:
        reason = result.reason
        if reason is errors.Reason.UPSTREAM_SHED:
            self._record_result(attempt, False, now)
            if self._send_tracker.try_retry_unexecuted(now):
                self._retry(reason, now)
                return
        elif reason in _OVERLOAD_REASONS:
            attempt.candidate.level = max(result.level, self.run.level + 1)
            attempt.candidate.level_updated_at = now
            if self._overload_redirects < MAX_OVERLOAD_REDIRECTS:
                self._overload_redirects += 1
                self._send(now)
                return
        elif reason in _REDIRECT_REASONS and self._redirects < MAX_REDIRECTS:
            self._redirects += 1
            self._send(now)
            return
        self._fail(errors.Outcome.NOT_RUN, reason)

    def _report_path_level(self, level: int) -> None:
        """Reports an admission level to the run that made this request."""
        if self._parent is not None and level:
            self._parent.record_path_level(level)

    def _record_result(
        self, attempt: Attempt, is_success: bool, now: float
    ) -> None:
        self._shared.retry_share(self.run.service).record_result(is_success)
        self._shared.placement.answered(
            attempt.candidate, now - attempt.sent_at, is_success, now
        )

    def _retry(self, reason: errors.Reason, now: float) -> None:
        self._shared.recorder.record_retry(self, self._attempt, reason)
        self._send_tracker.prepare_retry()
        self._send(now)

    def _on_timeout(self) -> None:
        if self.is_done:
            return
        if self._attempt is None:
            # It still waits for a token.
            self._fail(errors.Outcome.NOT_RUN, errors.Reason.NO_LENDER)
            return
        if self._run_handle is not None:
            self._record_result(self._attempt, False, self._loop.time())
        self._fail(errors.Outcome.UNKNOWN, errors.Reason.DEADLINE_EXCEEDED)
        self._cancel_attempt()

    def _cancel_attempt(self) -> None:
        """Cancels the attempt in progress, whose result is then dropped."""
        handle = self._run_handle
        if handle is not None:
            self._run_handle = None
            self._attempt.candidate.outstanding -= 1
            handle.cancel()

    def _respond(self, result: runs.RunResult) -> None:
        self._end()
        self._shared.recorder.record_response(self, self._attempt, result)
        self._reply(
            handlers.Response(result.status, result.headers, result.body)
        )

    def _fail(self, outcome: errors.Outcome, reason: errors.Reason) -> None:
        """Ends the request with a refusal or with the kept error response."""
        if self.fallback_result is not None:
            self._respond(self.fallback_result)
            return
        if self._may_have_run:
            outcome = errors.Outcome.UNKNOWN
        on_not_run = self.on_not_run
        self._end()
        if on_not_run is not None and outcome is errors.Outcome.NOT_RUN:
            on_not_run()
        now = self._loop.time()
        if self._parent is not None and reason in _OVERLOAD_REASONS:
            # The run that made the call cannot succeed, so the time left until
            # the deadline counts as waiting time.
            self._parent.record_nested_wait(max(0.0, self.run.deadline - now))
        retry_after_s = self._shared.draw_retry_after_s(
            self.run.deadline - now, self.run.objective_deadline - now
        )
        self._shared.recorder.record_refusal(
            self, self._attempt, outcome, reason, retry_after_s
        )
        self._reply(refusals.refusal_response(outcome, reason, retry_after_s))

    def _end(self) -> None:
        self.is_done = True
        self._shared.in_progress -= 1
        if self._timer is not None:
            self._timer.cancel()
        # Both refer to this call, and a cycle would keep its body.
        self._timer = None
        self.on_not_run = None
