"""Small HTTP/1.1 server on asyncio streams, for the stand-ins of the cases."""

import asyncio
import collections.abc
import dataclasses

__all__ = ["Request", "Response", "read_request", "serve"]

# A request head or body that does not arrive in this time ends its connection,
# in seconds.
READ_TIMEOUT_S = 60.0


@dataclasses.dataclass
class Request:
    """One request.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Values by name in lower case; the last one of each name.
        body: Whole body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass
class Response:
    """One response with a known length.

    Attributes:
        status: HTTP status.
        body: Whole body.
        headers: Names and values beside the length.
    """

    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)

    def encode(self) -> bytes:
        """Returns the response as it is sent."""
        lines = [f"HTTP/1.1 {self.status} -"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + self.body


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads the next request; None when the connection has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return Request(method, target, headers, body)


async def serve(
    host: str,
    port: int,
    handle: collections.abc.Callable[
        [Request], collections.abc.Awaitable[Response]
    ],
) -> asyncio.Server:
    """Serves an address with one response for each request.

    Args:
        host: IP address.
        port: TCP port.
        handle: Returns the response to a request.
    """

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                response = await handle(request)
                writer.write(response.encode())
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connected, host, port)
