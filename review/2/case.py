# ruff: noqa: ASYNC110, D101, D102, D103
"""A faulty server sends a body without end, in small chunks."""

import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import harness  # noqa: E402

HOST = "orders.example"
CALC_HOST = "calc.example"
MEMORY_MB = 200
RESTART_S = 0.5
REQUESTS_PER_S = 60
TIME_LIMIT_MS = 6000
LOOKUPS_AT_ONCE = 8
ALLOWED = 3
# One of the two servers, 3 in 100 of its answers, for 5 s, three times.
GARBLING = "b1"
GARBLE_SHARE = 0.03
GARBLE_S = 5.0
SPELLS = 3
SPELL_EVERY_S = 20.0
# The body has no end; its bytes come in chunks of four.
CHUNKS = b"4\r\nxxxx\r\n" * 4096


class CalcServer(harness.AppServer):
    """Sound; answers after a while, so that some requests are in progress."""

    work_s = 0.25


class OrderServer(harness.AppServer):
    """May send an answer that does not end until the caller closes."""

    work_s = 0.05

    def __init__(self, world, member):
        super().__init__(world, member)
        self.is_garbling = False

    async def answer(self, request, writer):
        attempt = request.headers["x-medlardoor-attempt-id"]
        if not self.is_garbling or random.random() >= GARBLE_SHARE:
            await super().answer(request, writer)
            return
        self.note_run(attempt, request)
        self.world.record.write("endless", attempt=attempt, server=self.id)
        lines = self.base_headers(attempt)
        lines.append(("Transfer-Encoding", "chunked"))
        head = harness.encode(200, lines, b"", "OK", length=False)
        writer.write(head)
        sent = 0
        try:
            while not writer.transport.is_closing():
                writer.write(CHUNKS)
                sent += len(CHUNKS)
                await writer.drain()
        finally:
            self.world.record.write(
                "endless_closed", attempt=attempt, sent_bytes=sent
            )


def peak_mb(member):
    """Largest resident memory of a node so far, in MiB; 0 if it has ended."""
    try:
        with open(f"/proc/{member.process.pid}/status") as file:
            for line in file:
                if line.startswith("VmHWM"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


async def enforce_memory(world, ended):
    """Kills a process above its memory as the platform does; restarts it."""
    while True:
        for member in world.members:
            if member.process.poll() is None and peak_mb(member) > MEMORY_MB:
                world.record.write(
                    "over_memory", node=member.name, peak_mb=peak_mb(member)
                )
                ended.append((world.record.now, member.name))
                member.signal_node(signal.SIGKILL)
                member.process.wait()
                await asyncio.sleep(RESTART_S)
                member.start_node()
        await asyncio.sleep(0.01)


async def play(world):
    members = [
        ("a1", "calcdesk", "hobart-a"),
        ("a2", "calcdesk", "hobart-b"),
        ("b1", "orderbook", "hobart-a"),
        ("b2", "orderbook", "hobart-b"),
    ]
    routes = [
        harness.route(
            "status", HOST, "/status/", "safe", "orderbook", timeout="6000ms"
        ),
        harness.route("calc", CALC_HOST, "/calc/", "safe", "calcdesk"),
    ]
    document = harness.document(7, routes, ["calcdesk", "orderbook"])
    servers = {"calcdesk": CalcServer, "orderbook": OrderServer}
    await world.start(members, document, servers, memory_mb=MEMORY_MB)
    await asyncio.sleep(4.0)
    ended = []
    tasks = [asyncio.create_task(enforce_memory(world, ended))]
    # Requests on kept connections to the machine of the faulty server; they
    # are for the sound servers of another service.
    kept = set()

    async def look_up():
        client = harness.Client(world, world.member(GARBLING))
        is_kept = False
        while True:
            attempt, answer = await client.send(
                "GET", "/calc/spoke", CALC_HOST, 5000
            )
            if is_kept:
                kept.add(attempt)
            is_kept = answer.status != 0
            if not is_kept:
                client.close()
                await asyncio.sleep(0.3)

    idle = [
        harness.Client(world, world.member(name))
        for _ in range(200)
        for name in ("a1", "a2")
    ]

    async def send():
        client = idle.pop(0)
        await client.send("GET", "/status/order", HOST, TIME_LIMIT_MS)
        idle.append(client)

    async def load():
        while True:
            if idle:
                asyncio.create_task(send())
            await asyncio.sleep(1 / REQUESTS_PER_S)

    tasks += [asyncio.create_task(look_up()) for _ in range(LOOKUPS_AT_ONCE)]
    tasks.append(asyncio.create_task(load()))
    await asyncio.sleep(4.0)
    server = world.member(GARBLING).server
    for _ in range(SPELLS):
        next_at = world.record.now + SPELL_EVERY_S
        server.is_garbling = world.trouble
        await asyncio.sleep(GARBLE_S)
        server.is_garbling = False
        await asyncio.sleep(next_at - world.record.now)
    for task in tasks:
        task.cancel()
    served = sum(status == 200 for _, status in world.answers.values())
    if served < 1000:
        raise harness.CannotRun(f"only {served} requests were served")
    for member in world.members:
        world.record.write("peak", node=member.name, peak_mb=peak_mb(member))
    cut = [
        attempt
        for attempt in kept
        if world.answers[attempt][1] == 0 and attempt in world.runs
    ]
    world.record.write("cut", requests=len(cut), process_ends=len(ended))
    if not ended or len(cut) <= ALLOWED:
        return []
    return [
        f"process of {name} ended over its memory at {at:.1f} s"
        for at, name in ended
    ] + [
        f"LOST: {len(cut)} requests on kept connections were run, not answered"
    ]


if __name__ == "__main__":
    harness.run_case(__file__, play)
