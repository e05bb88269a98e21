"""ASGI requests and responses of the listeners of a node."""

from collections import abc as collections_abc
import dataclasses
import types
import typing

import anyio
import anyio.abc

__all__ = [
    "CallerGone",
    "HOP_HEADERS",
    "Headers",
    "PREFIX_BYTES",
    "Reply",
    "Request",
    "RequestBody",
    "TruncatedAnswer",
    "header_value",
    "run_while_connected",
    "without_hop_headers",
]

Value = typing.TypeVar("Value")

Headers = list[tuple[bytes, bytes]]
Scope = typing.MutableMapping[str, typing.Any]
Receive = typing.Callable[
    [], typing.Awaitable[typing.MutableMapping[str, typing.Any]]
]
Send = typing.Callable[
    [typing.MutableMapping[str, typing.Any]], typing.Awaitable[None]
]

# A body up to this size can be sent again. Fingerprints and request digests
# cover only this part of a longer body.
PREFIX_BYTES = 65_536

HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_INTERNAL_PREFIX = b"medlardoor-"


class CallerGone(Exception):  # noqa: N818
    """The caller disconnected before the response was complete."""


class TruncatedAnswer(Exception):  # noqa: N818
    """A response ended early after its status line had been relayed.

    The ASGI application raises it to the server, which then closes the
    connection, so that the caller detects an incomplete response.
    """


def header_value(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header, or None; all names in lower case."""
    for key, value in headers:
        if key == name:
            return value
    return None


def without_hop_headers(headers: Headers) -> Headers:
    """Returns the headers that may be forwarded to the next hop.

    Omits the connection-specific headers of RFC 9110, section 7.6.1, and the
    internal ``medlardoor-`` headers.
    """
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_HEADERS and not name.startswith(_INTERNAL_PREFIX)
    ]


@dataclasses.dataclass(slots=True)
class Request:
    """Method, target and headers of a request.

    Attributes:
        method: HTTP method in upper case.
        path: Decoded path without the query.
        target: Raw path with the query, as received.
        headers: Lower-case header names with values.
        client_host: IP address of the other end of the connection.
    """

    method: str
    path: str
    target: bytes
    headers: Headers
    client_host: str = ""

    @classmethod
    def from_scope(cls, scope: Scope) -> "Request":
        """Creates a request from an ASGI scope."""
        target = scope.get("raw_path") or scope["path"].encode()
        query = scope.get("query_string") or b""
        if query:
            target = target + b"?" + query
        client = scope.get("client") or ("", 0)
        return cls(
            method=scope["method"],
            path=scope["path"],
            target=target,
            headers=list(scope["headers"]),
            client_host=client[0],
        )

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header (lower-case name), or None."""
        return header_value(self.headers, name)

    @property
    def framing_headers(self) -> Headers:
        """Headers that frame the body on the next hop; at most one."""
        length = self.header(b"content-length")
        if length is not None:
            return [(b"content-length", length)]
        if self.header(b"transfer-encoding") is not None:
            return [(b"transfer-encoding", b"chunked")]
        return []


class RequestBody:
    """Body of a request, with a buffered prefix and a streamed rest.

    Args:
        receive: ASGI receive function of the request.
    """

    def __init__(self, receive: Receive):
        self._receive = receive
        self._prefix = b""
        self._is_complete = False
        self._is_streamed = False
        self._body_read: anyio.Event | None = None

    @property
    def prefix(self) -> bytes:
        """Start of the body, as read by `read_prefix`."""
        return self._prefix

    @property
    def replayable(self) -> bool:
        """Whether the body can be sent again from its start."""
        return not self._is_streamed

    async def read_prefix(self) -> bytes:
        """Reads and buffers the body to its end or at least `PREFIX_BYTES`.

        Raises:
            CallerGone: If the caller disconnected.
        """
        while not self._is_complete and len(self._prefix) < PREFIX_BYTES:
            self._prefix += await self._next()
        return self._prefix

    async def chunks(self) -> collections_abc.AsyncIterator[bytes]:
        """Yields the buffered prefix, then the rest of the body as received.

        Raises:
            CallerGone: If the caller disconnected.
        """
        if self._prefix:
            yield self._prefix
        while not self._is_complete:
            self._is_streamed = True
            chunk = await self._next()
            if chunk:
                yield chunk

    async def wait_disconnect(self) -> None:
        """Waits until the caller disconnects.

        Waits first until the body has been read, because both read messages
        from the same ASGI channel.
        """
        if not self._is_complete:
            self._body_read = anyio.Event()
            await self._body_read.wait()
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                return

    async def _next(self) -> bytes:
        message = await self._receive()
        if message["type"] == "http.disconnect":
            raise CallerGone
        if not message.get("more_body", False):
            self._is_complete = True
            if self._body_read is not None:
                self._body_read.set()
        return message.get("body", b"")


class Reply:
    """Response to a request, which may be captured for resent requests.

    Args:
        send: ASGI send function of the request.
        answer_headers: Returns the headers to add to a relayed response of an
            upstream; called once, when the response starts.
        closing: Whether to ask the caller to close its connection; called when
            the response starts, since a planned stop may begin during the
            request.
    """

    def __init__(
        self,
        send: Send,
        answer_headers: typing.Callable[[], Headers] | None = None,
        closing: typing.Callable[[], bool] | None = None,
    ):
        self._send = send
        self._started = False
        self._answer_headers = answer_headers
        self._closing = closing
        self._capture_limit = 0
        self._captured: bytearray | None = None
        self._status = 0
        self._headers: Headers = []
        self._is_detached = False

    @property
    def started(self) -> bool:
        """Whether the response was started."""
        return self._started

    @property
    def status(self) -> int:
        """Status code of the response; 0 before its start."""
        return self._status

    @property
    def headers(self) -> Headers:
        """Headers of the response of the upstream."""
        return self._headers

    @property
    def captured(self) -> bytes | None:
        """Captured body; None if not captured or above the limit."""
        return None if self._captured is None else bytes(self._captured)

    def set_answer_headers(
        self, answer_headers: typing.Callable[[], Headers]
    ) -> None:
        """Replaces the function `answer_headers` of the constructor."""
        self._answer_headers = answer_headers

    def capture(self, max_bytes: int) -> None:
        """Captures the body of the response unless it exceeds `max_bytes`."""
        self._capture_limit = max_bytes
        self._captured = bytearray()

    def detach(self) -> None:
        """Stops sending; the rest of the response is only captured."""
        self._is_detached = True

    async def start_answer(self, status: int, headers: Headers) -> None:
        """Sends status and headers of a response of an upstream."""
        self._headers = headers
        if self._answer_headers is not None:
            headers = headers + self._answer_headers()
        await self.start(status, headers)

    async def start(self, status: int, headers: Headers) -> None:
        """Sends status and headers."""
        self._started = True
        self._status = status
        if self._is_detached:
            return
        if self._closing is not None and self._closing():
            headers = [*headers, (b"connection", b"close")]
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    async def write(self, chunk: bytes, last: bool = False) -> None:
        """Sends a part of the body.

        Args:
            chunk: Part of the body.
            last: Whether the body ends with this part.
        """
        if self._captured is not None:
            if len(self._captured) + len(chunk) > self._capture_limit:
                self._captured = None
            else:
                self._captured += chunk
        if self._is_detached:
            return
        await self._send(
            {
                "type": "http.response.body",
                "body": chunk,
                "more_body": not last,
            }
        )

    async def end(self) -> None:
        """Ends the body."""
        if self._is_detached:
            return
        await self._send({"type": "http.response.body", "body": b""})

    async def send_complete(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Sends a complete response with a content length."""
        length = (b"content-length", str(len(body)).encode())
        await self.start(status, [*headers, length])
        await self.write(body, last=True)


async def run_while_connected(
    body: RequestBody,
    function: typing.Callable[[], typing.Coroutine[typing.Any, None, Value]],
    tasks: anyio.abc.TaskGroup,
) -> Value:
    """Runs a function and cancels it when the caller disconnects.

    The task that watches the connection starts when the function first waits.
    A call that is refused immediately never waits, and this task would be most
    of its cost.

    Args:
        body: Body of the request that the function serves.
        function: Function that serves the request.
        tasks: Task group that runs the watching task; a separate task group
            per call took 0.1 ms.

    Returns:
        The return value of the function.

    Raises:
        CallerGone: If the caller disconnected.
        TruncatedAnswer: If the function raised it.
    """
    watch_scope = anyio.CancelScope()
    with anyio.CancelScope() as scope:

        def watch() -> None:
            tasks.start_soon(_cancel_on_disconnect, body, scope, watch_scope)

        try:
            return await _call_when_waiting(function(), watch)
        finally:
            watch_scope.cancel()
    raise CallerGone


async def _cancel_on_disconnect(
    body: RequestBody, scope: anyio.CancelScope, watch_scope: anyio.CancelScope
) -> None:
    with watch_scope:
        await body.wait_disconnect()
        scope.cancel()


@types.coroutine
def _call_when_waiting(
    coroutine: typing.Coroutine[typing.Any, None, Value],
    on_wait: typing.Callable[[], None],
) -> typing.Generator[typing.Any, typing.Any, Value]:
    """Awaits a coroutine and calls `on_wait` when it first waits."""
    try:
        awaited = coroutine.send(None)
        on_wait()
        while True:
            try:
                sent = yield awaited
            except BaseException as error:
                awaited = coroutine.throw(error)
            else:
                awaited = coroutine.send(sent)
    except StopIteration as end:
        return end.value
    finally:
        coroutine.close()
