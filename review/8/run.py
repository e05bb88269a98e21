"""Priorities of tenants change while a node that lends tokens is killed."""

import asyncio
import json
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

import world as world_module  # noqa: E402

MACHINES = 6
TENANTS = 13
RATE_PER_S = 500.0
QUOTA_PER_S = 600.0
LENGTH_S = 9.0
# Desired states in quick succession, as in the site's `config_storm`.
CHANGES = 12
CHANGE_GAP_S = 0.33
DOWN_S = 1.5
TIMEOUT_S = 2.0
GRACE_S = 0.5
LIMIT_MS = 4_000


class Result:
    """What became of one request."""

    def __init__(self, machine, attempt, status, took_s):
        self.machine = machine
        self.attempt = attempt
        self.status = status
        self.took_s = took_s


def write_document(world, version, priority):
    """Writes a desired state in which most tenants have a priority."""
    world.write_document(
        version,
        [
            world_module.rule(
                "order", "/order/", "store", "unsafe", "2000ms", public=False
            ),
            world_module.rule(
                "read", "/read/", "store", priority=1, public=False
            ),
        ],
        tenants=[
            {
                "name": f"shop-{number}",
                "apiKeys": [f"key-of-shop-{number}"],
                "priority": priority if number else 0,
                "ratePerS": QUOTA_PER_S,
                "burst": QUOTA_PER_S,
            }
            for number in range(TENANTS)
        ],
    )


def find_lender(machines):
    """The node that lends for most groups of tenants, by its log."""
    lent = {}
    for machine in machines:
        for line in machine.log.read_text().splitlines():
            if '"lending_changed"' in line:
                lent[machine] = len(json.loads(line)["shards"])
    if not lent:
        raise world_module.CannotRun("no node lends tokens")
    return max(lent, key=lent.get)


async def case(trouble):
    """Sends orders of tenants that stay below their quota."""
    async with world_module.World(FOLDER) as world:
        for number in range(MACHINES):
            service = "store" if number < 2 else "front"
            machine = world.add(
                f"{service}-{number}", service, f"z{number % 3}"
            )
            machine.server = world_module.Server(machine, slots=300)
        machines = list(world.machines.values())
        write_document(world, 1, 1)
        await world.start(settle_s=5.0)
        results = []

        async def send(machine, number):
            began = time.monotonic()
            attempt, status, _ = await world.send(
                machine,
                "/order/new?work=5",
                "POST",
                b"wheel",
                LIMIT_MS,
                Authorization=f"Token key-of-shop-{number}",
            )
            took_s = time.monotonic() - began
            results.append(Result(machine, attempt, status, took_s))

        async def keep_sending():
            tasks = []
            ends = time.monotonic() + LENGTH_S
            while time.monotonic() < ends:
                machine = random.choice(machines)
                number = random.randrange(1, TENANTS)
                tasks.append(asyncio.create_task(send(machine, number)))
                await asyncio.sleep(1 / RATE_PER_S)
            await asyncio.gather(*tasks)

        sending = asyncio.create_task(keep_sending())
        await asyncio.sleep(2.0)
        killed = None
        if trouble:
            killed = find_lender(machines)
            restart = asyncio.create_task(kill_and_restart(killed))
            for number in range(CHANGES):
                write_document(world, 2 + number, 2 + number % 2)
                await asyncio.sleep(CHANGE_GAP_S)
            await restart
        await sending
        # The machine of the killed process is not in touch.
        in_touch = [each for each in results if each.machine is not killed]
        longer = [each for each in in_touch if each.took_s > TIMEOUT_S]
        unanswered = [
            each
            for each in longer
            if each.status is None or each.took_s > TIMEOUT_S + GRACE_S
        ]
        for each in unanswered:
            world.record(
                "no-answer",
                attempt=each.attempt,
                node=each.machine.name,
                waited_s=f"{each.took_s:.2f}",
            )
        world.record(
            "result",
            requests=len(in_touch),
            answered=sum(each.status is not None for each in in_touch),
            longer_than_timeout=len(longer),
            without_final_answer=len(unanswered),
        )
        if not any(each.status == 200 for each in in_touch):
            raise world_module.CannotRun("no request was served")
        if len(unanswered) >= 8 and len(unanswered) > len(longer) / 4:
            return f"{len(unanswered)} orders never got an answer"
        return ""


async def kill_and_restart(machine):
    """Kills one node and starts it again."""
    await machine.kill()
    await asyncio.sleep(DOWN_S)
    machine.start_node()


world_module.main(case, FOLDER)
