"""Stand-ins of the platform, servers and clients for the review's scripts.

Everything runs on loopback addresses in the process of the script, except the
nodes, which are started with the command of ``deploy/system.toml``.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PORTS = {"inbound": 0, "outbound": 4, "ready": 2, "control": 6, "app": 1}
STORE_PORT = 9
METRICS_PORT = 11
BEAT_S = 1.5
ID = "X-Medlardoor-Attempt-Id"
SEAL = "X-Medlardoor-Response-Seal"


class Record:
    """Writes one line for each event to ``record.txt``."""

    def __init__(self, folder):
        self._path = pathlib.Path(folder) / "record.txt"
        self._path.write_text("")
        self._began = time.monotonic()

    def __call__(self, event, **fields):
        """Writes an event with the seconds since the start."""
        at = time.monotonic() - self._began
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._path.open("a") as file:
            file.write(f"{at:8.3f} {event} {text}\n")


@dataclasses.dataclass
class Message:
    """An HTTP request or response."""

    first: str
    headers: list
    body: bytes = b""

    def header(self, name):
        """Value of the first header with a name, or None."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None

    @property
    def status(self):
        """Status of a response."""
        return int(self.first.split(" ")[1])


async def read_message(reader, has_body=True):
    """Reads a message; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    message = Message(
        first, [tuple(x.split(": ", 1)) for x in lines if ": " in x]
    )
    if not has_body:
        return message
    length = message.header("content-length")
    if length is not None:
        message.body = await reader.readexactly(int(length))
    elif "chunked" in (message.header("transfer-encoding") or ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            message.body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
    return message


class Store:
    """The platform's store as PROTOCOL.md describes it."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.era = 1
        self.kinds = {}
        self.events = []
        # "up", "silent" or "busy"; delay_s before each answer.
        self.mode = "up"
        self.delay_s = 0.0
        self.mode_of = {}
        self._changed = asyncio.Event()
        self._tasks = set()
        self._server = None

    async def start(self, host, port):
        """Listens for nodes."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def put(self, kind, name, spec):
        """Writes an object, as the operator or a node does."""
        self.revision += 1
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": self.revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.kinds.setdefault(kind, {})[name] = item
        self.events.append((self.revision, kind, item, False))
        self._wake()
        return item

    def delete(self, kind, name):
        """Removes an object."""
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self.events.append((self.revision, kind, item, True))
            self._wake()
        return item

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                peer = writer.get_extra_info("peername")[0]
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                mode = self.mode_of.get(peer, self.mode)
                if mode == "silent":
                    await asyncio.sleep(3600)
                if mode == "busy":
                    status, answer = 503, {}
                else:
                    status, answer = await self._answer(request)
                body = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Store-Era: %d\r\nContent-Length: %d\r\n\r\n"
                    % (status, self.era, len(body))
                    + body
                )
                await writer.drain()
        writer.close()

    async def _answer(self, request):
        method, target, _ = request.first.split(" ")
        path, _, query = target.partition("?")
        asked = dict(urllib.parse.parse_qsl(query))
        _, _, kind, *rest = path.split("/")
        known = self.kinds.setdefault(kind, {})
        name = rest[0] if rest else None
        if method == "GET" and name is not None:
            return (200, known[name]) if name in known else (404, {})
        if method == "GET" and "watch" in asked:
            return await self._watch(kind, asked)
        if method == "GET":
            return 200, {
                "items": [known[n] for n in sorted(known)],
                "hasMore": False,
                "currentRev": self.revision,
            }
        if method == "DELETE":
            return 200, self.delete(kind, name) or {}
        body = json.loads(request.body)
        name = name or body["metadata"]["name"]
        wanted = body["metadata"].get("revision")
        if method == "POST" and name in known:
            return 409, known[name]
        if method == "PUT" and name not in known:
            return 404, {}
        if method == "PUT" and wanted not in (
            None,
            known[name]["metadata"]["revision"],
        ):
            return 409, known[name]
        if name in known and known[name]["spec"] == body.get("spec"):
            return 200, known[name]
        self.record("store-write", kind=kind, name=name, spec=body.get("spec"))
        return 201, self.put(kind, name, body.get("spec"))

    async def _watch(self, kind, asked):
        after = int(asked["watch"])
        ends = time.monotonic() + int(asked.get("waitMs", 0)) / 1000
        while True:
            found = [
                {"object": item, "deleted": gone}
                for revision, of, item, gone in self.events
                if of == kind and revision > after
            ]
            left = ends - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "currentRev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


class Server:
    """An application server beside a node, with its heartbeats."""

    def __init__(self, machine, identity=None, slots=50):
        self.machine = machine
        self.record = machine.world.record
        self.id = identity or f"i-{machine.name}-{random.randrange(16**6):x}"
        self.born = int(time.time() * 1000)
        self.slots = slots
        self.sequence = 0
        self.state = "ready"
        self.extra_headers = {}
        # Called with the request, reader and writer; True if it has answered.
        self.behave = None
        self.runs = []
        self.running = 0
        self.beats = True
        self._server = None
        self._writers = set()
        self._task = None

    async def start(self):
        """Listens and starts to report itself."""
        self._server = await asyncio.start_server(
            self._serve, self.machine.ip, self.machine.port("app"), backlog=512
        )
        self._task = asyncio.create_task(self._report())

    async def crash(self):
        """Ends at once; all its connections are reset or closed."""
        self._task.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.record("server-crash", id=self.id)

    async def post(self, call, fields, timeout_s=1.0):
        """Sends a heartbeat or the announcement of its end."""
        self.sequence += 1
        body = {
            "service": self.machine.service,
            "address": f"{self.machine.ip}:{self.machine.port('app')}",
            "zone": self.machine.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeft": "0ms",
            "sequence": self.sequence,
            "born": self.born,
        }
        body.update(fields)
        return await self.post_raw(call, body, timeout_s)

    async def post_raw(self, call, body, timeout_s=1.0):
        """Sends a body to the control address; None without an answer."""
        head = f"POST /Instances.{call}/{self.id} HTTP/1.1\r\nHost: c\r\n"
        head += "Content-Type: application/json\r\n"
        try:
            async with asyncio.timeout(timeout_s):
                answer = await exchange(
                    self.machine.ip,
                    self.machine.port("control"),
                    head.encode(),
                    json.dumps(body).encode(),
                )
        except (OSError, TimeoutError, EOFError):
            answer = None
        status = answer.status if answer else None
        self.record(
            call.lower(),
            id=self.id,
            state=body.get("state"),
            sequence=body.get("sequence"),
            answer=status,
        )
        return status

    async def _report(self):
        while True:
            if self.beats:
                await self.post("Heartbeat", {})
            await asyncio.sleep(BEAT_S)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                if request.first.startswith("GET /health"):
                    await self.answer(writer, request, 200, b"ok")
                    continue
                expected = request.header("X-Medlardoor-Expect-Instance")
                if expected is not None and expected != self.id:
                    await self.answer(writer, request, 421, b"")
                    continue
                behave = self.behave
                if behave and await behave(request, reader, writer):
                    continue
                await self.run(request, writer)
        self._writers.discard(writer)
        writer.close()

    def begin(self, request):
        """Records that a request begins to run."""
        self.runs.append((time.monotonic(), request))
        self.record(
            "run",
            server=self.id,
            attempt=request.header(ID),
            first=request.first.replace(" ", "_"),
            bytes=len(request.body),
            caller=request.header("X-Medlardoor-Caller-Service"),
            left_ms=request.header("X-Medlardoor-Deadline-Ms"),
        )

    async def run(self, request, writer):
        """Runs a request for the time that its query names."""
        self.begin(request)
        found = re.search(r"work=(\d+)", request.first)
        self.running += 1
        try:
            await asyncio.sleep(int(found[1]) / 1000 if found else 0.01)
        finally:
            self.running -= 1
        size = re.search(r"size=(\d+)", request.first)
        body = b"%b|" % (request.header(ID) or "").encode()
        body += b"x" * (int(size[1]) if size else 10)
        await self.answer(writer, request, 200, body)

    def head(self, request, status, length):
        """Head of an answer."""
        lines = {
            ID: request.header(ID) or "",
            SEAL: f"seal-{request.header(ID)}-{status}",
            "X-Medlardoor-Instance-Load": f"{self.running},0,{self.slots}",
            **self.extra_headers,
        }
        if length is not None:
            lines["Content-Length"] = str(length)
        if request.first.startswith("GET /health"):
            lines["X-Medlardoor-Instance-Id"] = self.id
        text = f"HTTP/1.1 {status} X\r\n"
        text += "".join(f"{k}: {v}\r\n" for k, v in lines.items())
        return text.encode() + b"\r\n"

    async def answer(self, writer, request, status, body):
        """Sends a whole answer."""
        writer.write(self.head(request, status, len(body)) + body)
        await writer.drain()


class Machine:
    """A machine: a node process and the server beside it."""

    def __init__(self, world, name, ip, service, zone):
        self.world = world
        self.name = name
        self.ip = ip
        self.service = service
        self.zone = zone
        self.server = None
        self.process = None
        self.log = world.directory / f"{name}.log"
        self.settings = {}
        # How often the node was ended because of its memory.
        self.memory_kills = 0

    def port(self, role):
        """TCP port of a listener."""
        return self.world.base_port + PORTS[role]

    def start_node(self):
        """Starts the node with the command of the deploy file."""
        world = self.world
        lines = {
            "self.node": self.name,
            "self.role": "node",
            "self.machineClass": "sidecar",
            "self.serves": "sidecar",
            "self.ip": self.ip,
            "self.zone": self.zone,
            "self.region": "r",
            "self.bootstrap": "true",
            "self.limits.cpuShare": "0.86",
            "self.limits.cores": "2",
            "self.limits.memoryMb": "300",
            "self.limits.maxFds": "4100",
            "self.limits.linkMbps": "1000.0",
            "self.appAddr": f"{self.ip}:{self.port('app')}",
            "self.service": self.service,
            "network.seeds": "",
            "network.internalPorts": (
                f"{world.base_port + METRICS_PORT - 1},"
                f"{world.base_port + METRICS_PORT}"
            ),
            "platform.discovery": "static",
            "platform.entry": "static",
            "platform.heartbeatInterval": "1500ms",
            "platform.platform.address": world.store_address,
            "platform.platform.form": "objects",
            "terms.bounds.config": "2000ms",
            "terms.bounds.grace": "6s",
            "terms.bounds.drain": "2000ms",
            "terms.bounds.stableWindow": "3000ms",
            "terms.bounds.budgetRatio": "0.2",
            "terms.bounds.budgetWindow": "10s",
            "terms.bounds.budgetSlack": "47",
            **self.settings,
        }
        for role in ("inbound", "outbound", "ready", "control"):
            lines[f"network.listen.{role}"] = f"{self.ip}:{self.port(role)}"
        path = world.directory / f"{self.name}.conf"
        path.write_text("".join(f"{k}={v}\n" for k, v in lines.items()))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["MEDLARDOOR_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                world.command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        world.processes.append(self.process)
        world.record("node-start", node=self.name, pid=self.process.pid)

    def signal(self, number):
        """Sends a signal to the node."""
        self.world.record("signal", node=self.name, signal=number.name)
        self.process.send_signal(number)

    async def kill(self):
        """Kills the node and waits for its end."""
        self.signal(signal.SIGKILL)
        await self.ended()

    async def ended(self, timeout_s=30.0):
        """Waits for the end of the node; its exit status or None."""
        with contextlib.suppress(subprocess.TimeoutExpired):
            await asyncio.to_thread(self.process.wait, timeout_s)
        return self.process.poll()

    def memory_mb(self, field="VmRSS"):
        """Resident memory of the node in units of 1,000,000 bytes."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            return int(re.search(rf"{field}:\s+(\d+)", text)[1]) * 1024 / 1e6
        except (OSError, TypeError):
            return 0.0

    async def keep_memory_limit(self):
        """Kills the node when it exceeds its memory, as the platform does.

        ``memoryMb`` is taken as units of 1,048,576 bytes. The process is
        started again after a second.
        """
        limit_mb = 300 * 1.048576
        while True:
            await asyncio.sleep(0.02)
            if self.process.poll() is None:
                peak_mb = self.memory_mb("VmHWM")
                if peak_mb > limit_mb:
                    self.memory_kills += 1
                    self.world.record(
                        "memory-over-limit", node=self.name, mb=int(peak_mb)
                    )
                    await self.kill()
                    await asyncio.sleep(1.0)
                    self.start_node()

    async def is_ready(self, timeout_s=1.0):
        """Whether the node answers its readiness question with 200."""
        try:
            async with asyncio.timeout(timeout_s):
                answer = await exchange(
                    self.ip,
                    self.port("ready"),
                    b"GET /ready HTTP/1.1\r\nHost: r\r\n",
                )
        except (OSError, TimeoutError, EOFError):
            return False
        return answer is not None and answer.status == 200

    async def metrics(self):
        """Text of the node's metrics."""
        answer = await exchange(
            self.ip,
            self.world.base_port + METRICS_PORT,
            b"GET /metrics HTTP/1.1\r\nHost: r\r\n",
        )
        return answer.body.decode()


async def exchange(host, port, head, body=b""):
    """Makes one call on a new connection; None if it was closed."""
    reader, writer = await asyncio.open_connection(host, port, limit=2**20)
    try:
        writer.write(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        return await read_message(reader)
    finally:
        writer.close()


class World:
    """A small deployment; ends all its processes when it is left."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.record = Record(folder)
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.network = (
            f"127.{random.randrange(10, 250)}.{random.randrange(250)}"
        )
        self.base_port = free_ports(f"{self.network}.1")
        self.processes = []
        self.machines = {}
        self.store = Store(self.record)
        self.store_address = f"{self.network}.250:{self.base_port + STORE_PORT}"
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"]["node"]["run"].split(" ")
        self._ids = itertools.count(1)
        self._prefix = f"{random.randrange(16**8):08x}"

    async def __aenter__(self):
        host, port = self.store_address.split(":")
        await self.store.start(host, int(port))
        return self

    async def __aexit__(self, *error):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if error[0] is None:
            self.keep_logs()
        shutil.rmtree(self.directory, ignore_errors=True)

    def keep_logs(self):
        """Keeps the logs of nodes if a folder for them was named."""
        kept = os.environ.get("REVIEW_LOGS")
        if kept:
            shutil.copytree(self.directory, kept, dirs_exist_ok=True)

    def add(self, name, service, zone="z1"):
        """Adds a machine; its node and server are not started yet."""
        ip = f"{self.network}.{len(self.machines) + 1}"
        self.machines[name] = Machine(self, name, ip, service, zone)
        return self.machines[name]

    def new_id(self):
        """An attempt identifier that was not used before."""
        return f"{self._prefix}{next(self._ids):08x}"

    def write_document(self, version, rules, **fields):
        """Writes the desired state."""
        services = {r["action"].get("service") for r in rules} - {None}
        services |= {
            p["service"] for r in rules for p in r["action"].get("split", ())
        }
        document = {
            "version": version,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeout": "3000ms",
                "idleTimeout": "15000ms",
            },
            "listeners": [{"host": "shop.example", "rules": rules}],
            "clusters": [
                {
                    "name": name,
                    "healthPath": "/health",
                    "maxConnections": 500,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in sorted(services)
            ],
            **fields,
        }
        self.store.put("config", "main", document)
        self.record("document", version=version)
        return document

    async def start(self, settle_s=3.0):
        """Starts all nodes and servers, and waits until all are ready."""
        for machine in self.machines.values():
            machine.start_node()
        for machine in self.machines.values():
            machine.server = machine.server or Server(machine)
            await machine.server.start()
        await self.wait_ready(*self.machines.values())
        await asyncio.sleep(settle_s)

    async def wait_ready(self, *machines, timeout_s=20.0):
        """Waits until nodes are ready; ends the script with 2 otherwise."""
        ends = time.monotonic() + timeout_s
        for machine in machines:
            while not await machine.is_ready():
                if time.monotonic() > ends:
                    self.record("not-ready", node=machine.name)
                    raise CannotRun(machine.name)
                await asyncio.sleep(0.05)

    async def send(
        self, machine, path, method="GET", body=b"", limit_ms=5000, **headers
    ):
        """Sends one request of a client and waits for its answer.

        Returns:
            The status (None without an answer) and the answer.
        """
        attempt = self.new_id()
        head = f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
        head += f"{ID}: {attempt}\r\nX-Medlardoor-Deadline-Ms: {limit_ms}\r\n"
        head += "".join(
            f"{k.replace('_', '-')}: {v}\r\n" for k, v in headers.items()
        )
        self.record("send", attempt=attempt, node=machine.name, path=path)
        answer = None
        try:
            async with asyncio.timeout(limit_ms / 1000 + 1.0):
                answer = await exchange(
                    machine.ip, machine.port("outbound"), head.encode(), body
                )
        except (OSError, TimeoutError, EOFError) as error:
            self.record("broken", attempt=attempt, error=repr(error))
        status = answer.status if answer else None
        self.record("answer", attempt=attempt, status=status)
        return attempt, status, answer


class OrderClients:
    """Clients that place orders on kept connections of one machine.

    Args:
        world: The deployment.
        machine: Machine of the clients.
        path: Path of the orders.
    """

    def __init__(self, world, machine, path):
        self._world = world
        self._machine = machine
        self._path = path
        self._tasks = []
        self.answered = 0
        # Orders on connections that had served others, without an answer.
        self.cut = []

    def start(self, count):
        """Starts clients, each with one order at a time."""
        self._tasks += [asyncio.create_task(self._run()) for _ in range(count)]

    async def stop(self):
        """Ends all clients; orders in progress don't count."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self):
        while True:
            with contextlib.suppress(OSError):
                await self._use_connection()
            await asyncio.sleep(0.2)

    async def _use_connection(self):
        reader, writer = await asyncio.open_connection(
            self._machine.ip, self._machine.port("outbound")
        )
        served = 0
        try:
            while True:
                attempt = self._world.new_id()
                writer.write(
                    f"POST {self._path} HTTP/1.1\r\nHost: shop.example\r\n"
                    f"{ID}: {attempt}\r\nX-Medlardoor-Deadline-Ms: 5000\r\n"
                    "Content-Length: 4\r\n\r\nitem".encode()
                )
                try:
                    answer = await read_message(reader)
                except (OSError, EOFError):
                    answer = None
                if answer is None:
                    self._world.record("closed-without-answer", attempt=attempt)
                    if served:
                        self.cut.append(attempt)
                    return
                served += 1
                self.answered += answer.status == 200
                if answer.header("connection") == "close":
                    return
        finally:
            writer.close()

    def lost(self, machines):
        """Orders that a server began to run and that got no answer."""
        ran = {
            request.header(ID)
            for machine in machines
            for _, request in machine.server.runs
        }
        return [attempt for attempt in self.cut if attempt in ran]


class CannotRun(Exception):  # noqa: N818
    """The case could not be run."""


def rule(name, prefix, service, kind="safe", timeout="5000ms", **fields):
    """A rule of the desired state."""
    action = {"service": service, "timeout": timeout, "maxAttempts": 2}
    if isinstance(service, list):
        action = {"split": service, "timeout": timeout, "maxAttempts": 2}
    return {
        "name": name,
        "kind": kind,
        "targetLatency": "1200ms",
        "priority": 0,
        "match": {"pathPrefix": prefix},
        "action": action,
        **fields,
    }


def free_ports(host):
    """First of twelve ports that are free on an address."""
    while True:
        first = random.randrange(20000, 30000, 20)
        try:
            for offset in range(12):
                with socket.socket() as tested:
                    tested.bind((host, first + offset))
            return first
        except OSError:
            continue


def main(case, folder):
    """Runs a case; the exit status is 1 if it says that a rule was broken."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # A script that is ended still ends its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(asyncio.wait_for(case(trouble), 115))
    except Exception:  # noqa: BLE001
        # Any error of the script itself says nothing of the rule.
        traceback.print_exc()
        sys.exit(2)
    sys.stdout.write(f"broken: {broken}\n" if broken else "held\n")
    sys.exit(1 if broken else 0)
