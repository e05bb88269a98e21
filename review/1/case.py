# ruff: noqa: ASYNC110, D101, D102, D103
"""A late second copy of a rejection is taken for the answer to a later send."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import harness  # noqa: E402

HOST = "orders.example"
ORDERS_PER_S = 200
# Spells like those of the standard day "scale-1" of the users' sites: all
# servers shed a part of their requests for 8.5 s, and for 5 s of these some of
# them send a second, late copy of a few of their answers.
SPELLS = 9
SPELL_EVERY_S = 9.5
SHED_S = 8.5
SHED_SHARE = 0.55
EXTRA_S = 5.0
EXTRA_SHARE = 0.03
# One half of the four servers; the pages allow 0.6 of them.
GARBLING = ("b1", "b2")
PROMISES = (408, 421, 429, 503)


class OrderServer(harness.AppServer):
    """Sheds a part of its requests; may send second copies of answers."""

    work_s = 0.04

    def __init__(self, world, member):
        super().__init__(world, member)
        self._late_copies = {}
        # Set by the script while a spell lasts.
        self.is_shedding = False
        self.is_garbling = False

    async def before_answer(self, writer):
        # The copy arrives at the point where the next answer is expected.
        copy = self._late_copies.pop(writer, None)
        if copy is not None:
            attempt, message = copy
            self.world.record.write(
                "extra_answer", attempt=attempt, server=self.id
            )
            writer.write(message)

    async def answer(self, request, writer):
        attempt = request.headers["x-medlardoor-attempt-id"]
        if self.is_shedding and random.random() < SHED_SHARE:
            self.world.record.write("shed", attempt=attempt, server=self.id)
            message = self.shed(attempt)
        else:
            self.note_run(attempt, request)
            self.running += 1
            await asyncio.sleep(self.work_s)
            self.running -= 1
            message = self.success(attempt)
        writer.write(message)
        if self.is_garbling and random.random() < EXTRA_SHARE:
            self._late_copies[writer] = attempt, message


async def play(world):
    members = [
        ("a1", "calcdesk", "hobart-a"),
        ("a2", "calcdesk", "hobart-b"),
        ("b1", "orderbook", "hobart-a"),
        ("b2", "orderbook", "hobart-b"),
        ("b3", "orderbook", "launceston"),
        ("b4", "orderbook", "launceston"),
    ]
    routes = [
        harness.route(
            "order", HOST, "/order/", "unsafe", "orderbook", attempts=1
        ),
        harness.route(
            "calc", "calc.example", "/calc/", "safe", "calcdesk", priority=2
        ),
    ]
    document = harness.document(7, routes, ["calcdesk", "orderbook"])
    await world.start(members, document, {"orderbook": OrderServer})
    await asyncio.sleep(3.0)
    idle = [
        harness.Client(world, world.member(name))
        for name in ("a1", "a2")
        for _ in range(60)
    ]
    tasks = set()

    async def send():
        client = idle.pop()
        try:
            await client.send(
                "POST", "/order/new", HOST, 5000, body=b"wheel" * 20
            )
        finally:
            idle.append(client)

    async def trouble():
        servers = [m.server for m in world.members if m.name[0] == "b"]
        for _ in range(SPELLS):
            next_at = world.record.now + SPELL_EVERY_S
            for server in servers:
                server.is_shedding = True
                server.is_garbling = server.member.name in GARBLING
            world.record.write("spell_began")
            await asyncio.sleep(EXTRA_S)
            for server in servers:
                server.is_garbling = False
            await asyncio.sleep(SHED_S - EXTRA_S)
            for server in servers:
                server.is_shedding = False
            world.record.write("spell_ended")
            await asyncio.sleep(next_at - world.record.now)

    if world.trouble:
        asyncio.create_task(trouble())
    ends_at = world.record.now + SPELLS * SPELL_EVERY_S
    while world.record.now < ends_at:
        if idle:
            task = asyncio.create_task(send())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / ORDERS_PER_S)
    if tasks:
        await asyncio.wait(tasks, timeout=8)
    await asyncio.sleep(1.0)
    served = sum(status == 200 for _, status in world.answers.values())
    world.record.write("total", sent=len(world.answers), served=served)
    if served < 3000:
        raise harness.CannotRun(f"only {served} orders were served")
    breaches = []
    for attempt, runs in world.runs.items():
        _, status = world.answers.get(attempt, (0, 0))
        if len(runs) > 1:
            breaches.append(f"TWICE: {attempt} ran {len(runs)} times: {runs}")
        if status in PROMISES:
            breaches.append(f"REFUSED: {attempt} got {status}, ran: {runs}")
    return breaches


if __name__ == "__main__":
    harness.run_case(__file__, play)
