"""One request of a caller, from its first upstream to its answer."""

import asyncio
import collections.abc
import dataclasses

from medlardoor import errors
from medlardoor.config import routes as routes_module
from medlardoor.mesh import fleet as fleet_module
from medlardoor.mesh import handlers, local_run, recording, refusals, runs
from medlardoor.retries import shares
from medlardoor.routing import path as path_module
from medlardoor.routing import placement as placement_module

__all__ = ["Call", "Services"]

# The upstream has the same time limit and answers by itself; the node ends a
# request so much later, in seconds.
TIMEOUT_MARGIN_S = 0.06

# Other instances that a request is offered to after refusals.
MAX_REDIRECTS = 4
MAX_OVERLOAD_REDIRECTS = 1

# Chains above this share of all levels enter in any case: their repeats show
# when others may follow.
MAX_LOST_URGENCY = 0.95

SERVER_ERROR = 500

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


@dataclasses.dataclass(slots=True, eq=False)
class Services:
    """What the calls of a node share.

    Attributes:
        fleet: Upstreams and the way to them.
        placement: Choice of upstreams.
        share: Returns the bound on repeated sends to a service.
        retry_after: Draws a time to come back from the time left and the
            time until the response-time objective passes, in seconds.
        recorder: Counts and logs what happens.
        paths: Admission levels below the routes.
        top_level: Returns the level above those of all requests.
        makes_calls: Whether the runs of a route make calls, by its name; not
            known before the first answer.
        in_progress: Calls without an answer.
    """

    fleet: fleet_module.Fleet
    placement: placement_module.Placement
    share: collections.abc.Callable[[str], shares.RetryShare]
    retry_after: collections.abc.Callable[[float, float], float]
    recorder: recording.Recorder
    paths: path_module.PathController
    top_level: collections.abc.Callable[[], int]
    makes_calls: dict[str, bool] = dataclasses.field(default_factory=dict)
    in_progress: int = 0


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
        "_offered_to",
        "_offers",
        "_overload_redirects",
        "_parent",
        "_redirects",
        "_reply",
        "_runs",
        "_timer",
        "_tried",
        "is_done",
        "path_level",
        "request",
        "route",
        "run",
        "spare_answer",
    )

    def __init__(
        self,
        services: Services,
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
        self._tried: set[str] = set()
        self._offers = 0
        self._offered_to: set[str] = set()
        # Sends that may have run.
        self._runs = 0
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
        return self._offers

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
            share.count_nested(now)
        else:
            share.count_first(now)
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
        candidates = self._untried()
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
        candidate.sent_since += 1
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
            candidate.sent_since = 0
        if self.is_done or self._attempt is not attempt:
            return
        self._handle = None
        self._tried.add(candidate.instance)
        self._meet_level(
            max(result.level, result.path_level, self._lost_level(now))
        )
        if result.offered:
            self._offers += 1
            self._offered_to.add(candidate.instance)
            self._services.paths.observe(
                self.run.service, self.route.name, result.path_level, now
            )
        if result.outcome is errors.Outcome.ANSWERED:
            self._on_answer(attempt, result, now)
        elif result.outcome is errors.Outcome.NOT_RUN:
            self._on_not_run(attempt, result, now)
        else:
            self._may_have_run = True
            self._runs += 1
            self._learn(attempt, False, now)
            if self._may_repeat(now):
                self._repeat(result.reason, now)
            else:
                self._give_up(result.outcome, result.reason)

    def _on_answer(
        self, attempt: Attempt, result: runs.RunResult, now: float
    ) -> None:
        self._runs += 1
        good = result.status < SERVER_ERROR
        known = self._services.makes_calls
        if result.made_calls or (good and self.route.name not in known):
            known[self.route.name] = result.made_calls
        if good or not result.path_level:
            # Otherwise the failure lies below the upstream.
            self._learn(attempt, good, now)
        if good and self._parent is not None:
            self._parent.has_progress = True
        if not good:
            self._may_have_run = True
            # At its time limit the upstream says so itself.
            fails_here = (
                result.status != refusals.TIMEOUT_STATUS
                and not result.path_level
            )
            if fails_here and self._may_repeat(now):
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
            if self._may_resend(now) and self._take_share(now):
                self._repeat(reason, now)
                return
        elif reason in _OVERLOADED:
            attempt.candidate.level = max(result.level, self.run.level + 1)
            attempt.candidate.level_at = now
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
            self._parent.note_path(level)

    def _learn(self, attempt: Attempt, good: bool, now: float) -> None:
        self._services.share(self.run.service).note_result(good)
        self._services.placement.answered(
            attempt.candidate, now - attempt.sent_at, good, now
        )

    def _untried(self) -> list[placement_module.Candidate]:
        candidates = self._services.fleet.candidates(self.run.service)
        if not self._tried:
            return candidates
        if len(self._offered_to) >= self.route.max_attempts:
            # No further upstream may be asked; one that shed the request may
            # still run it.
            return [c for c in candidates if c.instance in self._offered_to]
        return [c for c in candidates if c.instance not in self._tried]

    def _may_repeat(self, now: float) -> bool:
        """Whether a request that may have run is sent once more."""
        return (
            self.route.idempotent
            and self._may_resend(now)
            and len(self._offered_to) < self.route.max_attempts
            and self._services.placement.has_sound(self._untried(), now)
            and self._take_share(now)
        )

    def _may_resend(self, now: float) -> bool:
        return self._runs < self.route.max_attempts and now < self.run.deadline

    def _take_share(self, now: float) -> bool:
        services = self._services
        makes_calls = services.makes_calls.get(self.route.name, True)
        taken = services.share(self.run.service).try_repeat(
            services.fleet.size,
            now,
            self.run.level / services.top_level(),
            self.run.level,
            makes_calls,
        )
        if taken and makes_calls:
            self.run.repeated = True
        return taken

    def _lost_level(self, now: float) -> int:
        """Level below which chains are lost for want of repeats."""
        services = self._services
        share = services.share(self.run.service)
        if not share.is_lossy:
            return 0
        urgency = share.least_urgency(services.fleet.size, now)
        return int(min(urgency, MAX_LOST_URGENCY) * services.top_level())

    def _repeat(self, reason: errors.Reason, now: float) -> None:
        self._services.recorder.repeated(self, self._attempt, reason)
        # With few instances the same one may be the only one left.
        if self._offers:
            usable = self._services.fleet.candidates(self.run.service)
            if all(c.instance in self._tried for c in usable):
                self._tried.clear()
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
        retry_after_s = self._services.retry_after(
            self.run.deadline - now, self.run.goal_by - now
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
