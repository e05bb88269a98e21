"""HTTP listeners based on uvicorn, all in one event loop."""

import contextlib
import logging
import socket
import typing

import anyio
import logbook
import uvicorn

from medlardoor import logs
from medlardoor.config import settings as settings_module
from medlardoor.node.serving import protocol

__all__ = ["HttpListener"]

BACKLOG = 2_048
KEEP_ALIVE_TIMEOUT_S = 30
# Sufficient because the drain controller has already waited for the calls in
# progress.
SHUTDOWN_TIMEOUT_S = 5
# Time limits of connections are enforced at this interval or a shorter one.
MAX_CHECK_INTERVAL_S = 1.0

_LOG = logbook.Logger("medlardoor.servers")

# Uvicorn logs a traceback for each aborted response; the node logs an event of
# its own instead.
logging.getLogger("uvicorn.error").addHandler(logging.NullHandler())
logging.getLogger("uvicorn.error").propagate = False


class _Server(uvicorn.Server):
    """Uvicorn server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> typing.Iterator[None]:
        """Does nothing; the node handles the signals of the process."""
        yield


class _Config(uvicorn.Config):
    """Uvicorn configuration with the limits for `LimitedProtocol`."""

    def __init__(self, app: typing.Callable, limits: protocol.ListenerLimits):
        super().__init__(
            app,
            http=protocol.LimitedProtocol,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
            timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
        )
        self.limits = limits


class HttpListener:
    """One HTTP/1.1 listener.

    The constructor binds the socket, so that its port is known before the
    applications are built. Connections wait in the backlog until `serve`.

    Args:
        address: Address to listen on; with port 0 the kernel chooses one.
        settings: Limits of the listener.
    """

    def __init__(
        self,
        address: settings_module.AddressSettings,
        settings: settings_module.ListenerSettings,
    ):
        self._socket = socket.create_server(
            (address.host, address.port), backlog=BACKLOG
        )
        self._limits = protocol.ListenerLimits(settings)
        self._server: _Server | None = None
        self._stopped = anyio.Event()

    @property
    def host(self) -> str:
        """IP address of the listener."""
        return self._socket.getsockname()[0]

    @property
    def port(self) -> int:
        """Port of the listener."""
        return self._socket.getsockname()[1]

    @property
    def refused_connections(self) -> int:
        """Connections closed because too many were open."""
        return self._limits.refused_connections

    @property
    def rejected_requests(self) -> int:
        """Requests ended as malformed, too large or too slow."""
        return self._limits.rejected_requests

    async def serve(self, app: typing.Callable) -> None:
        """Serves an ASGI application until `stop` is called.

        Args:
            app: ASGI application.
        """
        self._server = _Server(_Config(app, self._limits))
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._check_connections)
                await self._server.serve(sockets=[self._socket])
                tasks.cancel_scope.cancel()
        finally:
            self._stopped.set()

    async def _check_connections(self) -> None:
        """Enforces the time limits of connections until cancelled."""
        settings = self._limits.settings
        interval_s = min(
            MAX_CHECK_INTERVAL_S,
            settings.head_timeout_s / 4,
            settings.idle_timeout_s / 4,
        )
        last_refused = last_rejected = 0
        while True:
            await anyio.sleep(interval_s)
            now = anyio.current_time()
            for connection in list(self._server.server_state.connections):
                connection.check_timeouts(now)
            if (self.refused_connections, self.rejected_requests) != (
                last_refused,
                last_rejected,
            ):
                last_refused = self.refused_connections
                last_rejected = self.rejected_requests
                logs.log_event(
                    _LOG,
                    logbook.WARNING,
                    "input_refused",
                    port=self.port,
                    connections=last_refused,
                    requests=last_rejected,
                )

    def stop(self) -> None:
        """Stops accepting and closes idle connections."""
        if self._server is not None:
            self._server.should_exit = True

    async def wait_stopped(self) -> None:
        """Waits until the last connection is closed."""
        if self._server is not None:
            await self._stopped.wait()
