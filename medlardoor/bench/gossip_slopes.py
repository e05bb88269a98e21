"""Slopes of the gossip protocol: bytes, CPU time, memory and spread time.

Runs the controllers of one service in one process under simulated time, with
a plain loop instead of sockets. Run with
``python -m medlardoor.bench.gossip_slopes``.
"""

import dataclasses
import json
import random
import sys
import time
import tracemalloc

from medlardoor.blackboard import board, topics
from medlardoor.config import settings
from medlardoor.membership import gossip, group, messages
from medlardoor.wire import authentication, codec
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["Fleet", "Slopes", "measure"]

_SIZES = (3, 30, 150)
_SETTLE_S = 20
_MEASURE_S = 30
_SPREAD_ROUNDS = 5
_MAX_SPREAD_S = 30
_STEP_S = 0.05
_TRANSIT_S = 0.001
_HEADERS_BYTES = 28  # IPv4 and UDP.


@dataclasses.dataclass(frozen=True, slots=True)
class Slopes:
    """Figures of one group size.

    Attributes:
        members: Size of the group.
        sent_bytes_s: Bytes sent by one node in a second, with IP headers.
        largest_bytes: Largest datagram.
        cpu_share: CPU seconds of one node in a second, with encoding.
        bytes_per_member: Memory that a node needs for one known member.
        spread_median_s: Median time until all nodes know a new version.
        spread_max_s: Longest such time.
        suspicions: Members that were suspected though they were running, as
            a share of all judgements.
    """

    members: int
    sent_bytes_s: float
    largest_bytes: int
    cpu_share: float
    bytes_per_member: float
    spread_median_s: float
    spread_max_s: float
    suspicions: float


class Fleet:
    """All nodes of one service, joined by a loop instead of a network.

    Args:
        size: Number of nodes.
        seed: Seed of all randomness.
        loss: Share of datagrams that are lost.
    """

    def __init__(self, size: int, seed: int = 1, loss: float = 0.0):
        self._random = random.Random(seed)
        self._loss = loss
        self._key = authentication.ClusterKey("a key for measurements")
        self._now = 0.0
        self.sent_bytes = 0
        self.largest_bytes = 0
        self.nodes = [self._node(number) for number in range(size)]
        self._by_port = {n.own.gossip_port: n for n in self.nodes}
        self._phases = [self._random.random() for _ in self.nodes]
        self._next_tick = list(self._phases)

    @property
    def now(self) -> float:
        """Simulated time, in seconds."""
        return self._now

    def start(self) -> None:
        """Lets all nodes join by the first few of them."""
        seeds = [
            group.Address(n.own.host, n.own.gossip_port)
            for n in self.nodes[:64]
        ]
        for node in self.nodes:
            self.deliver(node.join(seeds, self._now))
            self.publish(node, node.own.document_version)

    def publish(self, node: gossip.GossipController, version: int) -> None:
        """Lets a node announce a document version and a varying load."""
        load = messages.LoadReport(
            slots=300,
            in_flight=self._random.randrange(300),
            document_version=version,
        )
        state = topics.MemberState.SERVING
        self.deliver(node.publish(state, load, self._now))

    def step(self) -> None:
        """Advances the time and ticks the nodes that are due."""
        self._now += _STEP_S
        for position, node in enumerate(self.nodes):
            if self._next_tick[position] <= self._now:
                self._next_tick[position] += 1.0
                self.publish(node, node.own.document_version)
                self.deliver(node.tick(self._now))

    def deliver(self, sends: list[messages.Send]) -> None:
        """Encodes, decodes and receives datagrams, and their answers."""
        pending = list(sends)
        while pending:
            send = pending.pop(0)
            data = codec.seal_datagram(
                ttypes.Message(digest=send.digest), self._key
            )
            self.sent_bytes += len(data) + _HEADERS_BYTES
            self.largest_bytes = max(self.largest_bytes, len(data))
            if self._random.random() < self._loss:
                continue
            message = codec.open_datagram(data, self._key).unwrap()
            node = self._by_port[send.port]
            pending += node.receive(message.digest, self._now + _TRANSIT_S)

    def _node(self, number: int) -> gossip.GossipController:
        own = topics.Member(
            instance=f"calculator-{number:04}",
            service="calculator",
            incarnation=1_700_000_000_000 + number,
            process_id=f"{self._random.getrandbits(64):016x}",
            host="10.123.200.100",
            peer_port=40_001,
            gossip_port=number + 1,
            failure_domain="region-a-1",
        )
        return gossip.GossipController(
            settings.GossipSettings(),
            board.Blackboard(own.instance, own.service, own.failure_domain),
            random.Random(number),
            own,
        )


def measure(size: int) -> Slopes:
    """Measures one group size."""
    fleet = Fleet(size)
    fleet.start()
    for _ in range(int(_SETTLE_S / _STEP_S)):
        fleet.step()
    suspicions, judgements = 0, 0
    fleet.sent_bytes = 0
    began = time.process_time()
    judged_s = 0.0
    for number in range(int(_MEASURE_S / _STEP_S)):
        fleet.step()
        if number % 20 == 0:
            judged_at = time.process_time()
            suspicions += _suspicions(fleet)
            judgements += size * (size - 1)
            judged_s += time.process_time() - judged_at
    used_s = time.process_time() - began - judged_s
    sent_bytes = fleet.sent_bytes
    spreads = sorted(_spread(fleet, n + 1) for n in range(_SPREAD_ROUNDS))
    return Slopes(
        members=size,
        sent_bytes_s=round(sent_bytes / size / _MEASURE_S, 1),
        largest_bytes=fleet.largest_bytes,
        cpu_share=round(used_s / size / _MEASURE_S, 6),
        bytes_per_member=round(_memory(size), 1),
        spread_median_s=round(spreads[len(spreads) // 2], 2),
        spread_max_s=round(spreads[-1], 2),
        suspicions=round(suspicions / judgements, 6),
    )


def _suspicions(fleet: Fleet) -> int:
    count = 0
    for node in fleet.nodes:
        usable = node.usable_members("calculator", fleet.now)
        count += len(fleet.nodes) - 1 - len(usable)
    return count


def _spread(fleet: Fleet, version: int) -> float:
    """Time until all nodes have heard of a version, in seconds.

    A node adopts a version as soon as it hears of it, as it does when the
    document is fetched from a peer in a few milliseconds.
    """
    began = fleet.now
    fleet.publish(fleet.nodes[0], version)
    while fleet.now - began < _MAX_SPREAD_S:
        behind = [n for n in fleet.nodes if n.own.document_version < version]
        if not behind:
            return fleet.now - began
        for node in behind:
            known = max(
                member.document_version
                for member in node.live_members(fleet.now)
            )
            if known >= version:
                fleet.publish(node, version)
        fleet.step()
    return float("inf")


def _memory(size: int) -> float:
    """Memory of one node for each member that it knows, in bytes."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        fleet = Fleet(size)
        empty = tracemalloc.get_traced_memory()[0] - before
        fleet.start()
        for _ in range(int(_SETTLE_S / _STEP_S)):
            fleet.step()
        full = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    return (full - empty) / size / (size - 1)


def main() -> None:
    """Prints one JSON line for each group size, given or of the page."""
    for size in map(int, sys.argv[1:] or _SIZES):
        line = json.dumps(dataclasses.asdict(measure(size)))
        sys.stdout.write(line + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()
