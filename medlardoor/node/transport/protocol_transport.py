"""HTTP/1.1 client based on asyncio protocols and the httptools parser."""

import asyncio
from collections import abc as collections_abc

import anyio
import result

from medlardoor.calls import exchange
from medlardoor.node.transport import client_connection, transport

__all__ = ["ProtocolTransport"]

SendResult = result.Result[transport.Response, transport.TransportFailure]


class ProtocolTransport(transport.Transport):
    """HTTP/1.1 client with a pool of `ClientConnection` objects.

    Each connection parses responses as the data arrives. A call therefore waits
    once for the head and does not wait for a body that came with it.

    Args:
        max_idle_connections: Maximum number of idle connections for each
            address.
    """

    def __init__(self, max_idle_connections: int = 64):
        self._max_idle_connections = max_idle_connections
        self._idle: dict[
            transport.Address, list[client_connection.ClientConnection]
        ] = {}

    async def send(
        self,
        address: transport.Address,
        request: transport.OutgoingRequest,
        connect_timeout_s: float,
    ) -> SendResult:
        """Sends a request and returns the head of its response."""
        head = _encode_head(address, request)
        if head is None:
            return result.Err(_failure(False, False, "InvalidRequest"))
        connection = self._take_idle_connection(address)
        if connection is None:
            connected = await _connect(address, connect_timeout_s)
            if connected.is_err():
                return connected
            connection = connected.ok()
        try:
            error = await connection.exchange(head, request)
        except BaseException:
            connection.abort()
            raise
        if error is not None:
            connection.abort()
            return result.Err(_failure(True, False, error))
        return result.Ok(_Response(self, address, connection))

    async def aclose(self) -> None:
        """Closes all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.abort()
        self._idle.clear()

    def _take_idle_connection(
        self, address: transport.Address
    ) -> client_connection.ClientConnection | None:
        connections = self._idle.get(address)
        while connections:
            connection = connections.pop()
            if connection.is_reusable and not connection.is_stale:
                return connection
            connection.abort()
        return None

    def release_connection(
        self,
        address: transport.Address,
        connection: client_connection.ClientConnection,
    ) -> None:
        """Returns a reusable connection to the pool; closes any other."""
        connections = self._idle.setdefault(address, [])
        if (
            connection.is_reusable
            and len(connections) < self._max_idle_connections
        ):
            connection.mark_idle()
            connections.append(connection)
            return
        connection.abort()


class _Response(transport.Response):
    """Response on a connection of `ProtocolTransport`."""

    def __init__(
        self,
        owner: ProtocolTransport,
        address: transport.Address,
        connection: client_connection.ClientConnection,
    ):
        self._owner = owner
        self._address = address
        self._connection: client_connection.ClientConnection | None = connection
        self._status = connection.status
        self._headers = connection.headers

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._status

    @property
    def headers(self) -> exchange.Headers:
        """Headers with names in lower case."""
        return self._headers

    async def chunks(self) -> collections_abc.AsyncIterator[bytes]:
        """Yields the body."""
        while self._connection is not None:
            chunk = await self._connection.read()
            if not chunk:
                return
            yield chunk

    async def aclose(self) -> None:
        """Releases the connection; a second call has no effect."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            self._owner.release_connection(self._address, connection)


async def _connect(
    address: transport.Address, timeout_s: float
) -> result.Result[
    client_connection.ClientConnection, transport.TransportFailure
]:
    loop = asyncio.get_running_loop()
    with anyio.move_on_after(timeout_s):
        try:
            _, connection = await loop.create_connection(
                client_connection.ClientConnection, address.host, address.port
            )
        except OSError as error:
            return result.Err(_failure(False, True, type(error).__name__))
        return result.Ok(connection)
    return result.Err(_failure(False, True, "ConnectTimeout"))


def _failure(
    dispatched: bool, connect_failed: bool, detail: str
) -> transport.TransportFailure:
    return transport.TransportFailure(dispatched, connect_failed, detail)


def _encode_head(
    address: transport.Address,
    request: transport.OutgoingRequest,
) -> bytes | None:
    """Encodes the request head; returns None if it is not valid HTTP/1.1.

    A line break in a header or a space in the target would change the framing
    of the request.
    """
    headers = request.headers
    if exchange.header_value(headers, b"host") is None:
        host = f"{address.host}:{address.port}".encode()
        headers = [(b"host", host), *headers]
    lines = [b"%b %b HTTP/1.1" % (request.method.encode(), request.target)]
    lines += [b"%b: %b" % header for header in headers]
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    line_end_count = len(lines) + 1
    if (
        head.count(b"\r") != line_end_count
        or head.count(b"\n") != line_end_count
    ):
        return None
    if b" " in request.target or request.method == "CONNECT":
        return None
    return head
