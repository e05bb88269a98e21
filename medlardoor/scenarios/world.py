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
from medlardoor.standins import relay as relay_module

__all__ = ["Observation", "Process", "World", "missing"]

POLL_S = 0.05
STATUS_INTERVAL_S = 0.25
HTTP_TIMEOUT_S = 5.0
START_TIMEOUT_S = 20.0
HOST = "127.0.0.1"

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
        path: Path of its output, without a suffix.
        arguments: Arguments of the Python interpreter.
    """

    def __init__(self, path: pathlib.Path, arguments: list[str]):
        self._arguments = arguments
        self._output = path.with_suffix(".out")
        self._log = path.with_suffix(".log")
        self.start()

    @property
    def exit_status(self) -> int | None:
        """Exit status; None while the process runs."""
        return self._popen.poll()

    def start(self) -> None:
        """Starts the program, again if it has ended."""
        with self._output.open("wb") as output, self._log.open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *self._arguments],
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
        self._popen.wait()

    def listening(self) -> Row | None:
        """The event with its ports; None until it is printed."""
        first, end, _ = self._output.read_text().partition("\n")
        return json.loads(first) if end else None


class World:
    """State of one running scenario.

    Args:
        directory: Folder of settings, output and records.
        seed: Seed of all programs.
        tasks: Task group of relays and polls.
    """

    def __init__(
        self, directory: pathlib.Path, seed: int, tasks: anyio.abc.TaskGroup
    ):
        self.directory = directory
        self.seed = seed
        self.processes: dict[str, Process] = {}
        self.events: dict[str, Row] = {}
        self.status: dict[str, Row] = {}
        self.relays: dict[str, relay_module.Relay] = {}
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
        """Starts a program and waits for its listeners."""
        if settings is not None:
            path = self.write_settings(name, settings)
            arguments = [*arguments, "--settings", str(path)]
        self.processes[name] = Process(self.directory / name, arguments)
        return await self._wait_listening(name) if listens else {}

    def write_settings(self, name: str, settings: Row) -> pathlib.Path:
        """Writes the settings file that a program reads when it starts."""
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        return path

    async def restart(self, name: str) -> None:
        """Starts a program that has ended, with its last settings."""
        self.processes[name].start()
        await self._wait_listening(name)
        if name.startswith("upstream-"):
            await self.restore_upstream(name.removeprefix("upstream-"))

    async def restore_upstream(self, instance: str) -> None:
        """Sets what a started upstream does not know: egress and faults."""
        name = f"upstream-{instance}"
        port = self.events[name]["port"]
        egress = self.events[f"node-{instance}"]["egress_port"]
        await self.send(port, "POST", "/standin/egress", f"{HOST}:{egress}")
        if name in self.faults:
            faults = self.faults[name]
            await self.send(port, "POST", "/standin/faults", faults)

    async def _wait_listening(self, name: str) -> Row:
        with anyio.fail_after(START_TIMEOUT_S):
            # The program writes the event to a file, which cannot be awaited.
            while not (event := self.processes[name].listening()):  # noqa: ASYNC110
                await anyio.sleep(POLL_S)
        self.events[name] = event
        return event

    async def start_relay(self, name: str, port: int) -> int:
        """Starts a relay to a port; returns the port to use instead."""
        relay = relay_module.Relay(port)
        self.relays[name] = relay
        listener = await anyio.create_tcp_listener(local_host=HOST)
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
        text = body if isinstance(body, str) else json.dumps(body)
        with anyio.move_on_after(HTTP_TIMEOUT_S):
            try:
                return await self._pool.request(
                    method,
                    f"http://{HOST}:{port}{target}",
                    headers={"Host": f"{HOST}:{port}", **(headers or {})},
                    content=text.encode(),
                )
            except (httpcore.NetworkError, httpcore.ProtocolError):
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
            status = json.loads(answer.content)
            self.status[name] = status
            sample = evidence_module.VersionSample(
                name, time.monotonic(), status["version"]
            )
            self.versions.append(sample)

    async def respawn(self) -> None:
        """Restarts upstreams that end by themselves until cancelled."""
        while True:
            for name in self.respawned:
                status = self.processes[name].exit_status
                if status not in (None, 0, -signal.SIGKILL):
                    await self.restart(name)
            await anyio.sleep(POLL_S)

    def evidence(self) -> evidence_module.Evidence:
        """Everything that was recorded so far."""
        evidence = evidence_module.read_all(self.directory)
        evidence.versions = self.versions
        evidence.promotions = self.promotions
        evidence.marks = self.marks
        return evidence

    def kill_all(self) -> None:
        """Ends all processes that this scenario started."""
        for process in self.processes.values():
            process.kill()
