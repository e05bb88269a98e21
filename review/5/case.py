# ruff: noqa: ASYNC110, D101, D102, D103
"""A request that crashes its server comes again; there is little traffic."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import harness  # noqa: E402

HOST = "orders.example"
POISON = "/order/poison"
STABLE_WINDOW_S = 3.0
# The page: "the server is back after some seconds".
SERVER_DOWN_S = 3.0
POISON_EVERY_S = 4.0
PLAY_S = 80.0
# Orders a second at night, over all machines.
ORDERS_PER_S = 0.2
ALLOWED_RETRIES = 3


class OrderServer(harness.AppServer):
    """Crashes when it begins to run the poisonous request."""

    async def answer(self, request, writer):
        if request.target != POISON:
            await super().answer(request, writer)
            return
        attempt = request.headers["x-medlardoor-attempt-id"]
        self.note_run(attempt, request)
        self.world.crashes.append((self.world.record.now, attempt))
        asyncio.get_running_loop().call_soon(self.crash)
        asyncio.create_task(self._come_back())
        await asyncio.sleep(60)

    async def _come_back(self):
        await asyncio.sleep(SERVER_DOWN_S)
        await self.start()


async def play(world):
    world.crashes = []
    members = [
        ("a1", "calcdesk", "hobart-a"),
        ("a2", "calcdesk", "hobart-b"),
        ("b1", "orderbook", "hobart-a"),
        ("b2", "orderbook", "hobart-b"),
        ("b3", "orderbook", "launceston"),
    ]
    routes = [harness.route("order", HOST, "/order/", "unsafe", "orderbook")]
    document = harness.document(7, routes, ["calcdesk", "orderbook"])
    await world.start(members, document, {"orderbook": OrderServer})
    await asyncio.sleep(4.0)
    entries = ("a1", "a2")
    clients = {
        name: harness.Client(world, world.member(name)) for name in entries
    }

    async def orders():
        count = 0
        while True:
            name = entries[count % 2]
            count += 1
            await clients[name].send("POST", "/order/new", HOST, 5000, b"wheel")
            await asyncio.sleep(1 / ORDERS_PER_S)

    async def poison():
        count = 0
        while True:
            # A retry is a new connection, at any machine.
            client = harness.Client(world, world.member(entries[count % 2]))
            count += 1
            await client.send("POST", POISON, HOST, 5000, b"the same body")
            client.close()
            await asyncio.sleep(POISON_EVERY_S)

    tasks = [asyncio.create_task(orders())]
    await asyncio.sleep(5.0)
    if world.trouble:
        tasks.append(asyncio.create_task(poison()))
    await asyncio.sleep(PLAY_S)
    for task in tasks:
        task.cancel()
    served = sum(status == 200 for _, status in world.answers.values())
    if served < 8:
        raise harness.CannotRun(f"only {served} orders were served")
    if len(world.crashes) < 3:
        return []
    since = world.crashes[2][0] + STABLE_WINDOW_S
    late = [at for at, _ in world.crashes if at > since]
    world.record.write(
        "crashes", all=len(world.crashes), late=len(late), since=since
    )
    if len(late) <= ALLOWED_RETRIES:
        return []
    return [
        f"BUDGET: the request reached servers {len(late)} times later than"
        f" 3 s after it had crashed the third: {late}"
    ]


if __name__ == "__main__":
    harness.run_case(__file__, play)
