"""Processes on loopback whose calls `call_cost` measures."""

import contextlib
import dataclasses
import json
import os
import pathlib
import typing

import anyio

from medlardoor.standins import connections, processes

__all__ = [
    "BACK",
    "FULL",
    "FULL_PATH",
    "HOLD_PATH",
    "ITEM_PATH",
    "Address",
    "Usage",
    "World",
    "read_usage",
    "start_world",
    "wait_answer",
]

BACK = "back"
FRONT = "front"
FULL = "full"
EARLIER = "earlier"
ITEM_PATH = "/items"
HOLD_PATH = "/hold"
FULL_PATH = "/low"
ENVIRONMENT = "call-cost"
CLUSTER_KEY = "bench-only-not-a-secret"
READY_TIMEOUT_S = 20.0
READY_INTERVAL_S = 0.05
EXCHANGE_TIMEOUT_S = 10.0
# Longer than the whole measurement of refusals, so that the slot stays taken.
HOLD_MS = 60_000
NODE = ["-m", "medlardoor.cli.node"]
# Runs the node of another checkout; its package hides the installed one.
EARLIER_NODE = (
    "import runpy, sys; sys.path.insert(0, {path!r}); "
    "runpy.run_module('medlardoor.cli.node', run_name='__main__')"
)

Address = str


@dataclasses.dataclass(frozen=True, slots=True)
class World:
    """What was started.

    Attributes:
        upstream: Address of the fast upstream.
        caller: Caller listener of the node beside it.
        egress: Egress listener of the node of another service.
        full: Caller listener of the node whose upstream is full.
        earlier: Caller listener of the node of an earlier version, or the
            empty string.
        node_id: Process id of the node beside the fast upstream.
        egress_id: Process id of the node of the other service.
        full_id: Process id of the node whose upstream is full.
        earlier_id: Process id of the node of an earlier version, or 0.
    """

    upstream: Address
    caller: Address
    egress: Address
    full: Address
    node_id: int
    egress_id: int
    full_id: int
    earlier: Address = ""
    earlier_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used so far.

    Attributes:
        processor_s: User and system time, in seconds.
        resident_mb: Resident memory, in units of 1,000,000 bytes.
    """

    processor_s: float
    resident_mb: float


def read_usage(process_id: int) -> Usage:
    """Reads ``/proc/PID/stat``; processor time is counted in 10 ms steps."""
    text = pathlib.Path(f"/proc/{process_id}/stat").read_text()
    # The name of the program may hold spaces; fields are counted after it.
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(fields[21])
    return Usage(
        ticks / os.sysconf("SC_CLK_TCK"),
        pages * os.sysconf("SC_PAGE_SIZE") / 1e6,
    )


async def wait_answer(
    pool: connections.ConnectionPool,
    address: Address,
    message: connections.Message,
) -> None:
    """Repeats a request until it is answered with status 200.

    Raises:
        TimeoutError: It was not within `READY_TIMEOUT_S`.
    """
    with anyio.fail_after(READY_TIMEOUT_S):
        while True:
            sent = await pool.exchange(address, message, EXCHANGE_TIMEOUT_S)
            if sent.is_ok() and sent.ok().status == 200:
                return
            await anyio.sleep(READY_INTERVAL_S)


@contextlib.asynccontextmanager
async def start_world(
    directory: pathlib.Path, earlier: str = ""
) -> typing.AsyncIterator[World]:
    """Starts platform, upstreams and nodes; ends them afterwards.

    Args:
        directory: Directory of settings and logs.
        earlier: Checkout of an earlier version; its node stands beside the
            same upstream as a service of its own.

    Raises:
        processes.StartError: A process did not start.
    """
    with processes.ProcessGroup(directory) as group:
        platform = group.start(
            "platform",
            ["-m", "medlardoor.cli.standins", "platform", "--port", "0"],
        )
        store = _address(platform.wait_listening(), "port")
        await _put_document(store)
        back = _start_upstream(group, BACK, 300, 0.0)
        front = _start_upstream(group, FRONT, 300, 0.0)
        full = _start_upstream(group, FULL, 1, HOLD_MS)
        back_node = _start_node(group, BACK, back, store)
        front_node = _start_node(group, FRONT, front, store)
        full_node = _start_node(group, FULL, full, store)
        more = {}
        if earlier:
            command = ["-c", EARLIER_NODE.format(path=earlier)]
            node = _start_node(group, EARLIER, back, store, command)
            more["earlier"] = _address(node.wait_listening(), "caller_port")
            more["earlier_id"] = node.process_id
        yield World(
            upstream=back,
            caller=_address(back_node.wait_listening(), "caller_port"),
            egress=_address(front_node.wait_listening(), "egress_port"),
            full=_address(full_node.wait_listening(), "caller_port"),
            node_id=back_node.process_id,
            egress_id=front_node.process_id,
            full_id=full_node.process_id,
            **more,
        )


def _start_upstream(group, service, slots, mean_ms) -> Address:
    process = group.start_with_settings(
        f"upstream-{service}",
        ["-m", "medlardoor.cli.standins", "upstream"],
        {
            "service": service,
            "slots": slots,
            "mean_ms": mean_ms,
            "sigma": 0,
            "child_timeout_ms": 2 * HOLD_MS,
            "drain_grace_s": 0,
        },
    )
    return _address(process.wait_listening(), "port")


def _start_node(group, service, upstream, store, command=NODE):
    host, port = upstream.split(":")
    return group.start_with_settings(
        f"node-{service}",
        command,
        {
            "environment": ENVIRONMENT,
            "service": service,
            "instance": f"{service}-1",
            "failure_domain": "a",
            "cluster_key": CLUSTER_KEY,
            "upstream": {"host": host, "port": int(port)},
            "store": {"url": f"http://{store}"},
            "drain_timeout_s": 1.0,
            "forward_s": 0.0,
        },
    )


def _address(event, field) -> Address:
    return f"{event.get('host', '127.0.0.1')}:{event[field]}"


async def _put_document(store: Address) -> None:
    value = {"enforced": json.dumps(_document()), "trial": None}
    pool = connections.ConnectionPool()
    message = connections.Message(
        "PUT",
        f"/v1/objects/documents/{ENVIRONMENT}",
        {"If-None-Match": "*"},
        json.dumps(value).encode(),
    )
    await wait_answer(pool, store, message)
    await pool.aclose()


def _document() -> dict[str, typing.Any]:
    return {
        "environment": ENVIRONMENT,
        "importance_classes": ["high", "low"],
        "services": {
            BACK: {"slots": 300, "max_queue": 600, "ramp_s": 0.1},
            EARLIER: {"slots": 300, "max_queue": 600, "ramp_s": 0.1},
            FRONT: {"slots": 300, "max_queue": 600, "ramp_s": 0.1},
            FULL: {"slots": 1, "max_queue": 1, "ramp_s": 0.1},
        },
        "teams": {
            "bench": {
                "contact": "bench@example",
                "kinds": {
                    "item": _kind("high", BACK, ITEM_PATH),
                    "old_item": _kind("high", EARLIER, ITEM_PATH),
                    "hold": _kind("high", FULL, HOLD_PATH),
                    "low": _kind("low", FULL, FULL_PATH),
                },
            }
        },
    }


def _kind(class_name, service, path) -> dict[str, typing.Any]:
    return {
        "class": class_name,
        "service": service,
        "match": {"method": "GET", "path_prefix": path},
        "idempotent": True,
        "weight": 1,
        "retry_budget": 0,
        "max_wait_ms": HOLD_MS,
        "timeout_ms": 2 * HOLD_MS,
        "objective": {
            "availability": 0.99,
            "latency_ms": 1_000,
            "window_short_s": 300,
            "window_long_s": 3600,
        },
    }
