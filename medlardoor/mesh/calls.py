"""One request of a caller, from its first upstream to its answer."""

import asyncio
import dataclasses

from medlardoor import errors
from medlardoor.config import routes as routes_module
from medlardoor.mesh import handlers, local_run, refusals, runs, sends
from medlardoor.routing import placement as placement_module

__all__ = ["Call"]

# The upstream has the same time limit and answers by itself; the node ends a
# request so much later, in seconds.
TIMEOUT_MARGIN_S = 0.06

# Other instances that a request is offered to after refusals.
MAX_REDIRECTS = 4
MAX_OVERLOAD_REDIRECTS = 1

_MOVABLE = frozenset(
    {
        errors.Reason.LEAVING,
        errors.Reason.NO_UPSTREAM,
        errors.Reason.UPSTREAM_UNAVAILABLE,
        errors.Reason.NODE_UNREACHABLE,
        errors.Reason.BUFFERS_FULL,
    }
)
_OVERLOADED = frozenset({errors.Reason.OVERLOAD, errors.Reason.QUEUE_TIMEOUT})


@dataclasses.dataclass(slots=True)
class Attempt:
    """One send of a call.

    Attributes:
        candidate: Where it was sent.
        sent_at: When it was sent, in seconds.
    """

    candidate: placement_module.Candidate
    sent_at: float


class Call(handlers.RequestHandle):
    """One request of a caller.

    Args:
        services: What all calls share.
        request: The request.
        route: Its route.
        run: The request as it is sent to an upstream.
        reply: Called once with the response.
        parent: Run of the local upstream that makes the request.
    """

    __slots__ = (
        "_attempt",
        "_services",
        "_handle",
        "_loop",
        "_may_have_run",
        "_overload_redirects",
        "_parent",
        "_redirects",
        "_reply",
        "_sends",
        "_timer",
        "is_done",
        "path_level",
        "request",
        "route",
        "run",
        "spare_answer",
    )

    def __init__(
        self,
        services: sends.Services,
        request: handlers.Request,
        route: routes_module.Route,
        run: runs.Run,
        reply: handlers.Reply,
        parent: local_run.LocalRun | None,
    ):
        self._services = services
        self._loop = asyncio.get_running_loop()
        self._reply = reply
        self._parent = parent
        self._attempt: Attempt | None = None
        self._handle: runs.RunHandle | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._sends = sends.Sends(services, route, run)
        self._redirects = 0
        self._overload_redirects = 0
        self._may_have_run = False
        self.is_done = False
        # Level below its route that has refused the request; 0 if none has.
        self.path_level = 0
        self.request = request
        self.route = route
        self.run = run
        # Answer of an upstream that is delivered if no better one is had.
        self.spare_answer: runs.RunResult | None = None

    @property
    def now(self) -> float:
        """Current time, in seconds."""
        return self._loop.time()

    @property
    def offers(self) -> int:
        """Upstreams that the request was sent to."""
        return self._sends.offers

    def begin(self, path_level: int) -> None:
        """Sends the request to the first upstream.

        Args:
            path_level: Level that the calls made for the request will have.
        """
        now = self._loop.time()
        self._services.in_progress += 1
        paths = self._services.paths
        # A call of work in progress is not refused here: that work would be
        # lost, and the calls may still find room.
        enters = self._parent is None
        if enters and not paths.admits(self.route.name, path_level, now):
            # Its calls would be refused, and all work for it be wasted.
            self.path_level = paths.level_for(self.route.name, now)
            self._meet_level(self.path_level)
            self._give_up(errors.Outcome.NOT_RUN, errors.Reason.OVERLOAD)
            return
        share = self._services.share(self.run.service)
        if self.run.repeated:
            share.count_call_of_retried_run(now)
        else:
            share.count_first_attempt(now)
        self._timer = self._loop.call_at(
            self.run.deadline + TIMEOUT_MARGIN_S, self._time_out
        )
        self._send(now)

    def cancel(self) -> None:
        """Ends the request because its caller has gone."""
        if self.is_done:
            return
        self._end()
        self._services.recorder.cancelled(self, self._attempt)
        self._abandon()

    def _send(self, now: float) -> None:
        candidates = self._sends.candidates()
        candidate = self._services.placement.choose(
            candidates, self.run.level, now
        )
        if candidate is None:
            reason = errors.Reason.NO_UPSTREAM
            if candidates or self._overload_redirects:
                reason = errors.Reason.OVERLOAD
                self._meet_level(min((c.level for c in candidates), default=0))
            self._give_up(errors.Outcome.NOT_RUN, reason)
            return
        candidate.outstanding += 1
        candidate.sent_since_report += 1
        attempt = Attempt(candidate, now)
        self._attempt = attempt
        self._handle = None
        target = self._services.fleet.target(candidate.instance)
        handle = target.run(
            self.run, lambda result: self._on_result(attempt, result)
        )
        if self._attempt is attempt and not self.is_done:
            self._handle = handle

    def _on_result(self, attempt: Attempt, result: runs.RunResult) -> None:
        now = self._loop.time()
        candidate = attempt.candidate
        candidate.outstanding -= 1
        if result.running >= 0:
            candidate.reported_busy = result.running + result.waiting
            candidate.sent_since_report = 0
        if self.is_done or self._attempt is not attempt:
            return
        self._handle = None
        self._sends.note(candidate, result)
        if self._parent is not None:
            self._parent.record_nested_wait(result.waited_s)
            self._parent.record_leaf_time(result.leaf_s)
        self._meet_level(
            max(result.level, result.path_level, self._sends.lost_level(now))
        )
        if result.offered:
            self._services.paths.observe(
                self.run.service, self.route.name, result.path_level, now
            )
        if result.outcome is errors.Outcome.ANSWERED:
            self._on_answer(attempt, result, now)
        elif result.outcome is errors.Outcome.NOT_RUN:
            self._on_not_run(attempt, result, now)
        else:
            self._may_have_run = True
            self._learn(attempt, False, now)
            if self._sends.may_repeat(now):
                self._repeat(result.reason, now)
            else:
                self._give_up(result.outcome, result.reason)

    def _on_answer(
        self, attempt: Attempt, result: runs.RunResult, now: float
    ) -> None:
        good = result.status < refusals.SERVER_ERROR
        if good or not result.path_level:
            # Otherwise the failure lies below the upstream.
            self._learn(attempt, good, now)
        if not good:
            self._may_have_run = True
            # At its time limit the upstream says so itself.
            fails_here = (
                result.status != refusals.TIMEOUT_STATUS
                and not result.path_level
            )
            if fails_here and self._sends.may_repeat(now):
                self.spare_answer = result
                self._repeat(errors.Reason.UPSTREAM_FAILED, now)
                return
        self._deliver(result)

    def _on_not_run(
        self, attempt: Attempt, result: runs.RunResult, now: float
    ) -> None:
        reason = result.reason
        if reason is errors.Reason.UPSTREAM_SHED:
            self._learn(attempt, False, now)
            if self._sends.may_resend(now):
                self._repeat(reason, now)
                return
        elif reason in _OVERLOADED:
            attempt.candidate.level = max(result.level, self.run.level + 1)
            attempt.candidate.level_updated_at = now
            if self._overload_redirects < MAX_OVERLOAD_REDIRECTS:
                self._overload_redirects += 1
                self._send(now)
                return
        elif reason in _MOVABLE and self._redirects < MAX_REDIRECTS:
            self._redirects += 1
            self._send(now)
            return
        self._give_up(errors.Outcome.NOT_RUN, reason)

    def _meet_level(self, level: int) -> None:
        """Tells the run that makes this request what its calls meet."""
        if self._parent is not None and level:
            self._parent.record_path_level(level)

    def _learn(self, attempt: Attempt, good: bool, now: float) -> None:
        self._services.share(self.run.service).record_result(good)
        self._services.placement.answered(
            attempt.candidate, now - attempt.sent_at, good, now
        )

    def _repeat(self, reason: errors.Reason, now: float) -> None:
        self._services.recorder.repeated(self, self._attempt, reason)
        self._sends.begin_repeat()
        self._send(now)

    def _time_out(self) -> None:
        if self.is_done:
            return
        now = self._loop.time()
        if self._handle is not None:
            self._learn(self._attempt, False, now)
        self._give_up(errors.Outcome.UNKNOWN, errors.Reason.DEADLINE_EXCEEDED)
        self._abandon()

    def _abandon(self) -> None:
        """Cancels the attempt in progress; its result is not reported."""
        handle = self._handle
        if handle is not None:
            self._handle = None
            self._attempt.candidate.outstanding -= 1
            handle.cancel()

    def _deliver(self, result: runs.RunResult) -> None:
        self._end()
        self._services.recorder.answered(self, self._attempt, result)
        self._reply(
            handlers.Response(result.status, result.headers, result.body)
        )

    def _give_up(self, outcome: errors.Outcome, reason: errors.Reason) -> None:
        """Ends the request without a good answer of an upstream."""
        if self.spare_answer is not None:
            self._deliver(self.spare_answer)
            return
        if self._may_have_run:
            outcome = errors.Outcome.UNKNOWN
        self._end()
        now = self._loop.time()
        if self._parent is not None and reason in _OVERLOADED:
            # The run is lost, so it counts as if it had waited to its end.
            self._parent.record_nested_wait(max(0.0, self.run.deadline - now))
        retry_after_s = self._services.retry_after(
            self.run.deadline - now, self.run.objective_deadline - now
        )
        self._services.recorder.refused(
            self, self._attempt, outcome, reason, retry_after_s
        )
        self._reply(refusals.refusal_response(outcome, reason, retry_after_s))

    def _end(self) -> None:
        self.is_done = True
        self._services.in_progress -= 1
        if self._timer is not None:
            self._timer.cancel()
