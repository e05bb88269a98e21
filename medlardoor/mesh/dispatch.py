"""The way of a caller's request to an upstream and back."""

import random

from medlardoor import errors
from medlardoor.admission import levels
from medlardoor.config import routes as routes_module
from medlardoor.mesh import (
    calls,
    documents,
    handlers,
    http_messages,
    local_run,
    local_upstream,
    recording,
    refusals,
    runs,
    sends,
)
from medlardoor.mesh import fleet as fleet_module
from medlardoor.mesh import settings as settings_module
from medlardoor.retries import shares
from medlardoor.routing import path as path_module
from medlardoor.routing import placement as placement_module
from medlardoor.routing import splits

__all__ = ["Dispatcher"]

# Longest time to come back that is told, as a share of the time that the
# caller has left. Callers honour up to a third.
MAX_RETRY_SHARE = 0.3
MIN_RETRY_S = 0.05

# A request with one of these methods and no body has no length either.
_WITHOUT_CONTENT = (b"GET", b"HEAD")


class Dispatcher(handlers.RequestHandler):
    """Handles the requests of the callers of this instance.

    Args:
        settings: Settings of the node.
        holder: Routes in force.
        fleet: Other nodes and the local upstream.
        local: The local upstream, whose calls are requests too.
        paths: Admission levels below the routes.
        recorder: Counts and logs what happens.
        generator: Source of random draws.
    """

    def __init__(
        self,
        settings: settings_module.MeshSettings,
        holder: documents.DocumentHolder,
        fleet: fleet_module.Fleet,
        local: local_upstream.LocalUpstream,
        paths: path_module.PathController,
        recorder: recording.Recorder,
        generator: random.Random,
    ):
        self._settings = settings
        self._holder = holder
        self._local = local
        self._paths = paths
        self._separator = settings.headers.call_separator
        self._generator = generator
        self._splits: dict[routes_module.Route, splits.WeightedSplit] = {}
        self._shares: dict[str, shares.RetryShare] = {}
        self._closes = False
        self._refuses_after: float | None = None
        self._recorder = recorder
        self._services = sends.Services(
            fleet=fleet,
            placement=placement_module.Placement(settings.placement, generator),
            share=self._share,
            retry_after=self._retry_after,
            recorder=recorder,
            paths=paths,
            top_level=self._top_level,
        )
        names = settings.headers
        self._attempt_name = names.attempt_id.lower()
        self._deadline_name = names.deadline_ms.lower()
        # Set anew by this system, whatever the caller has sent.
        self._dropped = http_messages.CONNECTION_HEADERS | {
            names.deadline_ms.lower(),
            names.expected_upstream.lower(),
            names.caller_service.lower(),
        }
        self._caller_line = b"%b: %b\r\n" % (
            names.caller_service,
            settings.service.encode(),
        )
        holder.listen(self._splits.clear)

    @property
    def limits(self) -> routes_module.ConnectionLimits:
        """Limits in force."""
        return self._holder.limits

    @property
    def closes_connections(self) -> bool:
        """Whether connections end after the next response."""
        return self._closes

    @property
    def in_progress(self) -> int:
        """Calls without an answer."""
        return self._services.in_progress

    def begin_stop(self) -> None:
        """Ends each connection with its next response."""
        self._closes = True

    def refuse_after(self, end: float) -> None:
        """Refuses further requests that may last longer than the process.

        Calls of a run in progress are taken: the run is lost without them.

        Args:
            end: When the process ends, in seconds of the event loop's clock.
        """
        self._refuses_after = end

    def may_overlap(self, request: handlers.Request) -> bool:
        """Whether a request may run more than once; see `RequestHandler`."""
        route = self._find(request.host, request.target)
        return route is not None and route.idempotent

    def body_level(self, host: bytes, target: bytes) -> int:
        """Importance of a request; see `RequestHandler`."""
        route = self._find(host, target)
        return 0 if route is None else self._fresh_level(route, b"")

    def refuse_body(self, host: bytes, target: bytes) -> handlers.Response:
        """Refuses a request without its body; see `RequestHandler`."""
        reason = errors.Reason.BUFFERS_FULL
        self._recorder.rejected(b"", host, target, reason)
        return refusals.refusal_response(
            errors.Outcome.NOT_RUN, reason, self._soon_s()
        )

    def handle(
        self,
        request: handlers.Request,
        reply: handlers.Reply,
    ) -> handlers.RequestHandle | None:
        """Handles a request; see `RequestHandler`."""
        table = self._holder.table
        reason = None
        route = None
        if table is None:
            reason = errors.Reason.NO_CONFIGURATION
        else:
            route = table.find(request.host, request.target)
            if route is None:
                reason = errors.Reason.UNKNOWN_KIND
            elif request.header(self._attempt_name) is None:
                reason = errors.Reason.INVALID_REQUEST
        if reason is not None:
            self._reject(request, reason, reply)
            return None
        attempt_id = request.header(self._attempt_name)
        parent = self._parent(attempt_id)
        run = self._to_run(
            request, route, self._level(route, attempt_id, parent)
        )
        if parent is not None:
            parent.record_nested_call()
            run.repeated = parent.run.repeated
            run.nested = True
        end = self._refuses_after
        if end is not None and parent is None and run.deadline > end:
            left_s = max(0.0, end - request.received_at)
            self._reject(request, errors.Reason.LEAVING, reply, left_s)
            return None
        call = calls.Call(self._services, request, route, run, reply, parent)
        call.begin(levels.nested_level(run.level))
        return call

    def _reject(
        self,
        request: handlers.Request,
        reason: errors.Reason,
        reply: handlers.Reply,
        back_in_s: float = 0.0,
    ) -> None:
        """Refuses a request that no upstream has seen.

        Args:
            request: The request.
            reason: Why it is refused.
            reply: Takes the response.
            back_in_s: When requests may be taken again, in seconds.
        """
        attempt_id = request.header(self._attempt_name) or b""
        self._recorder.rejected(
            attempt_id, request.host, request.target, reason
        )
        retry_after_s = back_in_s + self._soon_s()
        reply(
            refusals.refusal_response(
                errors.Outcome.NOT_RUN, reason, retry_after_s
            )
        )

    def _top_level(self) -> int:
        """Level above those of all requests and their calls."""
        return levels.level_above(self._holder.table.least_urgent_priority)

    def _soon_s(self) -> float:
        """Draws a short time to come back, in seconds."""
        return self._generator.uniform(0.1, 0.4)

    def _find(self, host: bytes, target: bytes) -> routes_module.Route | None:
        table = self._holder.table
        return None if table is None else table.find(host, target)

    def _share(self, service: str) -> shares.RetryShare:
        """Bound on repeated sends to a service."""
        share = self._shares.get(service)
        if share is None:
            share = shares.RetryShare(self._settings.retries)
            self._shares[service] = share
        return share

    def _retry_after(self, left_s: float, goal_left_s: float) -> float:
        """Draws a time to come back, spread so that returns do not meet.

        Args:
            left_s: Time that the caller has left, in seconds.
            goal_left_s: Time until the response-time objective passes, in
                seconds.
        """
        longest = max(MIN_RETRY_S, left_s * MAX_RETRY_SHARE)
        useful = max(goal_left_s * 0.5, longest * 0.5)
        return min(longest, self._generator.uniform(0.3, 1.0) * useful)

    def _parent(self, attempt_id: bytes) -> local_run.LocalRun | None:
        """The run of the local upstream that a call belongs to."""
        parent_id = attempt_id.rpartition(self._separator)[0]
        return self._local.find_in_flight(parent_id) if parent_id else None

    def _level(
        self,
        route: routes_module.Route,
        attempt_id: bytes,
        parent: local_run.LocalRun | None,
    ) -> int:
        """Level of a request; a call has that of the request it is made for."""
        if parent is not None:
            return levels.nested_level(parent.run.level)
        level = self._fresh_level(route, attempt_id)
        if self._services.costs.is_cheap(route.name):
            # Behind all calls of chains it would hardly be run.
            return levels.nested_level(level)
        return level

    def _fresh_level(
        self, route: routes_module.Route, attempt_id: bytes
    ) -> int:
        least_urgent = self._holder.table.least_urgent_priority
        importance = max(0, least_urgent - route.priority)
        return levels.entry_level(importance, attempt_id)

    def _to_run(
        self,
        request: handlers.Request,
        route: routes_module.Route,
        level: int,
    ) -> runs.Run:
        """Makes the run of a request."""
        left_s = route.timeout_s
        attempt_id = b""
        lines = [b"host: ", request.host, b"\r\n", self._caller_line]
        dropped = self._dropped
        for name, value in request.headers:
            if name == self._attempt_name:
                attempt_id = value
            elif name in dropped:
                if name == self._deadline_name and value.strip().isdigit():
                    left_s = min(left_s, int(value) / 1_000)
                continue
            lines += (name, b": ", value, b"\r\n")
        if request.body or request.method not in _WITHOUT_CONTENT:
            lines.append(b"content-length: %d\r\n" % len(request.body))
        return runs.Run(
            service=self._next_service(route),
            attempt_id=attempt_id,
            method=request.method,
            target=request.target,
            headers=b"".join(lines),
            body=request.body,
            deadline=request.received_at + left_s,
            objective_deadline=request.received_at
            + min(route.objective_s, left_s),
            level=level,
            idempotent=route.idempotent,
        )

    def _next_service(self, route: routes_module.Route) -> str:
        if len(route.destinations) == 1:
            return route.destinations[0].service
        split = self._splits.get(route)
        if split is None:
            offset = self._generator.randrange(16)
            split = splits.WeightedSplit(route.destinations, offset)
            self._splits[route] = split
        return split.next_service()
