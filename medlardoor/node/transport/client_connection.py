"""Client side of one HTTP/1.1 connection, as an asyncio protocol."""

import asyncio
from collections import abc as collections_abc
import select

import httptools

from medlardoor.admission import body_buffer
from medlardoor.calls import exchange
from medlardoor.node.transport import transport
from medlardoor.wire import ranges

__all__ = ["MAX_BUFFERED_BYTES", "MAX_HEAD_BYTES", "ClientConnection"]

# Same limit as in httpcore; llhttp has none.
MAX_HEAD_BYTES = 102_400
# Reading pauses above this size, which bounds the memory for a slow caller.
MAX_BUFFERED_BYTES = 262_144
FIRST_FINAL_STATUS = 200
STATUSES_WITHOUT_BODY = (204, 304)
_PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)


class ClientConnection(asyncio.Protocol):
    """Connection that carries one request and its response at a time.

    Attributes:
        status: Status of the response; 0 until its head is complete.
        headers: Headers of the response with names in lower case.
    """

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self._stream: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._waiter: asyncio.Future | None = None
        self._error: str | None = None
        self._is_write_paused = self._is_read_paused = False
        self._idle_since = 0.0
        self._poll = select.poll()
        self._reset("")

    def _reset(self, method: str) -> None:
        """Resets the state for an exchange with the given HTTP method."""
        self._method = method
        self._body = body_buffer.BodyBuffer()
        self._head_bytes = self.status = 0
        self.headers: exchange.Headers = []
        self._is_head_complete = self._is_complete = self._ends_at_close = False
        self._can_keep_alive = self._is_request_sent = False

    @property
    def is_reusable(self) -> bool:
        """Whether the exchange is complete and the connection still open."""
        return (
            self._is_complete
            and self._is_request_sent
            and self._can_keep_alive
            and self._error is None
            and not self._stream.is_closing()
        )

    @property
    def is_stale(self) -> bool:
        """Whether the server has closed the connection or may soon do so."""
        idle_s = self._loop.time() - self._idle_since
        # Polls the socket because the event loop may not yet have processed the
        # close by the server.
        return idle_s > transport.IDLE_TIMEOUT_S or bool(self._poll.poll(0))

    def mark_idle(self) -> None:
        """Marks the connection as idle from now on."""
        self._idle_since = self._loop.time()
        self._parser = None
        self._body.clear()
        self._resume_reading()

    def abort(self) -> None:
        """Closes the connection immediately."""
        self._error = self._error or "Closed"
        self._parser = None
        self._stream.abort()

    async def exchange(
        self, head: bytes, request: transport.OutgoingRequest
    ) -> str | None:
        """Sends a request and waits for the head of its response.

        Args:
            head: Encoded head of the request.
            request: Request to send.

        Returns:
            None, or the error that occurred before the head was complete.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._reset(request.method)
        if not request.body:
            self._stream.write(head)
            self._is_request_sent = not _declares_body(request.headers)
        else:
            self._is_request_sent = await self._send_body(head, request)
        if not self._is_request_sent and not self._is_head_complete:
            return self._error or "IncompleteRequest"
        while not self._is_head_complete and self._error is None:
            await self._wait()
        return None if self._is_head_complete else self._error

    async def read(self) -> bytes:
        """Returns the buffered part of the body; empty at its end.

        Waits for data if none is buffered.

        Raises:
            exchange.TruncatedAnswer: If the body ended early.
        """
        while not len(self._body):
            if self._is_complete:
                return b""
            if self._error is not None:
                raise exchange.TruncatedAnswer(self._error)
            await self._wait()
        part = self._body.take()
        self._resume_reading()
        return part

    async def _send_body(
        self, head: bytes, request: transport.OutgoingRequest
    ) -> bool:
        """Sends the head and the body.

        The head is sent with the first chunk, which is already available. If
        the response is complete before the body is sent, the rest is not sent
        because the server will not read it.

        Returns:
            Whether the body was sent completely and matches its framing.
        """
        content_length = exchange.header_value(
            request.headers, b"content-length"
        )
        remaining_bytes = (
            int(content_length) if content_length is not None else 0
        )
        is_chunked = content_length is None and _declares_body(request.headers)
        body = request.body
        async for chunk in (
            _single_chunk(body) if isinstance(body, bytes) else body
        ):
            if self._error is not None or self._is_complete:
                return False
            remaining_bytes -= len(chunk)
            if is_chunked:
                chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk) if chunk else b""
            elif remaining_bytes < 0:
                return False
            self._stream.write(head + chunk)
            head = b""
            while self._is_write_paused and self._error is None:
                await self._wait()
        if is_chunked:
            head += b"0\r\n\r\n"
        if head:
            self._stream.write(head)
        return is_chunked or remaining_bytes == 0

    def _resume_reading(self) -> None:
        if self._is_read_paused:
            self._is_read_paused = False
            self._stream.resume_reading()

    async def _wait(self) -> None:
        """Waits until the state of the connection changes."""
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _fail(self, error: str) -> None:
        self._error = self._error or error
        self._stream.abort()
        self._wake()

    def connection_made(self, stream: asyncio.Transport) -> None:
        """Stores the stream and registers its socket for polling."""
        self._stream = stream
        self._poll.register(stream.get_extra_info("socket"), select.POLLIN)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes of the response."""
        if self._parser is None or self._is_complete:
            self._fail("UnexpectedData")
            return
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except _PARSER_ERRORS as error:
            self._fail(type(error).__name__)
            return
        if self._head_bytes > MAX_HEAD_BYTES and not self._is_complete:
            self._fail("OversizedHead")
            return
        if len(self._body) > MAX_BUFFERED_BYTES and not self._is_read_paused:
            self._is_read_paused = True
            self._stream.pause_reading()
        self._wake()

    def eof_received(self) -> None:
        """Completes a response whose body ends when the connection closes."""
        if self._ends_at_close and self._error is None:
            self._is_complete = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the exchange in progress with an error."""
        if self._error is None:
            self._error = type(exc).__name__ if exc else "Disconnected"
        self._wake()

    def pause_writing(self) -> None:
        """Pauses sending the body while the write buffer is full."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Resumes sending the body."""
        self._is_write_paused = False
        self._wake()

    def on_message_begin(self) -> None:
        """Prevents reuse after an unexpected second response."""
        if self._is_complete:
            self._error = "UnexpectedData"

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header of the head; trailers are dropped."""
        if self._is_head_complete:
            return
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Completes the head; the head of an interim response is dropped."""
        if self._is_complete:
            return
        status = self._parser.get_status_code()
        if not ranges.is_response_status(status):
            self._fail("InvalidStatus")
            return
        if status < FIRST_FINAL_STATUS:
            self.headers = []
            return
        if sum(len(n) + len(v) for n, v in self.headers) > MAX_HEAD_BYTES:
            self._error = "OversizedHead"
            return
        self.status = status
        self._is_head_complete = True
        self._head_bytes = 0
        # These responses have no body, but the parser would wait for the one
        # that the head describes.
        if self._method == "HEAD" or status in STATUSES_WITHOUT_BODY:
            self._can_keep_alive = self._parser.should_keep_alive()
            self._is_complete = True
        else:
            self._ends_at_close = not _declares_body(self.headers)

    def on_body(self, body: bytes) -> None:
        """Buffers received body data."""
        if self._is_complete:
            self._error = "UnexpectedData"
            return
        # Trailers and chunk extensions count like heads.
        self._head_bytes = 0
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Completes the response unless it is an interim one."""
        if self._is_head_complete and not self._is_complete:
            self._is_complete = True
            self._can_keep_alive = self._parser.should_keep_alive()


async def _single_chunk(chunk: bytes) -> collections_abc.AsyncIterator[bytes]:
    yield chunk


def _declares_body(headers: exchange.Headers) -> bool:
    """Whether the headers declare a non-empty or a chunked body."""
    for name, value in headers:
        if name == b"content-length":
            return value != b"0"
        if name == b"transfer-encoding":
            return True
    return False
