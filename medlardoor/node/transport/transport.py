"""HTTP client of a node for requests to upstreams and other nodes."""

import abc
from collections import abc as collections_abc
import dataclasses

import anyio
import httpcore
import result

from medlardoor import errors
from medlardoor.calls import exchange
from medlardoor.wire import ranges

__all__ = [
    "Address",
    "HttpTransport",
    "OutgoingRequest",
    "Response",
    "Transport",
    "TransportFailure",
]

# By default uvicorn closes idle connections after 5 s. A request that is sent
# on a reused connection shortly before then would be lost.
IDLE_TIMEOUT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """IP address and TCP port."""

    host: str
    port: int


@dataclasses.dataclass(slots=True)
class OutgoingRequest:
    """Request to send.

    Attributes:
        method: HTTP method.
        target: Raw path with query.
        headers: All headers, including the one that frames the body.
        body: Body, as one value or as chunks.
    """

    method: str
    target: bytes
    headers: exchange.Headers
    body: collections_abc.AsyncIterable[bytes] | bytes = b""


@dataclasses.dataclass(frozen=True)
class TransportFailure(errors.Failure):
    """Failure to receive the head of a response.

    Attributes:
        dispatched: Whether the server may have received the request.
        connect_failed: Whether the connection could not be established.
        detail: Name of the error that the transport reported.
    """

    dispatched: bool
    connect_failed: bool
    detail: str

    @property
    def message(self) -> str:
        """Message for logs and operators."""
        return f"No response was received: {self.detail}"


class Response(abc.ABC):
    """Response whose body has not been read yet."""

    @property
    @abc.abstractmethod
    def status(self) -> int:
        """HTTP status."""

    @property
    @abc.abstractmethod
    def headers(self) -> exchange.Headers:
        """Headers with names in lower case."""

    @abc.abstractmethod
    def chunks(self) -> collections_abc.AsyncIterator[bytes]:
        """Yields the body.

        Raises:
            exchange.TruncatedAnswer: If the body ended early.
        """

    @abc.abstractmethod
    async def aclose(self) -> None:
        """Releases the connection; closes it if the body was not read."""


class Transport(abc.ABC):
    """Sends requests to one kind of destination."""

    @abc.abstractmethod
    async def send(
        self,
        address: Address,
        request: OutgoingRequest,
        connect_timeout_s: float,
    ) -> result.Result[Response, TransportFailure]:
        """Sends a request and returns the head of its response.

        Cancelling the call closes its connection, so that no later request
        can receive this response.

        Args:
            address: Address of the server.
            request: Request to send.
            connect_timeout_s: Time limit for a new connection, in seconds.

        Returns:
            The response, whose body is still unread, or the failure.
        """

    @abc.abstractmethod
    async def aclose(self) -> None:
        """Closes all idle connections."""


class HttpTransport(Transport):
    """HTTP/1.1 client with its own pool of httpcore connections.

    The pool of httpcore costs more than the connections themselves. This pool
    is a list of idle connections for each address.

    Args:
        max_idle_connections: Maximum number of idle connections for each
            address.
    """

    def __init__(self, max_idle_connections: int = 64):
        self._max_idle_connections = max_idle_connections
        self._idle: dict[Address, list[httpcore.AsyncHTTPConnection]] = {}

    async def send(
        self,
        address: Address,
        request: OutgoingRequest,
        connect_timeout_s: float,
    ) -> result.Result[Response, TransportFailure]:
        """Sends a request and returns the head of its response."""
        connection = await self._acquire_connection(address)
        outgoing = httpcore.Request(
            request.method,
            httpcore.URL(
                scheme=b"http",
                host=address.host.encode(),
                port=address.port,
                target=request.target,
            ),
            headers=request.headers,
            content=request.body,
            extensions={"timeout": {"connect": connect_timeout_s}},
        )
        try:
            response = await connection.handle_async_request(outgoing)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            await _close(connection)
            return result.Err(
                TransportFailure(False, True, type(error).__name__)
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            httpcore.ConnectionNotAvailable,
        ) as error:
            await _close(connection)
            return result.Err(
                TransportFailure(True, False, type(error).__name__)
            )
        except BaseException:
            await _close(connection)
            raise
        if not ranges.is_response_status(response.status):
            await _close(connection)
            return result.Err(TransportFailure(True, False, "InvalidStatus"))
        return result.Ok(_HttpResponse(self, address, connection, response))

    async def aclose(self) -> None:
        """Closes all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                await _close(connection)
        self._idle.clear()

    async def _acquire_connection(
        self, address: Address
    ) -> httpcore.AsyncHTTPConnection:
        connections = self._idle.get(address)
        while connections:
            connection = connections.pop()
            if connection.is_idle() and not connection.has_expired():
                return connection
            await _close(connection)
        return httpcore.AsyncHTTPConnection(
            origin=httpcore.Origin(
                b"http", address.host.encode(), address.port
            ),
            keepalive_expiry=IDLE_TIMEOUT_S,
        )

    async def release_connection(
        self, address: Address, connection: httpcore.AsyncHTTPConnection
    ) -> None:
        """Returns a connection to the pool if it is idle, else closes it."""
        connections = self._idle.setdefault(address, [])
        if (
            connection.is_idle()
            and not _has_trailing_data(connection)
            and len(connections) < self._max_idle_connections
        ):
            connections.append(connection)
            return
        await _close(connection)


class _HttpResponse(Response):
    """Response on an httpcore connection."""

    def __init__(
        self,
        transport: HttpTransport,
        address: Address,
        connection: httpcore.AsyncHTTPConnection,
        response: httpcore.Response,
    ):
        self._transport = transport
        self._address = address
        self._connection = connection
        self._response = response
        self._headers = [
            (name.lower(), value) for name, value in response.headers
        ]

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._response.status

    @property
    def headers(self) -> exchange.Headers:
        """Headers with names in lower case."""
        return self._headers

    async def chunks(self) -> collections_abc.AsyncIterator[bytes]:
        """Yields the body."""
        try:
            async for chunk in self._response.aiter_stream():
                yield chunk
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            raise exchange.TruncatedAnswer(type(error).__name__) from error

    async def aclose(self) -> None:
        """Releases the connection."""
        with anyio.CancelScope(shield=True):
            await self._response.aclose()
            await self._transport.release_connection(
                self._address, self._connection
            )


def _has_trailing_data(connection: httpcore.AsyncHTTPConnection) -> bool:
    """Whether bytes were received after the end of the response.

    httpcore would parse them as the response to the next request on the
    connection. It has no public attribute that exposes them.
    """
    inner = connection._connection
    return inner is not None and bool(inner._h11_state.trailing_data[0])


async def _close(connection: httpcore.AsyncHTTPConnection) -> None:
    with anyio.CancelScope(shield=True):
        await connection.aclose()
