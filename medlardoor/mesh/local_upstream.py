"""Runs requests on the local upstream."""

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
    crashes,
    http_messages,
    local_run,
    runs,
    upstream_pool,
)
from medlardoor.mesh import settings as settings_module
from medlardoor.mesh import upstream_connection as connection_module

__all__ = ["LocalUpstream"]

_LOG = logbook.Logger("upstream")

MISDIRECTED = 421

# After a refused connection the upstream gets one request in this time until
# it accepts again, in seconds.
DOWN_PROBE_S = 0.3

# Without any answer and any heartbeat for this time the upstream is taken to
# be dead: two heartbeats are missing, and one may be late.
SILENT_S = 4.5

# Attempts of requests that must not run twice are remembered for longer than
# any deadline, so that a repeated message never starts a second run.
MAX_REMEMBERED = 20_000


class LocalUpstream(runs.RunTarget):
    """The only sender of requests to the upstream beside this node.

    Nobody else can reach the upstream, so what this class refuses has not run
    and will not run.

    Args:
        settings: Settings of the node.
        register: What is known of the upstream.
        crash_watch: Attributes crashes to requests.
        buffers: Bytes that are held for bodies.
    """

    def __init__(
        self,
        settings: settings_module.MeshSettings,
        register: announcements.UpstreamRegister,
        crash_watch: crashes.CrashWatch,
        buffers: buffers_module.BufferBudget,
    ):
        self._settings = settings
        self._headers = settings.headers
        self._register = register
        self._crashes = crash_watch
        self._buffers = buffers
        self._loop = asyncio.get_running_loop()
        self._room = waiting.WaitingRoom(settings.waiting)
        self._bounds = chain_bounds.ChainBoundLog()
        self._pool = upstream_pool.UpstreamPool(
            settings.connections,
            settings.upstream,
            settings.headers.attempt_id.lower(),
            buffers,
        )
        self._tasks: set[asyncio.Task] = set()
        self._started: dict[bytes, None] = {}
        self._sent: dict[bytes, local_run.LocalRun] = {}
        self._down_until = 0.0
        self._is_down = False
        self._heard_at = self._loop.time()
        self._breaks = collections.Counter()

    @property
    def room(self) -> waiting.WaitingRoom:
        """Requests that run or wait."""
        return self._room

    @property
    def connections_opened(self) -> int:
        """Connections that were opened to the upstream."""
        return self._pool.opened

    @property
    def breaks(self) -> collections.Counter[connection_module.Break]:
        """Exchanges without an answer, by how they ended."""
        return self._breaks

    @property
    def is_usable(self) -> bool:
        """Whether other nodes should send requests."""
        return self._register.usable and not self._is_down

    def find_sent(self, attempt_id: bytes) -> local_run.LocalRun | None:
        """The run that the upstream works on under an identifier, if any."""
        return self._sent.get(attempt_id)

    def announced(self, change: announcements.Change) -> None:
        """Follows a change of the upstream's announcement.

        Args:
            change: What the register has made of a heartbeat.
        """
        now = self._loop.time()
        if change is not announcements.Change.OUTDATED:
            self._heard_at = now
            self._is_down = False
            self._down_until = 0.0
        current = self._register.current
        if current is not None:
            self._room.set_slots(current.slots)
        if change is announcements.Change.RESTARTED:
            self._pool.close_idle()
            self._crashes.upstream_gone(now)
        if not self._register.usable:
            self._turn_away(errors.Reason.LEAVING)
        self.pump()

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
            handle.finish(self._refused(reason))
            return handle
        if not self._buffers.try_take_request(len(run.body), run.level):
            handle.finish(self._refused(errors.Reason.BUFFERS_FULL))
            return handle
        handle.buffered = len(run.body)
        decision = self._room.offer(handle.ticket, now)
        if decision is waiting.Decision.REFUSE:
            handle.finish(self._refused(errors.Reason.OVERLOAD))
        elif decision is waiting.Decision.START:
            self._start(handle, now)
        return handle

    def pump(self) -> None:
        """Starts requests that wait and refuses those that waited too long."""
        now = self._loop.time()
        for ticket in self._room.expire(now):
            ticket.payload.finish(self._refused(errors.Reason.QUEUE_TIMEOUT))
        while True:
            ticket = self._room.start_next(now)
            if ticket is None:
                return
            self._start(ticket.payload, now)

    def tick(self) -> None:
        """Does what is due without an event; call it a few times a second."""
        now = self._loop.time()
        self._pool.sweep(now)
        self._crashes.tick(now)
        self._room.tick(now)
        self._bounds.note(self._room.bounds)
        self._end_overdue(now)
        self.pump()
        silent = now - self._heard_at > SILENT_S
        if silent and not self._is_down and self._register.usable:
            self._set_down("silent")

    def _end_overdue(self, now: float) -> None:
        """Frees the slots of runs whose connections have gone silent."""
        latest = now - self._settings.connections.overdue_s
        for handle in list(self._sent.values()):
            if handle.run.deadline < latest:
                handle.give_up()

    def _reason_to_refuse(
        self, run: runs.Run, now: float
    ) -> errors.Reason | None:
        register = self._register
        if run.service != self._settings.service or register.current is None:
            return errors.Reason.NO_UPSTREAM
        if register.leaving:
            return errors.Reason.LEAVING
        if now >= run.deadline:
            return errors.Reason.DEADLINE_EXCEEDED
        if not run.idempotent and run.attempt_id in self._started:
            return errors.Reason.KEY_IN_PROGRESS
        if self._is_down:
            if now < self._down_until:
                return errors.Reason.UPSTREAM_UNAVAILABLE
            self._down_until = now + DOWN_PROBE_S
        if not self._crashes.may_start(run, now):
            return errors.Reason.QUARANTINED
        return None

    def _start(self, handle: local_run.LocalRun, now: float) -> None:
        if now >= handle.run.deadline:
            self._room.end(handle.ticket, now, False)
            handle.finish(self._refused(errors.Reason.DEADLINE_EXCEEDED))
            return
        handle.holds_slot = True
        connection = self._pool.take(handle.run.idempotent, now)
        if connection is not None:
            handle.send_on(connection)
            return
        task = self._loop.create_task(
            self._pool.connect(handle.send_on, handle.connect_failed)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def encode(self, run: runs.Run) -> bytes | None:
        """Encodes a request for the upstream; None if it has gone.

        Args:
            run: The request.
        """
        current = self._register.current
        if not self._register.usable:
            return None
        left_ms = int((run.deadline - self._loop.time()) * 1_000)
        if left_ms <= 0:
            return None
        names = self._headers
        return http_messages.encode_request(
            run.method,
            run.target,
            run.headers
            + b"%b: %d\r\n" % (names.deadline_ms, left_ms)
            + b"%b: %b\r\n"
            % (names.expected_upstream, current.upstream_id.encode()),
            run.body,
        )

    def release(self, handle: local_run.LocalRun) -> None:
        """Gives back what is held for the body of a run."""
        self._buffers.release(handle.buffered)
        handle.buffered = 0

    def note_started(self, handle: local_run.LocalRun) -> None:
        """Notes that a request is being sent."""
        run = handle.run
        self._sent[run.attempt_id] = handle
        if not run.idempotent:
            self._started[run.attempt_id] = None
            if len(self._started) > MAX_REMEMBERED:
                del self._started[next(iter(self._started))]
        self._crashes.started(handle, run, self._loop.time())

    def ended(
        self, handle: local_run.LocalRun, good: bool, broken: bool
    ) -> None:
        """Frees the slot of a run.

        Args:
            handle: The run.
            good: Whether the upstream gave a complete answer.
            broken: Whether the connection ended instead.
        """
        now = self._loop.time()
        if good:
            self._heard_at = now
            self._is_down = False
        if handle.was_sent:
            if self._sent.get(handle.run.attempt_id) is handle:
                del self._sent[handle.run.attempt_id]
            self._crashes.finished(handle, good, broken, now)
        if handle.holds_slot:
            handle.holds_slot = False
            self._room.end(handle.ticket, now, good)
        self.release(handle)
        self.pump()

    def note_broken(
        self, handle: local_run.LocalRun, reason: connection_module.Break
    ) -> None:
        """Counts and logs that a request got no answer of the upstream.

        Args:
            handle: The run.
            reason: How its exchange ended.
        """
        self._breaks[reason] += 1
        logs.log_request(
            _LOG,
            logbook.WARNING,
            "run_broken",
            request_id=handle.run.attempt_id.decode("latin-1"),
            reason=reason.value,
            left_ms=int((handle.run.deadline - self._loop.time()) * 1_000),
        )

    def connect_failed(self, detail: str, refused: bool) -> None:
        """Notes that the upstream does not accept connections."""
        now = self._loop.time()
        if refused:
            self._crashes.upstream_gone(now)
        self._set_down(detail)

    def put_back(
        self, connection: connection_module.UpstreamConnection
    ) -> None:
        """Keeps a connection for the next request."""
        self._pool.put_back(connection, self._loop.time())

    def to_result(
        self, run: runs.Run, answer: connection_module.UpstreamAnswer
    ) -> runs.RunResult:
        """Judges an answer of the upstream."""
        names = self._headers
        load = answer.header(names.load.lower())
        slots = http_messages.parse_load_slots(load) if load is not None else 0
        if slots > 0:
            self._room.set_slots(slots)
        room = self._room
        result = runs.RunResult(
            errors.Outcome.ANSWERED,
            status=answer.status,
            offered=True,
            running=room.running,
            waiting=room.waiting,
            level=room.level,
        )
        if answer.status == MISDIRECTED:
            return self._misdirected(run, result)
        if answer.header(names.not_run.lower()) is not None:
            result.outcome = errors.Outcome.NOT_RUN
            result.reason = errors.Reason.UPSTREAM_SHED
            self._started.pop(run.attempt_id, None)
            return result
        if answer.header(b"content-encoding") is not None:
            # Nobody asked for an encoding, so these are other bytes.
            result.outcome = errors.Outcome.UNKNOWN
            result.reason = errors.Reason.UPSTREAM_FAILED
            return result
        dropped = http_messages.CONNECTION_HEADERS | {names.load.lower()}
        result.headers = http_messages.encode_header_lines(
            [h for h in answer.headers if h[0] not in dropped]
        )
        result.body = answer.body
        return result

    def _misdirected(
        self, run: runs.Run, result: runs.RunResult
    ) -> runs.RunResult:
        """Forgets an upstream whose address another one has taken."""
        current = self._register.current
        if current is not None:
            logs.log_event(
                _LOG,
                logbook.WARNING,
                "upstream_replaced",
                upstream_id=current.upstream_id,
            )
            self._register.replaced(current.upstream_id)
        self._started.pop(run.attempt_id, None)
        self._turn_away(errors.Reason.NO_UPSTREAM)
        result.outcome = errors.Outcome.NOT_RUN
        result.reason = errors.Reason.NO_UPSTREAM
        result.offered = False
        return result

    def _set_down(self, detail: str) -> None:
        now = self._loop.time()
        if not self._is_down:
            logs.log_event(
                _LOG, logbook.WARNING, "upstream_down", detail=detail
            )
        self._is_down = True
        self._down_until = now + DOWN_PROBE_S
        self._turn_away(errors.Reason.UPSTREAM_UNAVAILABLE)

    def _turn_away(self, reason: errors.Reason) -> None:
        """Hands back all requests that wait; other instances can run them."""
        for ticket in self._room.clear():
            ticket.payload.finish(self._refused(reason))

    def _refused(self, reason: errors.Reason) -> runs.RunResult:
        room = self._room
        is_known = reason is not errors.Reason.KEY_IN_PROGRESS
        outcome = errors.Outcome.NOT_RUN if is_known else errors.Outcome.UNKNOWN
        return runs.RunResult(
            outcome,
            reason,
            running=room.running,
            waiting=room.waiting,
            level=room.level,
        )
