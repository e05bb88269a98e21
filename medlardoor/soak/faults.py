"""Series of faults that overlap, drawn from a seed."""

import asyncio
import random
import signal
import typing

import anyio

from medlardoor.soak import documents, evidence, relay, upstream_faults
from medlardoor.soak import world as world_module
from medlardoor.standins import object_store

__all__ = ["FaultSeries"]

# Longest time without a new fault, in seconds.
MAX_PAUSE_S = 1.5

# How long one fault lasts, in seconds.
SHORTEST_S = 0.3
LONGEST_S = 4.0

# Bounds of a return of the store: the pause before it, the age of the copy, how
# long the store is away, and the time until the operator writes again, all in
# seconds, and the number of changes that are lost.
RETURN_PAUSE_S = 12.0
COPY_AGE_S = 6.0
AWAY_S = 2.0
MAX_LOST_CHANGES = 4
WRITTEN_AGAIN_S = 1.5

# Longest pause before a spell of shed requests and late copies, and its longest
# duration, in seconds. All upstreams of a service shed a share of their
# requests; two of them repeat a share of their answers.
SPELL_PAUSE_S = 4.0
SPELL_S = 6.0
SPELL_SHED = (0.3, 0.7)
SPELL_LATE = (0.05, 0.5)

# What an upstream serves on after its leaving was acknowledged, in seconds.
DRAIN_S = 2.5

RESTART_S = 0.5

# Limit that an upstream names, in requests a second, how long the nodes may
# take to keep to it, and the window in which they must. Times in seconds.
NAMED_LIMIT_PER_S = 2.0
LIMIT_SETTLES_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_ALLOWED = NAMED_LIMIT_PER_S * LIMIT_WINDOW_S * 1.5 + 5

# A pause of the soak's own process that is worth noting, in seconds.
STALL_S = 0.4

Member = world_module.Member
Step = typing.Callable[[], typing.Awaitable[None]]


class FaultSeries:
    """Injects faults for a while.

    Args:
        world: Processes and stand-ins.
        generator: Source of all random draws.
    """

    def __init__(self, world: world_module.World, generator: random.Random):
        self._world = world
        self._generator = generator
        self._active = 0
        self._last_end = 0.0
        self._stalled_at = 0.0
        self.log: list[str] = []

    @property
    def stalled_at(self) -> float:
        """When this process last stood still, in seconds since the start."""
        return self._stalled_at

    def is_calm(self, member: Member) -> bool:
        """Whether nothing but planned work has disturbed a run lately."""
        now = self._world.ledger.now_s
        return (
            self._active == 0
            and now - self._last_end > world_module.CALM_AFTER_S
            and now > member.disturbed_until
        )

    async def run(self, until_s: float) -> None:
        """Injects faults until a time.

        Args:
            until_s: End, in seconds of the ledger's time.
        """
        draw = self._generator
        planned = (
            self._stop_node,
            self._hang_up,
            self._move_route,
            self._limit_upstream,
        )
        unplanned = (
            self._kill_node,
            self._freeze_node,
            self._crash_upstream,
            self._replace_upstream,
            self._spoil_upstream,
            self._spoil_store,
            self._cut_store,
            self._cut_link,
            self._reset_links,
            self._silence_connections,
            self._leave_early,
        )
        async with anyio.create_task_group() as group:
            while self._world.ledger.now_s < until_s:
                if draw.random() < 0.3:
                    group.start_soon(self._planned, draw.choice(planned))
                else:
                    group.start_soon(self._unplanned, draw.choice(unplanned))
                if draw.random() < 0.1:
                    # Planned work is only judged without other faults.
                    await anyio.sleep(
                        LONGEST_S + world_module.CALM_AFTER_S + 1.0
                    )
                    group.start_soon(self._planned, draw.choice(planned))
                    await anyio.sleep(LONGEST_S)
                await anyio.sleep(draw.uniform(0.0, MAX_PAUSE_S))

    async def return_store(
        self, until_s: float, generator: random.Random
    ) -> None:
        """Lets the store return from older copies until a time.

        Some changes of a route are lost. Afterwards the operator writes the
        last one again, and then makes another one.

        Args:
            until_s: End, in seconds of the ledger's time.
            generator: Source of the draws, so that those of the other faults
                do not depend on returns.
        """
        ledger = self._world.ledger
        store = self._world.store
        while True:
            await anyio.sleep(generator.uniform(0.0, RETURN_PAUSE_S))
            older = store.copy()
            for _ in range(generator.randrange(MAX_LOST_CHANGES + 1)):
                self._move_browsing(generator)
            await anyio.sleep(generator.uniform(0.0, COPY_AGE_S))
            if ledger.now_s >= until_s:
                return
            self.log.append(f"{ledger.now_s:7.2f} s return_store")
            self._active += 1
            store.fault = generator.choice(
                (object_store.StoreFault.BUSY, object_store.StoreFault.SILENT)
            )
            await anyio.sleep(generator.uniform(0.0, AWAY_S))
            store.restore(older)
            store.fault = object_store.StoreFault.NONE
            await anyio.sleep(generator.uniform(0.0, WRITTEN_AGAIN_S))
            self._world.write_document_again()
            self._move_browsing(generator)
            self._active -= 1
            self._last_end = ledger.now_s

    async def repeat_answers(
        self, until_s: float, generator: random.Random
    ) -> None:
        """Lets the upstreams of a service shed, and some repeat answers late.

        Args:
            until_s: End, in seconds of the ledger's time.
            generator: Source of the draws of the spells.
        """
        ledger = self._world.ledger
        while ledger.now_s < until_s:
            await anyio.sleep(generator.uniform(0.0, SPELL_PAUSE_S))
            service = generator.choice(documents.SERVICES)
            self.log.append(f"{ledger.now_s:7.2f} s repeat_answers {service}")
            affected = [
                member.upstream
                for member in self._world.members
                if member.upstream.service == service
            ]
            self._active += 1
            shed = generator.uniform(*SPELL_SHED)
            for upstream in affected:
                upstream.fault.shed = shed
            for upstream in generator.sample(affected, 2):
                upstream.fault.late = generator.uniform(*SPELL_LATE)
            await anyio.sleep(generator.uniform(SHORTEST_S, SPELL_S))
            for upstream in affected:
                upstream.fault.shed = upstream.fault.late = 0.0
            self._active -= 1
            self._last_end = ledger.now_s

    async def watch_own_stalls(self) -> None:
        """Notes when this process itself stood still, for ever.

        Its callers then time out on answers that wait in their connections,
        which says nothing about the nodes.
        """
        ledger = self._world.ledger
        while True:
            begun_s = ledger.now_s
            await anyio.sleep(STALL_S / 2)
            if ledger.now_s - begun_s > STALL_S:
                self._last_end = self._stalled_at = ledger.now_s
                self.log.append(f"{begun_s:7.2f} s the soak itself stalled")

    async def _planned(self, fault) -> None:
        member = self._generator.choice(self._world.members)
        self._note(fault, member)
        await fault(member)

    async def _unplanned(self, fault) -> None:
        member = self._generator.choice(self._world.members)
        self._note(fault, member)
        self._active += 1
        try:
            await fault(member)
        finally:
            self._active -= 1
            self._last_end = self._world.ledger.now_s

    def _note(self, fault, member: Member) -> None:
        name = fault.__name__.strip("_")
        now = self._world.ledger.now_s
        self.log.append(f"{now:7.2f} s {name} {member.name}")

    def _duration(self) -> float:
        return self._generator.uniform(SHORTEST_S, LONGEST_S)

    async def _stop_node(self, member: Member) -> None:
        if member.process is None or member.is_stopping:
            return
        await self._world.stop_node(member)
        # The new process needs a moment before it serves.
        member.disturbed_until = self._world.ledger.now_s + 2.0

    async def _hang_up(self, member: Member) -> None:
        if member.process is not None:
            member.process.send_signal(signal.SIGHUP)

    async def _move_route(self, member: Member) -> None:
        self._move_browsing(self._generator)

    def _move_browsing(self, generator: random.Random) -> None:
        target = generator.choice(documents.SERVICES)
        self._world.write_document(browse=target)

    async def _limit_upstream(self, member: Member) -> None:
        """Lets an upstream name a limit and checks what it then gets.

        A node that was started again, or an upstream that was, has to hear of
        the limit first.
        """
        upstream = member.upstream
        if upstream.named_limit is not None:
            return
        upstream.named_limit = NAMED_LIMIT_PER_S
        await anyio.sleep(LIMIT_SETTLES_S)
        before = (member.process, upstream.upstream_id)
        arrivals = upstream.arrivals
        await anyio.sleep(LIMIT_WINDOW_S)
        count = upstream.arrivals - arrivals
        upstream.named_limit = None
        is_same = before == (member.process, upstream.upstream_id)
        if is_same and count > LIMIT_ALLOWED:
            self._world.ledger.report(
                evidence.Promise.NAMED_LIMIT,
                f"{upstream.upstream_id} got {count} of {LIMIT_ALLOWED:.0f}",
            )

    async def _kill_node(self, member: Member) -> None:
        if member.process is None or member.is_stopping:
            return
        self._world.kill_node(member)
        await anyio.sleep(self._generator.uniform(0.0, RESTART_S))
        self._world.start_node(member)
        await anyio.sleep(1.0)

    async def _freeze_node(self, member: Member) -> None:
        process = member.process
        if process is None:
            return
        process.send_signal(signal.SIGSTOP)
        member.frozen = process
        await anyio.sleep(self._duration())
        process.send_signal(signal.SIGCONT)
        if member.frozen is process:
            member.frozen = None

    async def _crash_upstream(self, member: Member) -> None:
        if not member.upstream.is_running:
            return
        member.upstream.crash()
        await anyio.sleep(self._duration())
        await member.upstream.start()

    async def _replace_upstream(self, member: Member) -> None:
        if not member.upstream.is_running:
            return
        await member.upstream.leave(DRAIN_S)
        await member.upstream.start()

    async def _spoil_upstream(self, member: Member) -> None:
        draw = self._generator
        faults = {
            "slow": draw.uniform(2.0, 20.0),
            "shed": draw.uniform(0.1, 0.9),
            "fail": draw.uniform(0.1, 0.9),
            "cut": draw.uniform(0.1, 0.6),
            "extra": draw.uniform(0.1, 0.6),
            "lose": draw.uniform(0.1, 0.6),
            "page": draw.uniform(0.1, 0.6),
        }
        name = draw.choice(list(faults))
        setattr(member.upstream.fault, name, faults[name])
        await anyio.sleep(self._duration())
        member.upstream.fault = upstream_faults.UpstreamFault()

    async def _spoil_store(self, member: Member) -> None:
        store = self._world.store
        fault = self._generator.choice(list(object_store.StoreFault))
        if fault is object_store.StoreFault.NONE:
            store.delay_s = self._generator.uniform(0.05, 0.8)
            store.forget_history()
        store.fault = fault
        await anyio.sleep(self._duration())
        store.fault = object_store.StoreFault.NONE
        store.delay_s = 0.0

    async def _cut_store(self, member: Member) -> None:
        await self._spoil_relay(member.store_relay)

    async def _cut_link(self, member: Member) -> None:
        await self._spoil_relay(member.link_relay)

    async def _spoil_relay(self, cut: relay.Relay) -> None:
        cut.fault = self._generator.choice(list(relay.RelayFault))
        await anyio.sleep(self._duration())
        cut.fault = relay.RelayFault.NONE

    async def _reset_links(self, member: Member) -> None:
        member.link_relay.reset()
        member.store_relay.reset()
        await asyncio.sleep(0)

    async def _silence_connections(self, member: Member) -> None:
        """Ends all open connections without a reset, then moves a route."""
        for each in self._world.members:
            each.link_relay.silence()
            each.store_relay.silence()
        await anyio.sleep(self._generator.uniform(0.0, SHORTEST_S))
        await self._move_route(member)

    async def _leave_early(self, member: Member) -> None:
        member.caller.leaves_early = 0.5
        await anyio.sleep(self._duration())
        member.caller.leaves_early = 0.0
