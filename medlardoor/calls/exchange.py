"""Requests and replies of the listeners, on top of ASGI."""

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

# A body that fits is replayable; it is also the part that fingerprints and
# request digests cover.
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
    """The caller closed its connection before the answer was complete."""


class TruncatedAnswer(Exception):  # noqa: N818
    """An answer ended early after its start had been relayed.

    Raised out of the ASGI application so that the server closes the connection
    and the caller can tell that the answer is not whole.
    """


def header_value(headers: Headers, name: bytes) -> bytes | None:
    """First value of a header; names are in lower case."""
    for key, value in headers:
        if key == name:
            return value
    return None


def without_hop_headers(headers: Headers) -> Headers:
    """Headers that may pass to the next hop.

    Drops the connection-specific headers of RFC 9110, section 7.6.1, and the
    internal headers of the system.
    """
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_HEADERS and not name.startswith(_INTERNAL_PREFIX)
    ]


@dataclasses.dataclass(slots=True)
class Request:
    """Head of a request.

    Attributes:
        method: HTTP method in upper case.
        path: Decoded path without the query.
        target: Raw path with the query, as received.
        headers: Lower-case header names with values.
        client_host: IP address of the peer of the connection.
    """

    method: str
    path: str
    target: bytes
    headers: Headers
    client_host: str = ""

    @classmethod
    def from_scope(cls, scope: Scope) -> "Request":
        """Takes the head from an ASGI scope."""
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
        """First value of a header; the name is in lower case."""
        return header_value(self.headers, name)

    @property
    def framing_headers(self) -> Headers:
        """Header that frames the body on the next hop."""
        length = self.header(b"content-length")
        if length is not None:
            return [(b"content-length", length)]
        if self.header(b"transfer-encoding") is not None:
            return [(b"transfer-encoding", b"chunked")]
        return []


class RequestBody:
    """Body of a request: a buffered prefix, then a stream.

    Args:
        receive: ASGI receive function of the request.
    """

    def __init__(self, receive: Receive):
        self._receive = receive
        self._prefix = b""
        self._ended = False
        self._streamed = False
        self._read_to_end: anyio.Event | None = None

    @property
    def prefix(self) -> bytes:
        """Start of the body; see `read_prefix`."""
        return self._prefix

    @property
    def replayable(self) -> bool:
        """Whether the body can be sent again from its start."""
        return not self._streamed

    async def read_prefix(self) -> bytes:
        """Reads the body up to `PREFIX_BYTES` and keeps it.

        Raises:
            CallerGone: If the caller closed the connection.
        """
        while not self._ended and len(self._prefix) < PREFIX_BYTES:
            self._prefix += await self._next()
        return self._prefix

    async def chunks(self) -> collections_abc.AsyncIterator[bytes]:
        """Yields the whole body: the prefix, then what is still to come.

        Raises:
            CallerGone: If the caller closed the connection.
        """
        if self._prefix:
            yield self._prefix
        while not self._ended:
            self._streamed = True
            chunk = await self._next()
            if chunk:
                yield chunk

    async def wait_disconnect(self) -> None:
        """Returns when the caller has closed its connection.

        Waits for the body to be read first, since both take messages from the
        same channel.
        """
        if not self._ended:
            self._read_to_end = anyio.Event()
            await self._read_to_end.wait()
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                return

    async def _next(self) -> bytes:
        message = await self._receive()
        if message["type"] == "http.disconnect":
            raise CallerGone
        if not message.get("more_body", False):
            self._ended = True
            if self._read_to_end is not None:
                self._read_to_end.set()
        return message.get("body", b"")


class Reply:
    """Answer to a request; can be detached from its caller.

    Args:
        send: ASGI send function of the request.
        answer_headers: Gives headers to add when an answer of an upstream is
            relayed; called once, at the start of the answer.
        closing: Tells at the start of the answer whether to ask the caller to
            close its connection; a planned stop may begin during a request.
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
        self._detached = False

    @property
    def started(self) -> bool:
        """Whether the status line was sent."""
        return self._started

    @property
    def status(self) -> int:
        """Status code sent; 0 before the start."""
        return self._status

    @property
    def headers(self) -> Headers:
        """Headers of the upstream's answer."""
        return self._headers

    @property
    def captured(self) -> bytes | None:
        """Body of the answer, or None if it was over the capture limit."""
        return None if self._captured is None else bytes(self._captured)

    def set_answer_headers(
        self, answer_headers: typing.Callable[[], Headers]
    ) -> None:
        """Sets what gives the headers of an answer of an upstream."""
        self._answer_headers = answer_headers

    def capture(self, max_bytes: int) -> None:
        """Keeps the body of the answer up to `max_bytes`."""
        self._capture_limit = max_bytes
        self._captured = bytearray()

    def detach(self) -> None:
        """Stops sending; the answer is only captured from now on."""
        self._detached = True

    async def start_answer(self, status: int, headers: Headers) -> None:
        """Sends status and headers of an answer of an upstream."""
        self._headers = headers
        if self._answer_headers is not None:
            headers = headers + self._answer_headers()
        await self.start(status, headers)

    async def start(self, status: int, headers: Headers) -> None:
        """Sends status and headers."""
        self._started = True
        self._status = status
        if self._detached:
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
            chunk: The part.
            last: Whether it ends the body.
        """
        if self._captured is not None:
            if len(self._captured) + len(chunk) > self._capture_limit:
                self._captured = None
            else:
                self._captured += chunk
        if self._detached:
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
        if self._detached:
            return
        await self._send({"type": "http.response.body", "body": b""})

    async def send_whole(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Sends an answer whose body is at hand."""
        length = (b"content-length", str(len(body)).encode())
        await self.start(status, [*headers, length])
        await self.write(body, last=True)


async def run_while_connected(
    body: RequestBody,
    function: typing.Callable[[], typing.Coroutine[typing.Any, None, Value]],
    tasks: anyio.abc.TaskGroup,
) -> Value:
    """Runs a function and cancels it when the caller closes its connection.

    The connection is watched from the first time that the function waits for
    something. A call that is refused at once never does, and the watching
    task would be most of its cost.

    Args:
        body: Body of the request that the function serves.
        function: What to run.
        tasks: Task group that runs the watcher; a task group of its own for
            each call took 0.1 ms.

    Returns:
        What the function returned.

    Raises:
        CallerGone: If the caller closed the connection.
        TruncatedAnswer: If the function raised it.
    """
    watching = anyio.CancelScope()
    with anyio.CancelScope() as scope:

        def watch() -> None:
            tasks.start_soon(_cancel_on_disconnect, body, scope, watching)

        try:
            return await _call_when_waiting(function(), watch)
        finally:
            watching.cancel()
    raise CallerGone


async def _cancel_on_disconnect(
    body: RequestBody, scope: anyio.CancelScope, watching: anyio.CancelScope
) -> None:
    with watching:
        await body.wait_disconnect()
        scope.cancel()


@types.coroutine
def _call_when_waiting(
    coroutine: typing.Coroutine[typing.Any, None, Value],
    on_wait: typing.Callable[[], None],
) -> typing.Generator[typing.Any, typing.Any, Value]:
    """Awaits a coroutine; calls `on_wait` when it waits for the first time."""
    try:
        waited = coroutine.send(None)
        on_wait()
        while True:
            try:
                sent = yield waited
            except BaseException as error:
                waited = coroutine.throw(error)
            else:
                waited = coroutine.send(sent)
    except StopIteration as end:
        return end.value
    finally:
        coroutine.close()
