# ruff: noqa: ASYNC110, D101, D102, D103
"""The last quota is lifted after the process that lends tokens is killed."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import harness  # noqa: E402

HOST = "orders.example"
KEY = "Authorization: Token key-of-shops\r\n"
REQUESTS_PER_S = 200
TIMEOUT_S = 2.0
TIME_LIMIT_MS = 5000
STABLE_WINDOW_S = 3.0
CALLERS = ("a1", "a2", "a3", "a4")


def make_document(version, is_limited):
    route = harness.route(
        "order",
        HOST,
        "/order/",
        "safe",
        "orderbook",
        timeout=f"{TIMEOUT_S * 1000:.0f}ms",
    )
    document = harness.document(version, [route], ["calcdesk", "orderbook"])
    shops = {"name": "shops", "apiKeys": ["key-of-shops"]}
    if is_limited:
        # Twice what the clients send.
        shops |= {"ratePerS": 400, "burst": 400}
    riders = {"name": "riders", "apiKeys": ["key-of-riders"]}
    document["tenants"] = [shops, riders]
    return document


async def play(world):
    zones = ("hobart-a", "hobart-b", "launceston", "hobart-a")
    members = [
        (name, "calcdesk", zone)
        for name, zone in zip(CALLERS, zones, strict=True)
    ]
    members += [
        ("b1", "orderbook", "hobart-a"),
        ("b2", "orderbook", "hobart-b"),
    ]
    await world.start(members, make_document(7, True))
    await asyncio.sleep(5.0)
    # When each machine was disturbed: killed, or started by the platform.
    disturbed = {member.name: [] for member in world.members}
    idle = [
        harness.Client(world, world.member(name))
        for _ in range(100)
        for name in CALLERS
    ]
    # Machine, time of sending, time of the answer or None.
    requests = []

    async def send():
        client = idle.pop(0)
        entry = [client.member.name, world.record.now, None]
        requests.append(entry)
        _, answer = await client.send(
            "GET", "/order/status", HOST, TIME_LIMIT_MS, headers=KEY
        )
        if answer.status:
            entry[2] = world.record.now
        else:
            client.close()
        idle.append(client)

    async def load():
        while True:
            if idle:
                asyncio.create_task(send())
            await asyncio.sleep(1 / REQUESTS_PER_S)

    loading = asyncio.create_task(load())
    await asyncio.sleep(3.0)
    version = 7
    for member in world.members:
        if world.trouble:
            # Any one of the processes may be the one that lends the tokens.
            disturbed[member.name].append(world.record.now)
            await member.kill_node()
            await asyncio.sleep(0.3)
            version += 3
            world.write_document(make_document(version, False))
            await asyncio.sleep(0.4)
            member.start_node()
            disturbed[member.name].append(world.record.now)
        await asyncio.sleep(7.0)
        if world.trouble:
            version += 2
            world.write_document(make_document(version, True))
        await asyncio.sleep(4.0)
    loading.cancel()
    await asyncio.sleep(TIME_LIMIT_MS / 1000 + 4.0)
    answered = sum(entry[2] is not None for entry in requests)
    if answered < 2000:
        raise harness.CannotRun(f"only {answered} requests were answered")

    def is_in_touch(name, sent_at):
        return not any(
            sent_at - STABLE_WINDOW_S <= at <= sent_at + TIMEOUT_S + 0.5
            for at in disturbed[name]
        )

    calm = [
        (name, sent_at, answered_at)
        for name, sent_at, answered_at in requests
        if is_in_touch(name, sent_at)
    ]
    unanswered = [
        entry
        for entry in calm
        if entry[2] is None or entry[2] > entry[1] + TIMEOUT_S
    ]
    late = [
        entry
        for entry in unanswered
        if entry[2] is None or entry[2] > entry[1] + TIMEOUT_S + 0.5
    ]
    never = [entry for entry in late if entry[2] is None]
    world.record.write(
        "at_machines_in_touch",
        requests=len(calm),
        unanswered_at_timeout=len(unanswered),
        unanswered_half_a_second_later=len(late),
        never_answered=len(never),
    )
    if len(late) < 8 or len(late) * 2 <= len(unanswered):
        return []
    return [
        f"CONFIG: {len(late)} of {len(unanswered)} requests that were"
        f" unanswered at their route's timeout had no answer 0.5 s later;"
        f" {len(never)} never got one"
    ]


if __name__ == "__main__":
    harness.run_case(__file__, play)
