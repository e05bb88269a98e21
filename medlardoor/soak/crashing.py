"""A request that crashes upstreams, sent again and again over restarts."""

import random

import anyio

from medlardoor.platform import names
from medlardoor.soak import callers, documents, evidence
from medlardoor.soak import world as world_module
from medlardoor.standins import connections

__all__ = ["CrashingRequest"]

# How often one crashing request is sent, and the pause between two sends, in
# seconds.
SENDS = 14
SHORTEST_PAUSE_S = 0.4
LONGEST_PAUSE_S = 1.2
RESTART_S = 0.4

# A request is quarantined after three crashes. A node that was frozen or killed
# at a crash may not have told the others; more than twice as many mean that
# the quarantine does not hold.
MAX_CRASHES = 7


class CrashingRequest:
    """Sends crashing requests while nodes of their service are restarted.

    Args:
        world: Processes and stand-ins.
        generator: Source of all draws.
        log: Lines on what was done, and when.
    """

    def __init__(
        self,
        world: world_module.World,
        generator: random.Random,
        log: list[str],
    ):
        self._world = world
        self._generator = generator
        self._log = log
        self._pool = connections.ConnectionPool()
        self._kind = documents.KINDS[0]
        self._affected = [
            member
            for member in world.members
            if member.upstream.service == self._kind.service
        ]

    async def run(self, until_s: float) -> None:
        """Sends one crashing request after the other until a time.

        Args:
            until_s: End, in seconds of the ledger's time.
        """
        number = 0
        while self._world.ledger.now_s < until_s:
            number += 1
            await self._send_often(
                f"/{self._kind.name}/crash-{number}", until_s
            )

    async def _send_often(self, target: str, until_s: float) -> None:
        upstreams = [member.upstream for member in self._affected]
        for upstream in upstreams:
            upstream.crashes_on = target.encode()
            upstream.request_crashes = 0
        self._note(f"crashing request {target}")
        async with anyio.create_task_group() as group:
            group.start_soon(self._restart_upstreams)
            for number in range(SENDS):
                if self._world.ledger.now_s >= until_s:
                    break
                await self._send(target, f"{target[1:]}-{number}")
                if number % 3 == 2:
                    member = self._generator.choice(self._affected)
                    if member.process is not None and not member.is_stopping:
                        self._note(f"restart {member.name}")
                        await self._world.stop_node(member)
                await anyio.sleep(
                    self._generator.uniform(SHORTEST_PAUSE_S, LONGEST_PAUSE_S)
                )
            group.cancel_scope.cancel()
        crashes = 0
        for upstream in upstreams:
            upstream.crashes_on = b""
            crashes += upstream.request_crashes
        self._note(f"{crashes} crashes by {target}")
        if crashes > MAX_CRASHES:
            self._world.ledger.report(
                evidence.Promise.QUARANTINE,
                f"{target} crashed {crashes} upstreams",
            )

    async def _send(self, target: str, attempt: str) -> None:
        ledger = self._world.ledger
        team = documents.TEAMS[0]
        ledger.asked(
            self._kind.service, attempt, True, callers.DEADLINE_MS, team.name
        )
        message = connections.Message(
            "POST",
            target,
            {
                "Host": "soak.example",
                names.HEADERS.attempt_id.decode(): attempt,
                names.HEADERS.deadline_ms.decode(): str(callers.DEADLINE_MS),
                names.HEADERS.credentials.decode(): f"Token {team.key}",
            },
            b"",
        )
        member = self._generator.choice(self._world.members)
        host, port = member.address("outbound")
        limit_s = callers.DEADLINE_MS / 1_000 + callers.PATIENCE_S
        answer = await self._pool.exchange(f"{host}:{port}", message, limit_s)
        if answer.is_err():
            ledger.outcomes[f"crashing {answer.err_value.detail}"] += 1
            return
        status = answer.ok_value.status
        ledger.outcomes[f"crashing {status}"] += 1
        if status in callers.REFUSED:
            ledger.refused(attempt)

    async def _restart_upstreams(self) -> None:
        while True:
            await anyio.sleep(RESTART_S)
            for member in self._affected:
                if not member.upstream.is_running:
                    await member.upstream.start()

    def _note(self, text: str) -> None:
        self._log.append(f"{self._world.ledger.now_s:7.2f} s {text}")
