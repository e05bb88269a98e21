"""Upstreams of the soak: they run requests, announce themselves and fail."""

import asyncio
import hashlib
import json
import random
import time

from medlardoor.config import routes
from medlardoor.mesh import handlers, server_connection
from medlardoor.platform import names
from medlardoor.soak import evidence, upstream_faults

__all__ = ["ID_HEADER", "SoakUpstream", "seal_of"]

BEAT_S = 0.5
SLOTS = 16
COLD_MS = 300
ACK_TIMEOUT_S = 1.0

# An upstream names itself in its answers.
ID_HEADER = names.HEADERS.upstream_id


def seal_of(upstream_id: str, attempt_id: str, body: bytes) -> str:
    """Value that binds an answer to its request and its bytes."""
    text = f"{upstream_id}|{attempt_id}|".encode() + body
    return hashlib.blake2b(text, digest_size=12).hexdigest()


class SoakUpstream:
    """One upstream process as its node and its callers see it.

    Args:
        service: Name of the service.
        address: Where it listens; the node is told of the same address.
        control: Where it announces itself.
        ledger: What the soak has seen.
        generator: Source of random draws.
    """

    def __init__(
        self,
        service: str,
        address: tuple[str, int],
        control: tuple[str, int],
        ledger: evidence.Ledger,
        generator: random.Random,
    ):
        self.service = service
        self.fault = upstream_faults.UpstreamFault()
        self._address = address
        self._control = control
        self._ledger = ledger
        self._generator = generator
        self._connections: set[_UpstreamSocket] = set()
        self._server: asyncio.Server | None = None
        self._is_started = False
        self._running: set[_Running] = set()
        self._beats: asyncio.Task | None = None
        self._state = "ready"
        self._sequence = 0
        self._born_ms = 0
        self.upstream_id = ""
        # Requests a second that it says it takes; None if it says nothing.
        self.named_limit: float | None = None
        # Requests that have reached it, over all its starts.
        self.arrivals = 0
        # Target of requests that crash it, and how many have done so.
        self.crashes_on = b""
        self.request_crashes = 0

    @property
    def is_running(self) -> bool:
        """Whether the upstream listens."""
        return self._server is not None

    async def start(self) -> None:
        """Starts under a new identifier, unless another fault has done so."""
        if self._is_started:
            return
        self._is_started = True
        self._born_ms = time.time_ns() // 1_000_000
        self.upstream_id = f"i-{self._generator.getrandbits(48):012x}"
        self._state = "ready"
        self._sequence = 0
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _UpstreamSocket(self, self._connections), *self._address
        )
        self._beats = asyncio.create_task(self._beat_regularly())

    def crash(self) -> None:
        """Ends at once; all connections are reset."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        self._is_started = False
        self._beats.cancel()
        for running in list(self._running):
            running.cancel()
        for connection in list(self._connections):
            connection.reset()

    async def leave(self, drain_s: float) -> None:
        """Announces its end, serves on for a while and ends.

        Args:
            drain_s: How long it serves after the acknowledgement, in seconds.
        """
        own_id = self.upstream_id
        self._state = "draining"
        if await self._beat():
            self._ledger.acknowledged_leaving(own_id)
        await asyncio.sleep(drain_s)
        while self._running and self.upstream_id == own_id:  # noqa: ASYNC110
            await asyncio.sleep(0.05)
        if not self.is_running or self.upstream_id != own_id:
            # It has crashed meanwhile.
            return
        await self._post(names.LEAVE_PATH, {"born": self._born_ms})
        self.crash()

    def handle(
        self,
        request: handlers.Request,
        reply: handlers.Reply,
        connection: "_UpstreamSocket",
    ) -> handlers.RequestHandle | None:
        """Runs a request.

        Args:
            request: The request.
            reply: To be called once.
            connection: Where it has come from.
        """
        connection.send_late_copy()
        attempt = request.header(names.HEADERS.attempt_id.lower()).decode()
        wanted = request.header(names.HEADERS.expected_upstream.lower())
        if wanted != self.upstream_id.encode():
            reply(handlers.Response(421, self._own_lines(attempt)))
            return None
        kind = request.target.split(b"/")[1].decode()
        self.arrivals += 1
        self._ledger.arrived(self.service, kind, attempt, self.upstream_id)
        fault = self.fault
        draw = self._generator.random
        full = len(self._running) >= SLOTS
        if full or draw() < fault.shed:
            lines = self._own_lines(attempt) + b"%b: 1\r\n" % (
                names.HEADERS.not_run
            )
            self._reply(reply, handlers.Response(503, lines), connection)
            return None
        deadline = request.header(names.HEADERS.deadline_ms.lower())
        self._ledger.ran(
            self.service, kind, attempt, self.upstream_id, int(deadline)
        )
        self._ledger.ran_for(
            attempt,
            (request.header(names.HEADERS.team.lower()) or b"").decode(),
            request.header(names.HEADERS.credentials.lower()) is not None,
        )
        if request.target == self.crashes_on:
            self.request_crashes += 1
            self.crash()
            return None
        running = _Running(self, attempt, request, reply, connection)
        self._running.add(running)
        work_s = self._generator.expovariate(1 / 0.03) * fault.slow
        running.start(min(work_s, 3.0))
        return running

    def finish(self, running: "_Running") -> None:
        """Sends the answer of a request, or what takes its place."""
        self._running.discard(running)
        fault = self.fault
        draw = self._generator.random
        connection = running.connection
        if draw() < fault.lose:
            connection.reset()
            return
        if fault.page and draw() < fault.page:
            connection.send_page(
                self._generator.choice(upstream_faults.PAGE_STATUSES)
            )
            return
        body = b"%b|%b" % (running.attempt.encode(), running.request.target)
        status = 500 if draw() < fault.fail else 200
        seal = seal_of(self.upstream_id, running.attempt, body)
        lines = self._own_lines(running.attempt) + b"%b: %b\r\n" % (
            names.HEADERS.seal,
            seal.encode(),
        )
        if draw() < fault.cut:
            connection.send_cut(lines, body)
            return
        response = handlers.Response(status, lines, body)
        self._reply(running.reply, response, connection)
        if draw() < fault.extra:
            connection.send_extra(lines, body)

    def _reply(
        self,
        reply: handlers.Reply,
        response: handlers.Response,
        connection: "_UpstreamSocket",
    ) -> None:
        """Sends an answer; may keep a copy of it."""
        late = self.fault.late
        if late and self._generator.random() < late:
            connection.late_copy = response
        reply(response)

    def forget(self, running: "_Running") -> None:
        """Ends a request whose connection was closed."""
        self._running.discard(running)

    def _own_lines(self, attempt: str) -> bytes:
        lines = b"%b: %b\r\n%b: %b\r\n%b: %d,0,%d\r\n" % (
            names.HEADERS.attempt_id,
            attempt.encode(),
            ID_HEADER,
            self.upstream_id.encode(),
            names.HEADERS.load,
            len(self._running),
            SLOTS,
        )
        if self.named_limit is not None:
            lines += b"%b: %.2f\r\n" % (
                names.HEADERS.rate_limit,
                self.named_limit,
            )
        if self._state == "draining":
            lines += b"%b: 1\r\n" % names.HEADERS.leaving
        return lines

    async def _beat_regularly(self) -> None:
        while True:
            await self._beat()
            await asyncio.sleep(BEAT_S)

    async def _beat(self) -> bool:
        self._sequence += 1
        host, port = self._address
        return await self._post(
            names.BEAT_PATH,
            {
                "service": self.service,
                "address": f"{host}:{port}",
                "zone": "z",
                "version": "v1",
                "slots": SLOTS,
                "state": self._state,
                "coldLeft": f"{COLD_MS}ms",
                "sequence": self._sequence,
                "born": self._born_ms,
            },
        )

    async def _post(self, path: bytes, content: object) -> bool:
        """Sends one message; whether it was acknowledged."""
        body = json.dumps(content).encode()
        message = (
            b"POST %b%b HTTP/1.1\r\nHost: c\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%b"
            % (path, self.upstream_id.encode(), len(body), body)
        )
        try:
            async with asyncio.timeout(ACK_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self._control)
                writer.write(message)
                answer = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return answer.startswith(b"HTTP/1.1 200")


class _SocketHandler(handlers.RequestHandler):
    """Hands on the requests of one connection."""

    def __init__(self, upstream: SoakUpstream, connection: "_UpstreamSocket"):
        self._upstream = upstream
        self._connection = connection

    @property
    def limits(self) -> routes.ConnectionLimits:
        """Limits without meaning here."""
        return routes.ConnectionLimits()

    @property
    def closes_connections(self) -> bool:
        """Connections are kept."""
        return False

    def handle(
        self, request: handlers.Request, reply: handlers.Reply
    ) -> handlers.RequestHandle | None:
        """Runs a request on the upstream."""
        return self._upstream.handle(request, reply, self._connection)


class _UpstreamSocket(server_connection.ServerConnection):
    """Connection that can also misbehave."""

    def __init__(
        self,
        upstream: SoakUpstream,
        connections: set[server_connection.ServerConnection],
    ):
        super().__init__(_SocketHandler(upstream, self), connections)
        # Answer that is repeated where the next one is expected.
        self.late_copy: handlers.Response | None = None

    def reset(self) -> None:
        """Ends the connection without an answer."""
        if self._transport is not None:
            self._transport.abort()

    def send_late_copy(self) -> None:
        """Repeats an earlier answer, if a copy of one was kept."""
        copy, self.late_copy = self.late_copy, None
        if copy is not None and self._transport is not None:
            self._transport.write(
                b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b"
                % (copy.status, copy.headers, len(copy.body), copy.body)
            )

    def send_cut(self, lines: bytes, body: bytes) -> None:
        """Sends a part of an answer and ends the connection."""
        if self._transport is None:
            return
        self._transport.write(
            b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b"
            % (lines, len(body) + 9, body)
        )
        self._transport.close()

    def send_page(self, status: int) -> None:
        """Sends a page that no upstream has made, and ends the connection."""
        if self._transport is not None:
            self._transport.write(
                b"HTTP/1.1 %d Page\r\nContent-Length: 9\r\n\r\nIt works!"
                % status
            )
            self._transport.close()

    def send_extra(self, lines: bytes, body: bytes) -> None:
        """Sends an answer that nobody has asked for."""
        if self._transport is not None:
            self._transport.write(
                b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b"
                % (lines, len(body), body)
            )


class _Running(handlers.RequestHandle):
    """A request that an upstream works on."""

    def __init__(
        self,
        upstream: SoakUpstream,
        attempt: str,
        request: handlers.Request,
        reply: handlers.Reply,
        connection: _UpstreamSocket,
    ):
        self._upstream = upstream
        self._timer: asyncio.TimerHandle | None = None
        self.attempt = attempt
        self.request = request
        self.reply = reply
        self.connection = connection

    def start(self, work_s: float) -> None:
        """Works for a while."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(work_s, self._upstream.finish, self)

    def cancel(self) -> None:
        """Stops because the connection was closed."""
        self._timer.cancel()
        self._upstream.forget(self)
