"""The priorities of tenants change while their orders wait for tokens."""

import asyncio
import contextlib
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

import world as world_module  # noqa: E402

MACHINES = 6
CLIENTS = 150
PAUSE_S = 0.1
TENANTS = 60
# Far above what all clients send together.
QUOTA_PER_S = 5_000.0
# Desired states in quick succession, as in the site's `config_storm`.
STORMS = 2
CHANGES = 12
CHANGE_GAP_S = 0.33
CALM_S = 4.0
TIMEOUT_S = 2.0
GRACE_S = 0.5
LIMIT_S = 4.0


class Client:
    """A client that places one order after the other on a kept connection."""

    def __init__(self, world, machine):
        self._world = world
        self._machine = machine
        self.is_stopped = False
        self.answered = 0
        self.served = 0
        # Times that orders took which lasted longer than the route's timeout.
        self.longer_s = []

    async def run(self):
        """Places orders until it is stopped."""
        while not self.is_stopped:
            with contextlib.suppress(OSError):
                await self._use_connection()
            await asyncio.sleep(PAUSE_S)

    async def _use_connection(self):
        reader, writer = await asyncio.open_connection(
            self._machine.ip, self._machine.port("outbound")
        )
        try:
            while not self.is_stopped:
                if not await self._place_order(reader, writer):
                    return
                await asyncio.sleep(PAUSE_S)
        finally:
            writer.close()

    async def _place_order(self, reader, writer):
        """Places one order; whether the connection may be used again."""
        record = self._world.record
        attempt = self._world.new_id()
        number = random.randrange(1, TENANTS)
        record("send", attempt=attempt, node=self._machine.name)
        began = time.monotonic()
        writer.write(
            "POST /order/new?work=5 HTTP/1.1\r\nHost: shop.example\r\n"
            f"{world_module.ID}: {attempt}\r\n"
            f"Authorization: Token key-of-shop-{number}\r\n"
            f"X-Medlardoor-Deadline-Ms: {int(LIMIT_S * 1000)}\r\n"
            "Content-Length: 5\r\n\r\nwheel".encode()
        )
        answer = None
        with contextlib.suppress(TimeoutError, EOFError):
            async with asyncio.timeout(LIMIT_S):
                answer = await world_module.read_message(reader)
        took_s = time.monotonic() - began
        record(
            "answer",
            attempt=attempt,
            status=answer.status if answer else None,
            took_s=f"{took_s:.2f}",
        )
        if took_s > TIMEOUT_S:
            self.longer_s.append(took_s)
        if answer is None:
            return False
        self.answered += 1
        self.served += answer.status == 200
        return answer.header("connection") != "close"


def write_document(world, version, priority):
    """Writes a desired state in which all tenants but one have a priority."""
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


async def case(trouble):
    """Changes priorities while tenants send, far below their quotas."""
    async with world_module.World(FOLDER) as world:
        for number in range(MACHINES):
            service = "store" if number < 2 else "front"
            machine = world.add(
                f"{service}-{number}", service, f"z{number % 3}"
            )
            machine.server = world_module.Server(machine, slots=343)
        machines = list(world.machines.values())
        write_document(world, 1, 1)
        await world.start(settle_s=5.0)
        clients = [
            Client(world, machines[number % MACHINES])
            for number in range(CLIENTS)
        ]
        tasks = [asyncio.create_task(client.run()) for client in clients]
        version = 1
        for _ in range(STORMS):
            await asyncio.sleep(CALM_S)
            for _ in range(CHANGES):
                if trouble:
                    version += 1
                    write_document(world, version, 2 + version % 2)
                await asyncio.sleep(CHANGE_GAP_S)
        await asyncio.sleep(CALM_S)
        for client in clients:
            client.is_stopped = True
        await asyncio.gather(*tasks)
        longer = [each for client in clients for each in client.longer_s]
        unanswered = [each for each in longer if each > TIMEOUT_S + GRACE_S]
        served = sum(client.served for client in clients)
        world.record(
            "result",
            answered=sum(client.answered for client in clients),
            served=served,
            longer_than_timeout=len(longer),
            without_final_answer=len(unanswered),
        )
        if not served:
            raise world_module.CannotRun("no order was served")
        if len(unanswered) >= 8 and len(unanswered) > len(longer) / 4:
            return f"{len(unanswered)} orders never got an answer"
        return ""


world_module.main(case, FOLDER)
