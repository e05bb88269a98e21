"""HTTP listeners on uvicorn inside one event loop."""

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
KEEP_ALIVE_S = 30
# The drain controller has waited for the calls in progress before.
SHUTDOWN_TIMEOUT_S = 5
# Precision of the time limits of connections.
MAX_CHECK_INTERVAL_S = 1.0

_LOG = logbook.Logger("medlardoor.servers")

# Uvicorn logs the traceback of each aborted answer; the node logs its own
# event for them.
logging.getLogger("uvicorn.error").addHandler(logging.NullHandler())
logging.getLogger("uvicorn.error").propagate = False


class _Server(uvicorn.Server):
    """Server that leaves the signals of the process alone."""

    @contextlib.contextmanager
    def capture_signals(self) -> typing.Iterator[None]:
        """Captures no signals; the node has one handler for all."""
        yield


class _Config(uvicorn.Config):
    """Configuration with the limits that the protocol reads."""

    def __init__(self, app: typing.Callable, limits: protocol.Limits):
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
            timeout_keep_alive=KEEP_ALIVE_S,
            timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
        )
        self.limits = limits


class HttpListener:
    """One HTTP/1.1 listener.

    The socket is bound at once, so that its port is known before the
    applications are built; connections wait in the backlog until `serve`.

    Args:
        address: Where to listen; port 0 lets the kernel choose.
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
        self._limits = protocol.Limits(settings)
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
        """Connections closed at once because too many were open."""
        return self._limits.refused_connections

    @property
    def rejected_requests(self) -> int:
        """Requests ended because they were malformed, too large or slow."""
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
        """Applies the time limits of connections until cancelled."""
        settings = self._limits.settings
        interval_s = min(
            MAX_CHECK_INTERVAL_S,
            settings.head_timeout_s / 4,
            settings.idle_timeout_s / 4,
        )
        refused = rejected = 0
        while True:
            await anyio.sleep(interval_s)
            now = anyio.current_time()
            for connection in list(self._server.server_state.connections):
                connection.check(now)
            if (self.refused_connections, self.rejected_requests) != (
                refused,
                rejected,
            ):
                refused = self.refused_connections
                rejected = self.rejected_requests
                logs.log_event(
                    _LOG,
                    logbook.WARNING,
                    "input_refused",
                    port=self.port,
                    connections=refused,
                    requests=rejected,
                )

    def stop(self) -> None:
        """Stops accepting and closes idle connections."""
        if self._server is not None:
            self._server.should_exit = True

    async def wait_stopped(self) -> None:
        """Returns when the last connection is closed."""
        if self._server is not None:
            await self._stopped.wait()
