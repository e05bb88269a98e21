"""Admission and execution of requests on the local upstream."""

import asyncio
import collections
import collections.abc

import logbook

from medlardoor import errors, logs
from medlardoor.admission import buffers as buffers_module
from medlardoor.admission import waiting
from medlardoor.membership import announcements
from medlardoor.mesh import (
    chain_bounds,
    crash_probe,
    crashes,
    local_run,
    response_observer,
    response_origin,
    run_requests,
    run_results,
    runs,
    upstream_pool,
)
from medlardoor.mesh import settings as settings_module
from medlardoor.mesh import upstream_connection as connection_module

__all__ = ["LocalUpstream"]

_LOG = logbook.Logger("upstream")

# While the upstream is down, at most one request per interval is sent to it,
# to detect whether it accepts connections again. In seconds.
DOWN_PROBE_INTERVAL_S = 0.3

# The upstream counts as down after this time without a response or heartbeat,
# in seconds: two heartbeats are missing, and one may be late.
SILENCE_TIMEOUT_S = 4.5

# Number of non-idempotent attempts that are remembered. This covers more time
# than any deadline, so that a duplicate message never starts a second run.
MAX_REMEMBERED_ATTEMPTS = 20_000


class LocalUpstream(runs.RunTarget):
    """The only sender of requests to the upstream beside this node.

    The upstream is reachable only through this node, so a request that is
    refused here has not run and will not run.

    Args:
        settings: Settings of the node.
        register: State that the upstream has announced.
        crash_tracker: Attributes crashes to requests.
        buffers: Budget for the bytes of bodies held in memory.
        report_change: Called when a response changes what is known of the
            upstream.
    """

    def __init__(
        self,
        settings: settings_module.MeshSettings,
        register: announcements.UpstreamRegister,
        crash_tracker: crashes.CrashTracker,
        buffers: buffers_module.BufferBudget,
        report_change: collections.abc.Callable[
            [announcements.UpstreamChange], None
        ],
    ):
        self._settings = settings
        self._headers = settings.headers
        self._register = register
        self._crashes = crash_tracker
        self._buffers = buffers
        self._loop = asyncio.get_running_loop()
        self._admission_queue = waiting.AdmissionQueue(settings.waiting)
        self._bound_log = chain_bounds.ChainBoundLog()
        self._observer = response_observer.ResponseObserver(
            settings.headers,
            register,
            self._admission_queue,
            report_change,
        )
        self._marks = response_origin.ResponseMarks(settings.headers)
        self._pool = upstream_pool.UpstreamPool(
            settings.connections,
            settings.upstream,
            self._marks,
            buffers,
        )
        self._crash_probe = crash_probe.CrashProbe(
            self._pool,
            lambda: register.is_usable and not self._in_flight,
            self.connect_failed,
        )
        self._tasks: set[asyncio.Task] = set()
        self._started_attempts: dict[bytes, None] = {}
        self._in_flight: dict[bytes, local_run.LocalRun] = {}
        self._down_until = 0.0
        self._is_down = False
        self._last_seen_at = self._loop.time()
        self._breaks = collections.Counter()
        self._requests_sent = 0

    @property
    def admission_queue(self) -> waiting.AdmissionQueue:
        """Requests that run or wait on this upstream."""
        return self._admission_queue

    @property
    def observer(self) -> response_observer.ResponseObserver:
        """Applies what responses say of the upstream itself."""
        return self._observer

    @property
    def connections_opened(self) -> int:
        """Number of attempts to open a connection to the upstream."""
        return self._pool.opened

    @property
    def requests_sent(self) -> int:
        """Number of requests sent to the upstream."""
        return self._requests_sent

    @property
    def breaks(self) -> collections.Counter[connection_module.BreakReason]:
        """Number of exchanges that ended without a response, by reason."""
        return self._breaks

    @property
    def is_usable(self) -> bool:
        """Whether requests should be routed to the upstream."""
        return self._register.is_usable and not self._is_down

    def find_in_flight(self, attempt_id: bytes) -> local_run.LocalRun | None:
        """Returns the run in flight with an attempt identifier, if any."""
        return self._in_flight.get(attempt_id)

    def apply_upstream_change(
        self, change: announcements.UpstreamChange
    ) -> None:
        """Applies a change of the register to requests and connections.

        Args:
            change: What an announcement of the upstream has changed.
        """
        now = self._loop.time()
        if change not in (
            announcements.UpstreamChange.OUTDATED,
            announcements.UpstreamChange.LEFT,
        ):
            self._last_seen_at = now
            self._is_down = False
            self._down_until = 0.0
        if self._register.current is not None:
            self._admission_queue.set_slots(self._register.current.slots)
        if change in (
            announcements.UpstreamChange.STARTED,
            announcements.UpstreamChange.RESTARTED,
        ):
            self._admission_queue.named_limit.clear()
        if change is announcements.UpstreamChange.RESTARTED:
            self._pool.close_idle()
            self._crashes.upstream_terminated(now)
        if not self._register.is_usable:
            self._refuse_waiting(errors.Reason.LEAVING)
        self.process_queue()

    def run(
        self,
        run: runs.Run,
        report: collections.abc.Callable[[runs.RunResult], None],
    ) -> runs.RunHandle:
        """Starts a run; see `RunTarget`."""
        now = self._loop.time()
        handle = local_run.LocalRun(self, run, report)
        reason = self._reason_to_refuse(run, now)
        if reason is not None:
            handle.finish(self._refusal(reason))
            return handle
        if not self._buffers.try_reserve_request(len(run.body), run.level):
            handle.finish(self._refusal(errors.Reason.BUFFERS_FULL))
            return handle
        handle.buffered_bytes = len(run.body)
        decision = self._admission_queue.offer(handle.ticket, now)
        if decision is waiting.Decision.REFUSE:
            handle.finish(self._refusal(errors.Reason.OVERLOAD))
        elif decision is waiting.Decision.START:
            self._start(handle, now)
        return handle

    def process_queue(self) -> None:
        """Starts waiting requests and refuses those that waited too long."""
        now = self._loop.time()
        for ticket in self._admission_queue.expire(now):
            ticket.payload.finish(self._refusal(errors.Reason.QUEUE_TIMEOUT))
        while True:
            ticket = self._admission_queue.start_next(now)
            if ticket is None:
                return
            self._start(ticket.payload, now)

    def tick(self) -> None:
        """Performs periodic work; must be called several times a second."""
        now = self._loop.time()
        self._pool.close_expired(now)
        self._crashes.tick(now)
        self._admission_queue.tick(now)
        self._bound_log.note(self._admission_queue.bounds)
        self._observer.tick()
        self._abort_overdue(now)
        self.process_queue()
        is_silent = now - self._last_seen_at > SILENCE_TIMEOUT_S
        if is_silent and not self._is_down and self._register.is_usable:
            self._mark_down("silent")

    def _abort_overdue(self, now: float) -> None:
        """Aborts runs whose response is overdue, to free their slots."""
        latest = now - self._settings.connections.overdue_s
        for handle in list(self._in_flight.values()):
            if handle.run.deadline < latest:
                handle.abort_overdue()

    def _reason_to_refuse(
        self, run: runs.Run, now: float
    ) -> errors.Reason | None:
        """Returns why a request is refused before admission, if it is."""
        register = self._register
        if run.service != self._settings.service or register.current is None:
            return errors.Reason.NO_UPSTREAM
        if register.is_leaving:
            return errors.Reason.LEAVING
        if now >= run.deadline:
            return errors.Reason.DEADLINE_EXCEEDED
        if not run.idempotent and run.attempt_id in self._started_attempts:
            return errors.Reason.KEY_IN_PROGRESS
        if self._is_down:
            if now < self._down_until:
                return errors.Reason.UPSTREAM_UNAVAILABLE
            self._down_until = now + DOWN_PROBE_INTERVAL_S
        if not self._crashes.may_start(run, now):
            return errors.Reason.QUARANTINED
        return None

    def _start(self, handle: local_run.LocalRun, now: float) -> None:
        """Sends an admitted request on an idle or a new connection."""
        run = handle.run
        if now >= run.deadline:
            self._admission_queue.end(handle.ticket, now, False)
            handle.finish(self._refusal(errors.Reason.DEADLINE_EXCEEDED))
            return
        handle.holds_slot = True
        connection = self._pool.acquire(run.attempt_id, run.idempotent, now)
        if connection is not None:
            handle.send_on(connection)
            return
        task = self._loop.create_task(
            self._pool.connect(handle.send_on, handle.connect_failed)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def encode_request(self, run: runs.Run) -> bytes | None:
        """Encodes a request; returns None if it can no longer run."""
        left_ms = int((run.deadline - self._loop.time()) * 1_000)
        if not self._register.is_usable or left_ms <= 0:
            return None
        upstream_id = self._register.current.upstream_id
        return run_requests.encode(run, upstream_id, left_ms, self._headers)

    def release_body(self, handle: local_run.LocalRun) -> None:
        """Releases the buffer budget of a run that has ended, and its body."""
        self._buffers.release(handle.buffered_bytes)
        handle.buffered_bytes = 0
        # Run and ticket refer to each other; a cycle would keep the body.
        handle.ticket.payload = None

    def record_sent(self, handle: local_run.LocalRun) -> None:
        """Records that a request is being sent."""
        run = handle.run
        handle.sent_to = self._register.current
        self._requests_sent += 1
        self._in_flight[run.attempt_id] = handle
        if not run.idempotent:
            self._started_attempts[run.attempt_id] = None
            if len(self._started_attempts) > MAX_REMEMBERED_ATTEMPTS:
                del self._started_attempts[next(iter(self._started_attempts))]
        self._crashes.started(handle, run, self._loop.time())

    def run_ended(
        self, handle: local_run.LocalRun, is_answered: bool, is_broken: bool
    ) -> None:
        """Frees the slot of a run.

        Args:
            handle: The run.
            is_answered: Whether a complete response was received.
            is_broken: Whether the exchange ended without a response.
        """
        now = self._loop.time()
        if is_answered:
            self._last_seen_at = now
            self._is_down = False
        if handle.was_sent:
            if self._in_flight.get(handle.run.attempt_id) is handle:
                del self._in_flight[handle.run.attempt_id]
            self._crashes.finished(handle, handle.has_run, is_broken, now)
        if handle.holds_slot:
            handle.holds_slot = False
            self._admission_queue.end(handle.ticket, now, is_answered)
        self.release_body(handle)
        self.process_queue()

    def record_broken(
        self, handle: local_run.LocalRun, reason: connection_module.BreakReason
    ) -> None:
        """Counts and logs an exchange that ended without a response."""
        self._breaks[reason] += 1
        self._crash_probe.exchange_broken(reason)
        logs.log_request(
            _LOG,
            logbook.WARNING,
            "run_broken",
            request_id=handle.run.attempt_id.decode("latin-1"),
            reason=reason.value,
            left_ms=int((handle.run.deadline - self._loop.time()) * 1_000),
        )

    def connect_failed(self, detail: str, is_refused: bool) -> None:
        """Marks the upstream as down after a failed connection attempt."""
        now = self._loop.time()
        if is_refused:
            self._crashes.upstream_terminated(now)
        self._mark_down(detail)

    def return_connection(
        self, connection: connection_module.UpstreamConnection
    ) -> None:
        """Returns a connection to the pool."""
        self._pool.return_connection(connection, self._loop.time())

    def to_result(
        self,
        handle: local_run.LocalRun,
        response: connection_module.UpstreamResponse,
    ) -> runs.RunResult:
        """Converts a response of the upstream to the result of a run."""
        attempt_id = handle.run.attempt_id
        self._observer.observe_load(response)
        if response.status == response_origin.MISDIRECTED_STATUS:
            self._started_attempts.pop(attempt_id, None)
            self._discard_upstream(handle.sent_to)
            return self._refusal(errors.Reason.NO_UPSTREAM)
        result = run_results.from_response(
            response, self._headers, self._marks, self._admission_queue
        )
        if result.outcome is errors.Outcome.NOT_RUN:
            self._started_attempts.pop(attempt_id, None)
        return result

    def _discard_upstream(
        self, sent_to: announcements.Announcement | None
    ) -> None:
        """Discards the upstream that another one has replaced.

        Args:
            sent_to: Last announcement of the upstream that the request was for.
                If the next one has been announced since, it stays in use.
        """
        current = self._register.current
        if current is not None and current.is_same_start(sent_to):
            logs.log_event(
                _LOG,
                logbook.WARNING,
                "upstream_replaced",
                upstream_id=current.upstream_id,
            )
            self._register.record_replacement(current.upstream_id)
            self._admission_queue.named_limit.clear()
            self._refuse_waiting(errors.Reason.NO_UPSTREAM)

    def _mark_down(self, detail: str) -> None:
        """Marks the upstream as down and refuses the waiting requests."""
        now = self._loop.time()
        if not self._is_down:
            logs.log_event(
                _LOG, logbook.WARNING, "upstream_down", detail=detail
            )
        self._is_down = True
        self._down_until = now + DOWN_PROBE_INTERVAL_S
        self._refuse_waiting(errors.Reason.UPSTREAM_UNAVAILABLE)

    def _refuse_waiting(self, reason: errors.Reason) -> None:
        """Refuses all waiting requests; other instances can run them."""
        for ticket in self._admission_queue.clear():
            ticket.payload.finish(self._refusal(reason))

    def _refusal(self, reason: errors.Reason) -> runs.RunResult:
        return run_results.refusal(reason, self._admission_queue)
