"""Server side of HTTP/1.1 connections for whole messages."""

import asyncio
import sys
import traceback

import httptools
import logbook

from medlardoor import logs
from medlardoor.admission import buffers as buffers_module
from medlardoor.mesh import handlers, http_messages, pipeline

__all__ = ["ServerConnection"]

_LOG = logbook.Logger("connections")

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
BODY_TOO_LARGE = 413
HEAD_TOO_LARGE = 431
_WITHOUT_BODY = (204, 304)

# Requests that one connection may have without an answer before reading
# pauses.
MAX_PIPELINED = 8

# After a refusal before the end of a body the connection stays open so long,
# in seconds. Closing it with unread bytes would reset it, and the client might
# never see the refusal.
LINGER_S = 2.0


class ServerConnection(asyncio.Protocol):
    """One connection of a client.

    Args:
        handler: Handles the requests.
        connections: Set of open connections that this one joins.
        buffers: Bytes that are held for bodies; None for no bound.
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
        self._body: list[bytes] = []
        self._body_size = 0
        # Bytes of the body that memory is reserved for.
        self._reserved = 0
        self._head_size = 0
        self._in_head = True
        self._is_expecting = False
        self._is_starting = False
        self._is_paused = False
        self._ignores_input = False
        # Status of input that is not valid, sent after the earlier answers.
        self._rejection: int | None = None
        # When the first byte of an unfinished request arrived, in seconds.
        self._began_at: float | None = None
        self._progress_at = self._loop.time()
        self._unsent = 0
        self._lingers_until: float | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is read or answered."""
        return not len(self._pipeline) and self._began_at is None

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
        """Cancels the requests in progress."""
        self._transport = None
        self._connections.discard(self)
        self._release()
        self._hold(0)
        self._pipeline.clear()

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
        elif len(self._pipeline) >= MAX_PIPELINED and not self._is_paused:
            self._is_paused = True
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
        """Refuses a body for which there is no room."""
        self._in_head = False
        self._head_size = 0
        if self._ignores_input:
            return
        for name, value in self._headers:
            if name == b"content-length":
                size = int(value)
                if size > self._handler.limits.max_body_bytes:
                    self._reject(BODY_TOO_LARGE)
                    return
                self._reserve(size)
        self._invite_body()

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body."""
        if self._ignores_input:
            return
        self._body_size += len(body)
        over = self._body_size - self._reserved
        if over > 0 and not self._reserve(over):
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
            b"".join(self._body),
            self._loop.time(),
        )
        keeps_alive = self._parser.should_keep_alive()
        self._pipeline.add(
            pipeline.Exchange(request, keeps_alive, self._reserved)
        )
        self._reserved = 0
        self._in_head = True
        self._head_size = 0
        self._began_at = None
        self._body = []
        self._ignores_input = not keeps_alive
        self._start()

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
                self._hold(unsent)
                self._progress_at = now
            elif now - self._progress_at > limits.idle_timeout_s:
                transport.abort()
            return
        if len(self._pipeline) or transport.is_closing():
            return
        if self._lingers_until is not None:
            if now >= self._lingers_until:
                transport.close()
        elif self._began_at is not None:
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

    def _start(self) -> None:
        """Passes on the requests that may run now."""
        self._is_starting = True
        try:
            self._pipeline.start()
        except Exception as error:  # noqa: BLE001
            self._fail(error)
            return
        finally:
            self._is_starting = False
        self._flush()

    def _start_more(self) -> None:
        if len(self._pipeline) and self._transport is not None:
            self._start()

    def _flush(self) -> None:
        """Sends the answers that are next in the order of the requests."""
        if self._is_starting or self._transport is None:
            return
        while (exchange := self._pipeline.take_answered()) is not None:
            self._progress_at = self._loop.time()
            transport = self._transport
            response = exchange.response
            # Answers of requests that run already are still delivered.
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
                self._loop.call_soon(self._start_more)
        if not len(self._pipeline):
            if self._rejection is not None:
                self._reject(self._rejection)
                return
            self._invite_body()
        if self._is_paused and self._transport is not None:
            self._is_paused = False
            self._transport.resume_reading()

    def _invite_body(self) -> None:
        """Lets a client that waits for it send its body."""
        if self._is_expecting and not self._in_head and not len(self._pipeline):
            self._is_expecting = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _reserve(self, size: int) -> bool:
        """Reserves memory for the body; refuses the request without it."""
        host = self._hosts[0] if self._hosts else b""
        level = self._handler.body_level(host, self._url)
        if self._buffers.try_reserve_request(size, level):
            self._reserved += size
            return True
        refusal = self._handler.refuse_body(host, self._url)
        self._release()
        self._body = []
        self._is_expecting = False
        self._ignores_input = True
        if len(self._pipeline):
            # The answers of earlier requests come first, and behind one that
            # closes the connection this request counts as not read.
            self._rejection = refusal.status
            return False
        self._began_at = None
        self._transport.write(_encode(refusal, closes=True))
        self._transport.write_eof()
        self._lingers_until = self._loop.time() + LINGER_S
        return False

    def _release(self) -> None:
        """Gives back what is reserved for an unfinished request."""
        self._buffers.release(self._reserved)
        self._reserved = 0

    def _hold(self, unsent: int) -> None:
        """Counts the bytes of answers that wait to be sent."""
        if unsent != self._unsent:
            self._buffers.reserve_unchecked(unsent - self._unsent)
            self._unsent = unsent

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
        if len(self._pipeline):
            self._rejection = status
            return
        transport.write(_encode(handlers.Response(status), closes=True))
        transport.close()


def _encode(response: handlers.Response, closes: bool) -> bytes:
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
