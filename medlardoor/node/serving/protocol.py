"""Server side of HTTP/1.1 connections, with limits on size and time."""

import asyncio
import socket
import struct
import typing

import httptools
from uvicorn.protocols.http import httptools_impl

from medlardoor import errors, lingering, protocol_offers
from medlardoor.calls import problems
from medlardoor.config import settings as settings_module

__all__ = ["LimitedProtocol", "ListenerLimits"]

REQUEST_TIMEOUT_STATUS = 408
HEAD_TOO_LARGE_STATUS = 431
BAD_REQUEST_STATUS = 400
_REASON_PHRASES = {
    BAD_REQUEST_STATUS: b"Bad Request",
    REQUEST_TIMEOUT_STATUS: b"Request Timeout",
    HEAD_TOO_LARGE_STATUS: b"Request Header Fields Too Large",
}

# SO_LINGER value that makes close() discard unsent data immediately.
_DISCARD_ON_CLOSE = struct.pack("ii", 1, 0)

_HTTP_VERSIONS = ("1.0", "1.1")

# One read can contain thousands of small pipelined requests, and each takes
# about 2 KB while it is queued.
MAX_PIPELINED_REQUESTS = 16

# Separator and line end of a header line ("name: value\r\n"); approximate.
_HEADER_OVERHEAD_BYTES = 4


class ListenerLimits:
    """Limits of one listener and counters of the input it refused.

    Args:
        settings: Size and time limits.

    Attributes:
        refused_connections: Connections closed because too many were open.
        rejected_requests: Requests ended because they were malformed, too
            large or too slow.
    """

    def __init__(self, settings: settings_module.ListenerSettings):
        self.settings = settings
        self.refused_connections = 0
        self.rejected_requests = 0


class LimitedProtocol(httptools_impl.HttpToolsProtocol):
    """Server connection with limits on head size, time and pipelining.

    The limits come from the attribute `limits` of the uvicorn configuration.
    The listener calls `check_timeouts` periodically, which costs less than one
    timer for each request.
    """

    def __init__(self, config, server_state, app_state, _loop=None):
        super().__init__(config, server_state, app_state, _loop)
        self._limits: ListenerLimits = config.limits
        self._max_head_bytes = self._limits.settings.max_head_bytes
        self._in_head = True
        self._is_head_too_large = False
        # Bytes received since the last body data: incomplete heads, chunk
        # extensions and trailers. Compared with the limit only after parsing,
        # because one read may contain both a head and a part of its body.
        self._overhead_bytes = 0
        self._head_started_at: float | None = None
        self._progress_at = 0.0
        self._unsent_bytes = 0
        self._ignores_input = False
        self._active_cycle: httptools_impl.RequestResponseCycle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accepts the connection; closes it if too many are open."""
        transport = lingering.LingeringTransport(transport)
        settings = self._limits.settings
        if (
            len(self.connections) >= settings.max_connections
            and not self._close_delivered()
        ):
            self._limits.refused_connections += 1
            self._ignores_input = True
            self.transport = transport
            transport.abort()
            return
        super().connection_made(transport)
        self._progress_at = self._head_started_at = self.loop.time()

    def connection_lost(self, exc: Exception | None) -> None:
        """Marks the request in progress as disconnected."""
        super().connection_lost(exc)
        # The base class marks only the last request received. With pipelining
        # that need not be the one in progress.
        self._disconnect_active_cycle()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and enforces the size limits."""
        if self._ignores_input or self.transport.is_lingering:
            return
        self._unset_keepalive_if_required()
        self._progress_at = self.loop.time()
        if self._head_started_at is None and self._in_head:
            self._head_started_at = self._progress_at
        self._overhead_bytes += len(data)
        try:
            self._feed(data)
        except httptools.HttpParserError:
            status = BAD_REQUEST_STATUS
            if self._is_head_too_large:
                status = HEAD_TOO_LARGE_STATUS
            self._reject(status, "The request is not valid HTTP/1.1.")
            return
        if self._overhead_bytes > self._max_head_bytes:
            self._reject(
                HEAD_TOO_LARGE_STATUS,
                f"The request head exceeds {self._max_head_bytes} bytes.",
            )
        elif len(self.pipeline) > MAX_PIPELINED_REQUESTS:
            self._reject(
                BAD_REQUEST_STATUS,
                f"More than {MAX_PIPELINED_REQUESTS} requests are pipelined.",
            )

    def on_message_begin(self) -> None:
        """Starts the timer of a request head."""
        super().on_message_begin()
        if self._head_started_at is None:
            self._head_started_at = self.loop.time()

    def on_headers_complete(self) -> None:
        """Checks the head and starts the request."""
        self._check_head()
        if self.parser.should_upgrade():
            # The head is parsed once more, without the offer.
            return
        super().on_headers_complete()
        # The parser reports trailers as headers too. The request that has just
        # started keeps its own list, without the trailers.
        self.headers = []
        self._in_head = False
        self._head_started_at = None
        self._overhead_bytes = 0
        if len(self.pipeline) > MAX_PIPELINED_REQUESTS:
            raise ValueError(
                f"more than {MAX_PIPELINED_REQUESTS} pipelined requests"
            )

    def on_body(self, body: bytes) -> None:
        """Adds received body data to the request."""
        self._overhead_bytes = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Ends the request; the next head may start."""
        if self.parser.should_upgrade():
            return
        self._in_head = True
        self._overhead_bytes = 0
        super().on_message_complete()

    def check_timeouts(self, now: float) -> None:
        """Closes the connection if a time limit is exceeded.

        Args:
            now: Time of the event loop, in seconds.
        """
        transport = self.transport
        if transport.is_lingering and not transport.get_write_buffer_size():
            transport.check(self._limits.settings.idle_timeout_s, now)
            return
        if transport.is_closing() or self.flow.write_paused:
            self._check_write_progress(now)
            return
        settings = self._limits.settings
        if self.flow.read_paused:
            # This node has paused reading; the caller is not the cause.
            self._progress_at = now
            if self._head_started_at is not None:
                self._head_started_at = now
            return
        started_at = self._head_started_at
        if started_at is not None:
            if now - started_at > settings.head_timeout_s:
                self._reject(
                    REQUEST_TIMEOUT_STATUS,
                    "The request head was not complete after "
                    f"{settings.head_timeout_s} s.",
                )
            return
        if self._is_waiting_for_body():
            if now - self._progress_at > settings.idle_timeout_s:
                self._reject(
                    REQUEST_TIMEOUT_STATUS,
                    "No part of the request body arrived for "
                    f"{settings.idle_timeout_s} s.",
                )
            return
        self._progress_at = now

    def _feed(self, data: bytes) -> None:
        """Parses data; offers of other protocols are ignored."""
        while True:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                (parsed_bytes,) = offer.args
                data = data[parsed_bytes:]
            head = protocol_offers.head_without_offer(
                self.parser, self.url, self.headers
            )
            self.parser = httptools.HttpRequestParser(self)
            self.parser.set_dangerous_leniencies(lenient_data_after_close=True)
            self.parser.feed_data(head)

    def _close_delivered(self) -> bool:
        """Closes a connection whose client has received everything, if any."""
        for connection in self.connections:
            if connection.transport.awaits_close:
                self.connections.discard(connection)
                connection.transport.abort()
                return True
        return False

    def _start_asgi_task(
        self,
        cycle: httptools_impl.RequestResponseCycle,
        app: typing.Callable,
    ) -> None:
        self._active_cycle = cycle
        super()._start_asgi_task(cycle, app)

    def _check_head(self) -> None:
        """Checks the size of the head and that it has one Host header.

        RFC 9112, section 3.2, requires exactly one. The client library refuses
        to forward requests with none or several, which would be reported as a
        failure of the upstream. An HTTP/1.0 request may lack the header and
        gets an empty one.

        Raises:
            ValueError: The head is too large, its Host header is missing or
                repeated, or its method or HTTP version is not supported. The
                parser turns the exception into an `HttpParserError`.
        """
        if self.parser.get_method() == b"CONNECT":
            raise ValueError("expected a request for a resource, got CONNECT")
        size = len(self.url)
        hosts = 0
        for name, value in self.headers:
            size += len(name) + len(value) + _HEADER_OVERHEAD_BYTES
            if name == b"host":
                hosts += 1
        if size > self._max_head_bytes:
            self._is_head_too_large = True
            raise ValueError(
                f"request head has {size} bytes, "
                f"limit is {self._max_head_bytes}"
            )
        version = self.parser.get_http_version()
        if version == "1.0" and not hosts:
            self.headers.append((b"host", b""))
        elif version not in _HTTP_VERSIONS or hosts != 1:
            raise ValueError(
                "expected HTTP/1.0 or 1.1 with one Host header, "
                f"got HTTP/{version} with {hosts}"
            )

    def _is_waiting_for_body(self) -> bool:
        """Whether the caller still has to send a part of the body.

        This includes the rest of a body whose response was sent early. False
        while the caller waits for this node to send 100 Continue.
        """
        if self._in_head or self.cycle is None:
            return False
        return not self.cycle.waiting_for_100_continue

    def _check_write_progress(self, now: float) -> None:
        """Aborts a connection whose caller does not read the response."""
        unsent = self.transport.get_write_buffer_size()
        if unsent != self._unsent_bytes:
            self._unsent_bytes = unsent
            self._progress_at = now
        elif now - self._progress_at > self._limits.settings.idle_timeout_s:
            self._limits.rejected_requests += 1
            # Without this option the kernel keeps the unsent data.
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _DISCARD_ON_CLOSE
            )
            self.transport.abort()

    def _reject(self, status: int, detail: str) -> None:
        """Rejects the received input and closes the connection.

        An error response is sent only where the caller cannot mistake it for
        the response to another request or for a part of a response.
        """
        self._ignores_input = True
        if self.transport.is_closing():
            return
        self._limits.rejected_requests += 1
        active_cycle = self._active_cycle
        is_idle = active_cycle is None or active_cycle.response_complete
        is_response_unsent = (
            not self._in_head
            and active_cycle is self.cycle
            and active_cycle is not None
            and not active_cycle.response_started
        )
        if is_idle and self._in_head:
            outcome = errors.Outcome.NOT_RUN
            self.transport.write(_encode_refusal(status, detail, outcome))
        elif is_response_unsent:
            # A part of the body may have reached the upstream.
            outcome = errors.Outcome.UNKNOWN
            self.transport.write(_encode_refusal(status, detail, outcome))
        self._disconnect_active_cycle()
        self._progress_at = self.loop.time()
        self.transport.close()

    def _disconnect_active_cycle(self) -> None:
        active_cycle = self._active_cycle
        if active_cycle is not None and not active_cycle.response_complete:
            active_cycle.disconnected = True
            active_cycle.message_event.set()


def _encode_refusal(status: int, detail: str, outcome: errors.Outcome) -> bytes:
    refusal = errors.Refusal(outcome, errors.Reason.INVALID_REQUEST, detail)
    body = problems.problem_body(refusal, b"", "", status)
    return b"".join(
        [
            b"HTTP/1.1 %d %s\r\n" % (status, _REASON_PHRASES[status]),
            b"content-type: application/problem+json\r\n",
            b"%s: %s\r\n" % (problems.OUTCOME_HEADER, outcome.value.encode()),
            b"content-length: %d\r\n" % len(body),
            b"connection: close\r\n\r\n",
            body,
        ]
    )
