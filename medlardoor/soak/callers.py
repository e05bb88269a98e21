"""Callers of the soak: they keep their connections and check each answer."""

import collections.abc
import dataclasses
import itertools
import random

import anyio
import result

from medlardoor.platform import names
from medlardoor.soak import evidence, upstreams
from medlardoor.standins import connections

__all__ = ["CallKind", "CallTeam", "Caller"]

DEADLINE_MS = 2_000
REFUSED = (408, 421, 429, 503)
DENIED = 401
LIMITED = 429

# Share of the requests with a key that no document has.
FORGED_SHARE = 0.02
FORGED_KEY = "forged"

# A caller that gets no answer at all waits so long after its deadline.
PATIENCE_S = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class CallKind:
    """A kind of request.

    Attributes:
        name: Name, which is also its path prefix.
        service: Service that it goes to.
        is_unsafe: Whether it may run once at most.
        weight: Share of the requests.
    """

    name: str
    service: str
    is_unsafe: bool
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallTeam:
    """A team of callers.

    Attributes:
        name: Name of the team.
        key: Its key.
        rate_per_s: Limit of its requests a second over all nodes.
        burst: Its burst.
        weight: Share of the requests.
    """

    name: str
    key: str
    rate_per_s: int
    burst: int
    weight: float


class Caller:
    """Sends requests to one node from a few kept connections.

    Args:
        address: Where the node listens for callers.
        kinds: Kinds of requests.
        teams: Teams that the requests are sent for.
        ledger: What the soak has seen.
        generator: Source of random draws.
        rate: Requests a second.
        is_calm: Tells whether nothing but planned work disturbs the node.
    """

    _numbers = itertools.count(1)

    def __init__(
        self,
        address: tuple[str, int],
        kinds: tuple[CallKind, ...],
        teams: tuple[CallTeam, ...],
        ledger: evidence.Ledger,
        generator: random.Random,
        rate: float,
        is_calm: collections.abc.Callable[[], bool],
    ):
        self._address = address
        self._kinds = kinds
        self._teams = teams
        self._ledger = ledger
        self._generator = generator
        self._rate = rate
        self._is_calm = is_calm
        self._pool = connections.ConnectionPool()
        self.recent: list[bool] = []
        self.leaves_early = 0.0
        self.is_taken_out = False

    async def run(self) -> None:
        """Sends requests for ever."""
        async with anyio.create_task_group() as group:
            while True:
                pause_s = self._generator.expovariate(self._rate)
                await anyio.sleep(pause_s)
                if not self.is_taken_out:
                    group.start_soon(self._call)

    async def _call(self) -> None:
        kind = self._generator.choices(
            self._kinds, [k.weight for k in self._kinds]
        )[0]
        attempt = f"{next(self._numbers):x}-{self._generator.getrandbits(32):x}"
        team = self._generator.choices(
            self._teams, [t.weight for t in self._teams]
        )[0]
        is_forged = self._generator.random() < FORGED_SHARE
        key = FORGED_KEY if is_forged else team.key
        self._ledger.asked(
            kind.service,
            attempt,
            kind.is_unsafe,
            DEADLINE_MS,
            "" if is_forged else team.name,
        )
        message = connections.Message(
            "POST" if kind.is_unsafe else "GET",
            f"/{kind.name}/{attempt}",
            {
                "Host": "soak.example",
                names.HEADERS.attempt_id.decode(): attempt,
                names.HEADERS.deadline_ms.decode(): str(DEADLINE_MS),
                names.HEADERS.credentials.decode(): f"Token {key}",
            },
            b"x" * self._generator.randrange(2_000) if kind.is_unsafe else b"",
        )
        limit_s = DEADLINE_MS / 1_000 + PATIENCE_S
        if self._generator.random() < self.leaves_early:
            limit_s = 0.02
        began_calm = self._is_calm()
        host, port = self._address
        answer = await self._pool.exchange(f"{host}:{port}", message, limit_s)
        left_early = limit_s < 1
        self._judge(kind, attempt, answer, began_calm and not left_early)

    def _judge(
        self,
        kind: CallKind,
        attempt: str,
        answer: result.Result[connections.Answer, connections.ExchangeFailed],
        began_calm: bool,
    ) -> None:
        ledger = self._ledger
        if answer.is_err():
            failure = answer.err_value
            ledger.outcomes[f"{kind.name} {failure.detail}"] += 1
            if failure.sent and began_calm and self._is_calm():
                ledger.report(
                    evidence.Promise.STOP,
                    f"{attempt} ({kind.name}): {failure.detail}",
                )
            return
        found = answer.ok_value
        ledger.outcomes[f"{kind.name} {found.status}"] += 1
        if found.status not in (DENIED, LIMITED):
            self.recent.append(found.status == 200)
        if found.status in REFUSED:
            ledger.refused(attempt)
        elif found.status == 200:
            self._check_whole(attempt, found)
            self._note_leaving(found)
            if began_calm:
                ledger.check_document(kind.name, attempt)

    def _note_leaving(self, found: connections.Answer) -> None:
        """Records that the node has passed on that an upstream leaves."""
        if names.HEADERS.leaving.decode().lower() in found.headers:
            self._ledger.acknowledged_leaving(
                found.headers[upstreams.ID_HEADER.decode().lower()]
            )

    def _check_whole(self, attempt: str, found: connections.Answer) -> None:
        own = found.headers.get(names.HEADERS.attempt_id.decode().lower())
        upstream_id = found.headers.get(
            upstreams.ID_HEADER.decode().lower(), ""
        )
        seal = found.headers.get(names.HEADERS.seal.decode().lower())
        wanted = upstreams.seal_of(upstream_id, attempt, found.body)
        if own != attempt or seal != wanted:
            self._ledger.report(
                evidence.Promise.WHOLE, f"{attempt}: answer of {own}"
            )
