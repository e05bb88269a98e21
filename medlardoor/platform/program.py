"""The program that the platform starts beside each upstream."""

import os
import signal
import sys

import anyio
import logbook

from medlardoor import event_loops, logs
from medlardoor.mesh import loop_monitor
from medlardoor.mesh import node as node_module
from medlardoor.platform import documents, heartbeats, names, settings, store

__all__ = ["run"]

_LOG = logbook.Logger("platform")

# Exit status for invalid settings (EX_CONFIG of sysexits.h).
INVALID_SETTINGS = 78

STANDARD_OUTPUT = 1


async def _run(loaded: settings.PlatformSettings, path: str) -> None:
    alarm = loop_monitor.SignalAlarm()
    try:
        await _run_node(loaded, path, alarm)
    finally:
        alarm.close()


async def _run_node(
    loaded: settings.PlatformSettings,
    path: str,
    alarm: loop_monitor.StallAlarm,
) -> None:
    mesh = settings.to_mesh(loaded)
    platform = loaded.platform.platform
    objects = store.PlatformStore(platform.address, platform.valueBytes)
    node = node_module.Node(
        mesh,
        objects,
        names.CONFIG_KEY,
        documents.ConfigDecoder(),
        alarm,
    )
    control = heartbeats.HeartbeatHandler(
        mesh, node.register, node.handle_upstream_change
    )
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(_follow_signals, stop, path, loaded)
        await node.run(control, stop)
        group.cancel_scope.cancel()


async def _follow_signals(
    stop: anyio.Event, path: str, loaded: settings.PlatformSettings
) -> None:
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                _reload(path, loaded)
            else:
                stop.set()


def _reload(path: str, loaded: settings.PlatformSettings) -> None:
    """Validates changed settings, which take effect at the next start."""
    read = settings.load(path)
    if read.is_err():
        logs.log_event(
            _LOG,
            logbook.ERROR,
            "settings_invalid",
            detail=read.err_value.message[:500],
        )
        return
    logs.log_event(
        _LOG,
        logbook.INFO,
        "settings_reloaded",
        changed=read.ok_value != loaded,
    )


def run() -> int:
    """Runs the node and returns its exit status."""
    logs.set_up("INFO", logs.BoundedStream(STANDARD_OUTPUT))
    path = os.environ.get(names.SETTINGS_VARIABLE, "")
    loaded = settings.load(path)
    if loaded.is_err():
        sys.stderr.write(loaded.err_value.message + "\n")
        return INVALID_SETTINGS
    anyio.run(
        _run, loaded.ok_value, path, backend_options=event_loops.BACKEND_OPTIONS
    )
    return 0
