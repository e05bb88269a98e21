"""Listening sockets of a node."""

import asyncio
import collections.abc
import dataclasses
import functools
import socket

import logbook

from medlardoor import logs
from medlardoor.admission import buffers as buffers_module
from medlardoor.mesh import connection_guard, handlers, server_connection
from medlardoor.mesh import settings as settings_module

__all__ = ["Listeners", "RequestHandlers", "listen"]

_LOG = logbook.Logger("connections")

# Number of connections that the kernel queues for each listener.
LISTEN_BACKLOG = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHandlers:
    """Handlers of the requests to a node.

    Attributes:
        callers: Requests of callers and calls of the upstream.
        pages: Readiness and metrics.
        control: Requests that the upstream sends to report its own state.
    """

    callers: handlers.RequestHandler
    pages: handlers.RequestHandler
    control: handlers.RequestHandler


async def listen(
    address: settings_module.Address,
    make_protocol: collections.abc.Callable[[], asyncio.Protocol],
) -> asyncio.Server:
    """Accepts connections at an address.

    The event loop gets a bound socket: given a host, it starts four threads to
    look it up, even if it is numeric.

    Args:
        address: Listen address; its host is an IP address.
        make_protocol: Returns the protocol of a new connection.

    Raises:
        OSError: The address cannot be listened on.
    """
    is_ipv6 = ":" in address.host
    listener = socket.create_server(
        (address.host, address.port),
        family=socket.AF_INET6 if is_ipv6 else socket.AF_INET,
        backlog=LISTEN_BACKLOG,
    )
    try:
        return await asyncio.get_running_loop().create_server(
            make_protocol, sock=listener, backlog=LISTEN_BACKLOG
        )
    except BaseException:
        listener.close()
        raise


class Listeners:
    """All listeners of a node and the connections of its clients.

    Args:
        settings: Addresses of the listeners and limits on clients.
        buffers: Budget for the bytes of bodies held in memory.
    """

    def __init__(
        self,
        settings: settings_module.MeshSettings,
        buffers: buffers_module.BufferBudget,
    ):
        self._settings = settings
        self._buffers = buffers
        self._guard = connection_guard.ConnectionGuard(
            settings.clients, buffers
        )
        self._connections: set[server_connection.ServerConnection] = set()
        self._servers: list[asyncio.Server] = []

    @property
    def guard(self) -> connection_guard.ConnectionGuard:
        """Bounds over all connections of clients."""
        return self._guard

    @property
    def has_unread_responses(self) -> bool:
        """Whether a client may not have received all of a response yet."""
        return any(c.has_unread_responses for c in self._connections)

    async def open(
        self,
        request_handlers: RequestHandlers,
        make_link: collections.abc.Callable[[], asyncio.Protocol],
    ) -> None:
        """Opens all listeners.

        Args:
            request_handlers: Handlers of the requests.
            make_link: Returns the protocol for a link opened by another node.

        Raises:
            OSError: An address cannot be listened on.
        """
        settings = self._settings
        listeners = [
            (settings.caller_address, request_handlers.callers),
            (settings.ready_address, request_handlers.pages),
            (settings.control_address, request_handlers.control),
        ]
        if settings.metrics_address is not None:
            listeners.append((settings.metrics_address, request_handlers.pages))
        for address, handler in listeners:
            make_connection = functools.partial(
                server_connection.ServerConnection,
                handler,
                self._connections,
                self._buffers,
                self._guard,
            )
            self._servers.append(await listen(address, make_connection))
        self._servers.append(await listen(settings.link_address, make_link))

    def sweep(self, now: float) -> None:
        """Enforces the limits of connections; called regularly.

        Args:
            now: Current time, in seconds.
        """
        for connection in list(self._connections):
            try:
                connection.check_timeouts(now)
            except Exception as error:  # noqa: BLE001
                # The limits of the other connections still hold.
                logs.log_exception(_LOG, "connection_check_failed", error)
                connection.abort()
        self._guard.check(now)

    def close_idle(self) -> None:
        """Closes all idle connections of clients."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def close(self) -> None:
        """Ends listening."""
        for server in self._servers:
            server.close()
