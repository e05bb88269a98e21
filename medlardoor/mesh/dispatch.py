"""Dispatch of callers' requests: routing, admission level and refusal."""

import random

from medlardoor import errors
from medlardoor.admission import levels
from medlardoor.config import routes as routes_module
from medlardoor.mesh import (
    calls,
    credentials,
    documents,
    domain_placement,
    entry_levels,
    explaining,
    handlers,
    http_messages,
    limited_calls,
    local_run,
    local_upstream,
    recording,
    refusals,
    runs,
    sends,
)
from medlardoor.mesh import fleet as fleet_module
from medlardoor.mesh import settings as settings_module
from medlardoor.retries import retry_after, shares
from medlardoor.routing import path as path_module
from medlardoor.routing import placement as placement_module
from medlardoor.routing import splits
from medlardoor.teams import keys, limiter

__all__ = ["Dispatcher"]

# Without a body, requests with these methods have no Content-Length.
_METHODS_WITHOUT_BODY = (b"GET", b"HEAD")


class Dispatcher(handlers.RequestHandler):
    """Handles the requests of the callers of this instance.

    Args:
        settings: Settings of the node.
        holder: Holds the document of routes in force.
        fleet: The other nodes and the local upstream.
        local: The local upstream, which is a caller too.
        paths: Admission levels of the services that each route calls.
        team_limiter: Grants tokens for the requests of teams with a limit.
        recorder: Counts and logs the outcome of requests.
        generator: Source of random numbers.
    """

    def __init__(
        self,
        settings: settings_module.MeshSettings,
        holder: documents.DocumentHolder,
        fleet: fleet_module.Fleet,
        local: local_upstream.LocalUpstream,
        paths: path_module.PathController,
        team_limiter: limiter.TeamLimiter,
        recorder: recording.Recorder,
        generator: random.Random,
    ):
        self._settings = settings
        self._holder = holder
        self._local = local
        self._paths = paths
        self._limiter = team_limiter
        self._call_separator = settings.headers.call_separator
        self._generator = generator
        self._retry_after = retry_after.RetryAfter(generator)
        self._splits: dict[routes_module.Route, splits.WeightedSplit] = {}
        self._retry_shares: dict[str, shares.RetryShare] = {}
        self._closes_connections = False
        self._process_ends_at: float | None = None
        self._recorder = recorder
        placement = placement_module.Placement(settings.placement, generator)
        self._shared = sends.SharedState(
            fleet=fleet,
            placement=placement,
            domain_placement=domain_placement.DomainPlacement(
                settings, holder, placement, generator
            ),
            retry_share=self._retry_share,
            draw_retry_after_s=self._retry_after.draw_s,
            recorder=recorder,
            paths=paths,
            level_upper_bound=self._level_upper_bound,
        )
        self._entry_levels = entry_levels.EntryLevels(
            settings.sharing, holder, self._shared.costs
        )
        recorder.listen_to_refusals(self._entry_levels.record_refusal)
        self._set_headers(settings)
        holder.listen(self._splits.clear)

    def _set_headers(self, settings: settings_module.MeshSettings) -> None:
        """Prepares what is needed to convert the headers of requests."""
        names = settings.headers
        self._attempt_header = names.attempt_id.lower()
        self._deadline_header = names.deadline_ms.lower()
        # The node sets these headers itself and drops the caller's values.
        self._dropped_headers = http_messages.CONNECTION_HEADERS | {
            names.deadline_ms.lower(),
            names.expected_upstream.lower(),
            names.caller_service.lower(),
            names.team.lower(),
        }
        # Callers' keys are not sent to upstreams.
        self._dropped_headers_with_keys = self._dropped_headers | {
            names.credentials.lower()
        }
        self._credentials = credentials.CredentialChecker(names)
        self._caller_header_line = b"%b: %b\r\n" % (
            names.caller_service,
            settings.service.encode(),
        )

    @property
    def limits(self) -> routes_module.ConnectionLimits:
        """Connection limits in force."""
        return self._holder.limits

    @property
    def closes_connections(self) -> bool:
        """Whether each connection closes after its next response."""
        return self._closes_connections

    @property
    def entry_levels(self) -> entry_levels.EntryLevels:
        """Decides the levels of callers' requests."""
        return self._entry_levels

    @property
    def in_progress(self) -> int:
        """Number of calls without a response."""
        return self._shared.in_progress

    @property
    def explainer(self) -> explaining.Explainer:
        """Tells where requests would go, without a change of state."""
        return explaining.Explainer(
            self._settings.instance,
            self._holder,
            self._entry_levels,
            self._shared,
            lambda: self._process_ends_at,
        )

    def render_domains(self) -> list[str]:
        """Returns the metrics of the traffic to other failure domains."""
        return self._shared.domain_placement.render()

    def begin_stop(self) -> None:
        """Closes each connection after its next response from now on."""
        self._closes_connections = True

    def refuse_deadlines_after(self, ends_at: float) -> None:
        """Refuses requests whose deadline is after the end of the process.

        Calls made by a run in progress are still accepted, because the run
        would fail without them.

        Args:
            ends_at: When the process ends, in seconds of the event loop's
                clock.
        """
        self._process_ends_at = ends_at

    def may_run_concurrently(self, request: handlers.Request) -> bool:
        """Whether a request is idempotent; see `RequestHandler`."""
        route = self._find_route(request.host, request.target)
        return route is not None and route.idempotent

    def body_level(self, host: bytes, target: bytes) -> int:
        """Admission level of a request; see `RequestHandler`."""
        route = self._find_route(host, target)
        return 0 if route is None else self._entry_levels.body_level(route)

    def refuse_body(self, host: bytes, target: bytes) -> handlers.Response:
        """Refuses a request without its body; see `RequestHandler`."""
        reason = errors.Reason.BUFFERS_FULL
        self._recorder.record_rejection(b"", host, target, reason)
        return refusals.refusal_response(
            errors.Outcome.NOT_RUN, reason, self._retry_after.draw_short_s()
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
            elif request.header(self._attempt_header) is None:
                reason = errors.Reason.INVALID_REQUEST
        if reason is not None:
            self._reject(request, reason, reply)
            return None
        attempt_id = request.header(self._attempt_header)
        parent = self._find_parent(attempt_id)
        team = None
        if parent is None:
            checked = self._credentials.check(request, attempt_id, route, table)
            if checked.is_err():
                self._reject(request, checked.err_value, reply)
                return None
            team = checked.ok_value
        run = self._make_run(request, route)
        if parent is not None:
            parent.record_nested_call()
            # A call made by a run has the level of the run, raised to the rank
            # of calls.
            run.level = levels.nested_level(parent.run.level)
            run.repeated = parent.run.repeated
            run.nested = True
            run.team = parent.run.team
        elif team is not None:
            run.team = team.name.encode()
        ends_at = self._process_ends_at
        if ends_at is not None and parent is None and run.deadline > ends_at:
            remaining_s = max(0.0, ends_at - request.received_at)
            self._reject(request, errors.Reason.LEAVING, reply, remaining_s)
            return None
        call = calls.Call(self._shared, request, route, run, reply, parent)
        if team is None or not team.rate_per_s:
            call.open()
            self._start(call, team)
            return call
        return self._start_limited(call, team, reply)

    def _start_limited(
        self, call: calls.Call, team: keys.Team, reply: handlers.Reply
    ) -> limited_calls.LimitedCall:
        """Starts a call once its team has got a token for it."""
        request = call.request
        limited = limited_calls.LimitedCall(
            call,
            lambda: self._start(call, team),
            team,
            self._holder.table.is_most_urgent(call.route),
            self._limiter,
            lambda grant: self._refuse_limited(request, team, grant, reply),
        )
        limited.begin()
        return limited

    def _start(self, call: calls.Call, team: keys.Team | None) -> None:
        """Decides the level of a call that has its token, and starts it.

        Requests that get no token are not part of the demand of their team.
        """
        run = call.run
        try:
            if not run.nested:
                run.level = self._entry_levels.level(
                    call.route, team, run.attempt_id, call.now
                )
            call.start(levels.nested_level(run.level))
        except Exception as error:  # noqa: BLE001
            # Other requests of its connection go on.
            call.end_after_error(error)

    def _refuse_limited(
        self,
        request: handlers.Request,
        team: keys.Team,
        grant: limiter.Grant,
        reply: handlers.Reply,
    ) -> None:
        """Refuses a request whose team got no token for it."""
        reason = errors.Reason.NO_LENDER
        if grant.is_limited:
            reason = errors.Reason.RATE_LIMITED
        self._reject(request, reason, reply, grant.wait_s, team)

    def _reject(
        self,
        request: handlers.Request,
        reason: errors.Reason,
        reply: handlers.Reply,
        unavailable_s: float = 0.0,
        team: keys.Team | None = None,
    ) -> None:
        """Refuses a request before it is sent to any upstream.

        Args:
            request: The request.
            reason: Why it is refused.
            reply: Called with the response.
            unavailable_s: Expected time until requests are accepted again, in
                seconds.
            team: Team of the caller, if it is known.
        """
        attempt_id = request.header(self._attempt_header) or b""
        self._recorder.record_rejection(
            attempt_id,
            request.host,
            request.target,
            reason,
            "" if team is None else team.name,
        )
        retry_after_s = unavailable_s + self._retry_after.draw_short_s()
        reply(
            refusals.refusal_response(
                errors.Outcome.NOT_RUN,
                reason,
                retry_after_s,
                self._settings.headers.credential_scheme,
            )
        )

    def _level_upper_bound(self) -> int:
        """Returns the lowest level above those of all requests and calls."""
        return levels.level_above(self._holder.table.max_importance)

    def _find_route(
        self, host: bytes, target: bytes
    ) -> routes_module.Route | None:
        table = self._holder.table
        return None if table is None else table.find(host, target)

    def _retry_share(self, service: str) -> shares.RetryShare:
        """Returns the limit on retries to a service."""
        share = self._retry_shares.get(service)
        if share is None:
            share = shares.RetryShare(self._settings.retries)
            self._retry_shares[service] = share
        return share

    def _find_parent(self, attempt_id: bytes) -> local_run.LocalRun | None:
        """Returns the run of the local upstream that made a request, if any."""
        parent_id = attempt_id.rpartition(self._call_separator)[0]
        return self._local.find_in_flight(parent_id) if parent_id else None

    def _make_run(
        self,
        request: handlers.Request,
        route: routes_module.Route,
    ) -> runs.Run:
        """Converts a request to the form that is sent to an upstream.

        Its level is decided when it starts.
        """
        remaining_s = route.timeout_s
        attempt_id = b""
        lines = [b"host: ", request.host, b"\r\n", self._caller_header_line]
        dropped_headers = self._dropped_headers
        if self._holder.table.has_teams:
            dropped_headers = self._dropped_headers_with_keys
        for name, value in request.headers:
            if name == self._attempt_header:
                attempt_id = value
            elif name in dropped_headers:
                if name == self._deadline_header:
                    limit_s = http_messages.parse_milliseconds(value)
                    remaining_s = min(remaining_s, limit_s)
                continue
            lines += (name, b": ", value, b"\r\n")
        if request.body or request.method not in _METHODS_WITHOUT_BODY:
            lines.append(b"content-length: %d\r\n" % len(request.body))
        return runs.Run(
            service=self._next_service(route),
            attempt_id=attempt_id,
            method=request.method,
            target=request.target,
            headers=b"".join(lines),
            body=request.body,
            deadline=request.received_at + remaining_s,
            objective_deadline=request.received_at
            + min(route.objective_s, remaining_s),
            level=0,
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
