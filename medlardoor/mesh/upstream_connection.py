"""One HTTP/1.1 connection to the local upstream."""

import abc
import asyncio
import dataclasses
import enum

import httptools

from medlardoor.admission import buffers as buffers_module
from medlardoor.mesh import http_messages
from medlardoor.mesh import settings as settings_module

__all__ = [
    "Break",
    "ConnectionEvents",
    "UpstreamAnswer",
    "UpstreamConnection",
]

_FIRST_FINAL_STATUS = 200


class Break(enum.Enum):
    """Why an exchange ended without an answer."""

    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"
    HEAD_TOO_LONG = "head_too_long"
    TOO_MANY_INTERIM_ANSWERS = "too_many_interim_answers"
    ANSWER_TOO_LONG = "answer_too_long"
    BUFFERS_FULL = "buffers_full"
    NO_IDENTIFIER = "no_identifier"
    OVERDUE = "overdue"


@dataclasses.dataclass(slots=True)
class UpstreamAnswer:
    """A complete answer of the upstream.

    Attributes:
        status: HTTP status.
        headers: Headers with names in lower case.
        body: Complete body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Value of a header; None without one.

        Args:
            name: Name in lower case.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return None


class ConnectionEvents(abc.ABC):
    """Receives how an exchange ends; one of the two calls, once."""

    @abc.abstractmethod
    def answered(
        self, connection: "UpstreamConnection", answer: UpstreamAnswer
    ) -> None:
        """The answer is complete."""

    @abc.abstractmethod
    def broken(self, connection: "UpstreamConnection", reason: Break) -> None:
        """The connection ended, or sent what is no answer."""


class UpstreamConnection(asyncio.Protocol):
    """Carries one request at a time.

    An answer whose attempt identifier is not that of the request in progress
    is an extra answer to an earlier one. It is skipped, and the connection is
    not used again.

    Args:
        settings: Limits.
        attempt_header: Name of the header with the attempt identifier, in
            lower case.
        buffers: Bytes that are held for bodies.
    """

    def __init__(
        self,
        settings: settings_module.UpstreamSettings,
        attempt_header: bytes,
        buffers: buffers_module.BufferBudget,
    ):
        self._settings = settings
        self._attempt_header = attempt_header
        self._buffers = buffers
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._events: ConnectionEvents | None = None
        # Complete answer to the request in progress that is not reported yet.
        self._answer: UpstreamAnswer | None = None
        self._attempt_id = b""
        self._without_body = False
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        # Bytes of the body, which are counted in the buffers.
        self._body_size = 0
        # Bytes since the last complete head.
        self._head_size = 0
        self._interim_answers = 0
        self._in_head = True
        self._ends_with_connection = False
        self._spoiled = False
        self._idle_since = self._loop.time()
        self._keep_alive_s = settings.max_idle_s
        self._uses = 0

    @property
    def uses(self) -> int:
        """Requests that were sent on the connection."""
        return self._uses

    def is_usable(self, max_idle_s: float, now: float) -> bool:
        """Whether the next request can be sent.

        Args:
            max_idle_s: Longest time without use.
            now: Current time, in seconds.
        """
        if self._transport is None or self._spoiled:
            return False
        # Half of what the upstream announces leaves room for its own clock.
        limit = min(max_idle_s, self._keep_alive_s / 2)
        return now - self._idle_since <= limit

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Takes the connection."""
        self._transport = transport

    def send(
        self,
        message: bytes,
        attempt_id: bytes,
        without_body: bool,
        events: ConnectionEvents,
    ) -> None:
        """Sends a request.

        Args:
            message: Encoded head and body.
            attempt_id: Identifier that the answer must repeat.
            without_body: Whether the answer has no body, as for ``HEAD``.
            events: Receives the end.
        """
        self._events = events
        self._attempt_id = attempt_id
        self._without_body = without_body
        self._head_size = 0
        self._interim_answers = 0
        self._uses += 1
        self._transport.write(message)

    def abort(self) -> None:
        """Closes the connection at once; nothing is reported."""
        self._drop_body()
        self._events = None
        self._spoiled = True
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parses a part of the answer."""
        if self._events is None:
            # Bytes without a request belong to nothing.
            self.abort()
            return
        if self._in_head:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self._answer is None:
                self._break(Break.MALFORMED)
                return
            self._spoiled = True
        if self._answer is not None:
            # Reported only now: the next request must not be sent while
            # surplus bytes may follow the answer.
            self._report()
        elif self._in_head and self._head_size > self._settings.max_head_bytes:
            self._break(Break.HEAD_TOO_LONG)

    def eof_received(self) -> bool:
        """Ends an answer that has no length of its own."""
        if self._ends_with_connection and self._events is not None:
            self._spoiled = True
            self._complete()
            if self._answer is not None:
                self._report()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the exchange in progress."""
        self._transport = None
        self._spoiled = True
        self._break(Break.CLOSED if exc is None else Break.RESET)

    def on_message_begin(self) -> None:
        """Starts an answer."""
        if self._answer is not None:
            self._spoiled = True
        self._drop_body()
        self._headers = []
        self._in_head = True
        self._ends_with_connection = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        # Trailers have no meaning for the callers of this system.
        if self._in_head:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Finds out how the answer ends."""
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            self._interim_answers += 1
            if self._interim_answers > self._settings.max_interim_answers:
                self._break(Break.TOO_MANY_INTERIM_ANSWERS)
            return
        self._in_head = False
        self._head_size = 0
        names = {name for name, _ in self._headers}
        if not self._parser.should_keep_alive():
            self._spoiled = True
        has_length = b"content-length" in names
        if not has_length and b"transfer-encoding" not in names:
            bodiless = status in (204, 304) or self._without_body
            self._ends_with_connection = not bodiless
        if self._without_body:
            self._spoiled = True
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body."""
        if self._events is None:
            return
        if self._body_size + len(body) > self._settings.max_answer_bytes:
            self._break(Break.ANSWER_TOO_LONG)
        elif not self._buffers.try_take_answer(len(body)):
            self._break(Break.BUFFERS_FULL)
        else:
            self._body_size += len(body)
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Ends an answer."""
        self._in_head = True
        if self._parser.get_status_code() >= _FIRST_FINAL_STATUS:
            self._complete()

    def _complete(self) -> None:
        if self._events is None or self._answer is not None:
            self._spoiled = True
            return
        answer = UpstreamAnswer(
            self._parser.get_status_code(), self._headers, b"".join(self._body)
        )
        self._headers = []
        self._drop_body()
        repeated = answer.header(self._attempt_header)
        if repeated != self._attempt_id:
            if repeated is None and self._uses == 1:
                # The first answer on a connection can only be the right one.
                pass
            elif repeated is None or self._spoiled:
                self._break(Break.NO_IDENTIFIER)
                return
            else:
                self._spoiled = True
                return
        self._answer = answer

    def _report(self) -> None:
        """Reports the complete answer."""
        events, answer = self._events, self._answer
        self._events = None
        self._answer = None
        self._idle_since = self._loop.time()
        self._read_keep_alive(answer)
        if self._transport is None or self._transport.get_write_buffer_size():
            # The rest of the request is still due on this connection.
            self._spoiled = True
        events.answered(self, answer)

    def _drop_body(self) -> None:
        self._buffers.release(self._body_size)
        self._body_size = 0
        self._body = []

    def _read_keep_alive(self, answer: UpstreamAnswer) -> None:
        value = answer.header(b"keep-alive")
        if value is not None:
            timeout_s = http_messages.parse_keep_alive_s(value)
            if timeout_s is not None:
                self._keep_alive_s = timeout_s

    def _break(self, reason: Break) -> None:
        events = self._events
        self.abort()
        if events is not None:
            events.broken(self, reason)
