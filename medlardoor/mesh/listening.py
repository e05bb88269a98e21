"""Listening sockets of a node."""

import asyncio
import collections.abc

from medlardoor.admission import buffers as buffers_module
from medlardoor.mesh import handlers, server_connection
from medlardoor.mesh import settings as settings_module

__all__ = ["listen", "listen_for_requests"]

# Number of connections that the kernel queues for each listener.
LISTEN_BACKLOG = 1_024


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
