"""Runs the node process."""

import functools
import signal
import time

import anyio
import anyio.abc
import logbook

from medlardoor import event_loops, logs
from medlardoor.blackboard import topics
from medlardoor.config import settings as settings_module
from medlardoor.node import apps, assembly, parts
from medlardoor.node.control import maintenance
from medlardoor.node.serving import listeners

__all__ = ["run", "run_node"]

_LOG = logbook.Logger("medlardoor.node")


def run(settings: settings_module.NodeSettings) -> None:
    """Runs the node until it is stopped.

    Args:
        settings: Validated settings.
    """
    logs.set_up(settings.log_level)
    # The time in milliseconds increases with each start of the instance unless
    # its clock is set back. In that case the gossip controller raises the
    # incarnation above the one that peers report.
    incarnation = time.time_ns() // 1_000_000
    anyio.run(
        functools.partial(run_node, settings, incarnation),
        backend_options=event_loops.BACKEND_OPTIONS,
    )


async def run_node(
    settings: settings_module.NodeSettings, incarnation: int
) -> None:
    """Runs the node in the current event loop.

    Args:
        settings: Validated settings.
        incarnation: Number that orders the processes of this instance.
    """
    sockets = listeners.Listeners(settings)
    connections = assembly.Connections(settings)
    async with anyio.create_task_group() as tasks:
        node = assembly.build(
            settings, incarnation, sockets, connections, tasks
        )
        await _Process(node, sockets, tasks).run()
        tasks.cancel_scope.cancel()
    await connections.aclose()
    logs.log_event(_LOG, logbook.INFO, "stopped")


class _Process:
    """Life cycle of a node process: start, operation and planned stop."""

    def __init__(
        self,
        node: parts.NodeParts,
        sockets: listeners.Listeners,
        tasks: anyio.abc.TaskGroup,
    ):
        self._node = node
        self._sockets = sockets
        self._tasks = tasks
        self._apps = apps.NodeApps(
            node, lambda: tasks.start_soon(self._begin_drain, "request")
        )
        self._maintenance = maintenance.Maintenance(
            node, lambda: self._apps.in_progress
        )

    async def run(self) -> None:
        """Serves requests until a planned stop has finished."""
        start = self._tasks.start_soon
        start(self._handle_signals)
        start(self._node.gossip_task.run)
        start(self._node.monitor.run)
        start(self._node.discovery.run)
        start(self._node.configuration_task.run)
        start(self._node.quarantine_task.run)
        start(self._maintenance.adapt_admission)
        start(self._maintenance.expire_records)
        start(self._sockets.caller.serve, self._apps.caller)
        start(self._sockets.peer.serve, self._apps.peer)
        start(self._sockets.egress.serve, self._apps.egress)
        start(self._sockets.admin.serve, self._apps.admin)
        print(self._sockets.description(), flush=True)  # noqa: T201
        start(self._join)
        await self._maintenance.wait_drained()
        await self._node.gossip_task.announce_stop(topics.MemberState.LEFT)
        await self._close_listeners()

    async def _join(self) -> None:
        """Joins the gossip group of the service of this node."""
        node = self._node
        await node.directory_task.read()
        seeds = [_parse_address(text) for text in node.settings.seed_addresses]
        if seeds:
            sends = node.membership.join(seeds, anyio.current_time())
            await node.gossip_task.send_all(sends)
        self._tasks.start_soon(node.directory_task.run)

    async def _handle_signals(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                await self._begin_drain("signal")

    async def _begin_drain(self, cause: str) -> None:
        was_begun = self._node.drain.begin(cause, anyio.current_time())
        if not was_begun:
            logs.log_event(_LOG, logbook.INFO, "drain_already_begun")
            return
        logs.log_event(_LOG, logbook.INFO, "drain_begun", cause=cause)
        await self._node.gossip_task.announce_stop(topics.MemberState.LEAVING)

    async def _close_listeners(self) -> None:
        """Stops the listeners and waits for the responses in progress."""
        for listener in self._sockets.http_listeners():
            listener.stop()
        for listener in self._sockets.http_listeners():
            await listener.wait_stopped()


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)
