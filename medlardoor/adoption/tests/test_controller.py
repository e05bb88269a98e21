"""Tests of document adoption and of the isolation rule."""

import hashlib
import random

import hypothesis
from hypothesis import strategies
import result

from medlardoor import errors
from medlardoor.adoption import controller
from medlardoor.blackboard import board, topics
from medlardoor.config import policy, settings
from medlardoor.membership import gossip
from medlardoor.wire.generated.medlardoor_messages import ttypes

PHASE = controller.AdoptionPhase


class Parser(controller.ObjectParser):
    """Accepts all values that do not start with ``wrong``."""

    def parse(self, value):
        if value.startswith(b"wrong"):
            fault = errors.Fault("$", 1, "a document")
            return result.Err(errors.InvalidInput("document", (fault,)))
        parsed = policy.Policy(value.decode(), (), {}, {})
        return result.Ok(controller.ParsedObject(parsed))

    async def prepare(self, value):
        pass


class Node:
    """An adoption controller with its blackboard and gossip controller."""

    def __init__(self, instance="order-5"):
        own = topics.Member(instance, "order", 1, "p", gossip_port=1, host="h")
        self.board = board.Blackboard(instance, "order", "a")
        limits = settings.GossipSettings()
        self.gossip = gossip.GossipController(
            limits, self.board, random.Random(1), own
        )
        self.adoption = controller.AdoptionController(
            limits, self.board, random.Random(1), self.gossip, Parser()
        )

    def receive_record(self, instance, version, now, failure_domain=""):
        """Receives a digest with the record of another member."""
        known = self.board.membership.members.get(instance)
        beat = known.heartbeat + 1 if known else 1
        record = ttypes.MemberRecord(
            instance=instance,
            incarnation=1,
            heartbeat=beat,
            state=ttypes.MemberState.SERVING,
            host="127.0.0.1",
            peer_port=1,
            gossip_port=2,
            process_id=instance,
            document_version=version,
            failure_domain=failure_domain,
        )
        digest = ttypes.Digest("order", instance, 1, beat, [record], False)
        self.gossip.receive(digest, now)
        return self.board.membership.members[instance]


def _transfer(version, value):
    return ttypes.DocumentTransfer(
        version, hashlib.sha256(value).digest(), value
    )


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(1, 9), strategies.booleans())
    )
)
def test_version_never_reverts(offers):
    """A late or duplicated document must not restore an older version."""
    node = Node()
    expected_version = 0
    for version, valid in offers:
        value = b"%d" % version if valid else b"wrong"
        answer = node.adoption.offer(version, value, 0.0)
        adopted = valid and version > expected_version
        assert isinstance(answer, controller.Adopted) == adopted
        expected_version = version if adopted else expected_version
        assert node.board.policy.version == expected_version
        if expected_version:
            assert node.board.policy.policy.environment == str(expected_version)


def test_wrong_object_leaves_the_one_in_force():
    """An invalid object must not be adopted or fetched repeatedly."""
    node = Node()
    node.adoption.offer(1, b"good", 0.0)
    answer = node.adoption.offer(2, b"wrong", 1.0)
    assert isinstance(answer, controller.Rejected)
    assert answer.failure.faults
    assert node.board.policy.value == b"good"
    member = node.receive_record("order-1", 2, 1.0)
    assert node.adoption.observe_version(2, member, 1.0) is None
    node.adoption.confirm(2.0)
    assert node.board.policy.confirmed_at is None
    assert isinstance(
        node.adoption.offer(3, b"better", 3.0), controller.Adopted
    )


def test_damaged_transfer_is_fetched_from_another_peer():
    """A truncated transfer must not be adopted or block the intact version."""
    node = Node()
    first = node.receive_record("order-1", 7, 0.0)
    node.receive_record("order-2", 7, 0.0)
    fetch = node.adoption.observe_version(7, first, 0.0)
    assert fetch.member is first
    damaged = _transfer(7, b"value")
    damaged.value = b"val"
    answer = node.adoption.offer_transfer(damaged, 0.1)
    assert isinstance(answer, controller.Rejected)
    again = node.adoption.tick(0.1)
    assert again.member.instance == "order-2"
    answer = node.adoption.offer_transfer(_transfer(7, b"value"), 0.2)
    assert isinstance(answer, controller.Adopted)
    assert node.adoption.tick(5.0) is None


def test_one_fetch_at_a_time_and_another_peer_after_a_second():
    """Calls that report the same new version must not each start a fetch."""
    node = Node()
    first = node.receive_record("order-1", 7, 0.0)
    second = node.receive_record("order-2", 7, 0.0)
    assert node.adoption.observe_version(7, first, 0.0) is not None
    assert node.adoption.observe_version(7, second, 0.5) is None
    assert node.adoption.tick(0.9) is None
    later = node.adoption.tick(1.1)
    assert later.member is second
    assert not node.adoption.is_peer_delivery_overdue(2.0)
    assert node.adoption.is_peer_delivery_overdue(4.0)


def test_two_lowest_live_members_watch():
    """A failed watcher must be replaced, but not all nodes may watch."""
    node = Node("order-3")
    node.gossip.tick(0.0)
    assert node.adoption.is_watcher(0.0)
    for instance in ("order-1", "order-2", "order-4"):
        node.receive_record(instance, 1, 0.0)
    assert not node.adoption.is_watcher(0.0)
    for second in range(1, 9):
        node.gossip.tick(float(second))
        node.receive_record("order-2", 1, float(second))
    assert node.adoption.is_watcher(8.0)


def test_node_without_document_refuses():
    """A node must refuse requests before it has a document."""
    node = Node()
    assert node.adoption.refusal().reason is errors.Reason.NO_CONFIGURATION
    assert node.adoption.refusal().outcome is errors.Outcome.NOT_RUN
    node.adoption.offer(1, b"good", 0.0)
    assert node.adoption.refusal() is None


def test_isolated_node_catches_up_before_it_serves():
    """A node that was partitioned must not serve under an old document."""
    node = Node()
    node.adoption.offer(1, b"old", 0.0)
    node.receive_record("order-1", 1, 0.0)
    node.adoption.tick(9.0)
    assert node.adoption.phase is PHASE.IN_FORCE
    node.adoption.tick(11.0)
    assert node.adoption.refusal().reason is errors.Reason.ISOLATED
    node.receive_record("order-1", 2, 30.0)
    assert node.adoption.tick(30.0) is not None
    assert node.adoption.phase is PHASE.ISOLATED
    node.adoption.offer_transfer(_transfer(2, b"new"), 30.1)
    node.adoption.tick(30.2)
    assert node.adoption.phase is PHASE.IN_FORCE


def test_lone_node_and_node_with_platform_are_not_isolated():
    """A service of one node must keep serving without the platform."""
    lone, connected = Node(), Node()
    for node in (lone, connected):
        node.adoption.offer(1, b"good", 0.0)
    connected.receive_record("order-1", 1, 0.0)
    for second in range(0, 60, 5):
        connected.adoption.confirm(float(second))
    for node in (lone, connected):
        node.adoption.tick(60.0)
        assert node.adoption.phase is PHASE.IN_FORCE


def test_watchers_are_in_two_failure_domains():
    """A failure domain without the platform must not contain both watchers."""
    node = Node("order-2")
    node.gossip.own.failure_domain = "a"
    node.receive_record("order-1", 1, 1.0, "a")
    assert node.adoption.is_watcher(1.0)
    node.receive_record("order-3", 1, 1.0, "b")
    assert not node.adoption.is_watcher(1.0)
