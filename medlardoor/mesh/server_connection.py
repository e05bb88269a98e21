"""Server side of HTTP/1.1 connections for whole messages."""

import abc
import asyncio
import collections
import collections.abc
import dataclasses
import traceback

import httptools
import logbook

from medlardoor import logs
from medlardoor.config import routes as routes_module
from medlardoor.mesh import http_messages

__all__ = [
    "Request",
    "RequestHandle",
    "RequestHandler",
    "Response",
    "ServerConnection",
]

_LOG = logbook.Logger("connections")

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
BODY_TOO_LARGE = 413
HEAD_TOO_LARGE = 431
_WITHOUT_BODY = (204, 304)

# Requests that one connection may have in the queue before reading pauses.
MAX_PIPELINED = 8

Reply = collections.abc.Callable[["Response"], None]


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A complete request.

    Attributes:
        method: HTTP method.
        target: Path and query.
        host: Value of the ``Host`` header.
        headers: Other headers, names in lower case.
        body: Complete body.
        received_at: When the request was complete, in seconds.
    """

    method: bytes
    target: bytes
    host: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    received_at: float

    def header(self, name: bytes) -> bytes | None:
        """Value of a header; None without one.

        Args:
            name: Name in lower case.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return None


@dataclasses.dataclass(slots=True, eq=False)
class Response:
    """A complete response.

    Attributes:
        status: HTTP status.
        headers: Encoded header lines without those of one connection.
        body: Complete body.
        close: Whether the connection ends with it.
    """

    status: int
    headers: bytes = b""
    body: bytes = b""
    close: bool = False


class RequestHandle(abc.ABC):
    """A request in progress."""

    __slots__ = ()

    @abc.abstractmethod
    def cancel(self) -> None:
        """The client has gone; no reply is expected."""


class RequestHandler(abc.ABC):
    """Handles the requests of a listener."""

    @property
    @abc.abstractmethod
    def limits(self) -> routes_module.ConnectionLimits:
        """Limits in force."""

    @property
    @abc.abstractmethod
    def closes_connections(self) -> bool:
        """Whether connections end after the next response."""

    @abc.abstractmethod
    def handle(self, request: Request, reply: Reply) -> RequestHandle | None:
        """Handles a request.

        Args:
            request: The request.
            reply: To be called once, perhaps before this returns.

        Returns:
            The request in progress, or None if it was answered.
        """


class ServerConnection(asyncio.Protocol):
    """One connection of a client.

    Args:
        handler: Handles the requests.
        connections: Set of open connections that this one joins.
    """

    def __init__(
        self, handler: RequestHandler, connections: set["ServerConnection"]
    ):
        self._handler = handler
        self._connections = connections
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: collections.deque[tuple[Request, bool]] = (
            collections.deque()
        )
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._hosts: list[bytes] = []
        self._body: list[bytes] = []
        self._body_size = 0
        self._head_size = 0
        self._in_head = True
        self._is_expecting = False
        self._in_progress = False
        self._keeps_alive = True
        self._ignores_input = False
        self._handle: RequestHandle | None = None
        # When the first byte of an unfinished request arrived, in seconds.
        self._began_at: float | None = None
        self._progress_at = self._loop.time()
        self._unsent = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request is read or answered."""
        return not self._in_progress and self._began_at is None

    @property
    def has_unsent(self) -> bool:
        """Whether a part of a response waits to be sent."""
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Takes the connection."""
        self._transport = transport
        self._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the request in progress."""
        self._transport = None
        self._connections.discard(self)
        self._queue.clear()
        handle = self._handle
        self._handle = None
        if handle is not None:
            handle.cancel()

    def data_received(self, data: bytes) -> None:
        """Parses a part of the input."""
        if self._ignores_input:
            return
        self._progress_at = self._loop.time()
        if self._began_at is None:
            self._began_at = self._progress_at
        if self._in_head:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(BAD_REQUEST)
            return
        if self._ignores_input:
            return
        limits = self._handler.limits
        if self._in_head and self._head_size > limits.max_head_bytes:
            self._reject(HEAD_TOO_LARGE)
        elif self._body_size > limits.max_body_bytes:
            self._reject(BODY_TOO_LARGE)
        elif len(self._queue) >= MAX_PIPELINED:
            self._transport.pause_reading()

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._url = b""
        self._headers = []
        self._hosts = []
        self._body = []
        self._body_size = 0
        self._in_head = True
        self._is_expecting = False

    def on_url(self, url: bytes) -> None:
        """Takes a part of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header; trailers are dropped."""
        if not self._in_head:
            return
        lower = name.lower()
        if lower == b"host":
            self._hosts.append(value)
            return
        if lower == b"expect":
            self._is_expecting = value.lower() == b"100-continue"
        self._headers.append((lower, value))

    def on_headers_complete(self) -> None:
        """Lets a client that asks for it send its body."""
        self._in_head = False
        self._head_size = 0
        if self._is_expecting and not self._in_progress:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body."""
        self._body_size += len(body)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queues a complete request."""
        host = self._hosts[0] if len(self._hosts) == 1 else None
        keeps_alive = self._parser.should_keep_alive()
        if host is None and self._parser.get_http_version() != "1.0":
            self._in_head = True
            self._reject(BAD_REQUEST)
            return
        request = Request(
            self._parser.get_method(),
            self._url,
            host or b"",
            self._headers,
            b"".join(self._body),
            self._loop.time(),
        )
        self._in_head = True
        self._head_size = 0
        self._began_at = None
        self._body = []
        self._queue.append((request, keeps_alive))
        if not self._in_progress:
            self._next()

    def check(self, now: float) -> None:
        """Ends the connection if a time limit has passed.

        Args:
            now: Current time, in seconds.
        """
        transport = self._transport
        if transport is None:
            return
        limits = self._handler.limits
        unsent = transport.get_write_buffer_size()
        if unsent:
            if unsent != self._unsent:
                self._unsent = unsent
                self._progress_at = now
            elif now - self._progress_at > limits.idle_timeout_s:
                transport.abort()
            return
        if self._in_progress or transport.is_closing():
            return
        if self._began_at is not None:
            late = now - self._progress_at > limits.idle_timeout_s
            if self._in_head:
                late = now - self._began_at > limits.head_timeout_s
            if late:
                self._reject(REQUEST_TIMEOUT)
        elif now - self._progress_at > limits.idle_timeout_s:
            transport.close()

    def close_if_idle(self) -> None:
        """Ends the connection if no request is read or answered."""
        if self.is_idle and self._transport is not None:
            self._ignores_input = True
            self._transport.close()

    def _next(self) -> None:
        """Starts the next request in the queue."""
        request, self._keeps_alive = self._queue.popleft()
        self._in_progress = True
        try:
            handle = self._handler.handle(request, self._respond)
        except Exception as error:  # noqa: BLE001
            self._fail(error)
            return
        if self._in_progress:
            self._handle = handle

    def _respond(self, response: Response) -> None:
        """Sends the response to the request in progress."""
        self._handle = None
        self._in_progress = False
        self._progress_at = self._loop.time()
        transport = self._transport
        if transport is None:
            return
        closes = (
            response.close
            or not self._keeps_alive
            or self._handler.closes_connections
        )
        transport.write(_encode(response, closes))
        if closes:
            self._ignores_input = True
            transport.close()
        elif self._queue:
            transport.resume_reading()
            self._loop.call_soon(self._next_if_free)

    def _next_if_free(self) -> None:
        if self._queue and not self._in_progress:
            self._next()

    def _fail(self, error: Exception) -> None:
        """Ends the connection without an answer after a defect.

        Whether the request has been sent on is not known then, so no status
        would be true.
        """
        logs.log_event(
            _LOG,
            logbook.ERROR,
            "handler_failed",
            error=repr(error),
            traceback="".join(traceback.format_exception(error)),
        )
        self._ignores_input = True
        if self._transport is not None:
            self._transport.abort()

    def _reject(self, status: int) -> None:
        """Refuses input that is not valid and ends the connection."""
        self._ignores_input = True
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._in_progress or self._queue:
            # An answer here could be taken for that of the earlier request.
            transport.abort()
            return
        transport.write(_encode(Response(status), closes=True))
        transport.close()


def _encode(response: Response, closes: bool) -> bytes:
    status = response.status
    parts = [
        b"HTTP/1.1 %d %b\r\n" % (status, http_messages.phrase(status)),
        response.headers,
    ]
    if status not in _WITHOUT_BODY:
        parts.append(b"content-length: %d\r\n" % len(response.body))
    if closes:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    parts.append(response.body)
    return b"".join(parts)
