"""The processes, addresses and stand-ins of one soak run."""

import asyncio
import dataclasses
import pathlib
import random
import signal
import typing

import anyio
import anyio.abc

from medlardoor.mesh import server_connection
from medlardoor.platform import names
from medlardoor.soak import callers, documents, evidence, relay, upstreams
from medlardoor.standins import loopback, object_store, processes

__all__ = ["Member", "World", "wait_exit"]

NODES_EACH = 3
RATE = 12.0

# Two readiness checks without success take a node's callers away.
READY_INTERVAL_S = 1.0
READY_TIMEOUT_S = 1.0
MISSES = 2

# How long a node counts as disturbed after a fault has ended, in seconds.
CALM_AFTER_S = 3.0

# A process is killed so long after SIGTERM, and starts in this time. Seconds.
GRACE_S = 6.0
START_S = 20.0
POLL_S = 0.05

# A process that ends by SIGHUP within this time of its start, in seconds, is no
# finding: the interpreter may not have reached the line that ignores it, and an
# end within a second of a start does not count as one by itself.
STARTING_S = 1.0

_READY_REQUEST = b"GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"

_PORTS = {
    "upstream": 8301,
    "inbound": 8300,
    "ready": 8302,
    "outbound": 8304,
    "control": 8306,
    "link": 8310,
}


@dataclasses.dataclass(slots=True, eq=False)
class Member:
    """One instance: its node process, upstream, relays and caller.

    Attributes:
        name: Name of the instance.
        service: Service of its upstream.
        host: IP address of the instance.
        upstream: The upstream.
        link_relay: Way of other nodes to the node.
        store_relay: Way of the node to the store.
        caller: Sends requests to the node.
        process: The node process; None while it is down.
        started_at: When the process was started, in seconds.
        disturbed_until: When the node counts as calm again, in seconds.
        is_stopping: Whether a planned stop is in progress.
        frozen: The process that stands still; None if none does.
    """

    name: str
    service: str
    host: str
    upstream: upstreams.SoakUpstream
    link_relay: relay.Relay
    store_relay: relay.Relay
    caller: callers.Caller | None = None
    process: processes.ManagedProcess | None = None
    started_at: float = 0.0
    disturbed_until: float = 0.0
    is_stopping: bool = False
    frozen: processes.ManagedProcess | None = None

    def address(self, role: str) -> tuple[str, int]:
        """Address of one of the listeners of the instance."""
        return self.host, _PORTS[role]


async def wait_exit(
    process: processes.ManagedProcess, is_frozen: typing.Callable[[], bool]
) -> bool:
    """Waits until a process has ended, for the grace time at most.

    A process cannot end while it stands still, so only the time in which it
    can run counts.

    Args:
        process: A process that was told to end.
        is_frozen: Whether the process stands still.

    Returns:
        Whether the process has ended.
    """
    left = int(GRACE_S / POLL_S)
    while left and process.exit_status is None:
        left -= not is_frozen()
        await anyio.sleep(POLL_S)
    return process.exit_status is not None


class World:
    """All members and the store.

    Args:
        directory: Where settings and logs are written.
        ledger: What the run has seen.
        generator: Source of all random draws.
        is_calm: Whether nothing but planned work disturbs the run.
        build: Sources of the nodes; None for those of the soak.

    Attributes:
        unsafe_attempts: Number of upstreams to which the document lets an
            unsafe request go.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        ledger: evidence.Ledger,
        generator: random.Random,
        is_calm,
        build: pathlib.Path | None = None,
    ):
        self._directory = directory
        self._generator = generator
        self._is_calm = is_calm
        self._environment = {"PYTHONFAULTHANDLER": "1"}
        if build is not None:
            self._environment["PYTHONPATH"] = str(build)
            # The working directory would come first otherwise.
            self._environment["PYTHONSAFEPATH"] = "1"
        # Runs beside each other use other addresses of the loopback range.
        self._network = loopback.ReservedNetwork(generator)
        self._store_connections: set[server_connection.ServerConnection] = set()
        self._version = 0
        self._document: dict[str, typing.Any] = {}
        self.unsafe_attempts = documents.MAX_ATTEMPTS
        self.ledger = ledger
        self.store = object_store.StandinStore()
        self.members: list[Member] = []

    async def start(self, group: anyio.abc.TaskGroup) -> None:
        """Starts everything and waits until all nodes are ready."""
        loop = asyncio.get_running_loop()
        store_address = (f"{self._network.prefix}.250", 8309)
        await loop.create_server(
            lambda: server_connection.ServerConnection(
                self.store, self._store_connections
            ),
            *store_address,
        )
        self.write_document()
        for number in range(len(documents.SERVICES) * NODES_EACH):
            service = documents.SERVICES[number % len(documents.SERVICES)]
            host = f"{self._network.prefix}.{number + 1}"
            member = self._make(f"n{number}", service, host, store_address)
            self.members.append(member)
            await member.link_relay.listen(*member.address("link"))
            await member.store_relay.listen(host, 8309)
            self._write_settings(member)
            self.start_node(member)
            await member.upstream.start()
        for member in self.members:
            await self._wait_ready(member)
        await anyio.sleep(1.0)
        for member in self.members:
            group.start_soon(member.caller.run)
            group.start_soon(self._watch_ready, member)
            group.start_soon(self._watch_exit, member)

    def write_document(self, **changes: str) -> None:
        """Writes a new version of the document.

        Args:
            **changes: Services of kinds that are moved.
        """
        self._version += self._generator.randrange(1, 5)
        self._document = documents.make_document(
            self._version, changes, self.unsafe_attempts
        )
        self.write_document_again()
        for kind in documents.KINDS:
            self.ledger.confirmed(
                kind.name, changes.get(kind.name, kind.service)
            )

    def write_document_again(self) -> None:
        """Writes the last document again, as after a return of the store."""
        self.store.put(*names.CONFIG_KEY.split("/"), self._document)

    def start_node(self, member: Member) -> None:
        """Starts the node process of a member."""
        member.started_at = self.ledger.now_s
        member.process = processes.ManagedProcess(
            member.name,
            ["-m", "medlardoor.platform.main"],
            self._directory,
            {
                **self._environment,
                names.SETTINGS_VARIABLE: str(self._settings_path(member)),
            },
            logs_output=True,
        )

    def kill_node(self, member: Member) -> None:
        """Ends a node process without warning."""
        process, member.process = member.process, None
        if process is not None:
            process.send_signal(signal.SIGCONT)
            process.kill()

    async def stop_node(self, member: Member) -> None:
        """Stops a node as planned and starts it again."""
        process = member.process
        if process is None:
            return
        member.is_stopping = True
        process.begin_stop()
        if not await wait_exit(process, lambda: member.frozen is process):
            self.ledger.report(
                evidence.Promise.STOP, f"{member.name}: still there after grace"
            )
            # The fault handler writes all stacks to the log.
            process.send_signal(signal.SIGABRT)
            await anyio.sleep(POLL_S)
            process.kill()
        member.process = None
        self.start_node(member)
        member.is_stopping = False

    def close(self) -> None:
        """Ends all processes that the run has started."""
        # A task that watches for ends may still run once after its
        # cancellation, so it must not find the processes that end here.
        ending = []
        for member in self.members:
            process, member.process = member.process, None
            if process is not None:
                process.send_signal(signal.SIGCONT)
                process.begin_stop()
                ending.append(process)
        for process in ending:
            process.stop(2.0)
        for member in self.members:
            member.link_relay.close()
            member.store_relay.close()
            member.upstream.crash()
        self._network.close()

    def _make(
        self,
        name: str,
        service: str,
        host: str,
        store_address: tuple[str, int],
    ) -> Member:
        member = Member(
            name,
            service,
            host,
            upstreams.SoakUpstream(
                service,
                (host, _PORTS["upstream"]),
                (host, _PORTS["control"]),
                self.ledger,
                self._generator,
            ),
            relay.Relay((host, _PORTS["inbound"])),
            relay.Relay(store_address),
        )
        member.caller = callers.Caller(
            member.address("outbound"),
            documents.KINDS,
            documents.TEAMS,
            self.ledger,
            self._generator,
            RATE,
            lambda: self._is_calm(member),
        )
        return member

    def _settings_path(self, member: Member) -> pathlib.Path:
        return self._directory / f"{member.name}.conf"

    def _write_settings(self, member: Member) -> None:
        host = member.host
        lines = {
            "self.node": member.name,
            "self.ip": host,
            "self.zone": f"z{int(member.name[1:]) // len(documents.SERVICES)}",
            "self.service": member.service,
            "self.appAddr": f"{host}:{_PORTS['upstream']}",
            "self.linkAddr": f"{host}:{_PORTS['link']}",
            "network.internalPorts": "7620,7635",
            "platform.platform.address": f"{host}:8309",
            "terms.bounds.grace": f"{GRACE_S:.0f}s",
            "terms.bounds.budgetRatio": evidence.BUDGET_RATIO,
            "terms.bounds.budgetWindow": f"{evidence.BUDGET_WINDOW_S:.0f}s",
            "terms.bounds.budgetSlack": evidence.BUDGET_SLACK,
        }
        for role in ("inbound", "outbound", "ready", "control"):
            lines[f"network.listen.{role}"] = f"{host}:{_PORTS[role]}"
        text = "".join(f"{name}={value}\n" for name, value in lines.items())
        self._settings_path(member).write_text(text)

    async def _wait_ready(self, member: Member) -> None:
        for _ in range(int(START_S / POLL_S)):
            if await self._is_ready(member):
                return
            await anyio.sleep(POLL_S)
        self.ledger.report(evidence.Promise.EXIT, f"{member.name}: not ready")

    async def _is_ready(self, member: Member) -> bool:
        try:
            with anyio.fail_after(READY_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    *member.address("ready")
                )
                writer.write(_READY_REQUEST)
                answer = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return answer.startswith(b"HTTP/1.1 200")

    async def _watch_ready(self, member: Member) -> None:
        """Takes callers away from a node that is not ready."""
        misses = 0
        while True:
            await anyio.sleep(READY_INTERVAL_S)
            misses = 0 if await self._is_ready(member) else misses + 1
            member.caller.is_taken_out = misses >= MISSES

    async def _watch_exit(self, member: Member) -> None:
        """Reports a process that ends by itself."""
        while True:
            await anyio.sleep(0.2)
            process = member.process
            if process is None or member.is_stopping:
                continue
            status = process.exit_status
            if status is not None and member.process is process:
                age_s = self.ledger.now_s - member.started_at
                if status != -signal.SIGHUP or age_s > STARTING_S:
                    self.ledger.report(
                        evidence.Promise.EXIT, f"{member.name}: status {status}"
                    )
                self.start_node(member)
