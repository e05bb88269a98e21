"""Processes, relays and polls of one running scenario."""

import dataclasses
import json
import pathlib
import signal
import subprocess
import sys
import time
import typing

import anyio
import anyio.abc
import httpcore
import result

from medlardoor import errors
from medlardoor.scenarios import evidence as evidence_module

__all__ = ["Observation", "Process", "Relay", "World", "missing"]

POLL_S = 0.05
STATUS_INTERVAL_S = 0.25
HTTP_TIMEOUT_S = 5.0
START_TIMEOUT_S = 20.0
CHUNK_BYTES = 65_536

Row = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Observation(errors.Failure):
    """What kept a step from doing what it says."""

    detail: str

    @property
    def message(self) -> str:
        """One sentence for a log line or an operator."""
        return self.detail


def missing(what: str) -> result.Err[Observation]:
    """The result of a step that did not find something."""
    return result.Err(Observation(f"no {what}"))


class Process:
    """One program in a process of its own, signalled by process id.

    Args:
        name: Name in the scenario, such as ``node-order-1``.
        arguments: Arguments of the Python interpreter.
        directory: Directory of its output.
    """

    def __init__(
        self, name: str, arguments: list[str], directory: pathlib.Path
    ):
        self.name = name
        self._arguments = arguments
        self._output = directory / f"{name}.out"
        self._log = directory / f"{name}.log"
        self._popen: subprocess.Popen | None = None

    @property
    def exit_status(self) -> int | None:
        """Exit status; None while the process runs."""
        return self._popen.poll() if self._popen else 0

    def start(self) -> None:
        """Starts the program, again if it has ended."""
        with self._output.open("wb") as output, self._log.open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, *self._arguments],
                stdout=output,
                stderr=log,
                start_new_session=True,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to a process that runs."""
        if self.exit_status is None:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Ends the process at once and waits for its end."""
        self.signal(signal.SIGKILL)
        if self._popen:
            self._popen.wait()

    def listening(self) -> Row | None:
        """The event with its ports; None until it is printed."""
        first, end, _ = self._output.read_text().partition("\n")
        return json.loads(first) if end else None


class Relay:
    """Relays TCP connections to one target until it is cut.

    Args:
        port: Port of the target on the loopback address.
    """

    def __init__(self, port: int):
        self._target = port
        self._cut = False
        self._scopes: set[anyio.CancelScope] = set()

    def set_cut(self, cut: bool) -> None:
        """Breaks all connections and refuses new ones, or heals."""
        self._cut = cut
        for scope in list(self._scopes) if cut else []:
            scope.cancel()

    async def handle(self, near: anyio.abc.SocketStream) -> None:
        """Relays one connection."""
        async with near:
            if self._cut:
                return
            try:
                far = await anyio.connect_tcp("127.0.0.1", self._target)
            except OSError:
                return
            async with far, anyio.create_task_group() as group:
                self._scopes.add(group.cancel_scope)
                group.start_soon(_copy, near, far, group.cancel_scope)
                group.start_soon(_copy, far, near, group.cancel_scope)
            self._scopes.discard(group.cancel_scope)


async def _copy(
    source: anyio.abc.SocketStream,
    target: anyio.abc.SocketStream,
    scope: anyio.CancelScope,
) -> None:
    try:
        while True:
            await target.send(await source.receive(CHUNK_BYTES))
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        scope.cancel()


class World:
    """State of one running scenario.

    Args:
        directory: Folder of settings, output and records.
        seed: Seed of all programs.
        tasks: Task group of relays and polls.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        seed: int,
        tasks: anyio.abc.TaskGroup,
    ):
        self.directory = directory
        self.seed = seed
        self.processes: dict[str, Process] = {}
        self.events: dict[str, Row] = {}
        self.status: dict[str, Row] = {}
        self.relays: dict[str, Relay] = {}
        self.respawned: set[str] = set()
        self.faults: dict[str, Row] = {}
        self.callers: dict[str, list[str]] = {}
        self.versions: list[evidence_module.VersionSample] = []
        self.promotions: list[evidence_module.Promotion] = []
        self.marks: dict[str, float] = {}
        self._tasks = tasks
        self._pool = httpcore.AsyncConnectionPool()

    async def start_program(
        self,
        name: str,
        arguments: list[str],
        settings: Row | None = None,
        listens: bool = True,
    ) -> Row:
        """Starts a program and waits for its listeners.

        Raises:
            TimeoutError: It did not report its listeners in time.
        """
        if settings is not None:
            path = self.write_settings(name, settings)
            arguments = [*arguments, "--settings", str(path)]
        process = Process(name, ["-m", *arguments], self.directory)
        self.processes[name] = process
        process.start()
        return await self.wait_listening(name) if listens else {}

    def write_settings(self, name: str, settings: Row) -> pathlib.Path:
        """Writes the settings file that a program reads when it starts."""
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        return path

    async def wait_listening(self, name: str) -> Row:
        """Waits for the event with the ports of a program.

        Raises:
            TimeoutError: It did not report its listeners in time.
        """
        process = self.processes[name]
        with anyio.fail_after(START_TIMEOUT_S):
            # The program writes the event to a file, which cannot be awaited.
            while (event := process.listening()) is None:  # noqa: ASYNC110
                await anyio.sleep(POLL_S)
        self.events[name] = event
        return event

    async def start_relay(self, name: str, port: int) -> int:
        """Starts a relay to a port; returns the port to use instead."""
        relay = Relay(port)
        self.relays[name] = relay
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self._tasks.start_soon(listener.serve, relay.handle)
        return listener.extra(anyio.abc.SocketAttribute.local_port)

    async def send(
        self,
        port: int,
        method: str,
        target: str,
        body: Row | str = "",
        headers: dict[str, str] | None = None,
    ) -> httpcore.Response | None:
        """Sends a request on the loopback address; None without an answer."""
        content = body if isinstance(body, str) else json.dumps(body)
        with anyio.move_on_after(HTTP_TIMEOUT_S):
            try:
                return await self._pool.request(
                    method,
                    f"http://127.0.0.1:{port}{target}",
                    headers={
                        "Content-Type": "application/json",
                        **(headers or {}),
                    },
                    content=content.encode(),
                )
            except (OSError, httpcore.NetworkError, httpcore.ProtocolError):
                return None
        return None

    def live_nodes(self) -> list[str]:
        """Nodes whose process runs."""
        return [
            name
            for name, process in self.processes.items()
            if name.startswith("node-") and process.exit_status is None
        ]

    async def poll(self) -> None:
        """Polls the status of all nodes until it is cancelled."""
        while True:
            async with anyio.create_task_group() as group:
                for name in self.live_nodes():
                    if name in self.events:
                        group.start_soon(self._poll_node, name)
                await anyio.sleep(STATUS_INTERVAL_S)

    async def _poll_node(self, name: str) -> None:
        port = self.events[name]["admin_port"]
        with anyio.move_on_after(STATUS_INTERVAL_S):
            answer = await self.send(port, "GET", "/v1/status")
            if answer is None or answer.status != 200:
                return
            now = time.monotonic()
            value = json.loads(answer.content)
            self.status[name] = value
            self.versions.append(
                evidence_module.VersionSample(name, now, value["version"])
            )

    async def respawn(self) -> None:
        """Restarts upstreams that end by themselves until cancelled."""
        while True:
            for name in self.respawned:
                process = self.processes[name]
                if process.exit_status not in (None, 0, -signal.SIGKILL):
                    process.start()
                    await self.wait_listening(name)
                    await self.restore_upstream(name.partition("-")[2])
            await anyio.sleep(POLL_S)

    async def restore_upstream(self, instance: str) -> None:
        """Sets what a started upstream does not know: egress and faults."""
        egress = self.events[f"node-{instance}"]["egress_port"]
        port = self.events[f"upstream-{instance}"]["port"]
        address = f"127.0.0.1:{egress}"
        await self.send(port, "POST", "/standin/egress", address)
        if instance in self.faults:
            faults = self.faults[instance]
            await self.send(port, "POST", "/standin/faults", faults)

    def evidence(self) -> evidence_module.Evidence:
        """Everything that was recorded so far."""
        evidence = evidence_module.Evidence(
            versions=self.versions,
            promotions=self.promotions,
            marks=self.marks,
        )
        for path in sorted(self.directory.glob("upstream-*.jsonl")):
            evidence.runs += evidence_module.read_runs(path)
        for path in sorted(self.directory.glob("load-*.jsonl")):
            attempts, requests = evidence_module.read_load(path)
            evidence.attempts += attempts
            evidence.requests += requests
        return evidence

    def kill_all(self) -> None:
        """Ends all processes that this scenario started."""
        for process in self.processes.values():
            process.kill()
