"""A faulty server spoils some of its answers."""

import asyncio
import pathlib
import sys

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / "stand_ins_3")
)

import http_server
import upstream
import world as world_module

# One of two servers spoils every 50th of its answers: a share of 0.5 and 0.02
# of the answers.
SPOILED_EVERY = 50

# Answers that break a rule.
WRONG = "success without the server's seal and body"
REFUSED = "429 or 503, and the order has run"

# Orders that are sent together, and the pause between them, in seconds.
ORDERS = 20
PAUSE_S = 1.5
ROUNDS = 40

# What spoiled answers are, in turn: no server has made them for any request.
PAGES = (
    (200, b"<html><body>It works!</body></html>\n"),
    (503, b"<html><body>Service Unavailable</body></html>\n"),
)


class FaultyServer(upstream.Server):
    """Runs each request, and spoils some of the answers."""

    is_faulty = False
    answers = 0
    spoiled = 0

    def answer(self, attempt: str) -> bytes:
        """Returns the answer to a request that has run."""
        self.answers += self.is_faulty
        if not self.is_faulty or self.answers % SPOILED_EVERY:
            return super().answer(attempt)
        status, page = PAGES[self.spoiled % len(PAGES)]
        self.spoiled += 1
        self._record("spoiled answer", attempt=attempt, status=status)
        headers = [("Content-Type", "text/html")]
        return http_server.Response(status, page, headers).encode()


async def _send_one(
    world: world_module.World,
    node: world_module.Node,
    servers: list[upstream.Server],
    counts: dict[str, int],
) -> None:
    attempt = world.next_attempt()
    world.record("sent", node=node.name, attempt=attempt)
    answer = await node.request("/orders/1", attempt, 5_000, "POST", b"order")
    found = "none" if answer is None else str(answer[0])
    if answer is not None and 200 <= answer[0] < 300:
        seal = answer[1].get("x-medlardoor-response-seal")
        is_servers = any(
            seal == upstream.seal_of(server.body_for(attempt))
            and answer[2] == server.body_for(attempt)
            for server in servers
        )
        if not is_servers:
            found = WRONG
    elif found in ("429", "503"):
        has_run = any(
            run == attempt for server in servers for _, run in server.runs
        )
        if has_run:
            found = REFUSED
    counts[found] = counts.get(found, 0) + 1
    world.record(
        "answered",
        attempt=attempt,
        found=found,
        seal=answer and answer[1].get("x-medlardoor-response-seal"),
        body=answer and answer[2],
    )


async def play(world: world_module.World) -> bool:
    """Plays the case; returns whether the rule was kept."""
    orders_rule = world_module.rule("r-1", "/orders/", "orderbook", "unsafe")
    world.write_config(1, [orders_rule])
    servers = []
    for number, service in enumerate(("orderbook", "orderbook", "calcdesk")):
        node = world.add_node(f"sidecar-a-{number}", service)
        node.start()
        await node.wait_until_ready()
        kind = FaultyServer if number == 0 else upstream.Server
        server = kind(
            f"i-0000000{number}",
            service,
            node.ports["app"],
            node.ports["control"],
            world.record,
            work_s=0.078,
        )
        await server.start()
        servers.append(server)
    await asyncio.sleep(3.0)
    faulty = servers[0]
    counts: dict[str, int] = {}
    for number in range(ROUNDS + 2):
        # The first rounds show that orders are served.
        faulty.is_faulty = world.has_trouble and number >= 2
        await asyncio.gather(
            *[
                _send_one(world, world.nodes[n % 3], servers, counts)
                for n in range(ORDERS)
            ]
        )
        if number == 0 and counts.get("200", 0) < ORDERS / 2:
            raise world_module.CannotRunError("orders are not served")
        await asyncio.sleep(PAUSE_S)
    world.say(
        f"answers: {counts}; spoiled by the faulty server:"
        f" {getattr(faulty, 'spoiled', 0)} of {len(faulty.runs)}"
    )
    return not counts.get(WRONG) and not counts.get(REFUSED)


if __name__ == "__main__":
    world_module.run_case(__file__, play)
