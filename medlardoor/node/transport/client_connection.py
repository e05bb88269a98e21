"""Client side of one HTTP/1.1 connection, as an asyncio protocol."""

import asyncio
from collections import abc as collections_abc
import select

import httptools

from medlardoor.calls import exchange
from medlardoor.node.transport import transport

__all__ = ["MAX_BUFFERED_BYTES", "MAX_HEAD_BYTES", "ClientConnection"]

# The same bound as in httpcore; llhttp itself has none.
MAX_HEAD_BYTES = 102_400
# Reading pauses above this; a slow caller must not fill the memory.
MAX_BUFFERED_BYTES = 262_144
FIRST_FINAL_STATUS = 200
NO_BODY_STATUSES = (204, 304)
_PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)


class ClientConnection(asyncio.Protocol):
    """One connection, which carries one exchange at a time.

    Attributes:
        status: Status of the answer; 0 before its head is complete.
        headers: Headers of the answer with names in lower case.
    """

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self._stream: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._waiter: asyncio.Future | None = None
        self._error: str | None = None
        self._write_paused = self._read_paused = False
        self._idle_since = 0.0
        self._poll = select.poll()
        self._reset("")

    def _reset(self, method: str) -> None:
        """Forgets the exchange before."""
        self._method = method
        self._chunks: list[bytes] = []
        self._buffered = self._head_bytes = self.status = 0
        self.headers: exchange.Headers = []
        self._head_complete = self._complete = self._until_close = False
        self._keep_alive = self._sent = False

    @property
    def reusable(self) -> bool:
        """Whether request and answer were whole and the connection is open."""
        return (
            self._complete
            and self._sent
            and self._keep_alive
            and self._error is None
            and not self._stream.is_closing()
        )

    @property
    def stale(self) -> bool:
        """Whether the server has closed the connection, or soon may."""
        idle_s = self._loop.time() - self._idle_since
        # The event loop may not have seen yet that the server closed it.
        return idle_s > transport.IDLE_EXPIRY_S or bool(self._poll.poll(0))

    def rest(self) -> None:
        """Begins an idle time."""
        self._idle_since = self._loop.time()
        self._parser = None
        self._chunks = []
        self._resume_reading()

    def abort(self) -> None:
        """Closes the connection at once."""
        self._error = self._error or "Closed"
        self._parser = None
        self._stream.abort()

    async def exchange(
        self, head: bytes, request: transport.OutgoingRequest
    ) -> str | None:
        """Sends a request and waits for the head of its answer.

        Returns:
            None, or what went wrong before the head was complete.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._reset(request.method)
        if not request.body:
            self._stream.write(head)
            self._sent = not _declares_body(request.headers)
        else:
            self._sent = await self._send_body(head, request)
        if not self._sent and not self._head_complete:
            return self._error or "IncompleteRequest"
        while not self._head_complete and self._error is None:
            await self._wait()
        return None if self._head_complete else self._error

    async def read(self) -> bytes:
        """All bytes of the body that are at hand; empty at its end.

        Raises:
            exchange.TruncatedAnswer: If the body ended early.
        """
        while not self._chunks:
            if self._complete:
                return b""
            if self._error is not None:
                raise exchange.TruncatedAnswer(self._error)
            await self._wait()
        chunks = self._chunks
        self._chunks = []
        self._buffered = 0
        self._resume_reading()
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)

    async def _send_body(
        self, head: bytes, request: transport.OutgoingRequest
    ) -> bool:
        """Sends head and body; False if the body does not match its framing.

        The head goes out with the first chunk, which is at hand. An answer
        that is complete before the body is sent ends the sending, as the
        server will not read the rest.
        """
        length = exchange.header_value(request.headers, b"content-length")
        left = int(length) if length is not None else 0
        chunked = length is None and _declares_body(request.headers)
        body = request.body
        async for chunk in _once(body) if isinstance(body, bytes) else body:
            if self._error is not None or self._complete:
                return False
            left -= len(chunk)
            if chunked:
                chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk) if chunk else b""
            elif left < 0:
                return False
            self._stream.write(head + chunk)
            head = b""
            while self._write_paused and self._error is None:
                await self._wait()
        if chunked:
            head += b"0\r\n\r\n"
        if head:
            self._stream.write(head)
        return chunked or left == 0

    def _resume_reading(self) -> None:
        if self._read_paused:
            self._read_paused = False
            self._stream.resume_reading()

    async def _wait(self) -> None:
        """Waits for any change of the connection."""
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
        """Keeps the stream."""
        self._stream = stream
        self._poll.register(stream.get_extra_info("socket"), select.POLLIN)

    def data_received(self, data: bytes) -> None:
        """Parses a part of the answer."""
        if self._parser is None or self._complete:
            self._fail("UnexpectedData")
            return
        if not self._head_complete:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except _PARSER_ERRORS as error:
            self._fail(type(error).__name__)
            return
        if not self._head_complete and self._head_bytes > MAX_HEAD_BYTES:
            self._fail("OversizedHead")
            return
        if self._buffered > MAX_BUFFERED_BYTES and not self._read_paused:
            self._read_paused = True
            self._stream.pause_reading()
        self._wake()

    def eof_received(self) -> None:
        """Ends an answer that is framed by the end of the connection."""
        if self._until_close and self._error is None:
            self._complete = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the exchange in progress."""
        if self._error is None:
            self._error = type(exc).__name__ if exc else "Disconnected"
        self._wake()

    def pause_writing(self) -> None:
        """Holds the body back until the server has read more of it."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Continues with the body."""
        self._write_paused = False
        self._wake()

    def on_message_begin(self) -> None:
        """Refuses to reuse a connection with a second answer on it."""
        if self._complete:
            self._error = "UnexpectedData"

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header of the head; trailers are dropped."""
        if self._head_complete:
            return
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Ends the head, unless it is an interim one."""
        if self._complete:
            return
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            self.headers = []
            return
        if sum(len(n) + len(v) for n, v in self.headers) > MAX_HEAD_BYTES:
            self._error = "OversizedHead"
            return
        self.status = status
        self._head_complete = True
        # The parser would wait for the body that such a head describes.
        if self._method == "HEAD" or status in NO_BODY_STATUSES:
            self._keep_alive = self._parser.should_keep_alive()
            self._complete = True
        else:
            self._until_close = not _declares_body(self.headers)

    def on_body(self, body: bytes) -> None:
        """Keeps a part of the body."""
        if self._complete:
            self._error = "UnexpectedData"
            return
        self._chunks.append(body)
        self._buffered += len(body)

    def on_message_complete(self) -> None:
        """Ends the answer, unless it is an interim one."""
        if self._head_complete and not self._complete:
            self._complete = True
            self._keep_alive = self._parser.should_keep_alive()


async def _once(chunk: bytes) -> collections_abc.AsyncIterator[bytes]:
    yield chunk


def _declares_body(headers: exchange.Headers) -> bool:
    """Whether a head states a length other than zero, or chunks."""
    for name, value in headers:
        if name == b"content-length":
            return value != b"0"
        if name == b"transfer-encoding":
            return True
    return False
