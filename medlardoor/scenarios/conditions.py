"""Conditions that ``wait-for`` waits for; each says what is still missing."""

import collections

import result

from medlardoor.scenarios import world as world_module

__all__ = ["attempts", "end", "runs", "serving", "version"]

Seen = result.Result[str, world_module.Observation]


def serving(world: world_module.World) -> Seen:
    """All live nodes serve and know the serving nodes of their service."""
    nodes = world.live_nodes()
    sizes = collections.Counter(_service(name) for name in nodes)
    for name in nodes:
        status = world.status.get(name)
        if status is None:
            return world_module.missing(f"status of {name}")
        known = [
            member["instance"]
            for member in status["members"]
            if member["service"] == status["service"]
            and member["state"] == "serving"
        ]
        if len(known) < sizes[_service(name)]:
            return world_module.missing(f"members at {name}, it knows {known}")
    return result.Ok("")


def _service(name):
    return name.removeprefix("node-").rpartition("-")[0]


def version(world: world_module.World) -> Seen:
    """All live nodes have the version that was promoted last."""
    last = world.promotions[-1].version
    for name in world.live_nodes():
        if world.status.get(name, {"version": 0})["version"] < last:
            return world_module.missing(f"version {last} at {name}")
    return result.Ok("")


def end(world: world_module.World, target: str) -> Seen:
    """A process has ended by itself with status 0."""
    process = world.processes.get(target)
    if process is None or process.exit_status != 0:
        return world_module.missing(f"end of {target}")
    return result.Ok("")


def attempts(
    world: world_module.World,
    load: str,
    outcome: str = "",
    reason: str = "",
    count: int = 1,
) -> Seen:
    """A load client has recorded a number of attempts."""
    found = [
        attempt
        for attempt in world.evidence().attempts
        if f"-{load}-" in attempt.request_id
        and outcome in ("", attempt.outcome)
        and reason in ("", attempt.reason)
    ]
    return _enough(len(found), count)


def runs(world: world_module.World, instance: str, count: int = 1) -> Seen:
    """An upstream has recorded a number of runs."""
    found = [r for r in world.evidence().runs if r.instance == instance]
    return _enough(len(found), count)


def _enough(found, count):
    if found < count:
        return world_module.missing(f"records, {found} of {count}")
    return result.Ok("")
