"""Stand-in for a server of the users, as PROTOCOL.md describes it."""

import asyncio
import collections.abc
import hashlib
import json
import time
import typing

import http_server

__all__ = ["Server", "call", "read_response", "seal_of"]

BEAT_INTERVAL_S = 1.5
# Time in which a heartbeat must be answered, in seconds.
BEAT_TIMEOUT_S = 1.0

ATTEMPT = "x-medlardoor-attempt-id"

Run = collections.abc.Callable[
    [http_server.Request], collections.abc.Awaitable[bytes]
]


async def call(
    host: str, port: int, message: bytes, timeout_s: float
) -> tuple[int, dict[str, str], bytes] | None:
    """Sends one request on a connection of its own.

    Returns:
        Status, headers with names in lower case and the body; None if no
        complete answer came in time.
    """
    try:
        return await asyncio.wait_for(_exchange(host, port, message), timeout_s)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None


async def _exchange(
    host: str, port: int, message: bytes
) -> tuple[int, dict[str, str], bytes]:
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(message)
        return await read_response(reader)
    finally:
        writer.close()


async def read_response(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    """Reads a response with a known length; see `call`.

    Raises:
        IncompleteReadError: The connection ended before its end.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return int(first.split(" ")[1]), headers, body


def seal_of(body: bytes) -> str:
    """Returns the seal of an answer with a body."""
    return hashlib.sha256(body).hexdigest()


class Server:
    """One start of a server; it runs each request after a pause.

    Args:
        upstream_id: Its id.
        service: Its service.
        port: Port of its address.
        control_port: Port of the node's `control` address.
        record: Writes a line of the record.
        born_ms: Its start, in milliseconds of Unix time; now if it is None.
        slots: Number of requests that it runs at the same time.
        work_s: Time that a request takes, in seconds.
        headers: Further headers of its answers.
    """

    def __init__(
        self,
        upstream_id: str,
        service: str,
        port: int,
        control_port: int,
        record: collections.abc.Callable[..., None],
        born_ms: int | None = None,
        slots: int = 343,
        work_s: float = 0.02,
        headers: collections.abc.Sequence[tuple[str, str]] = (),
    ):
        self.upstream_id = upstream_id
        self.service = service
        self.port = port
        self.slots = slots
        self.work_s = work_s
        self.headers = list(headers)
        self.born_ms = int(time.time() * 1_000) if born_ms is None else born_ms
        # Requests by the time of their arrival, in seconds of the loop.
        self.runs: list[tuple[float, str]] = []
        self.misdirected = 0
        self._control_port = control_port
        self._record = record
        self._sequence = 0
        self._listener: asyncio.Server | None = None
        self._beating: asyncio.Task | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self, beats: bool = True) -> None:
        """Listens, and sends heartbeats if they are wanted."""
        self._listener = await asyncio.start_server(
            self._connected, "127.0.0.1", self.port
        )
        if beats:
            self._beating = asyncio.create_task(self._beat_on())

    async def stop(self) -> None:
        """Ends at once, as in a crash: all connections are reset."""
        if self._beating is not None:
            self._beating.cancel()
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._connections):
            writer.transport.abort()

    def next_beat(self, state: str = "ready") -> bytes:
        """Returns the next heartbeat, to be sent now or later."""
        self._sequence += 1
        content = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldLeft": "0ms",
            "sequence": self._sequence,
            "born": self.born_ms,
        }
        return self._message("Instances.Heartbeat", content)

    async def deregister(self) -> bool:
        """Says that it leaves; returns whether that was acknowledged."""
        if self._beating is not None:
            self._beating.cancel()
        message = self._message("Instances.Deregister", {"born": self.born_ms})
        return await self.send(message)

    async def drain(self) -> bool:
        """Says that it is draining; returns whether that was acknowledged."""
        if self._beating is not None:
            self._beating.cancel()
        return await self.send(self.next_beat("draining"))

    async def send(self, message: bytes) -> bool:
        """Sends a heartbeat or a deregistration; whether it got a 200."""
        answer = await call(
            "127.0.0.1", self._control_port, message, BEAT_TIMEOUT_S
        )
        return answer is not None and answer[0] == 200

    def _message(self, name: str, content: dict[str, typing.Any]) -> bytes:
        body = json.dumps(content).encode()
        head = (
            f"POST /{name}/{self.upstream_id} HTTP/1.1\r\n"
            f"Host: 127.0.0.1:{self._control_port}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    async def _beat_on(self) -> None:
        while True:
            await self.send(self.next_beat())
            await asyncio.sleep(BEAT_INTERVAL_S)

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        try:
            while True:
                request = await http_server.read_request(reader)
                if request is None:
                    return
                await self.handle(request, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    def rejects(self, request: http_server.Request) -> bool:
        """Whether the request is for another server."""
        expected = request.headers.get("x-medlardoor-expect-instance")
        return expected is not None and expected != self.upstream_id

    async def handle(
        self, request: http_server.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Answers one request."""
        attempt = request.headers.get(ATTEMPT, "")
        if self.rejects(request):
            self.misdirected += 1
            headers = [("X-Medlardoor-Instance-Id", self.upstream_id)]
            writer.write(http_server.Response(421, b"", headers).encode())
            await writer.drain()
            return
        now = asyncio.get_running_loop().time()
        self.runs.append((now, attempt))
        self._record("run", server=self.upstream_id, attempt=attempt)
        await asyncio.sleep(self.work_s)
        writer.write(self.answer(attempt))
        await writer.drain()

    def body_for(self, attempt: str) -> bytes:
        """Returns the body of the answer to a request."""
        return f"answer to {attempt} by {self.upstream_id}\n".encode()

    def answer(self, attempt: str) -> bytes:
        """Returns the answer to a request that has run."""
        body = self.body_for(attempt)
        headers = [
            ("X-Medlardoor-Attempt-Id", attempt),
            ("X-Medlardoor-Response-Seal", seal_of(body)),
            ("X-Medlardoor-Instance-Load", f"1,0,{self.slots}"),
            *self.headers,
        ]
        return http_server.Response(200, body, headers).encode()
