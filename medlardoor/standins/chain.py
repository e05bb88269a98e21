"""Starts the stand-ins of the demonstration and the nodes beside them."""

import dataclasses
import json
import pathlib

import anyio

from medlardoor.standins import connections, processes

__all__ = ["SERVICES", "Chain", "ServicePlan", "start_chain"]

ENVIRONMENT = "derwent"
INSTANCES = 2
FAILURE_DOMAINS = ("a", "b")
STANDINS = ["-m", "medlardoor.cli.standins"]
NODE = ["-m", "medlardoor.cli.node"]
CLUSTER_KEY = "demonstration-only-not-a-secret"
HTTP_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePlan:
    """One service of the chain.

    Attributes:
        name: Name of the service.
        slots: Slots of each instance.
        mean_ms: Mean service time.
        children: Settings of the child calls.
    """

    name: str
    slots: int
    mean_ms: float
    children: tuple[dict, ...] = ()


# Derwent's chain on one machine. Two instances of inventory with 40 slots at
# 400 ms can run 200 requests a second.
SERVICES = (
    ServicePlan(
        "order",
        300,
        10,
        (
            {
                "service": "calculator",
                "method": "POST",
                "path": "/spokes/order",
            },
        ),
    ),
    ServicePlan(
        "calculator",
        300,
        10,
        (
            {
                "service": "inventory",
                "path": "/stock/reserve",
                "on_path": "/spokes/order",
            },
        ),
    ),
    ServicePlan("inventory", 40, 400),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Chain:
    """A started chain.

    Attributes:
        callers: Addresses for callers by service.
        records: Record files of the upstreams by service.
    """

    callers: dict[str, tuple[str, ...]]
    records: dict[str, list[pathlib.Path]]


def start_chain(
    group: processes.ProcessGroup, document: pathlib.Path | None
) -> Chain:
    """Starts upstream stand-ins, and nodes if there is a document.

    Args:
        group: Owner of the processes.
        document: Document to promote; None runs the chain without control.

    Raises:
        processes.StartError: A process did not start.
    """
    addresses = {}
    records = {}
    for plan in reversed(SERVICES):
        direct = {} if document else dict(addresses)
        started = [
            _start_upstream(group, plan, number, direct)
            for number in range(1, INSTANCES + 1)
        ]
        addresses[plan.name] = tuple(
            _address(process.wait_listening(), "port") for process in started
        )
    for plan in SERVICES:
        records[plan.name] = [
            _record_path(group, plan, number)
            for number in range(1, INSTANCES + 1)
        ]
    if document is None:
        return Chain(addresses, records)
    return Chain(_start_nodes(group, addresses, document), records)


def _start_upstream(group, plan, number, direct):
    return group.start_with_settings(
        f"upstream-{plan.name}-{number}",
        [*STANDINS, "upstream"],
        {
            "service": plan.name,
            "instance": f"{plan.name}-{number}",
            "slots": plan.slots,
            "mean_ms": plan.mean_ms,
            "seed": number,
            "children": plan.children,
            "direct": direct,
            "record": str(_record_path(group, plan, number)),
            "drain_grace_s": 0,
        },
    )


def _record_path(group, plan, number):
    return group.directory / f"upstream-{plan.name}-{number}.jsonl"


def _start_nodes(group, addresses, document):
    platform = group.start(
        "platform", [*STANDINS, "platform", "--port", "0"]
    ).wait_listening()
    store = _address(platform, "port")
    anyio.run(_promote, store, document)
    started = {
        plan.name: [
            _start_node(group, plan, number, address, store)
            for number, address in enumerate(addresses[plan.name], 1)
        ]
        for plan in SERVICES
    }
    callers = {}
    for name, nodes in started.items():
        events = [node.wait_listening() for node in nodes]
        callers[name] = tuple(_address(e, "caller_port") for e in events)
        for upstream, event in zip(addresses[name], events, strict=True):
            egress = _address(event, "egress_port").encode()
            anyio.run(_send, upstream, "POST", "/standin/egress", egress)
    return callers


def _start_node(group, plan, number, address, store):
    host, port = address.split(":")
    return group.start_with_settings(
        f"node-{plan.name}-{number}",
        NODE,
        {
            "environment": ENVIRONMENT,
            "service": plan.name,
            "instance": f"{plan.name}-{number}",
            "failure_domain": FAILURE_DOMAINS[number - 1],
            "cluster_key": CLUSTER_KEY,
            "seed": number,
            "upstream": {
                "host": host,
                "port": int(port),
                "slots": plan.slots,
            },
            "store": {"url": f"http://{store}"},
            "drain_timeout_s": 2.0,
            "forward_s": 0.0,
        },
    )


def _address(event, field):
    return f"{event.get('host', '127.0.0.1')}:{event[field]}"


async def _promote(store, document):
    """Writes the document object as a promotion does."""
    value = {
        "enforced": document.read_text(),
        "trial": None,
        "author": "demonstration",
        "note": "",
    }
    await _send(
        store,
        "PUT",
        f"/v1/objects/documents/{ENVIRONMENT}",
        json.dumps(value).encode(),
        {"If-None-Match": "*"},
    )


async def _send(address, method, target, body, headers=None):
    pool = connections.ConnectionPool()
    exchange = await pool.exchange(
        address,
        connections.Message(method, target, headers or {}, body),
        HTTP_TIMEOUT_S,
    )
    await pool.aclose()
    answer = exchange.unwrap()
    if answer.status != 200:
        raise processes.StartError(
            processes.NotListening(address, answer.body.decode())
        )
