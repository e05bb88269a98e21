"""Simulated network of gossip controllers for tests."""

import random

from medlardoor.blackboard import board, topics
from medlardoor.config import settings
from medlardoor.membership import gossip, group, messages
from medlardoor.wire import authentication, codec
from medlardoor.wire.generated.medlardoor_messages import ttypes

SERVICE = "order"
KEY = authentication.ClusterKey("a key for tests only")


def node(number, incarnation=1, service=SERVICE, process_id=None):
    """Creates a controller whose gossip port is its number."""
    own = topics.Member(
        instance=f"{service}-{number:03}",
        service=service,
        incarnation=incarnation,
        process_id=process_id or f"p{number}-{incarnation}",
        host="127.0.0.1",
        peer_port=10_000 + number,
        gossip_port=number,
        failure_domain="a",
    )
    return gossip.GossipController(
        settings.GossipSettings(),
        board.Blackboard(own.instance, service, "a"),
        random.Random(number),
        own,
    )


def address(controller):
    return group.Address(controller.own.host, controller.own.gossip_port)


def serving(version=0, level=0):
    return messages.LoadReport(slots=8, document_version=version, level=level)


class Network:
    """Delivers digests immediately unless their link is cut; records them."""

    def __init__(self, nodes, now=100.0):
        self.nodes = {n.own.gossip_port: n for n in nodes}
        self.now = now
        self.cut_links = set()
        self.largest = 0
        self.sent = []

    def join(self):
        seeds = [address(n) for n in self.nodes.values()]
        for controller in self.nodes.values():
            self.deliver(controller, controller.join(seeds, self.now))
            self.publish(controller, topics.MemberState.SERVING)

    def publish(self, controller, state, **load):
        report = serving(**load)
        sends = controller.publish(state, report, self.now)
        self.deliver(controller, sends)
        return sends

    def deliver(self, sender, sends):
        pending = [(sender, send) for send in sends]
        while pending:
            source, send = pending.pop(0)
            data = codec.seal_datagram(ttypes.Message(digest=send.digest), KEY)
            self.largest = max(self.largest, len(data))
            self.sent.append(send)
            target = self.nodes.get(send.port)
            pair = frozenset({source.own.gossip_port, send.port})
            if target is None or pair in self.cut_links:
                continue
            digest = codec.open_datagram(data, KEY).unwrap().digest
            answers = target.receive(digest, self.now)
            pending += [(target, answer) for answer in answers]

    def run(self, seconds, paused=()):
        for _ in range(seconds):
            self.now += 1.0
            for port, controller in list(self.nodes.items()):
                if port not in paused:
                    self.deliver(controller, controller.tick(self.now))
