"""Test harness: the stand-in of the platform's store on loopback."""

import asyncio
import contextlib

from medlardoor.mesh import server_connection, settings
from medlardoor.platform import store

# Size of the largest object, as in the platform's settings.
VALUE_BYTES = 1_048_576


@contextlib.asynccontextmanager
async def serve(standin):
    """Serves a stand-in of the store.

    Yields:
        A client of it.
    """
    connections = set()
    server = await asyncio.get_running_loop().create_server(
        lambda: server_connection.ServerConnection(standin, connections),
        "127.0.0.1",
        0,
    )
    host, port = server.sockets[0].getsockname()
    client = store.PlatformStore(settings.Address(host, port), VALUE_BYTES)
    try:
        yield client
    finally:
        server.close()
        await client.aclose()
