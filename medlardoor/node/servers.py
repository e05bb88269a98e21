"""HTTP listeners on uvicorn inside one event loop."""

import contextlib
import logging
import socket
import typing

import anyio
import uvicorn

from medlardoor.config import settings as settings_module

__all__ = ["HttpListener"]

BACKLOG = 2_048
KEEP_ALIVE_S = 30
# The drain controller has waited for the calls in progress before.
SHUTDOWN_TIMEOUT_S = 5

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


class HttpListener:
    """One HTTP/1.1 listener.

    The socket is bound at once, so that its port is known before the
    applications are built; connections wait in the backlog until `serve`.

    Args:
        address: Where to listen; port 0 lets the kernel choose.
    """

    def __init__(self, address: settings_module.AddressSettings):
        self._socket = socket.create_server(
            (address.host, address.port), backlog=BACKLOG
        )
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

    async def serve(self, app: typing.Callable) -> None:
        """Serves an ASGI application until `stop` is called.

        Args:
            app: ASGI application.
        """
        self._server = _Server(
            uvicorn.Config(
                app,
                http="httptools",
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
        )
        try:
            await self._server.serve(sockets=[self._socket])
        finally:
            self._stopped.set()

    def stop(self) -> None:
        """Stops accepting and closes idle connections."""
        if self._server is not None:
            self._server.should_exit = True

    async def wait_stopped(self) -> None:
        """Returns when the last connection is closed."""
        if self._server is not None:
            await self._stopped.wait()
