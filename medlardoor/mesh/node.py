"""Assembly, operation and planned stop of a node."""

import asyncio
import random

import anyio
import logbook

from medlardoor import logs
from medlardoor.admission import buffers, levels
from medlardoor.blackboard import board as board_module
from medlardoor.membership import announcements
from medlardoor.mesh import (
    coverage,
    crashes,
    dispatch,
    document_watch,
    documents,
    explaining,
    fleet,
    fleet_events,
    handlers,
    lending,
    links,
    listening,
    local_upstream,
    loop_monitor,
    node_metrics,
    observing,
    presence,
    recording,
    store_era,
    supervision,
    upstream_status,
)
from medlardoor.mesh import settings as settings_module
from medlardoor.quarantine import controller as quarantine_module
from medlardoor.quarantine import settings as quarantine_settings
from medlardoor.routing import path
from medlardoor.store import client
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["Node"]

_LOG = logbook.Logger("node")

# Interval of the checks for connections that exceed their time limits.
SWEEP_INTERVAL_S = 0.25

# Interval of the checks for requests still in progress during a stop.
STOP_POLL_INTERVAL_S = 0.05

READY_PATH = b"/ready"
METRICS_PATH = b"/metrics"
EXPLAIN_PATH = b"/explain"

READY_STATUS = 200
NOT_READY_STATUS = 503


class Node(fleet_events.FleetEvents):
    """One node with all of its components.

    Must be created inside a running event loop.

    Args:
        settings: Settings of the node.
        store: The platform's object store.
        document_key: Key of the document of routes in the store.
        decoder: Decodes the document.
        alarm: Reports code that holds up the event loop.
    """

    def __init__(
        self,
        settings: settings_module.MeshSettings,
        store: client.ObjectStore,
        document_key: str,
        decoder: documents.DocumentDecoder,
        alarm: loop_monitor.StallAlarm,
    ):
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        generator = random.Random(settings.seed)
        board = board_module.Blackboard(
            settings.instance, settings.service, settings.failure_domain
        )
        quarantine = quarantine_module.QuarantineController(
            quarantine_settings.QuarantineSettings(), board, generator
        )
        self._register = announcements.UpstreamRegister()
        self._crashes = crashes.CrashTracker(
            quarantine, board, lambda frame: self._fleet.broadcast(frame)
        )
        self._buffers = buffers.BufferBudget(settings.buffer_bytes)
        self._local = local_upstream.LocalUpstream(
            settings,
            self._register,
            self._crashes,
            self._buffers,
            self.handle_upstream_change,
        )
        self._holder = documents.DocumentHolder(decoder)
        self._era = store_era.StoreEra(store)
        self._fleet = fleet.Fleet(
            settings,
            self._local,
            self._buffers,
            self._holder,
            self._era,
            self._build_status,
            self,
            generator,
        )
        self._coverage = coverage.WatchCoverage(
            settings, self._fleet.roster, self._era
        )
        self._lending = lending.TokenLending(
            settings,
            self._holder,
            self._fleet.roster,
            lambda: self._presence.has_listed,
            lambda: self._presence.was_registered,
            self._fleet.status_changed,
        )
        self._recorder = recording.Recorder(settings.headers.attempt_id)
        self._dispatcher = dispatch.Dispatcher(
            settings,
            self._holder,
            self._fleet,
            self._local,
            path.PathController(board),
            self._lending,
            self._recorder,
            generator,
        )
        self._watch = document_watch.DocumentWatch(
            settings.documents,
            store,
            document_key,
            self._holder,
            lambda: self._coverage.is_covered,
            self._fleet.status_changed,
            generator,
        )
        self._presence = presence.Presence(
            settings,
            store,
            self._fleet.record_node,
            self.restore_departure,
            lambda: self._fleet.has_open_link,
            lambda: self._coverage.is_covered,
            lambda: self._fleet.size,
            generator,
        )
        self._era.listen(self._presence.verify)
        self._listeners = listening.Listeners(settings, self._buffers)
        self._monitor = loop_monitor.LoopMonitor(alarm)
        self._is_stopping = False
        self._admitted_rank = 0

    @property
    def register(self) -> announcements.UpstreamRegister:
        """State of the local upstream, as reported by its heartbeats."""
        return self._register

    @property
    def is_ready(self) -> bool:
        """Whether this node should receive requests of callers."""
        return not self._is_stopping and self._holder.table is not None

    @property
    def usable_nodes(self) -> int:
        """Number of known nodes with a usable upstream, including this one."""
        return self._fleet.usable_nodes

    def handle_upstream_change(
        self, change: announcements.UpstreamChange
    ) -> None:
        """Applies a heartbeat of the local upstream.

        Args:
            change: Change of state that the register derived from it.
        """
        was_usable = self._local.is_usable
        self._local.apply_upstream_change(change)
        if change in (
            announcements.UpstreamChange.LEAVING,
            announcements.UpstreamChange.LEFT,
        ):
            last = self._register.last_departure
            self._presence.record_departure(last.upstream_id, last.born_ms)
            departure = ttypes.UpstreamLeft(
                self._settings.instance, last.upstream_id, last.born_ms
            )
            self._fleet.broadcast(ttypes.Frame(left=departure))
        if self._local.is_usable is not was_usable or change in (
            announcements.UpstreamChange.STARTED,
            announcements.UpstreamChange.RESTARTED,
        ):
            self._fleet.status_changed()

    async def run(
        self, control: handlers.RequestHandler, stop: anyio.Event
    ) -> None:
        """Runs the node until its planned stop is complete.

        Args:
            control: Handles the requests that the upstream sends to report its
                own state.
            stop: Set to start the planned stop.
        """
        await self._listen(control)
        logs.log_event(
            _LOG,
            logbook.INFO,
            "node_started",
            instance=self._settings.instance,
            service=self._settings.service,
            incarnation=self._settings.incarnation,
        )
        try:
            async with anyio.create_task_group() as group:
                for task in (
                    self._fleet.run,
                    self._watch.run,
                    self._presence.run,
                    self._sweep,
                ):
                    group.start_soon(supervision.keep_running, task)
                await stop.wait()
                await self._stop()
                self._lending.depart()
                group.cancel_scope.cancel()
        finally:
            self._listeners.close()
            self._fleet.close()

    async def _listen(self, control: handlers.RequestHandler) -> None:
        pages = observing.PageHandler(
            {
                READY_PATH: observing.TextPage(self._render_ready),
                METRICS_PATH: observing.TextPage(self._render_metrics),
                EXPLAIN_PATH: explaining.ExplainPage(
                    self._dispatcher.explainer
                ),
            }
        )
        await self._listeners.open(
            listening.RequestHandlers(self._dispatcher, pages, control),
            self._fleet.make_inbound,
        )

    async def _stop(self) -> None:
        """Stops the node when no request runs or the grace period ends."""
        stop = self._settings.stop
        started_at = self._loop.time()
        logs.log_event(
            _LOG,
            logbook.INFO,
            "node_stopping",
            in_progress=self._dispatcher.in_progress,
            running=self._local.admission_queue.running,
        )
        self._is_stopping = True
        self._dispatcher.begin_stop()
        self._lending.stop()
        self._fleet.status_changed()
        current = self._register.current
        if current is not None and self._register.is_leaving:
            # The upstream leaves for good, so the instance leaves the store.
            with anyio.move_on_after(stop.margin_s):
                await self._presence.remove()
        await anyio.sleep(started_at + stop.accept_s - self._loop.time())
        ends_at = started_at + stop.grace_s - stop.margin_s
        self._dispatcher.refuse_deadlines_after(ends_at)
        self._listeners.close_idle()
        while self._is_busy and self._loop.time() < ends_at:  # noqa: ASYNC110
            await anyio.sleep(STOP_POLL_INTERVAL_S)
        logs.log_event(
            _LOG,
            logbook.INFO,
            "node_stopped",
            in_progress=self._dispatcher.in_progress,
            running=self._local.admission_queue.running,
            after_ms=int((self._loop.time() - started_at) * 1_000),
        )

    @property
    def _is_busy(self) -> bool:
        admission_queue = self._local.admission_queue
        if (
            self._dispatcher.in_progress
            or admission_queue.running
            or admission_queue.waiting
        ):
            return True
        return (
            self._listeners.has_unread_responses
            or self._fleet.has_unread_answers
        )

    async def _sweep(self) -> None:
        """Enforces time limits of connections and publishes rank changes.

        A rank change is a change of the rank of the admission level.
        """
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            now = self._loop.time()
            self._monitor.check(now)
            self._listeners.sweep(now)
            rank = self._local.admission_queue.level // levels.LEVELS_PER_RANK
            if rank != self._admitted_rank:
                self._admitted_rank = rank
                self._fleet.status_changed()

    def _build_status(self) -> ttypes.NodeStatus:
        status = upstream_status.build(
            self._settings, self._local, self._register, self._loop.time()
        )
        status.document_revision = self._holder.revision
        status.document_number = self._holder.version.number
        status.document_stored = self._holder.version.stored
        status.leaving = self._is_stopping
        status.asks_addresses = not self._presence.has_listed
        status.watches = self._watch.is_watching
        status.lends = self._lending.can_lend or None
        status.applies_limits = True
        status.store_era = self._era.current
        return status

    def restore_departure(self, upstream_id: str, born_ms: int) -> None:
        """Restores a departure; see `FleetEvents`."""
        was_usable = self._register.is_usable
        self._register.restore_departure(upstream_id, born_ms)
        if was_usable and not self._register.is_usable:
            self._local.apply_upstream_change(
                announcements.UpstreamChange.LEAVING
            )
            self._fleet.status_changed()

    def tick(self) -> None:
        """Performs periodic work; see `FleetEvents`."""
        self._era.check()
        self._lending.tick()

    def link_opened(self, link: links.Link) -> None:
        """Tells the other node of quarantines; see `FleetEvents`."""
        handover = self._crashes.make_handover(self._loop.time())
        if handover is not None:
            link.send(handover)

    def link_closed(self, link: links.Link, dialled: str | None) -> None:
        """Ends exchanges on a link; see `FleetEvents`."""
        self._lending.link_closed(link, dialled)

    def message_received(
        self, link: links.Link, sender: str | None, frame: ttypes.Frame
    ) -> None:
        """Passes a message on to the part it concerns; see `FleetEvents`."""
        now = self._loop.time()
        if frame.crash_report is not None:
            self._crashes.receive_report(frame.crash_report, now)
        elif frame.quarantine_update is not None:
            self._crashes.receive_update(frame.quarantine_update, now)
        else:
            self._lending.frame_received(link, sender, frame)

    def _render_ready(self) -> tuple[int, str]:
        if self.is_ready:
            return READY_STATUS, "ready\n"
        return NOT_READY_STATUS, "not ready\n"

    def _render_metrics(self) -> tuple[int, str]:
        return READY_STATUS, node_metrics.render(
            self._local,
            self._fleet,
            self._dispatcher,
            self._recorder,
            self._watch,
            self._listeners.guard,
            {
                "document_revision": self._holder.revision,
                "document_version": self._holder.version.number,
                **self._era.gauges,
                **self._monitor.gauges,
                "buffered_bytes": self._buffers.used_bytes,
            },
            self._lending.shares(),
        )
