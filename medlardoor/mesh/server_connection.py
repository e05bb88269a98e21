"""Server side of HTTP/1.1 connections, without streaming of bodies."""

import asyncio
import sys
import traceback

import httptools
import logbook

from medlardoor import logs
from medlardoor.admission import body_buffer
from medlardoor.admission import buffers as buffers_module
from medlardoor.mesh import handlers, http_messages, pipeline

__all__ = ["ServerConnection"]

_LOG = logbook.Logger("connections")

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
BODY_TOO_LARGE = 413
HEAD_TOO_LARGE = 431
_STATUSES_WITHOUT_BODY = (204, 304)

# Number of requests without a response at which reading from the connection
# pauses.
MAX_PIPELINED_REQUESTS = 8

# How long the connection stays open after a request was refused before the end
# of its body. Closing it with unread bytes would reset it, and the client might
# not receive the response.
REFUSAL_LINGER_S = 2.0


class ServerConnection(asyncio.Protocol):
    """One connection of a client.

    Args:
        handler: Handles the requests.
        connections: Set of open connections; this one is added to it.
        buffers: Limit on the bytes held for bodies and unsent responses; None
            for no limit.
    """

    def __init__(
        self,
        handler: handlers.RequestHandler,
        connections: set["ServerConnection"],
        buffers: buffers_module.BufferBudget | None = None,
    ):
        self._handler = handler
        self._connections = connections
        self._buffers = buffers or buffers_module.BufferBudget(sys.maxsize)
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pipeline = pipeline.Pipeline(handler, self._buffers, self._flush)
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._hosts: list[bytes] = []
        self._body = body_buffer.BodyBuffer()
        # Buffer space reserved for the body, in bytes.
        self._reserved_bytes = 0
        # Bytes of heads, trailers and chunk extensions, which the parser
        # collects, since the last complete head or part of a body.
        self._head_bytes = 0
        self._in_head = True
        self._expects_continue = False
        self._is_starting = False
        self._is_paused = False
        self._ignores_input = False
        # Error status of a rejected request, sent after earlier responses.
        self._pending_error_status: int | None = None
        # When the first byte of an unfinished request arrived, in seconds.
        self._request_began_at: float | None = None
        self._progress_at = self._loop.time()
        self._unsent_bytes = 0
        self._linger_until: float | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or waiting for its response."""
        return not len(self._pipeline) and self._request_began_at is None

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether a part of a response is not sent yet."""
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport of the new connection."""
        self._transport = transport
        self._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the requests in progress."""
        self._transport = None
        self._connections.discard(self)
        self._release_reserved()
        self._update_unsent_bytes(0)
        self._pipeline.clear()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._ignores_input:
            return
        self._progress_at = self._loop.time()
        if self._request_began_at is None:
            self._request_began_at = self._progress_at
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(BAD_REQUEST)
            return
        if self._ignores_input:
            return
        if self._head_bytes > self._handler.limits.max_head_bytes:
            self._reject(HEAD_TOO_LARGE)
        elif (
            len(self._pipeline) >= MAX_PIPELINED_REQUESTS
            and not self._is_paused
        ):
            self._is_paused = True
            self._transport.pause_reading()

    def on_message_begin(self) -> None:
        """Resets the parser state for a new request."""
        self._url = b""
        self._headers = []
        self._hosts = []
        self._body.clear()
        self._in_head = True
        self._expects_continue = False

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; trailers are dropped."""
        if not self._in_head:
            return
        lower = name.lower()
        if lower == b"host":
            self._hosts.append(value)
            return
        if lower == b"expect":
            self._expects_continue = value.lower() == b"100-continue"
        self._headers.append((lower, value))

    def on_headers_complete(self) -> None:
        """Reserves buffer space for the body, or refuses the request."""
        self._in_head = False
        self._head_bytes = 0
        if self._ignores_input:
            return
        for name, value in self._headers:
            if name == b"content-length":
                size = int(value)
                if size > self._handler.limits.max_body_bytes:
                    self._reject(BODY_TOO_LARGE)
                    return
                self._reserve(size)
        self._send_continue()

    def on_body(self, body: bytes) -> None:
        """Stores a part of the body."""
        self._head_bytes = 0
        if self._ignores_input:
            return
        body_bytes = len(self._body) + len(body)
        if body_bytes > self._handler.limits.max_body_bytes:
            self._reject(BODY_TOO_LARGE)
            return
        missing_bytes = body_bytes - self._reserved_bytes
        if missing_bytes > 0 and not self._reserve(missing_bytes):
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queues a complete request."""
        if self._ignores_input:
            return
        host = self._hosts[0] if len(self._hosts) == 1 else None
        if host is None and self._parser.get_http_version() != "1.0":
            self._in_head = True
            self._reject(BAD_REQUEST)
            return
        request = handlers.Request(
            self._parser.get_method(),
            self._url,
            host or b"",
            self._headers,
            self._body.take(),
            self._loop.time(),
        )
        keeps_alive = self._parser.should_keep_alive()
        self._pipeline.add(
            pipeline.Exchange(request, keeps_alive, self._reserved_bytes)
        )
        self._reserved_bytes = 0
        self._in_head = True
        self._head_bytes = 0
        self._request_began_at = None
        self._ignores_input = not keeps_alive
        self._start()

    def check_timeouts(self, now: float) -> None:
        """Ends the connection if a time limit has passed; called regularly.

        Args:
            now: Current time, in seconds.
        """
        transport = self._transport
        if transport is None:
            return
        limits = self._handler.limits
        unsent_bytes = transport.get_write_buffer_size()
        if unsent_bytes:
            if unsent_bytes != self._unsent_bytes:
                self._update_unsent_bytes(unsent_bytes)
                self._progress_at = now
            elif now - self._progress_at > limits.idle_timeout_s:
                transport.abort()
            return
        if len(self._pipeline) or transport.is_closing():
            return
        if self._linger_until is not None:
            if now >= self._linger_until:
                transport.close()
        elif self._request_began_at is not None:
            is_late = now - self._progress_at > limits.idle_timeout_s
            if self._in_head:
                is_late = now - self._request_began_at > limits.head_timeout_s
            if is_late:
                self._reject(REQUEST_TIMEOUT)
        elif now - self._progress_at > limits.idle_timeout_s:
            transport.close()

    def close_if_idle(self) -> None:
        """Closes the connection if it is idle."""
        if self.is_idle and self._transport is not None:
            self._ignores_input = True
            self._transport.close()

    def _start(self) -> None:
        """Passes the requests that may run now to the handler."""
        self._is_starting = True
        try:
            self._pipeline.start()
        except Exception as error:  # noqa: BLE001
            self._abort_after_error(error)
            return
        finally:
            self._is_starting = False
        self._flush()

    def _start_next(self) -> None:
        if len(self._pipeline) and self._transport is not None:
            self._start()

    def _flush(self) -> None:
        """Sends the available responses, in the order of the requests."""
        if self._is_starting or self._transport is None:
            return
        while (exchange := self._pipeline.pop_answered()) is not None:
            self._progress_at = self._loop.time()
            transport = self._transport
            response = exchange.response
            # During a stop, the responses of running requests are still sent.
            is_last = not self._pipeline.is_running
            closes = (
                response.close
                or not exchange.keeps_alive
                or (is_last and self._handler.closes_connections)
            )
            transport.write(_encode(response, closes))
            if closes:
                self._ignores_input = True
                transport.close()
                self._pipeline.clear()
                return
            if len(self._pipeline):
                self._loop.call_soon(self._start_next)
        if not len(self._pipeline):
            if self._pending_error_status is not None:
                self._reject(self._pending_error_status)
                return
            self._send_continue()
        if self._is_paused and self._transport is not None:
            self._is_paused = False
            self._transport.resume_reading()

    def _send_continue(self) -> None:
        """Sends 100 Continue if the client waits for it."""
        if (
            self._expects_continue
            and not self._in_head
            and not len(self._pipeline)
        ):
            self._expects_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _reserve(self, size: int) -> bool:
        """Reserves buffer space for the body, or refuses the request.

        Args:
            size: Size of the additional space, in bytes.

        Returns:
            Whether the space was reserved.
        """
        host = self._hosts[0] if self._hosts else b""
        level = self._handler.body_level(host, self._url)
        if self._buffers.try_reserve_request(size, level):
            self._reserved_bytes += size
            return True
        refusal = self._handler.refuse_body(host, self._url)
        self._release_reserved()
        self._body.clear()
        self._expects_continue = False
        self._ignores_input = True
        if len(self._pipeline):
            # The responses of earlier requests are sent first. If one of them
            # closes the connection, this request counts as not read.
            self._pending_error_status = refusal.status
            return False
        self._request_began_at = None
        self._transport.write(_encode(refusal, closes=True))
        self._transport.write_eof()
        self._linger_until = self._loop.time() + REFUSAL_LINGER_S
        return False

    def _release_reserved(self) -> None:
        """Releases the buffer space of an unfinished request."""
        self._buffers.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def _update_unsent_bytes(self, unsent_bytes: int) -> None:
        """Counts the unsent bytes of responses in the buffer budget."""
        if unsent_bytes != self._unsent_bytes:
            self._buffers.reserve_unchecked(unsent_bytes - self._unsent_bytes)
            self._unsent_bytes = unsent_bytes

    def _abort_after_error(self, error: Exception) -> None:
        """Aborts the connection after an unexpected exception of the handler.

        The request may or may not have been sent to an upstream, so any status
        could be wrong.
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
        """Sends an error status for invalid input and closes the connection."""
        self._ignores_input = True
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if len(self._pipeline):
            self._pending_error_status = status
            return
        transport.write(_encode(handlers.Response(status), closes=True))
        transport.close()


def _encode(response: handlers.Response, closes: bool) -> bytes:
    status = response.status
    parts = [
        b"HTTP/1.1 %d %b\r\n" % (status, http_messages.reason_phrase(status)),
        response.headers,
    ]
    if status not in _STATUSES_WITHOUT_BODY:
        parts.append(b"content-length: %d\r\n" % len(response.body))
    if closes:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    parts.append(response.body)
    return b"".join(parts)
