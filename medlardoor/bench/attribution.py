"""Simulation of crash attribution over the product's own classes.

A few nodes run orders while the caller of a crashing one repeats it. The table
shows how often innocent requests are quarantined, and how many upstreams the
crashing one terminates before it is refused everywhere.
"""

from collections import abc
import dataclasses
import heapq
import itertools
import random
import statistics
import sys

import anyio
import logbook

from medlardoor.blackboard import board as board_module
from medlardoor.mesh import crashes, runs
from medlardoor.quarantine import controller as quarantine_module
from medlardoor.quarantine import fingerprints
from medlardoor.quarantine import settings as quarantine_settings
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["Case", "Outcome", "main", "simulate"]

LINK_DELAY_S = 0.002
RESTART_S = 2.0
# A crash follows this long after the start of the crashing request.
CRASH_DELAY_S = 0.02
REPEAT_DELAY_S = 0.05
WARM_UP_S = 20.0
DURATION_S = 50.0
CRASHING_TARGET = b"/crashing"
POPULAR_TARGET = b"/popular"


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Traffic of one simulation.

    Attributes:
        rate_per_s: Orders of all nodes together, per second.
        popular_share: Share of the orders that are the same innocent request.
        copies: Number of copies of the crashing request that are sent at the
            same moment.
        nodes: Number of nodes, each with one upstream.
        service_s: Mean time that an order runs, in seconds.
    """

    rate_per_s: float
    popular_share: float
    copies: int
    nodes: int = 6
    service_s: float = 0.5


@dataclasses.dataclass(slots=True)
class Outcome:
    """What one simulation showed.

    Attributes:
        popular_quarantined: Whether the popular request was quarantined.
        others_quarantined: Number of other innocent requests quarantined.
        crashes: Number of upstreams that were terminated.
        is_contained: Whether the crashing request was refused at the end.
    """

    popular_quarantined: bool
    others_quarantined: int
    crashes: int
    is_contained: bool


class _Node:
    def __init__(self, world: "_World", name: str):
        board = board_module.Blackboard(name, "orders", "d1")
        quarantine = quarantine_module.QuarantineController(
            quarantine_settings.QuarantineSettings(),
            board,
            random.Random(world.random.random()),
        )
        self.topic = board.quarantine
        self.tracker = crashes.CrashTracker(
            quarantine, board, lambda frame: world.publish(self, frame)
        )
        self.running: dict[int, runs.Run] = {}
        self.up_at = 0.0


class _World:
    def __init__(self, case: Case, seed: int):
        self.case = case
        self.random = random.Random(seed)
        self.now = 0.0
        self.crashes = 0
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._sequence = itertools.count()
        self.nodes = [_Node(self, f"n{n}") for n in range(case.nodes)]

    def at(self, delay_s: float, action: abc.Callable[[], None]) -> None:
        event = (self.now + delay_s, next(self._sequence), action)
        heapq.heappush(self._events, event)

    def publish(self, sender: _Node, frame: ttypes.Frame) -> None:
        for node in self.nodes:
            if node is not sender:
                self.at(
                    LINK_DELAY_S, lambda node=node: self._deliver(node, frame)
                )

    def run(self) -> None:
        self._arrive()
        for _ in range(self.case.copies):
            self.at(WARM_UP_S, lambda: self._send(CRASHING_TARGET))
        while self._events[0][0] < DURATION_S:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def _deliver(self, node: _Node, frame: ttypes.Frame) -> None:
        if frame.crash_report is not None:
            node.tracker.receive_report(frame.crash_report, self.now)
        else:
            node.tracker.receive_update(frame.quarantine_update, self.now)

    def _arrive(self) -> None:
        self.at(self.random.expovariate(self.case.rate_per_s), self._arrive)
        is_popular = self.random.random() < self.case.popular_share
        self._send(
            POPULAR_TARGET
            if is_popular
            else b"/order/%d" % next(self._sequence)
        )

    def _send(self, target: bytes) -> None:
        usable = [node for node in self.nodes if node.up_at <= self.now]
        if not usable:
            self.at(REPEAT_DELAY_S, lambda: self._send(target))
            return
        node = self.random.choice(usable)
        run = runs.Run(
            "orders", b"a", b"POST", target, b"", b"", 9e9, 9e9, 0, True
        )
        if not node.tracker.may_start(run, self.now):
            # A suspect waits for another one; a quarantined one is refused.
            if not self._is_quarantined(node, run):
                self.at(REPEAT_DELAY_S, lambda: self._send(target))
            return
        key = next(self._sequence)
        node.running[key] = run
        node.tracker.started(key, run, self.now)
        if target == CRASHING_TARGET:
            self.at(CRASH_DELAY_S, lambda: self._crash(node, key))
        else:
            delay_s = self.random.expovariate(1 / self.case.service_s)
            self.at(delay_s, lambda: self._end(node, key))

    def _is_quarantined(self, node: _Node, run: runs.Run) -> bool:
        return _fingerprint(run.target) in node.topic.quarantined

    def _end(self, node: _Node, key: int) -> None:
        if node.running.pop(key, None) is not None:
            node.tracker.finished(key, True, False, self.now)

    def _crash(self, node: _Node, key: int) -> None:
        if key not in node.running:
            return
        self.crashes += 1
        broken, node.running = node.running, {}
        for broken_key in broken:
            node.tracker.finished(broken_key, False, True, self.now)
        node.tracker.upstream_terminated(self.now)
        node.up_at = self.now + RESTART_S
        for run in broken.values():
            self.at(
                REPEAT_DELAY_S, lambda target=run.target: self._send(target)
            )


def simulate(case: Case, seed: int) -> Outcome:
    """Simulates one case.

    Args:
        case: The traffic.
        seed: Seed of arrivals, durations and choices of nodes.
    """
    world = _World(case, seed)
    with logbook.NullHandler():
        world.run()
    quarantined: set[bytes] = set()
    for node in world.nodes:
        quarantined.update(node.topic.quarantined)
    popular = _fingerprint(POPULAR_TARGET)
    crashing = _fingerprint(CRASHING_TARGET)
    return Outcome(
        popular in quarantined,
        len(quarantined - {popular, crashing}),
        world.crashes,
        crashing in quarantined,
    )


def _fingerprint(target: bytes) -> bytes:
    return fingerprints.fingerprint("orders", "POST", target.decode(), b"")


async def main() -> None:
    """Prints the table of all cases."""
    sys.stdout.write("rate share copies popular others crashes contained\n")
    for rate, copies, share in itertools.product(
        (2.0, 10.0, 40.0), (1, 3), (0.001, 0.01, 0.1, 0.3, 0.6)
    ):
        case = Case(rate, share, copies)
        found = [simulate(case, seed) for seed in range(40)]
        popular = statistics.mean(o.popular_quarantined for o in found)
        others = statistics.mean(o.others_quarantined for o in found)
        crash_count = statistics.mean(o.crashes for o in found)
        contained = statistics.mean(o.is_contained for o in found)
        sys.stdout.write(
            f"{rate:4.0f} {share:5.1%} {copies:6d} {popular:7.3f}"
            f" {others:6.3f} {crash_count:7.2f} {contained:9.3f}\n"
        )


if __name__ == "__main__":
    # The logs of the nodes need the clock of an event loop.
    anyio.run(main)
