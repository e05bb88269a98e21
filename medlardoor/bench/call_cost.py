"""Command ``python -m medlardoor.bench.call_cost``: cost of a call in a node.

Real processes on loopback. The same request goes directly to an upstream,
through the node beside it, and through two nodes, interleaved in one run.
"""

import dataclasses
import functools
import json
import pathlib
import random
import sys
import tempfile
import time

import anyio
from cleo import application as cleo_application
from cleo import helpers
from cleo.commands import command as cleo_command
from hdrh import histogram

from medlardoor.bench import call_cost_processes as world_module
from medlardoor.standins import connections

__all__ = ["CallCostCommand", "Figures", "measure", "main"]

# 580,000 calls a second at 9,400 nodes.
RATE_PER_S = 62
# Refused requests at which the event loop of a node once lagged by a second.
SURGE_PER_S = 1_500
CONCURRENCIES = (1, 4, 16)
REFUSED_CONCURRENCIES = (1, 16)
WARM_UP_CALLS = 300
TIMEOUT_S = 10.0
SETTLE_S = 0.5
# The least limit of a node is 2 calls whatever its upstream reports; the
# third fills the queue and the fourth is refused.
HOLDERS = 4
SEED = 1

# Section 1 of the design.
ADDED_TARGET_MS = 0.34
IDLE_PROCESSOR_TARGET = 0.025
IDLE_MEMORY_TARGET_MB = 64.0

UNITS_PER_MS = 1_000
MAX_LATENCY_UNITS = int(TIMEOUT_S * 1_000 * UNITS_PER_MS)


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One way for the same request.

    Attributes:
        name: Name in the report.
        address: Where the request is sent.
        message: The request.
        status: Status code of the expected answer.
        process_ids: Node processes on the way.
    """

    name: str
    address: world_module.Address
    message: connections.Message
    status: int
    process_ids: tuple[int, ...]


@dataclasses.dataclass(slots=True)
class Figures:
    """Figures of one route in one measurement.

    Attributes:
        route: Name of the route.
        load: Rate or concurrency.
        calls: Calls with the expected answer.
        failed: Calls with any other end.
        per_s: Expected answers a second.
        p50_ms: Median latency.
        p99_ms: Latency that 99 in 100 calls stay under.
        node_ms: Processor time of all nodes on the way for a call. In an
            interleaved run it is not known for one route alone and 0.
        node_busy: Share of one core that the nodes used.
    """

    route: str
    load: str
    calls: int
    failed: int
    per_s: float
    p50_ms: float
    p99_ms: float
    node_ms: float
    node_busy: float


class _Client:
    """Sends requests of one route and keeps their latencies."""

    def __init__(self, pool: connections.ConnectionPool, route: Route):
        self._pool = pool
        self.route = route
        self.failed = 0
        self.latency = histogram.HdrHistogram(1, MAX_LATENCY_UNITS, 3)

    async def call(self) -> None:
        """Sends one request and waits for its answer."""
        # The clock of uvloop counts whole milliseconds.
        began = time.perf_counter()
        sent = await self._pool.exchange(
            self.route.address, self.route.message, TIMEOUT_S
        )
        took_ms = (time.perf_counter() - began) * 1_000
        if sent.is_err() or sent.ok().status != self.route.status:
            self.failed += 1
            return
        self.latency.record_value(max(1, round(took_ms * UNITS_PER_MS)))

    async def call_until(self, end: float) -> None:
        """Sends one request after the other until a point in time."""
        while time.perf_counter() < end:
            await self.call()

    async def send_open_loop(self, rate: float, duration_s: float) -> None:
        """Sends requests as a Poisson process of a given rate."""
        chance = random.Random(f"{SEED}/{self.route.name}")
        at = began = time.perf_counter()
        async with anyio.create_task_group() as tasks:
            while at < began + duration_s:
                at += chance.expovariate(rate)
                await anyio.sleep(max(0.0, at - time.perf_counter()))
                tasks.start_soon(self.call)

    def figures(self, load: str, took_s: float, processor_s: float) -> Figures:
        """Sums up the calls so far."""
        calls = self.latency.get_total_count()
        return Figures(
            self.route.name,
            load,
            calls,
            self.failed,
            calls / took_s,
            self.latency.get_value_at_percentile(50) / UNITS_PER_MS,
            self.latency.get_value_at_percentile(99) / UNITS_PER_MS,
            processor_s * 1_000 / max(1, calls),
            processor_s / took_s,
        )


def _processor_s(process_ids: tuple[int, ...]) -> float:
    usages = [world_module.read_usage(each) for each in process_ids]
    return sum(usage.processor_s for usage in usages)


async def _measure_interleaved(
    pool: connections.ConnectionPool, routes: list[Route], duration_s: float
) -> list[Figures]:
    clients = [_Client(pool, route) for route in routes]
    async with anyio.create_task_group() as tasks:
        for client in clients:
            tasks.start_soon(client.send_open_loop, RATE_PER_S, duration_s)
    return [
        client.figures(f"{RATE_PER_S}/s", duration_s, 0.0) for client in clients
    ]


async def _measure_open_loop(
    pool: connections.ConnectionPool,
    route: Route,
    duration_s: float,
    rate: float = RATE_PER_S,
) -> Figures:
    client = _Client(pool, route)
    processor_s = _processor_s(route.process_ids)
    began = time.perf_counter()
    await client.send_open_loop(rate, duration_s)
    took_s = time.perf_counter() - began
    processor_s = _processor_s(route.process_ids) - processor_s
    return client.figures(f"{rate}/s alone", took_s, processor_s)


async def _measure_closed_loop(
    pool: connections.ConnectionPool,
    route: Route,
    concurrency: int,
    duration_s: float,
) -> Figures:
    client = _Client(pool, route)
    processor_s = _processor_s(route.process_ids)
    began = time.perf_counter()
    async with anyio.create_task_group() as tasks:
        for _ in range(concurrency):
            tasks.start_soon(client.call_until, began + duration_s)
    took_s = time.perf_counter() - began
    processor_s = _processor_s(route.process_ids) - processor_s
    return client.figures(f"{concurrency} at once", took_s, processor_s)


async def _measure_idle(process_id: int, duration_s: float) -> dict:
    before = world_module.read_usage(process_id)
    await anyio.sleep(duration_s)
    after = world_module.read_usage(process_id)
    used_s = after.processor_s - before.processor_s
    return {
        "processor_share": used_s / duration_s,
        "resident_mb": after.resident_mb,
    }


def _routes(world: world_module.World) -> list[Route]:
    path = world_module.ITEM_PATH
    plain = connections.Message("GET", path, {})
    named = connections.Message("GET", path, {"Host": world_module.BACK})
    both = (world.egress_id, world.node_id)
    routes = [
        Route("direct", world.upstream, plain, 200, ()),
        Route("one node", world.caller, plain, 200, (world.node_id,)),
        Route("two nodes", world.egress, named, 200, both),
    ]
    if world.earlier:
        ids = (world.earlier_id,)
        routes.append(Route("earlier", world.earlier, plain, 200, ids))
    return routes


async def _measure_refused(
    pool: connections.ConnectionPool,
    world: world_module.World,
    duration_s: float,
) -> list[Figures]:
    """Measures refusals while one call runs and another one waits."""
    message = connections.Message("GET", world_module.FULL_PATH, {})
    route = Route("refused", world.full, message, 503, (world.full_id,))
    hold = connections.Message("GET", world_module.HOLD_PATH, {})
    rows = []
    async with anyio.create_task_group() as tasks:
        for _ in range(HOLDERS):
            tasks.start_soon(
                pool.exchange, world.full, hold, world_module.HOLD_MS / 1_000
            )
        await anyio.sleep(SETTLE_S)
        for rate in (RATE_PER_S, SURGE_PER_S):
            row = await _measure_open_loop(pool, route, duration_s, rate)
            rows.append(row)
        for concurrency in REFUSED_CONCURRENCIES:
            row = await _measure_closed_loop(
                pool, route, concurrency, duration_s
            )
            rows.append(row)
        tasks.cancel_scope.cancel()
    return rows


async def measure(
    directory: pathlib.Path,
    duration_s: float,
    idle_s: float,
    earlier: str = "",
) -> dict:
    """Starts the processes and takes all measurements.

    Args:
        directory: Directory of settings and logs.
        duration_s: Length of each measurement under load, in seconds.
        idle_s: Length of the measurement of an idle node, in seconds.
        earlier: Checkout of an earlier version to measure in the same run.

    Raises:
        processes.StartError: A process did not start.
    """
    pool = connections.ConnectionPool()
    async with world_module.start_world(directory, earlier) as world:
        routes = _routes(world)
        for route in routes:
            await world_module.wait_answer(pool, route.address, route.message)
        idle = await _measure_idle(world.node_id, idle_s)
        for route in routes:
            client = _Client(pool, route)
            for _ in range(WARM_UP_CALLS):
                await client.call()
        rows = await _measure_interleaved(pool, routes, 2 * duration_s)
        for route in routes[1:]:
            rows.append(await _measure_open_loop(pool, route, duration_s))
        for concurrency in CONCURRENCIES:
            for route in routes[1:]:
                row = await _measure_closed_loop(
                    pool, route, concurrency, duration_s
                )
                rows.append(row)
        rows += await _measure_refused(pool, world, duration_s)
        idle["loaded_resident_mb"] = world_module.read_usage(
            world.node_id
        ).resident_mb
        await pool.aclose()
    return {"idle": idle, "rows": [dataclasses.asdict(row) for row in rows]}


class CallCostCommand(cleo_command.Command):
    """Measures what a node adds to a call."""

    name = "call-cost"
    description = "Measures what a node adds to a call."
    options = [
        helpers.option("json", None, "File for the figures.", flag=False),
        helpers.option(
            "seconds", None, "Length of a part.", flag=False, default="10"
        ),
        helpers.option(
            "idle-seconds", None, "Length idle.", flag=False, default="20"
        ),
        helpers.option(
            "earlier",
            None,
            "Checkout whose node is measured in the same run.",
            flag=False,
            default="",
        ),
    ]

    def handle(self) -> int:
        """Runs the command."""
        with tempfile.TemporaryDirectory() as directory:
            report = anyio.run(
                functools.partial(
                    measure,
                    pathlib.Path(directory),
                    float(self.option("seconds")),
                    float(self.option("idle-seconds")),
                    self.option("earlier"),
                ),
                backend_options={"use_uvloop": True},
            )
        for row in report["rows"]:
            self.line(_line(Figures(**row)))
        self._judge(report)
        if self.option("json"):
            text = json.dumps(report, indent=1) + "\n"
            pathlib.Path(self.option("json")).write_text(text)
        return 0

    def _judge(self, report: dict) -> None:
        direct, one, two = report["rows"][:3]
        for row, hops in ((one, "one node"), (two, "two nodes")):
            self.line(
                f"added by {hops}: "
                f"p50 {row['p50_ms'] - direct['p50_ms']:.3f} ms, "
                f"p99 {row['p99_ms'] - direct['p99_ms']:.3f} ms"
            )
        idle = report["idle"]
        added_ms = one["p99_ms"] - direct["p99_ms"]
        self._target("added p99, ms", added_ms, ADDED_TARGET_MS)
        self._target(
            "idle, share of a core",
            idle["processor_share"],
            IDLE_PROCESSOR_TARGET,
        )
        for name in ("resident_mb", "loaded_resident_mb"):
            self._target(name, idle[name], IDLE_MEMORY_TARGET_MB)

    def _target(self, name: str, value: float, target: float) -> None:
        mark = "met   " if value <= target else "MISSED"
        self.line(f"{mark} {name}: {value:.3f} (aim {target})")


def _line(row: Figures) -> str:
    return (
        f"{row.route:10} {row.load:12} {row.calls:6} calls"
        f" {row.failed:3} failed {row.per_s:7.1f}/s"
        f" p50 {row.p50_ms:7.3f} p99 {row.p99_ms:7.3f} ms"
        f" nodes {row.node_ms:.3f} ms/call {row.node_busy:.2f} cores"
    )


def main() -> None:
    """Runs the command with the arguments of the process."""
    application = cleo_application.Application("medlardoor-bench")
    application.add(CallCostCommand())
    # The module runs one command, so its name is not typed.
    sys.argv.insert(1, CallCostCommand.name)
    application.run()


if __name__ == "__main__":
    main()
