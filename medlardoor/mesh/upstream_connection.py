"""One HTTP/1.1 connection to the local upstream."""

import abc
import asyncio
import dataclasses
import enum

import httptools

from medlardoor.admission import body_buffer
from medlardoor.admission import buffers as buffers_module
from medlardoor.mesh import http_messages, response_origin
from medlardoor.mesh import settings as settings_module
from medlardoor.wire import ranges

__all__ = [
    "BreakReason",
    "ConnectionEvents",
    "UpstreamConnection",
    "UpstreamResponse",
]

_FIRST_FINAL_STATUS = 200

# Number of rejected attempts that a connection remembers. It is closed when
# there are more, so that it never carries one of them again.
MAX_REJECTED_ATTEMPTS = 64


class BreakReason(enum.Enum):
    """Reason why an exchange ended without a response."""

    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"
    INVALID_STATUS = "invalid_status"
    HEAD_TOO_LONG = "head_too_long"
    TOO_MANY_INTERIM_ANSWERS = "too_many_interim_answers"
    ANSWER_TOO_LONG = "answer_too_long"
    BUFFERS_FULL = "buffers_full"
    NO_IDENTIFIER = "no_identifier"
    UNVERIFIED = "unverified"
    OVERDUE = "overdue"


@dataclasses.dataclass(slots=True)
class UpstreamResponse:
    """A complete response of the upstream.

    Attributes:
        status: HTTP status.
        headers: Header names in lower case, with their values.
        body: Complete body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header; None if it is absent.

        Args:
            name: Name in lower case.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def header_values(self, name: bytes) -> list[bytes]:
        """Returns all values of a header, in their order.

        Args:
            name: Name in lower case.
        """
        return [value for key, value in self.headers if key == name]


class ConnectionEvents(abc.ABC):
    """Receives the end of an exchange: exactly one of the two calls."""

    @abc.abstractmethod
    def response_received(
        self, connection: "UpstreamConnection", response: UpstreamResponse
    ) -> None:
        """Called when the response is complete."""

    @abc.abstractmethod
    def exchange_broken(
        self, connection: "UpstreamConnection", reason: BreakReason
    ) -> None:
        """Called when the exchange ended without a valid response."""


class UpstreamConnection(asyncio.Protocol):
    """A connection that carries one request at a time.

    A response whose attempt identifier differs from that of the request in
    progress is a duplicate response to an earlier request. It is skipped, and
    the connection is not reused. An upstream may also repeat a rejection, and
    the same attempt may be sent to it again, so the identifier alone does not
    tell which send a response belongs to. The owner therefore records
    rejections and sends the attempt again on other connections only.

    Args:
        settings: Limits of connections.
        marks: Tells whether the upstream itself generated a response.
        buffers: Budget for the bytes of bodies held in memory.
    """

    def __init__(
        self,
        settings: settings_module.UpstreamSettings,
        marks: response_origin.ResponseMarks,
        buffers: buffers_module.BufferBudget,
    ):
        self._settings = settings
        self._marks = marks
        self._buffers = buffers
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._events: ConnectionEvents | None = None
        # Complete response to the request in progress, not yet reported.
        self._response: UpstreamResponse | None = None
        self._attempt_id = b""
        self._has_no_body = False
        self._headers: list[tuple[bytes, bytes]] = []
        # Its bytes count towards the buffer budget.
        self._body = body_buffer.BodyBuffer()
        # Bytes of the buffer budget that header lines take.
        self._line_bytes = 0
        # Bytes of heads, trailers and chunk extensions, which the parser
        # collects, since the last complete head or part of a body.
        self._head_bytes = 0
        self._interim_responses = 0
        self._is_in_head = True
        self._ends_at_eof = False
        self._must_close = False
        self._idle_since = self._loop.time()
        self._keep_alive_s = settings.max_idle_s
        self._requests_sent = 0
        self._rejected_attempts: set[bytes] = set()

    @property
    def requests_sent(self) -> int:
        """Number of requests sent on the connection."""
        return self._requests_sent

    @property
    def is_open(self) -> bool:
        """Whether neither side has closed the connection."""
        return self._transport is not None

    def is_usable(self, max_idle_s: float, now: float) -> bool:
        """Whether the next request can be sent on the connection.

        Args:
            max_idle_s: Maximum idle time, in seconds.
            now: Current time, in seconds.
        """
        if self._transport is None or self._must_close:
            return False
        # Half of the announced timeout: the clock of the upstream may differ.
        limit_s = min(max_idle_s, self._keep_alive_s / 2)
        return now - self._idle_since <= limit_s

    def has_rejected(self, attempt_id: bytes) -> bool:
        """Whether a response on the connection has rejected an attempt.

        A late copy of that response may still arrive and would be taken for
        the response to a second send of the attempt.
        """
        return attempt_id in self._rejected_attempts

    def record_rejection(self, attempt_id: bytes) -> None:
        """Records that a response has rejected an attempt."""
        self._rejected_attempts.add(attempt_id)
        if len(self._rejected_attempts) > MAX_REJECTED_ATTEMPTS:
            self._must_close = True

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport."""
        self._transport = transport

    def send(
        self,
        message: bytes,
        attempt_id: bytes,
        has_no_body: bool,
        events: ConnectionEvents,
    ) -> None:
        """Sends a request.

        Args:
            message: Encoded head and body.
            attempt_id: Attempt identifier that the response must repeat.
            has_no_body: Whether the response has no body, as for ``HEAD``.
            events: Receives the end of the exchange.
        """
        self._events = events
        self._attempt_id = attempt_id
        self._has_no_body = has_no_body
        self._head_bytes = 0
        self._interim_responses = 0
        self._requests_sent += 1
        self._transport.write(message)

    def abort(self) -> None:
        """Closes the connection at once without reporting an event."""
        self._drop_message()
        self._events = None
        self._must_close = True
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parses received data."""
        if self._events is None:
            # Data without a request in progress belongs to no exchange.
            self.abort()
            return
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._events is None:
                # Ended by a callback of the parser.
                return
            if self._response is None:
                self._abort_exchange(BreakReason.MALFORMED)
                return
            self._must_close = True
        if self._response is not None:
            # Reported only after all data is parsed: surplus bytes after the
            # response must prevent the reuse of the connection.
            self._report()
        elif self._head_bytes > self._settings.max_head_bytes:
            self._abort_exchange(BreakReason.HEAD_TOO_LONG)

    def eof_received(self) -> bool:
        """Completes a response that is delimited by the end of the stream."""
        if self._ends_at_eof and self._events is not None:
            self._must_close = True
            self._complete()
            if self._response is not None:
                self._report()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the exchange in progress as broken."""
        self._transport = None
        self._must_close = True
        self._abort_exchange(
            BreakReason.CLOSED if exc is None else BreakReason.RESET
        )

    def on_message_begin(self) -> None:
        """Resets the parsing state for a new response."""
        if self._response is not None:
            self._must_close = True
        self._drop_message()
        self._is_in_head = True
        self._ends_at_eof = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        # Trailers are ignored: callers of this system do not use them.
        if not self._is_in_head or self._events is None:
            return
        lines = len(self._headers)
        if lines >= self._settings.max_head_lines:
            self._abort_exchange(BreakReason.HEAD_TOO_LONG)
            return
        if lines >= http_messages.MIN_COUNTED_LINES:
            size = http_messages.LINE_BYTES + len(name) + len(value)
            if not self._buffers.try_reserve_response(size):
                self._abort_exchange(BreakReason.BUFFERS_FULL)
                return
            self._line_bytes += size
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Determines how the response is delimited."""
        status = self._parser.get_status_code()
        if not ranges.is_response_status(status):
            self._abort_exchange(BreakReason.INVALID_STATUS)
            return
        if status < _FIRST_FINAL_STATUS:
            self._interim_responses += 1
            if self._interim_responses > self._settings.max_interim_answers:
                self._abort_exchange(BreakReason.TOO_MANY_INTERIM_ANSWERS)
            return
        self._is_in_head = False
        self._head_bytes = 0
        names = {name for name, _ in self._headers}
        if not self._parser.should_keep_alive():
            self._must_close = True
        has_length = b"content-length" in names
        if not has_length and b"transfer-encoding" not in names:
            is_bodiless = status in (204, 304) or self._has_no_body
            self._ends_at_eof = not is_bodiless
        if self._has_no_body:
            self._must_close = True
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Stores a part of the body within the limits."""
        self._head_bytes = 0
        if self._events is None:
            return
        if len(self._body) + len(body) > self._settings.max_answer_bytes:
            self._abort_exchange(BreakReason.ANSWER_TOO_LONG)
        elif not self._buffers.try_reserve_response(len(body)):
            self._abort_exchange(BreakReason.BUFFERS_FULL)
        else:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Completes a final response; skips an interim one."""
        self._is_in_head = True
        if self._parser.get_status_code() >= _FIRST_FINAL_STATUS:
            self._complete()

    def _complete(self) -> None:
        """Stores the response if it belongs to the request in progress."""
        if self._events is None or self._response is not None:
            self._must_close = True
            return
        self._buffers.release(len(self._body) + self._line_bytes)
        self._line_bytes = 0
        response = UpstreamResponse(
            self._parser.get_status_code(), self._headers, self._body.take()
        )
        self._headers = []
        attempt_id = response.header(self._marks.attempt_header)
        if attempt_id is None and self._requests_sent > 1:
            # It may be a duplicate response to an earlier request.
            self._abort_exchange(BreakReason.NO_IDENTIFIER)
        elif attempt_id not in (None, self._attempt_id):
            if self._must_close:
                self._abort_exchange(BreakReason.NO_IDENTIFIER)
            self._must_close = True
        elif self._marks.show_origin(response.status, response.headers):
            self._response = response
        else:
            self._abort_exchange(BreakReason.UNVERIFIED)

    def _report(self) -> None:
        """Reports the complete response."""
        events, response = self._events, self._response
        self._events = None
        self._response = None
        self._idle_since = self._loop.time()
        self._read_keep_alive(response)
        if self._transport is None or self._transport.get_write_buffer_size():
            # Part of the request is still unsent on this connection.
            self._must_close = True
        events.response_received(self, response)

    def _drop_message(self) -> None:
        """Drops the header lines and the body that were received so far."""
        self._buffers.release(len(self._body) + self._line_bytes)
        self._line_bytes = 0
        self._headers = []
        self._body.clear()

    def _read_keep_alive(self, response: UpstreamResponse) -> None:
        value = response.header(b"keep-alive")
        if value is not None:
            timeout_s = http_messages.parse_keep_alive_s(value)
            if timeout_s is not None:
                self._keep_alive_s = timeout_s

    def _abort_exchange(self, reason: BreakReason) -> None:
        events = self._events
        self.abort()
        if events is not None:
            events.exchange_broken(self, reason)
