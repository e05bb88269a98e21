"""Assembly and life of a node on the data path."""

import asyncio
import random

import anyio
import logbook

from medlardoor import logs
from medlardoor.admission import buffers, levels
from medlardoor.blackboard import board as board_module
from medlardoor.membership import announcements
from medlardoor.mesh import (
    crashes,
    dispatch,
    documents,
    fleet,
    handlers,
    local_upstream,
    observing,
    presence,
    recording,
    server_connection,
    supervision,
)
from medlardoor.mesh import settings as settings_module
from medlardoor.quarantine import controller as quarantine_module
from medlardoor.quarantine import settings as quarantine_settings
from medlardoor.routing import path
from medlardoor.store import client
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["Node"]

_LOG = logbook.Logger("node")

# Waiting connections that a listener keeps while the process is busy.
BACKLOG = 1_024

# Pause between two checks of time limits on connections, in seconds.
SWEEP_S = 0.25

# Pause between two looks at what still runs during a stop, in seconds.
POLL_S = 0.05

READY_PATH = b"/ready"
METRICS_PATH = b"/metrics"

READY_STATUS = 200
NOT_READY_STATUS = 503


class Node:
    """One node with all of its parts.

    Must be made inside of a running event loop.

    Args:
        settings: Settings of the node.
        store: The platform's store.
        document_key: Key of the document of routes in the store.
        decoder: Decodes the document.
    """

    def __init__(
        self,
        settings: settings_module.MeshSettings,
        store: client.ObjectStore,
        document_key: str,
        decoder: documents.DocumentDecoder,
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
        self._crashes = crashes.CrashWatch(quarantine, board, self._publish)
        self._buffers = buffers.BufferBudget(settings.buffer_bytes)
        self._local = local_upstream.LocalUpstream(
            settings, self._register, self._crashes, self._buffers
        )
        self._holder = documents.DocumentHolder(decoder)
        self._fleet = fleet.Fleet(
            settings,
            self._local,
            self._holder,
            self._describe,
            self._take_message,
            self._restore_left,
            generator,
        )
        self._recorder = recording.Recorder(settings.headers.attempt_id)
        self._dispatcher = dispatch.Dispatcher(
            settings,
            self._holder,
            self._fleet,
            self._local,
            path.PathController(board),
            self._recorder,
            generator,
        )
        self._watch = documents.DocumentWatch(
            store,
            document_key,
            self._holder,
            lambda: self._fleet.is_watched,
            generator,
        )
        self._presence = presence.Presence(
            settings,
            store,
            self._fleet.learn,
            self._restore_left,
            lambda: self._fleet.has_contact,
            lambda: self._fleet.is_watched,
            generator,
        )
        self._connections: set[server_connection.ServerConnection] = set()
        self._is_stopping = False
        self._admitted_rank = 0

    @property
    def register(self) -> announcements.UpstreamRegister:
        """What is known of the local upstream."""
        return self._register

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent to this node."""
        return not self._is_stopping and self._holder.table is not None

    @property
    def usable_nodes(self) -> int:
        """Known nodes with a usable upstream, this one included."""
        return self._fleet.usable_nodes

    def upstream_changed(self, change: announcements.Change) -> None:
        """Follows a heartbeat of the local upstream.

        Args:
            change: What the register has made of it.
        """
        before = self._local.is_usable
        self._local.announced(change)
        if change is announcements.Change.LEAVING:
            current = self._register.current
            self._presence.note_left(current.upstream_id, current.born_ms)
            left = ttypes.UpstreamLeft(
                self._settings.instance, current.upstream_id, current.born_ms
            )
            self._fleet.broadcast(ttypes.Frame(left=left))
        if self._local.is_usable is not before or change in (
            announcements.Change.STARTED,
            announcements.Change.RESTARTED,
        ):
            self._fleet.status_changed()

    async def run(
        self, control: handlers.RequestHandler, stop: anyio.Event
    ) -> None:
        """Runs until a planned stop has ended.

        Args:
            control: Handles what the upstream reports of itself.
            stop: Begins the planned stop.
        """
        servers = await self._listen(control)
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
                group.cancel_scope.cancel()
        finally:
            for server in servers:
                server.close()
            self._fleet.close()

    async def _listen(
        self, control: handlers.RequestHandler
    ) -> list[asyncio.Server]:
        settings = self._settings
        ready = observing.PageHandler(
            {
                READY_PATH: observing.Page(self._render_ready),
                METRICS_PATH: observing.Page(self._render_metrics),
            }
        )
        listeners = [
            (settings.caller_address, self._dispatcher),
            (settings.ready_address, ready),
            (settings.control_address, control),
        ]
        if settings.metrics_address is not None:
            listeners.append((settings.metrics_address, ready))
        servers = []
        for address, handler in listeners:
            servers.append(
                await self._loop.create_server(
                    lambda h=handler: server_connection.ServerConnection(
                        h, self._connections, self._buffers
                    ),
                    address.host,
                    address.port,
                    backlog=BACKLOG,
                )
            )
        address = settings.link_address
        servers.append(
            await self._loop.create_server(
                self._fleet.make_inbound,
                address.host,
                address.port,
                backlog=BACKLOG,
            )
        )
        return servers

    async def _stop(self) -> None:
        """Ends without interrupting a request in progress."""
        stop = self._settings.stop
        started_at = self._loop.time()
        logs.log_event(
            _LOG,
            logbook.INFO,
            "node_stopping",
            in_progress=self._dispatcher.in_progress,
            running=self._local.room.running,
        )
        self._is_stopping = True
        self._dispatcher.begin_stop()
        self._fleet.status_changed()
        current = self._register.current
        if current is not None and self._register.leaving:
            # The upstream has gone for good, and this instance with it.
            with anyio.move_on_after(stop.margin_s):
                await self._presence.remove()
        await anyio.sleep(started_at + stop.accept_s - self._loop.time())
        last = started_at + stop.grace_s - stop.margin_s
        self._dispatcher.refuse_deadlines_after(last)
        for connection in list(self._connections):
            connection.close_if_idle()
        while self._is_busy and self._loop.time() < last:
            await self._pause()
        logs.log_event(
            _LOG,
            logbook.INFO,
            "node_stopped",
            in_progress=self._dispatcher.in_progress,
            running=self._local.room.running,
            after_ms=int((self._loop.time() - started_at) * 1_000),
        )

    async def _pause(self) -> None:
        await anyio.sleep(POLL_S)

    @property
    def _is_busy(self) -> bool:
        room = self._local.room
        if self._dispatcher.in_progress or room.running or room.waiting:
            return True
        return any(c.has_unsent_bytes for c in self._connections)

    async def _sweep(self) -> None:
        """Enforces time limits of connections and reports refusals."""
        while True:
            await anyio.sleep(SWEEP_S)
            now = self._loop.time()
            for connection in list(self._connections):
                connection.check_timeouts(now)
            rank = self._local.room.level // levels.LEVELS_PER_RANK
            if rank != self._admitted_rank:
                self._admitted_rank = rank
                self._fleet.status_changed()

    def _describe(self) -> ttypes.NodeStatus:
        settings = self._settings
        now = self._loop.time()
        room = self._local.room
        current = self._register.current
        upstream_id = ""
        if current is not None and self._local.is_usable:
            upstream_id = current.upstream_id
        return ttypes.NodeStatus(
            instance=settings.instance,
            host=settings.advertised_address.host,
            port=settings.advertised_address.port,
            failure_domain=settings.failure_domain,
            service_name=settings.service,
            upstream_id=upstream_id,
            limit=room.limit,
            running=room.running,
            waiting=room.waiting,
            document_revision=self._holder.revision,
            cold_ms=int(self._register.cold_s(now) * 1_000),
            level=room.level,
            leaving=self._is_stopping,
            incarnation=settings.incarnation,
            asks_addresses=not self._presence.has_listed,
            watches=self._watch.is_watching,
        )

    def _restore_left(self, upstream_id: str, born_ms: int) -> None:
        """Takes what an earlier process of this node had acknowledged."""
        was_usable = self._register.usable
        self._register.restore_leaving(upstream_id, born_ms)
        if was_usable and not self._register.usable:
            self._local.announced(announcements.Change.LEAVING)
            self._fleet.status_changed()

    def _publish(
        self, message: ttypes.CrashReport | ttypes.QuarantineUpdate
    ) -> None:
        if isinstance(message, ttypes.CrashReport):
            self._fleet.broadcast(ttypes.Frame(crash_report=message))
        else:
            self._fleet.broadcast(ttypes.Frame(quarantine_update=message))

    def _take_message(self, frame: ttypes.Frame) -> None:
        now = self._loop.time()
        if frame.crash_report is not None:
            self._crashes.receive_report(frame.crash_report, now)
        elif frame.quarantine_update is not None:
            self._crashes.receive_update(frame.quarantine_update, now)

    def _render_ready(self) -> tuple[int, str]:
        if self.is_ready:
            return READY_STATUS, "ready\n"
        return NOT_READY_STATUS, "not ready\n"

    def _render_metrics(self) -> tuple[int, str]:
        room = self._local.room
        gauges = {
            "document_revision": self._holder.revision,
            "nodes_known": self._fleet.size,
            "links_open": self._fleet.open_links,
            "requests_in_progress": self._dispatcher.in_progress,
            "buffered_bytes": self._buffers.used_bytes,
            "upstream_limit": room.limit,
            "upstream_running": room.running,
            "upstream_waiting": room.waiting,
            "admission_level": room.level,
            "upstream_usable": int(self._local.is_usable),
            "upstream_connections_total": self._local.connections_opened,
        }
        lines = [f"medlardoor_{name} {value}" for name, value in gauges.items()]
        for rank, most in room.bounds.items():
            label = f'{{rank="{rank}"}}'
            lines.append(f"medlardoor_chains_most{label} {most:.1f}")
        for reason, count in self._local.breaks.items():
            label = f'{{reason="{reason.value}"}}'
            lines.append(f"medlardoor_upstream_breaks_total{label} {count}")
        lines += self._recorder.render()
        return READY_STATUS, "\n".join(lines) + "\n"
