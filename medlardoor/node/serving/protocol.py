"""Server side of HTTP/1.1 connections, with limits on bad input."""

import asyncio
import socket
import struct
import typing

import httptools
from uvicorn.protocols.http import httptools_impl

from medlardoor import errors
from medlardoor.calls import problems
from medlardoor.config import settings as settings_module

__all__ = ["LimitedProtocol", "Limits"]

REQUEST_TIMEOUT = 408
HEAD_TOO_LARGE = 431
BAD_REQUEST = 400
_PHRASES = {
    BAD_REQUEST: b"Bad Request",
    REQUEST_TIMEOUT: b"Request Timeout",
    HEAD_TOO_LARGE: b"Request Header Fields Too Large",
}

# Option value of SO_LINGER: discard unsent data at once.
_NO_LINGER = struct.pack("ii", 1, 0)

_VERSIONS = ("1.0", "1.1")

# One read can hold thousands of small pipelined requests; each needs about
# 2 KB while it waits.
MAX_PIPELINED = 16

# Approximate cost of a header beside its name and value.
_HEADER_OVERHEAD_BYTES = 4


class Limits:
    """Limits and counters of one listener.

    Args:
        settings: Limits of each listener.
    """

    def __init__(self, settings: settings_module.ListenerSettings):
        self.settings = settings
        self.refused_connections = 0
        self.rejected_requests = 0


class LimitedProtocol(httptools_impl.HttpToolsProtocol):
    """Connection whose heads, waits and pipelined requests are bounded.

    The limits are the attribute `limits` of the configuration. Time limits
    are checked by `check`, which the listener calls regularly; a timer for
    each request would cost more.
    """

    def __init__(self, config, server_state, app_state, _loop=None):
        super().__init__(config, server_state, app_state, _loop)
        self._limits: Limits = config.limits
        self._max_head_bytes = self._limits.settings.max_head_bytes
        self._in_head = True
        self._is_head_too_large = False
        # Bytes received since the last part of a body: heads that have not
        # ended, chunk extensions and trailers. One read may hold a head and
        # a part of its body, so this is judged after parsing.
        self._overhead_bytes = 0
        self._head_started_at: float | None = None
        self._progress_at = 0.0
        self._unsent_bytes = 0
        self._ignores_input = False
        self._running: httptools_impl.RequestResponseCycle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accepts the connection, or closes it if there are too many."""
        settings = self._limits.settings
        if len(self.connections) >= settings.max_connections:
            self._limits.refused_connections += 1
            self._ignores_input = True
            self.transport = transport
            transport.abort()
            return
        super().connection_made(transport)
        self._progress_at = self._head_started_at = self.loop.time()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the request in progress that its caller has gone."""
        super().connection_lost(exc)
        # With pipelining, the last request is not the one in progress.
        self._disconnect_running()

    def data_received(self, data: bytes) -> None:
        """Parses a part of the input."""
        if self._ignores_input:
            return
        self._unset_keepalive_if_required()
        self._progress_at = self.loop.time()
        if self._head_started_at is None and self._in_head:
            self._head_started_at = self._progress_at
        self._overhead_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # No other protocol is offered; RFC 9110, section 7.8, lets the
            # server answer in HTTP/1.1. What follows cannot be parsed.
            self._ignores_input = True
            if self.cycle is not None:
                self.cycle.keep_alive = False
            return
        except httptools.HttpParserError:
            status = BAD_REQUEST
            if self._is_head_too_large:
                status = HEAD_TOO_LARGE
            self._reject(status, "The request is not valid HTTP/1.1.")
            return
        if self._overhead_bytes > self._max_head_bytes:
            self._reject(HEAD_TOO_LARGE, "The request head is too large.")
        elif len(self.pipeline) > MAX_PIPELINED:
            self._reject(BAD_REQUEST, "Too many pipelined requests.")

    def on_message_begin(self) -> None:
        """Starts a request head."""
        super().on_message_begin()
        if self._head_started_at is None:
            self._head_started_at = self.loop.time()

    def on_headers_complete(self) -> None:
        """Starts the request."""
        self._check_head()
        super().on_headers_complete()
        # The parser reports trailers as headers; the request is out already.
        self.headers = []
        self._in_head = False
        self._head_started_at = None
        self._overhead_bytes = 0
        if len(self.pipeline) > MAX_PIPELINED:
            raise ValueError("too many pipelined requests")

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body."""
        self._overhead_bytes = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Ends the request; the next head may follow."""
        self._in_head = True
        self._overhead_bytes = 0
        super().on_message_complete()

    def check(self, now: float) -> None:
        """Closes the connection if a time limit has passed.

        Args:
            now: Time of the event loop, in seconds.
        """
        if self.transport.is_closing() or self.flow.write_paused:
            self._check_output(now)
            return
        settings = self._limits.settings
        if self.flow.read_paused:
            # This node delays the input, not the caller.
            self._progress_at = now
            if self._head_started_at is not None:
                self._head_started_at = now
            return
        started_at = self._head_started_at
        if started_at is not None:
            if now - started_at > settings.head_timeout_s:
                self._reject(REQUEST_TIMEOUT, "The request head took too long.")
            return
        if self._awaits_body():
            if now - self._progress_at > settings.idle_timeout_s:
                self._reject(REQUEST_TIMEOUT, "The request body has stopped.")
            return
        self._progress_at = now

    def _start_asgi_task(
        self,
        cycle: httptools_impl.RequestResponseCycle,
        app: typing.Callable,
    ) -> None:
        self._running = cycle
        super()._start_asgi_task(cycle, app)

    def _check_head(self) -> None:
        """Requires a head of limited size with one Host header.

        RFC 9112, section 3.2, asks for one. The client library refuses to
        forward other requests, which would otherwise look like a failure of
        the upstream.

        Raises:
            ValueError: The parser turns it into an `HttpParserError`.
        """
        size = len(self.url)
        hosts = 0
        for name, value in self.headers:
            size += len(name) + len(value) + _HEADER_OVERHEAD_BYTES
            if name == b"host":
                hosts += 1
        if size > self._max_head_bytes:
            self._is_head_too_large = True
            raise ValueError("head too large")
        version = self.parser.get_http_version()
        if version == "1.0" and not hosts:
            self.headers.append((b"host", b""))
        elif version not in _VERSIONS or hosts != 1:
            raise ValueError("no single host")

    def _awaits_body(self) -> bool:
        """Whether the caller, and not this node, delays the body.

        The rest of a body is awaited after an early answer too.
        """
        if self._in_head or self.cycle is None:
            return False
        return not self.cycle.waiting_for_100_continue

    def _check_output(self, now: float) -> None:
        """Drops a connection whose caller does not read its answer."""
        unsent = self.transport.get_write_buffer_size()
        if unsent != self._unsent_bytes:
            self._unsent_bytes = unsent
            self._progress_at = now
        elif now - self._progress_at > self._limits.settings.idle_timeout_s:
            self._limits.rejected_requests += 1
            # Otherwise the kernel keeps what the caller does not read.
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
            self.transport.abort()

    def _reject(self, status: int, detail: str) -> None:
        """Refuses what was received and closes the connection.

        An answer is only sent where it cannot be taken for the answer to
        another request, or for a part of one.
        """
        self._ignores_input = True
        if self.transport.is_closing():
            return
        self._limits.rejected_requests += 1
        running = self._running
        is_idle = running is None or running.response_complete
        is_own = (
            not self._in_head
            and running is self.cycle
            and running is not None
            and not running.response_started
        )
        if is_idle and self._in_head:
            outcome = errors.Outcome.NOT_RUN
            self.transport.write(_answer(status, detail, outcome))
        elif is_own:
            # A part of the body may have reached an upstream.
            outcome = errors.Outcome.UNKNOWN
            self.transport.write(_answer(status, detail, outcome))
        self._disconnect_running()
        self._progress_at = self.loop.time()
        self.transport.close()

    def _disconnect_running(self) -> None:
        running = self._running
        if running is not None and not running.response_complete:
            running.disconnected = True
            running.message_event.set()


def _answer(status: int, detail: str, outcome: errors.Outcome) -> bytes:
    refusal = errors.Refusal(outcome, errors.Reason.INVALID_REQUEST, detail)
    body = problems.problem_body(refusal, b"", "", status)
    return b"".join(
        [
            b"HTTP/1.1 %d %s\r\n" % (status, _PHRASES[status]),
            b"content-type: application/problem+json\r\n",
            b"%s: %s\r\n" % (problems.OUTCOME_HEADER, outcome.value.encode()),
            b"content-length: %d\r\n" % len(body),
            b"connection: close\r\n\r\n",
            body,
        ]
    )
