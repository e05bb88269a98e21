"""Nodes, clients and the record of a case."""

import asyncio
import collections.abc
import itertools
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import typing

import store
import upstream

__all__ = ["CannotRunError", "Node", "World", "rule", "run_case"]

ROOT = pathlib.Path(__file__).resolve().parents[2]

CASE_HELD = 0
CASE_BROKEN = 1
CASE_NOT_RUN = 2

# Longest time of a case, in seconds.
CASE_TIMEOUT_S = 110.0
READY_TIMEOUT_S = 20.0

HOST = "hulo84.example"

# Ports that cases listen on.
PORTS = (12_000, 30_000)

_given_ports: set[int] = set()


class CannotRunError(Exception):
    """The case could not run, so it shows nothing."""


def free_port() -> int:
    """Returns a port of the loopback address that is free now.

    It lies below the ports that the kernel gives to outgoing connections, so
    that none of them takes it before its process starts.
    """
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _given_ports:
            _given_ports.add(port)
            return port


class Node:
    """One node, started as the deploy file says.

    Args:
        world: The world of the case.
        name: Name of its machine.
        service: Service of the server beside it.
        memory_mb: Memory of its machine.
    """

    def __init__(
        self, world: "World", name: str, service: str, memory_mb: int = 300
    ):
        self.name = name
        self.service = service
        self.memory_mb = memory_mb
        self.ports = {
            use: free_port()
            for use in ("inbound", "outbound", "ready", "control", "app", "own")
        }
        self.process: subprocess.Popen | None = None
        self._world = world
        self._settings = world.folder / f"{name}.conf"

    def start(self) -> None:
        """Starts the process."""
        ports = self.ports
        lines = {
            "self.node": self.name,
            "self.role": "node",
            "self.machineClass": "sidecar",
            "self.serves": "sidecar",
            "self.ip": "127.0.0.1",
            "self.zone": "zone-a",
            "self.region": "region",
            "self.bootstrap": "true",
            "self.limits.cpuShare": "0.86",
            "self.limits.cores": "2",
            "self.limits.memoryMb": self.memory_mb,
            "self.limits.maxFds": "4100",
            "self.appAddr": f"127.0.0.1:{ports['app']}",
            "self.service": self.service,
            "network.listen.inbound": f"127.0.0.1:{ports['inbound']}",
            "network.listen.outbound": f"127.0.0.1:{ports['outbound']}",
            "network.listen.ready": f"127.0.0.1:{ports['ready']}",
            "network.listen.control": f"127.0.0.1:{ports['control']}",
            "network.internalPorts": f"{ports['own']},{ports['own']}",
            "network.zones.zone-a": "region",
            "platform.heartbeatInterval": "1500ms",
            "platform.platform.address": f"127.0.0.1:{self._world.store_port}",
            "platform.platform.form": "objects",
            "platform.platform.valueBytes": store.VALUE_BYTES,
            "platform.platform.history": "20s",
            **self._world.bounds,
        }
        text = "".join(f"{name}={value}\n" for name, value in lines.items())
        self._settings.write_text(text)
        with (self._world.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "medlardoor.platform.main"],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": str(self._world.folder),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "MEDLARDOOR_BOOT": str(self._settings),
                },
            )
        self._world.record("node started", node=self.name)

    def log_text(self) -> str:
        """Returns what the process has logged."""
        path = self._world.folder / f"{self.name}.log"
        return path.read_text(errors="replace")

    async def is_ready(self) -> bool:
        """Whether the node counts as ready."""
        message = b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n"
        answer = await upstream.call(
            "127.0.0.1", self.ports["ready"], message, 1.0
        )
        return answer is not None and answer[0] == 200

    async def wait_until_ready(self) -> None:
        """Waits for the node."""
        ends_at = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > ends_at or self.process.poll() is not None:
                raise CannotRunError(f"{self.name} is not ready")
            await asyncio.sleep(0.1)

    def resident_bytes(self) -> int:
        """Memory of the process now, in bytes; 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) * 1_024
        except OSError:
            pass
        return 0

    def kill(self) -> None:
        """Ends the process at once."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def request(
        self,
        path: str,
        attempt: str,
        deadline_ms: int = 5_000,
        method: str = "GET",
        body: bytes = b"",
        timeout_s: float | None = None,
    ) -> tuple[int, dict[str, str], bytes] | None:
        """Sends a client's request; see `upstream.call`."""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Medlardoor-Attempt-Id: {attempt}\r\n"
            f"X-Medlardoor-Deadline-Ms: {deadline_ms}\r\n"
        )
        if body or method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        return await upstream.call(
            "127.0.0.1",
            self.ports["outbound"],
            head.encode() + b"\r\n" + body,
            timeout_s or deadline_ms / 1_000,
        )


class World:
    """The store, the nodes and the record of one case.

    Args:
        case: Folder of the case.
        folder: Temporary folder.
    """

    def __init__(self, case: pathlib.Path, folder: pathlib.Path):
        self.folder = folder
        self.store = store.Store()
        self.store_port = free_port()
        self.nodes: list[Node] = []
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.bounds: dict[str, typing.Any] = {
            "terms.bounds.stableWindow": "3000ms",
            "terms.bounds.drain": "2000ms",
            "terms.bounds.grace": "6s",
            "terms.bounds.config": "2000ms",
            "terms.bounds.budgetRatio": "0.2",
            "terms.bounds.budgetWindow": "10s",
            "terms.bounds.budgetSlack": "47",
        }
        self._began_at = time.monotonic()
        self._out = (case / "record.txt").open("w")
        self._attempts = itertools.count(1)
        self.record("case", name=case.name, trouble=self.has_trouble)

    @property
    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self._began_at

    def record(self, event: str, **fields: typing.Any) -> None:
        """Writes a line of the record."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._out.write(f"{self.now:9.3f} {event} {text}\n")
        self._out.flush()

    def say(self, text: str) -> None:
        """Writes a line of the record and of the output."""
        self.record(text)
        sys.stdout.write(text + "\n")
        sys.stdout.flush()

    def next_attempt(self) -> str:
        """Returns the id of a new client attempt."""
        return f"{next(self._attempts):016x}"

    def add_node(self, name: str, service: str, memory_mb: int = 300) -> Node:
        """Adds a node, which is not started yet."""
        node = Node(self, name, service, memory_mb)
        self.nodes.append(node)
        return node

    def write_config(
        self, version: int, rules: list[dict[str, typing.Any]]
    ) -> None:
        """Writes a desired state, as the operator does."""
        services = sorted({rule["action"]["service"] for rule in rules})
        config = {
            "version": version,
            "limits": {
                "maxHeaderBytes": 16_384,
                "maxBodyBytes": 67_108_864,
                "headerTimeout": "3000ms",
                "idleTimeout": "15000ms",
            },
            "listeners": [{"host": HOST, "rules": rules}],
            "clusters": [
                {
                    "name": service,
                    "healthPath": "/health",
                    "maxConnections": 2_158,
                }
                for service in services
            ],
        }
        revision = self.store.write("config", "main", config)
        self.record(
            "operator wrote config/main",
            version=version,
            rules=len(rules),
            revision=revision,
            bytes=self.store.size_of("config", "main"),
        )

    def close(self) -> None:
        """Ends all processes of the case."""
        for node in self.nodes:
            node.kill()
        self.record("all processes ended")
        self._out.close()


def rule(
    name: str,
    prefix: str,
    service: str,
    kind: str = "safe",
    timeout_ms: int = 5_000,
) -> dict[str, typing.Any]:
    """Returns one rule of a desired state."""
    return {
        "name": name,
        "kind": kind,
        "targetLatency": "1200ms",
        "priority": 2,
        "match": {"pathPrefix": prefix},
        "action": {
            "service": service,
            "timeout": f"{timeout_ms}ms",
            "maxAttempts": 2,
        },
    }


def run_case(
    case_file: str,
    play: collections.abc.Callable[[World], collections.abc.Awaitable[bool]],
) -> typing.NoReturn:
    """Plays a case and exits with its result.

    Args:
        case_file: Path of the case's program, beside which the record stands.
        play: Plays the case; returns whether the rule was kept.
    """
    case = pathlib.Path(case_file).resolve().parent

    async def main() -> bool:
        loop = asyncio.get_running_loop()
        # A case that is stopped still ends its processes.
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        with tempfile.TemporaryDirectory() as folder:
            world = World(case, pathlib.Path(folder))
            try:
                await world.store.start("127.0.0.1", world.store_port)
                return await asyncio.wait_for(play(world), CASE_TIMEOUT_S)
            finally:
                if os.environ.get("KEEP_LOGS"):
                    for node in world.nodes:
                        sys.stderr.write(f"--- {node.name}\n{node.log_text()}")
                world.close()

    try:
        is_kept = asyncio.run(main())
    except (Exception, asyncio.CancelledError):  # noqa: BLE001
        traceback.print_exc()
        sys.exit(CASE_NOT_RUN)
    sys.exit(CASE_HELD if is_kept else CASE_BROKEN)
