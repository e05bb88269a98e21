"""A server leaves while its first heartbeat is still on its way."""

import asyncio
import pathlib
import sys

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / "stand_ins_3")
)

import upstream
import world as world_module

# Bound `drain` of the settings, in seconds.
DRAIN_S = 2.0

# Time between the second start and its leaving, in seconds. Its next heartbeat
# would follow 1.5 s after the first one.
LEAVES_AFTER_S = 1.4

# Time from the leaving to the arrival of the first heartbeat, in seconds.
LATE_S = 4.0

# The server serves on for this time after its acknowledgement, in seconds.
SERVES_ON_S = 9.0

REQUEST_INTERVAL_S = 0.1
WORK_S = 0.4


async def _send_requests(
    world: world_module.World,
    node: world_module.Node,
    counts: dict[int | str, int],
) -> None:
    while True:
        await asyncio.sleep(REQUEST_INTERVAL_S)
        asyncio.create_task(_send_one(world, node, counts))


async def _send_one(
    world: world_module.World,
    node: world_module.Node,
    counts: dict[int | str, int],
) -> None:
    attempt = world.next_attempt()
    world.record("sent", node=node.name, attempt=attempt)
    answer = await node.request("/orders/1", attempt, 5_000, "POST", b"order")
    status = "none" if answer is None else answer[0]
    world.record("answered", attempt=attempt, status=status)
    counts[status] = counts.get(status, 0) + 1


async def play(world: world_module.World) -> bool:
    """Plays the case; returns whether the rule was kept."""
    world.write_config(
        1, [world_module.rule("r-1", "/orders/", "orderbook", "unsafe")]
    )
    node = world.add_node("sidecar-zone-a-1", "orderbook")
    entry = world.add_node("sidecar-zone-a-2", "calcdesk")
    for each in (node, entry):
        each.start()
    ports = node.ports
    other = upstream.Server(
        "i-0000beef",
        "calcdesk",
        entry.ports["app"],
        entry.ports["control"],
        world.record,
    )
    first = upstream.Server(
        "i-7f3a91c2",
        "orderbook",
        ports["app"],
        ports["control"],
        world.record,
        work_s=WORK_S,
    )
    for each in (node, entry):
        await each.wait_until_ready()
    await other.start()
    await first.start()
    await asyncio.sleep(2.0)
    counts: dict[int | str, int] = {}
    clients = asyncio.create_task(_send_requests(world, entry, counts))
    # All machines are in touch from here on.
    await asyncio.sleep(4.0)
    if not first.runs:
        raise world_module.CannotRunError("no request was served")

    world.record("server ends", server=first.upstream_id)
    await first.stop()
    await asyncio.sleep(1.0)
    second = upstream.Server(
        first.upstream_id,
        "orderbook",
        ports["app"],
        ports["control"],
        world.record,
        work_s=WORK_S,
    )
    await second.start(beats=False)
    world.record("server starts again", born=second.born_ms)
    beat = second.next_beat()
    if not world.has_trouble:
        world.record("first heartbeat", acknowledged=await second.send(beat))
    await asyncio.sleep(LEAVES_AFTER_S)
    loop = asyncio.get_running_loop()
    is_acknowledged = await second.deregister()
    acknowledged_at = loop.time()
    world.record("deregistration", acknowledged=is_acknowledged)
    if not is_acknowledged:
        raise world_module.CannotRunError("the deregistration got no 200")
    if world.has_trouble:
        await asyncio.sleep(LATE_S)
        world.record("late heartbeat", acknowledged=await second.send(beat))
    await asyncio.sleep(acknowledged_at + SERVES_ON_S - loop.time())
    counts.clear()
    clients.cancel()
    await second.stop()
    await asyncio.sleep(1.0)
    late = [at for at, _ in second.runs if at > acknowledged_at + DRAIN_S]
    world.say(
        f"{len(second.runs)} requests ran on the second start, {len(late)} of"
        f" them later than {DRAIN_S} s after its leaving was acknowledged"
    )
    world.say(f"answers to what ran there when it exited: {counts}")
    return not late


if __name__ == "__main__":
    world_module.run_case(__file__, play)
