"""Listening sockets of a node."""

import asyncio
import collections.abc
import dataclasses

from medlardoor.admission import buffers as buffers_module
from medlardoor.mesh import handlers, server_connection
from medlardoor.mesh import settings as settings_module

__all__ = [
    "RequestHandlers",
    "listen",
    "listen_for_all",
    "listen_for_requests",
]

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

    Args:
        address: Listen address.
        make_protocol: Returns the protocol of a new connection.

    Raises:
        OSError: The address cannot be listened on.
    """
    return await asyncio.get_running_loop().create_server(
        make_protocol, address.host, address.port, backlog=LISTEN_BACKLOG
    )


async def listen_for_requests(
    address: settings_module.Address,
    handler: handlers.RequestHandler,
    connections: set[server_connection.ServerConnection],
    buffers: buffers_module.BufferBudget,
) -> asyncio.Server:
    """Accepts HTTP requests at an address.

    Args:
        address: Listen address.
        handler: Handles the requests.
        connections: Set that holds the open connections.
        buffers: Budget for the bytes of bodies held in memory.

    Raises:
        OSError: The address cannot be listened on.
    """
    return await listen(
        address,
        lambda: server_connection.ServerConnection(
            handler, connections, buffers
        ),
    )


async def listen_for_all(
    settings: settings_module.MeshSettings,
    request_handlers: RequestHandlers,
    make_link: collections.abc.Callable[[], asyncio.Protocol],
    connections: set[server_connection.ServerConnection],
    buffers: buffers_module.BufferBudget,
) -> list[asyncio.Server]:
    """Opens all listeners of a node.

    Args:
        settings: Addresses of the listeners.
        request_handlers: Handlers of the requests.
        make_link: Returns the protocol for a link opened by another node.
        connections: Set that holds the open connections of requests.
        buffers: Budget for the bytes of bodies held in memory.

    Raises:
        OSError: An address cannot be listened on.
    """
    listeners = [
        (settings.caller_address, request_handlers.callers),
        (settings.ready_address, request_handlers.pages),
        (settings.control_address, request_handlers.control),
    ]
    if settings.metrics_address is not None:
        listeners.append((settings.metrics_address, request_handlers.pages))
    servers = [
        await listen_for_requests(address, handler, connections, buffers)
        for address, handler in listeners
    ]
    servers.append(await listen(settings.link_address, make_link))
    return servers
