"""Serves an ASGI application of a stand-in with uvicorn."""

import contextlib
import signal
import socket

import anyio
import uvicorn

from medlardoor.standins import output, upstream
from medlardoor.standins import settings as settings_module

__all__ = ["run_upstream"]

BACKLOG = 2_048
# Bounds the stop when callers keep connections open after the drain.
CLOSE_TIMEOUT_S = 5


class _Server(uvicorn.Server):
    """Server that leaves signals to the caller."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Captures no signal: a drain comes before the exit."""
        yield


def run_upstream(settings: settings_module.UpstreamStandinSettings) -> None:
    """Runs an upstream stand-in until SIGTERM or SIGINT and a drain."""
    anyio.run(_run, settings, backend_options={"use_uvloop": True})


async def _run(settings):
    app = upstream.UpstreamStandin(settings)
    listener = socket.create_server(
        (settings.host, settings.port), backlog=BACKLOG
    )
    server = _Server(
        uvicorn.Config(
            app,
            http="httptools",
            ws="none",
            lifespan="off",
            log_level="warning",
            access_log=False,
            backlog=BACKLOG,
            timeout_graceful_shutdown=CLOSE_TIMEOUT_S,
        )
    )
    host, port = listener.getsockname()[:2]
    async with anyio.create_task_group() as group:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            group.start_soon(_serve, server, listener, group.cancel_scope)
            output.print_event("listening", host=host, port=port)
            await anext(signals)
            await app.drain()
            server.should_exit = True
    await app.aclose()


async def _serve(server, listener, cancel_scope):
    await server.serve(sockets=[listener])
    cancel_scope.cancel()
