"""Test harness: a node process with a stand-in of its store and upstream."""

import asyncio
import contextlib
import itertools
import os
import pathlib
import random
import re
import resource

from medlardoor.config import routes
from medlardoor.mesh import handlers, server_connection
from medlardoor.platform import names
from medlardoor.standins import object_store, processes

UPSTREAM_ID = "i-outside"
SLOTS = 20
BEAT_S = 1.0
# Bound of each wait for a condition, in seconds.
WAIT_S = 30.0
POLL_S = 0.02

# Memory limit of the settings, in megabytes, and the buffer budget that
# follows from it (`platform/settings.py`).
MEMORY_MB = 100
BUFFER_MB = 10
# Memory that a process may take beyond its idle state and its buffer budget.
ALLOWANCE_MB = 20

HOST = "outside.example"

DOCUMENT = {
    "version": 1,
    "listeners": [
        {
            "host": HOST,
            "rules": [
                {
                    "name": "read",
                    "kind": "safe",
                    "targetLatency": "500ms",
                    "priority": 0,
                    "match": {"pathPrefix": "/read/"},
                    "action": {
                        "service": "stock",
                        "timeout": "5000ms",
                        "maxAttempts": 2,
                    },
                }
            ],
        }
    ],
    "clusters": [{"name": "stock"}],
}


_numbers = itertools.count(1)


def request_lines() -> bytes:
    """Returns the request's own header lines, with a new identifier."""
    return b"Host: %b\r\n%b: a%d\r\n%b: 5000\r\n" % (
        HOST.encode(),
        names.HEADERS.attempt_id,
        next(_numbers),
        names.HEADERS.deadline_ms,
    )


class Upstream(handlers.RequestHandler):
    """Answers ``/read/SIZE/DELAY`` with a body of so many bytes.

    The delay is in milliseconds.
    """

    @property
    def limits(self):
        return routes.ConnectionLimits()

    @property
    def closes_connections(self):
        return False

    def handle(self, request, reply):
        _, _, size, delay_ms = request.target.split(b"/")[:4]
        attempt_id = request.header(names.HEADERS.attempt_id.lower())
        lines = b"%b: %b\r\n%b: s\r\n%b: 0,0,%d\r\n" % (
            names.HEADERS.attempt_id,
            attempt_id,
            names.HEADERS.seal,
            names.HEADERS.load,
            SLOTS,
        )
        response = handlers.Response(200, lines, b"x" * int(size))
        asyncio.get_running_loop().call_later(
            int(delay_ms) / 1_000, reply, response
        )
        return _Running()


class _Running(handlers.RequestHandle):
    def cancel(self):
        pass


class NodeProcess:
    """A node process and what was measured of it.

    Attributes:
        host: IP address of the instance.
        address: Address for callers.
        idle_mb: Peak resident memory before the crowd, in megabytes.
        most_descriptors: Highest number of open descriptors seen.
    """

    def __init__(self, directory: pathlib.Path, max_descriptors: int):
        network = f"127.{random.randrange(1, 250)}.{random.randrange(250)}"
        self.host = f"{network}.1"
        self._directory = directory
        self._max_descriptors = max_descriptors
        self._process = None
        self._sequence = 0
        self.address = (self.host, 8304)
        self.idle_mb = 0.0
        self.most_descriptors = 0

    @property
    def is_alive(self) -> bool:
        """Whether the process that was started still runs."""
        return self._process.exit_status is None

    @property
    def peak_mb(self) -> float:
        """Peak resident memory, in megabytes."""
        path = pathlib.Path(f"/proc/{self._process.process_id}/status")
        match = re.search(r"VmHWM:\s+(\d+) kB", path.read_text())
        return int(match.group(1)) * 1_024 / 1_000_000

    def start(self):
        """Starts the process, which inherits the limit on descriptors."""
        path = self._directory / "node.conf"
        lines = {
            "self.node": "n0",
            "self.ip": self.host,
            "self.zone": "z0",
            "self.service": "stock",
            "self.appAddr": f"{self.host}:8301",
            "self.limits.memoryMb": MEMORY_MB,
            "self.limits.maxFds": self._max_descriptors,
            "network.listen.inbound": f"{self.host}:8300",
            "network.listen.outbound": f"{self.host}:8304",
            "network.listen.ready": f"{self.host}:8302",
            "network.listen.control": f"{self.host}:8306",
            "network.internalPorts": "7620,7635",
            "platform.platform.address": f"{self.host}:8309",
        }
        path.write_text("".join(f"{k}={v}\n" for k, v in lines.items()))
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(
            resource.RLIMIT_NOFILE, (self._max_descriptors, hard)
        )
        try:
            self._process = processes.ManagedProcess(
                "n0",
                ["-m", "medlardoor.platform.main"],
                self._directory,
                {names.SETTINGS_VARIABLE: str(path)},
                logs_output=True,
            )
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    def stop(self):
        # A planned stop would take seconds and is tested elsewhere.
        self._process.kill()

    async def is_ready(self) -> bool:
        """Whether the readiness listener answers with success."""
        answer = await self.exchange(
            (self.host, 8302), b"GET /ready HTTP/1.1\r\nHost: r\r\n"
        )
        return answer.startswith(b"HTTP/1.1 200")

    async def answers_request(self) -> bool:
        """Whether an ordinary request of a new caller is served."""
        answer = await self.exchange(
            self.address, b"GET /read/5/0 HTTP/1.1\r\n" + request_lines()
        )
        return answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"xxxxx")

    async def exchange(self, address, head: bytes, body: bytes = b"") -> bytes:
        """Sends one request; an empty answer if there was none."""
        try:
            async with asyncio.timeout(5.0):
                reader, writer = await asyncio.open_connection(*address)
                try:
                    writer.write(head + b"Connection: close\r\n\r\n" + body)
                    return await reader.read()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return b""

    async def beat_regularly(self):
        """Announces the upstream."""
        while True:
            self._sequence += 1
            body = (
                b'{"service": "stock", "address": "%b:8301", "slots": %d, '
                b'"state": "ready", "sequence": %d, "born": 1}'
                % (self.host.encode(), SLOTS, self._sequence)
            )
            head = (
                b"POST %b%b HTTP/1.1\r\nHost: c\r\nContent-Length: %d\r\n"
                % (names.BEAT_PATH, UPSTREAM_ID.encode(), len(body))
            )
            await self.exchange((self.host, 8306), head, body)
            await asyncio.sleep(BEAT_S)

    async def follow_descriptors(self):
        """Follows the number of open descriptors."""
        while True:
            self.count_descriptors()
            await asyncio.sleep(POLL_S)

    def count_descriptors(self):
        """Notes the number of open descriptors."""
        with contextlib.suppress(OSError):
            path = f"/proc/{self._process.process_id}/fd"
            self.most_descriptors = max(
                self.most_descriptors, len(os.listdir(path))
            )

    def count_threads(self) -> int:
        """Number of threads of the process."""
        return len(os.listdir(f"/proc/{self._process.process_id}/task"))

    async def wait_until(self, condition):
        """Waits for an asynchronous condition; whether it came true."""
        until = asyncio.get_running_loop().time() + WAIT_S
        while asyncio.get_running_loop().time() < until:
            if await condition():
                return True
            if not self.is_alive:
                return False
            await asyncio.sleep(POLL_S)
        return False

    async def check(self, max_descriptors: int):
        """Checks what must hold while and after a crowd has come.

        Args:
            max_descriptors: Bound on open descriptors.
        """
        served = await self.wait_until(self.answers_request)
        ready = await self.is_ready()
        assert self.is_alive, "the process has ended"
        self.count_descriptors()
        grown_mb = self.peak_mb - self.idle_mb
        measured = (
            f"peak {self.peak_mb:.0f} MB, idle {self.idle_mb:.0f} MB, "
            f"{self.most_descriptors} descriptors, served {served}, "
            f"ready {ready}"
        )
        print(measured)  # noqa: T201
        assert grown_mb <= BUFFER_MB + ALLOWANCE_MB, f"memory: {measured}"
        assert self.most_descriptors <= max_descriptors, (
            f"descriptors: {measured}"
        )
        assert served, f"no ordinary request is answered: {measured}"
        assert ready, "the readiness listener does not answer"


@contextlib.asynccontextmanager
async def run_node(directory: pathlib.Path, max_descriptors: int = 1_000):
    """Runs a node process that serves requests.

    Args:
        directory: Where its settings and log are written.
        max_descriptors: Its limit on descriptors.

    Yields:
        The process.
    """
    node = NodeProcess(directory, max_descriptors)
    loop = asyncio.get_running_loop()
    store = object_store.StandinStore()
    store.put(*names.CONFIG_KEY.split("/"), DOCUMENT)
    servers = []
    tasks = []
    connections = set()
    for handler, port in ((store, 8309), (Upstream(), 8301)):
        servers.append(
            await loop.create_server(
                lambda handler=handler: server_connection.ServerConnection(
                    handler, connections
                ),
                node.host,
                port,
            )
        )
    node.start()
    try:
        tasks.append(asyncio.create_task(node.beat_regularly()))
        assert await node.wait_until(node.answers_request), "no start"
        node.idle_mb = node.peak_mb
        tasks.append(asyncio.create_task(node.follow_descriptors()))
        yield node
    finally:
        for task in tasks:
            task.cancel()
        node.stop()
        for server in servers:
            server.close()
