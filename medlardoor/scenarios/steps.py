"""Steps that change a running scenario: start, load, fault, promote, stop.

The words of a step fill the parameters after `world` in order, its options
fill them by name; a single settings object takes all of them.
"""

import json
import pathlib
import signal
import time
import typing

import anyio
import pydantic
import result

from medlardoor import config
from medlardoor.config import base
from medlardoor.scenarios import evidence as evidence_module
from medlardoor.scenarios import world as world_module

__all__ = [
    "LoadOptions",
    "ServiceOptions",
    "UpstreamFaults",
    "inject_fault",
    "promote",
    "set_platform_fault",
    "set_upstream_faults",
    "start_load",
    "start_platform",
    "start_service",
    "stop",
]

ENVIRONMENT = "derwent"
FAILURE_DOMAINS = ("a", "b", "c")
CLUSTER_KEY = "scenario-cluster-key-not-a-secret"
EXAMPLES = pathlib.Path(config.__file__).parent / "examples"
NODE = ["medlardoor.cli.node"]
UPSTREAM = ["medlardoor.cli.standins", "upstream"]
LOAD = ["medlardoor.cli.standins", "load"]
PLATFORM = ["medlardoor.cli.standins", "platform", "--port", "0"]
CALL_FIELDS = ("service", "method", "path", "on_path")

Done = result.Result[str, world_module.Observation]


class ServiceOptions(base.Settings):
    """Options of ``start service``.

    `calls` lists child calls, ``service method path [on_path]`` each,
    separated by commas. With `relay` the node reaches its upstream through a
    relay. With `respawn` an upstream that crashes is started again.
    """

    service: str
    instances: int = pydantic.Field(default=2, ge=1, le=20)
    slots: int = 20
    mean_ms: float = 20.0
    calls: str = ""
    relay: bool = False
    respawn: bool = False
    forward_s: float = 3.0
    drain_timeout_s: float = 20.0


class LoadOptions(base.Settings):
    """Options of ``load``: one kind at one rate, to all nodes or to one."""

    name: str
    kind: str
    service: str
    method: str = "GET"
    path: str = "/"
    body_bytes: int = 200
    timeout_ms: int = 3_000
    keyed: bool = False
    resends: int = 0
    honour_retry_after: bool = False
    resend_unknown: bool = True
    resend_delay_s: float = 0.0
    twice: bool = False
    alter_copy: bool = False
    upload_s: float = 0.0
    node: int = 0
    rate: float
    duration_s: float


class UpstreamFaults(base.Settings):
    """Options of ``fault upstream``; faults that are not given end."""

    instance: str
    slow_factor: float = 1.0
    report: str = "ok"
    reported_slots: int = 0
    shed: float = 0.0
    draining: bool = False
    crash_on: str = ""


async def start_platform(world: world_module.World) -> Done:
    """Starts the stand-in of the platform."""
    await world.start_program("platform", PLATFORM)
    return result.Ok("")


async def start_service(
    world: world_module.World, options: ServiceOptions
) -> Done:
    """Starts the upstreams of a service and a node beside each."""
    for number in range(1, options.instances + 1):
        instance = f"{options.service}-{number}"
        port = await _start_upstream(world, options, instance)
        await _start_node(world, options, instance, port)
        await world.restore_upstream(instance)
    return result.Ok("")


async def _start_upstream(world, options, instance):
    name = f"upstream-{instance}"
    calls = [call.split() for call in options.calls.split(",") if call]
    settings = {
        "service": options.service,
        "instance": instance,
        "slots": options.slots,
        "mean_ms": options.mean_ms,
        "seed": world.seed,
        "children": [dict(zip(CALL_FIELDS, c, strict=False)) for c in calls],
        "record": str(world.directory / f"{name}.jsonl"),
    }
    event = await world.start_program(name, UPSTREAM, settings)
    # A restarted process keeps its address.
    world.write_settings(name, {**settings, "port": event["port"]})
    if options.respawn:
        world.respawned.add(name)
    if not options.relay:
        return event["port"]
    return await world.start_relay(f"{instance} upstream", event["port"])


async def _start_node(world, options, instance, upstream_port):
    name = f"node-{instance}"
    platform_port = await world.start_relay(
        f"{instance} platform", world.events["platform"]["port"]
    )
    number = int(instance.rpartition("-")[2])
    settings = {
        "environment": ENVIRONMENT,
        "service": options.service,
        "instance": instance,
        "failure_domain": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
        "cluster_key": CLUSTER_KEY,
        "seed": world.seed + number,
        "upstream": {"port": upstream_port, "slots": options.slots},
        "store": {"url": f"http://127.0.0.1:{platform_port}"},
        "forward_s": options.forward_s,
        "drain_timeout_s": options.drain_timeout_s,
    }
    event = await world.start_program(name, NODE, settings)
    for listener in ("caller", "peer", "egress", "admin", "gossip"):
        settings[listener] = {"port": event[f"{listener}_port"]}
    world.write_settings(name, settings)
    callers = world.callers.setdefault(options.service, [])
    callers.append(f"127.0.0.1:{event['caller_port']}")


async def start_load(world: world_module.World, options: LoadOptions) -> Done:
    """Starts a load client that sends requests of one kind."""
    name = f"load-{options.name}"
    kind = options.model_dump(exclude={"kind", "rate", "duration_s", "node"})
    targets = world.callers[options.service]
    if options.node:
        targets = [targets[options.node - 1]]
    phase = {
        "name": options.name,
        "duration_s": options.duration_s,
        "rates": {options.kind: options.rate},
    }
    settings = {
        "seed": world.seed,
        "targets": {options.service: targets},
        "kinds": [{**kind, "name": options.kind}],
        "phases": [phase],
        "record": str(world.directory / f"{name}.jsonl"),
    }
    await world.start_program(name, LOAD, settings, listens=False)
    return result.Ok("")


async def inject_fault(
    world: world_module.World,
    fault: typing.Literal["kill", "freeze", "thaw", "restart", "cut", "heal"],
    target: str,
    end: str = "",
) -> Done:
    """Signals a process, or cuts or heals a connection of a node.

    Args:
        world: Running scenario.
        fault: What to do.
        target: Name of the process, or instance of the node.
        end: Other end of the connection, ``platform`` or ``upstream``.
    """
    if fault in ("cut", "heal"):
        relay = world.relays.get(f"{target} {end}")
        if relay is None:
            return world_module.missing(f"relay from {target} to {end}")
        relay.set_cut(fault == "cut")
        return result.Ok("")
    process = world.processes.get(target)
    if process is None:
        return world_module.missing(f"process {target}")
    if fault == "freeze":
        process.signal(signal.SIGSTOP)
    elif fault == "thaw":
        process.signal(signal.SIGCONT)
    else:
        process.kill()
    if fault == "restart":
        await world.restart(target)
    return result.Ok("")


async def set_platform_fault(
    world: world_module.World,
    mode: typing.Literal["up", "down", "slow", "lose_answers"],
    delay_ms: int = 0,
) -> Done:
    """Sets the fault of the platform."""
    faults = {"mode": mode, "delay_ms": delay_ms}
    world.marks["platform"] = time.monotonic()
    return await _set_faults(world, "platform", faults)


async def set_upstream_faults(
    world: world_module.World, options: UpstreamFaults
) -> Done:
    """Sets the faults of an upstream, also for its next starts."""
    name = f"upstream-{options.instance}"
    if options.draining:
        world.marks[options.instance] = time.monotonic()
    world.faults[name] = options.model_dump(exclude={"instance"})
    return await _set_faults(world, name, world.faults[name])


async def _set_faults(world, name, faults) -> Done:
    if name not in world.events:
        return world_module.missing(f"process {name}")
    port = world.events[name]["port"]
    answer = await world.send(port, "POST", "/standin/faults", faults)
    if answer is None or answer.status != 200:
        return world_module.missing(f"acceptance of the fault by {name}")
    return result.Ok("")


async def promote(
    world: world_module.World,
    document: str,
    old: str = "",
    new: str = "",
    rivals: int = 0,
) -> Done:
    """Promotes an example document with the text `old` replaced by `new`.

    The first document is written to the platform before any node runs; later
    ones are promoted through the first node that accepts them. With `rivals`
    as many operators promote a text each at the same moment, of which exactly
    one must be accepted.
    """
    text = (EXAMPLES / document / "document.jsonc").read_text()
    if old not in text:
        return world_module.missing(f"text {old} in the document")
    text = text.replace(old, new, 1) if old else text
    nodes = world.live_nodes()
    if not nodes:
        return await _write_first(world, text)
    if rivals:
        return await _promote_at_once(world, nodes[:rivals], text)
    for name in nodes:
        done = await _promote_at(world, name, text)
        if done.is_ok():
            break
    return done


async def _promote_at_once(world, nodes, text) -> Done:
    accepted = []

    async def promote_at(name):
        done = await _promote_at(world, name, f"{text}\n// {name}\n")
        accepted.extend([name] if done.is_ok() else [])

    async with anyio.create_task_group() as group:
        for name in nodes:
            group.start_soon(promote_at, name)
    if len(accepted) != 1:
        return world_module.missing(f"single winner, accepted: {accepted}")
    return result.Ok("")


async def _write_first(world, text) -> Done:
    answer = await world.send(
        world.events["platform"]["port"],
        "PUT",
        f"/v1/objects/documents/{ENVIRONMENT}",
        {"enforced": text, "trial": None, "author": "", "note": ""},
        {"If-None-Match": "*"},
    )
    return _accept(world, answer)


async def _promote_at(world, name, text) -> Done:
    status = world.status.get(name)
    if status is None:
        return world_module.missing(f"status of {name}")
    body = {"text": text, "expected_version": status["version"]}
    port = world.events[name]["admin_port"]
    return _accept(world, await world.send(port, "POST", "/v1/promote", body))


def _accept(world, answer) -> Done:
    if answer is None or answer.status != 200:
        detail = answer.content.decode() if answer else "no answer"
        return world_module.missing(f"acceptance of the document: {detail}")
    version = json.loads(answer.content)["version"]
    now = time.monotonic()
    world.promotions.append(evidence_module.Promotion(version, now))
    return result.Ok("")


async def stop(world: world_module.World, target: str) -> Done:
    """Sends SIGTERM to a process, which begins a planned stop."""
    process = world.processes.get(target)
    if process is None:
        return world_module.missing(f"process {target}")
    # An upstream is known by its instance in the records.
    world.marks[target.partition("-")[2]] = time.monotonic()
    process.signal(signal.SIGTERM)
    return result.Ok("")
