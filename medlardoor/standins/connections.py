"""HTTP client of the stand-ins: a pool of keep-alive connections."""

import asyncio
import collections
import dataclasses
import time

import anyio
import httptools
import result

from medlardoor import errors

__all__ = ["Answer", "ConnectionPool", "ExchangeFailed", "Message"]

# Below the keep-alive time of uvicorn (5 s), so that the client drops an
# idle connection before the server does.
MAX_IDLE_S = 2.0
UPLOAD_PIECES = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A request to send.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers; Content-Length is added.
        body: Whole body.
        upload_s: Time that the body takes to send, in seconds.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""
    upload_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer.

    Attributes:
        status: Status code.
        headers: Headers by name in lower case.
        body: Whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True)
class ExchangeFailed(errors.Failure):
    """A request without a whole answer.

    Attributes:
        sent: Whether any part of the request may have been received.
        detail: Kind of failure, such as ``ReadError``.
    """

    sent: bool
    detail: str

    @property
    def message(self) -> str:
        """One sentence for a log line or an operator."""
        state = "may have been" if self.sent else "was not"
        return f"No answer ({self.detail}); the request {state} sent."


class ConnectionPool:
    """Keep-alive connections by address; the last used is reused first.

    The load client is written on httptools, because one process has to send
    several hundred requests a second beside verifying and recording them: a
    request took 1.3 ms of CPU time with httpcore and takes 0.5 ms now.
    """

    def __init__(self):
        self._idle = collections.defaultdict(list)

    async def exchange(
        self, address: str, message: Message, timeout_s: float
    ) -> result.Result[Answer, ExchangeFailed]:
        """Sends a request and reads the whole answer.

        Args:
            address: Address ``host:port`` of the server.
            message: Request to send.
            timeout_s: Time limit for the whole exchange, in seconds.
        """
        connection = None
        with anyio.move_on_after(timeout_s):
            try:
                connection = await self._take(address)
            except OSError as error:
                return result.Err(ExchangeFailed(False, type(error).__name__))
            return await self._exchange(address, connection, message)
        return result.Err(ExchangeFailed(connection is not None, "Timeout"))

    async def aclose(self) -> None:
        """Closes all idle connections."""
        for rows in self._idle.values():
            for connection in rows:
                connection.close()
        self._idle.clear()

    async def _exchange(self, address, connection, message):
        try:
            answer = await connection.exchange(
                _encode(address, message), message.upload_s
            )
        except (OSError, httptools.HttpParserError) as error:
            return result.Err(ExchangeFailed(True, type(error).__name__))
        finally:
            if connection.reusable:
                self._idle[address].append(connection)
            else:
                connection.close()
        return result.Ok(answer)

    async def _take(self, address):
        rows = self._idle[address]
        while rows:
            connection = rows.pop()
            if connection.reusable and connection.idle_s < MAX_IDLE_S:
                return connection
            connection.close()
        host, port = address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            _Connection, host, int(port)
        )
        return connection


class _Connection(asyncio.Protocol):
    """One connection that carries one request at a time."""

    def __init__(self):
        self._transport = None
        self._parser = None
        self._answer = None
        self._status_code = 0
        self._headers = {}
        self._chunks = []
        self._idle_since = 0.0
        self.reusable = False

    @property
    def idle_s(self) -> float:
        """Time since the last answer, in seconds."""
        return time.monotonic() - self._idle_since

    async def exchange(self, data: bytes, upload_s: float) -> Answer:
        """Sends an encoded request, in pieces if it takes time.

        Args:
            data: Head and body.
            upload_s: Time to send it, in seconds.

        Raises:
            OSError: The connection was closed before the end of the answer.
            httptools.HttpParserError: The answer is not valid HTTP.
        """
        self.reusable = False
        self._answer = asyncio.get_running_loop().create_future()
        self._parser = httptools.HttpResponseParser(self)
        pieces = UPLOAD_PIECES if upload_s else 1
        size = len(data) // pieces + 1
        for start in range(0, len(data), size):
            if start:
                await anyio.sleep(upload_s / pieces)
            self._transport.write(data[start : start + size])
        return await self._answer

    def close(self) -> None:
        """Closes the connection."""
        self.reusable = False
        self._transport.close()

    def connection_made(self, transport):
        """Keeps the transport."""
        self._transport = transport

    def data_received(self, data):
        """Parses a part of the answer."""
        if self._answer is None or self._answer.done():
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(error)

    def connection_lost(self, exc):
        """Fails the exchange in progress."""
        self.reusable = False
        self._fail(exc or ConnectionResetError("Connection closed"))

    def on_message_begin(self):
        """Starts an answer."""
        self._headers = {}
        self._chunks = []

    def on_header(self, name, value):
        """Keeps a header."""
        key = name.decode("latin-1").lower()
        self._headers[key] = value.decode("latin-1")

    def on_headers_complete(self):
        """Keeps the status code."""
        self._status_code = self._parser.get_status_code()

    def on_body(self, body):
        """Keeps a part of the body."""
        self._chunks.append(body)

    def on_message_complete(self):
        """Completes the exchange, unless the answer is an interim one."""
        if self._status_code < 200 or self._answer.done():
            return
        self.reusable = self._parser.should_keep_alive()
        self._idle_since = time.monotonic()
        self._answer.set_result(
            Answer(self._status_code, self._headers, b"".join(self._chunks))
        )

    def _fail(self, error):
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error)


def _encode(address, message):
    headers = {"Host": address, **message.headers}
    if message.body or message.method in ("POST", "PUT", "PATCH"):
        headers["Content-Length"] = str(len(message.body))
    lines = [f"{message.method} {message.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + message.body
