"""Real nodes on loopback: spread time, memory, processor time and traffic.

Starts the platform stand-in, one upstream stand-in and N nodes of one service
that stand beside it. Run with
``python -m medlardoor.bench.fleet 3 30 150``.
"""

import dataclasses
import json
import os
import pathlib
import sys
import tempfile
import time

import anyio

from medlardoor import config
from medlardoor.standins import connections, processes

__all__ = ["FleetFigures", "measure"]

DOCUMENT = (
    pathlib.Path(config.__file__).parent / "examples/derwent/document.jsonc"
)
SERVICE = "inventory"
DOMAINS = ("a", "b", "c")
READY_TIMEOUT_S = 90.0
SPREAD_TIMEOUT_S = 60.0
IDLE_S = 15.0
START_BATCH = 10
POLL_S = 0.05
POLL_BATCH = 32
HTTP_TIMEOUT_S = 10.0
MEBIBYTE = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class FleetFigures:
    """Figures of one fleet size.

    Attributes:
        nodes: Number of nodes.
        ready_s: Time from the last start until all nodes serve.
        spread_s: Time from the answer of a promotion until all nodes have
            the version in force, as polled.
        resident_mib: Resident memory of a node, mean.
        processor_percent: Processor time of an idle node, mean, in percent
            of a core.
        sent_bytes_s: Gossip bytes that a node sends in a second, mean.
        platform_calls_s: Calls of the platform in a second, all nodes.
    """

    nodes: int
    ready_s: float
    spread_s: float
    resident_mib: float
    processor_percent: float
    sent_bytes_s: float
    platform_calls_s: float


class _Fleet:
    """Started processes of one measurement."""

    def __init__(self, group: processes.ProcessGroup, count: int):
        self._group = group
        self._pool = connections.ConnectionPool()
        platform = group.start(
            "platform",
            ["-m", "medlardoor.cli.standins", "platform", "--port", "0"],
        ).wait_listening()
        self.store = f"127.0.0.1:{platform['port']}"
        upstream = group.start_with_settings(
            "upstream",
            ["-m", "medlardoor.cli.standins", "upstream"],
            {"service": SERVICE, "slots": 40, "mean_ms": 5},
        ).wait_listening()
        self._upstream_port = upstream["port"]
        self.nodes = []
        self.admin = []
        for start in range(0, count, START_BATCH):
            batch = range(start, min(start + START_BATCH, count))
            started = [self._start(number) for number in batch]
            for node in started:
                event = node.wait_listening(READY_TIMEOUT_S)
                self.nodes.append(node)
                self.admin.append(f"127.0.0.1:{event['admin_port']}")

    def _start(self, number: int) -> processes.ManagedProcess:
        return self._group.start_with_settings(
            f"node-{number}",
            ["-m", "medlardoor.cli.node"],
            {
                "environment": "derwent",
                "service": SERVICE,
                "instance": f"{SERVICE}-{number:03}",
                "failure_domain": DOMAINS[number % len(DOMAINS)],
                "cluster_key": "measurement-only-not-a-secret",
                "seed": number,
                "upstream": {
                    "port": self._upstream_port,
                    # All nodes poll the same stand-in here.
                    "report_interval_s": 1.0,
                },
                "store": {"url": f"http://{self.store}"},
                "forward_s": 0.0,
                "drain_timeout_s": 1.0,
            },
        )

    async def get(self, address: str, path: str) -> dict:
        """Answer of a GET request as JSON."""
        exchange = await self._pool.exchange(
            address,
            connections.Message("GET", path, {}, b""),
            HTTP_TIMEOUT_S,
        )
        return json.loads(exchange.unwrap().body)

    async def statuses(self) -> list[dict]:
        """Status of all nodes."""
        found: list[dict] = [{}] * len(self.admin)

        async def ask(number: int) -> None:
            found[number] = await self.get(self.admin[number], "/v1/status")

        for start in range(0, len(self.admin), POLL_BATCH):
            async with anyio.create_task_group() as tasks:
                stop = min(start + POLL_BATCH, len(self.admin))
                for number in range(start, stop):
                    tasks.start_soon(ask, number)
        return found

    async def promote(self, expected_version: int) -> int:
        """Promotes the document through the first node; the new version."""
        body = json.dumps(
            {
                "text": DOCUMENT.read_text() + f"\n// {expected_version}\n",
                "expected_version": expected_version,
                "trial": False,
                "note": "",
            }
        ).encode()
        exchange = await self._pool.exchange(
            self.admin[0],
            connections.Message("POST", "/v1/promote", {}, body),
            HTTP_TIMEOUT_S,
        )
        return json.loads(exchange.unwrap().body)["version"]

    async def wait_version(self, version: int) -> float:
        """Waits until all nodes have a version; the time it took."""
        began = time.monotonic()
        while time.monotonic() - began < SPREAD_TIMEOUT_S:
            found = await self.statuses()
            if all(status["version"] >= version for status in found):
                return time.monotonic() - began
            await anyio.sleep(POLL_S)
        raise TimeoutError(f"Version {version} did not spread.")

    def processor_s(self) -> float:
        """Processor time of all nodes so far, in seconds."""
        return sum(_processor_s(node.process_id) for node in self.nodes)

    def resident_mib(self) -> float:
        """Resident memory of a node, mean."""
        sizes = [_resident_bytes(node.process_id) for node in self.nodes]
        return sum(sizes) / len(sizes) / MEBIBYTE


def _processor_s(process_id: int) -> float:
    fields = pathlib.Path(f"/proc/{process_id}/stat").read_text()
    values = fields.rpartition(")")[2].split()
    return (int(values[11]) + int(values[12])) / os.sysconf("SC_CLK_TCK")


def _resident_bytes(process_id: int) -> int:
    pages = pathlib.Path(f"/proc/{process_id}/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")


async def _platform_calls(fleet: _Fleet) -> int:
    counters = await fleet.get(fleet.store, "/standin/counters")
    return sum(value for value in counters.values() if isinstance(value, int))


async def _measure(fleet: _Fleet) -> FleetFigures:
    first = await fleet.promote(0)
    ready_s = await fleet.wait_version(first)
    # Newcomers still exchange whole lists for some rounds.
    await anyio.sleep(IDLE_S)
    spreads = []
    version = first
    for _ in range(3):
        version = await fleet.promote(version)
        spreads.append(await fleet.wait_version(version))
    before = await fleet.statuses()
    calls = await _platform_calls(fleet)
    spent = fleet.processor_s()
    began = time.monotonic()
    await anyio.sleep(IDLE_S)
    elapsed = time.monotonic() - began
    spent = fleet.processor_s() - spent
    calls = await _platform_calls(fleet) - calls
    after = await fleet.statuses()
    sent = sum(
        new["traffic"]["sent_bytes"] - old["traffic"]["sent_bytes"]
        for old, new in zip(before, after, strict=True)
    )
    count = len(fleet.nodes)
    return FleetFigures(
        nodes=count,
        ready_s=round(ready_s, 2),
        spread_s=round(max(spreads), 2),
        resident_mib=round(fleet.resident_mib(), 1),
        processor_percent=round(100 * spent / elapsed / count, 2),
        sent_bytes_s=round(sent / elapsed / count),
        platform_calls_s=round(calls / elapsed, 2),
    )


def measure(count: int) -> FleetFigures:
    """Starts a fleet, measures it and stops it.

    Args:
        count: Number of nodes.
    """
    with (
        tempfile.TemporaryDirectory(prefix="medlardoor-fleet-") as name,
        processes.ProcessGroup(pathlib.Path(name), 20.0) as group,
    ):
        return anyio.run(_measure, _Fleet(group, count))


def main(arguments: list[str]) -> int:
    """Prints one JSON line for each fleet size.

    Args:
        arguments: Sizes.
    """
    for text in arguments or ["3", "30"]:
        line = json.dumps(dataclasses.asdict(measure(int(text))))
        sys.stdout.write(line + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
