"""Tests of the admission controller."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from medlardoor import errors
from medlardoor.admission import controller as controller_module
from medlardoor.admission import levels
from medlardoor.blackboard import board as board_module
from medlardoor.blackboard import topics
from medlardoor.calls import context
from medlardoor.config import settings as settings_module

ANSWERED = errors.Outcome.ANSWERED
CATCH_UP_S = 1.0


class SimulatedNode:
    """An admission controller with an upstream of fixed service time."""

    def __init__(self, slots=4, service_s=0.05, seed=1):
        self.board = board_module.Blackboard("a-1", "a", "a")
        self.board.load.reported_slots = slots
        self.controller = controller_module.AdmissionController(
            settings_module.AdmissionSettings(),
            self.board,
            random.Random(seed),
        )
        self.service_s = service_s
        self.generator = random.Random(seed)
        self.calls = {}
        self.running = {}
        self.now = 0.0
        self.started = []
        self.refused = []

    def call(self, rank, timeout_s=2.0, max_wait_s=0.5):
        chain_id = self.generator.randbytes(16)
        call = context.CallContext(
            chain_id,
            len(self.calls),
            "t",
            f"kind-{rank}",
            rank,
            levels.level_of(rank, chain_id),
            self.now + timeout_s,
            max_wait_s=max_wait_s,
        )
        self.calls[call.call_id] = call
        return call

    def offer(self, call):
        decision = self.controller.offer(call, self.now)
        if isinstance(decision, controller_module.Admitted):
            self._start(call.call_id)
        elif isinstance(decision, controller_module.Refused):
            self._refuse(call.call_id, decision.refusal)
        return decision

    def advance(self, seconds):
        """Simulates completions and ticks in steps of 10 ms."""
        for _ in range(round(seconds * 100)):
            self.now += 0.01
            due = [i for i, at in self.running.items() if at <= self.now]
            for call_id in due:
                del self.running[call_id]
                completion = controller_module.Completion(
                    self.service_s, ANSWERED
                )
                self._act(self.controller.finish(call_id, completion, self.now))
            if round(self.now * 100) % 10 == 0:
                self._act(self.controller.tick(self.now))

    def _act(self, actions):
        for action in actions:
            if isinstance(action, controller_module.Start):
                self._start(action.call_id)
            else:
                self._refuse(action.call_id, action.refusal)

    def _start(self, call_id):
        self.running[call_id] = self.now + self.service_s
        self.started.append((self.now, self.calls[call_id]))

    def _refuse(self, call_id, refusal):
        call = self.calls[call_id]
        if refusal.reason is errors.Reason.OVERLOAD:
            self.controller.record_failed_forwarding(call.rank, self.now)
        self.refused.append((self.now, call, refusal))


@hypothesis.settings(derandomize=True, max_examples=30, deadline=None)
@hypothesis.given(
    seed=strategies.integers(0, 1_000),
    loads=strategies.lists(
        strategies.tuples(
            strategies.floats(0, 3),
            strategies.floats(0, 3),
            strategies.floats(0, 3),
        ),
        min_size=1,
        max_size=4,
    ),
)
def test_lower_rank_is_refused_first(seed, loads):
    """No order may be refused while stock checks are admitted (G2)."""
    node = SimulatedNode(seed=seed)
    # The capacity is 0.8 calls per step of 10 ms: 4 slots, 50 ms per call.
    for load in loads:
        for _ in range(100):
            for rank, share in enumerate(load):
                while node.generator.random() < share * 0.8 / (1 + share * 0.8):
                    node.offer(node.call(rank))
            node.advance(0.01)
    for refused_at, call, refusal in node.refused:
        if refusal.reason is not errors.Reason.OVERLOAD:
            continue
        later = [
            c
            for at, c in node.started
            if refused_at < at <= refused_at + CATCH_UP_S
            and c.rank < call.rank
            and c.deadline - 2.0 > refused_at
        ]
        assert later == []
    for at, call in node.started:
        assert at <= call.deadline


@hypothesis.settings(derandomize=True, max_examples=50, deadline=None)
@hypothesis.given(
    seed=strategies.integers(0, 1_000),
    limits=strategies.lists(
        strategies.tuples(
            strategies.floats(0.01, 0.6), strategies.floats(0.01, 0.6)
        ),
        min_size=5,
        max_size=60,
    ),
)
def test_expired_call_never_starts(seed, limits):
    """No call may start after its deadline or be left without a decision."""
    node = SimulatedNode(slots=2, service_s=0.1, seed=seed)
    for timeout_s, max_wait_s in limits:
        node.offer(node.call(0, timeout_s, max_wait_s))
        node.advance(0.02)
    node.advance(2.0)
    for at, call in node.started:
        assert at <= call.deadline + 1e-9
    assert len(node.started) + len(node.refused) == len(limits)
    assert node.board.limits.queued == 0


def test_burst_does_not_refuse_orders():
    """A burst of stock checks must not cause refusals of orders that fit."""
    node = SimulatedNode()
    for step in range(1_000):
        for _ in range(4):
            node.offer(node.call(0))
        if step % 4 == 0:
            node.offer(node.call(2))
        node.advance(0.01)
    assert all(call.rank == 0 for _, call, _ in node.refused)
    orders = sum(call.rank == 2 for _, call in node.started)
    assert orders >= 245


def test_full_queue_evicts_the_least_important():
    """A queue that is full of stock checks must not keep orders out."""
    node = SimulatedNode(slots=2)
    for _ in range(258):
        node.offer(node.call(0))
    assert isinstance(node.offer(node.call(2)), controller_module.Queued)
    dropped = node.controller.cancel(-1, node.now)
    assert [node.calls[d.call_id].rank for d in dropped] == [0]
    assert dropped[0].refusal.outcome is errors.Outcome.NOT_RUN
    assert node.board.limits.queued == 256


def test_peer_refusal_keeps_lower_ranks_out():
    """No stock check may run on this node while a peer refuses orders."""
    node = SimulatedNode()
    peer = topics.Member("a-2", "a", 1, refused_rank=2, heard_at=0.0)
    node.board.membership.members["a-2"] = peer
    node.advance(0.1)
    refused = node.offer(node.call(1)).refusal
    assert refused.reason is errors.Reason.OVERLOAD
    assert isinstance(node.offer(node.call(2)), controller_module.Admitted)
    assert node.board.limits.effective_level == 256
    peer.refused_rank = -1
    # The refusal of rank 1 above has effect for CATCH_UP_S.
    node.advance(CATCH_UP_S + 0.1)
    assert isinstance(node.offer(node.call(0)), controller_module.Admitted)


def test_local_refusal_is_published_for_a_second():
    """Peers must receive the refused rank, and only while it is recent."""
    node = SimulatedNode()
    node.controller.record_failed_forwarding(2, node.now)
    node.controller.record_failed_forwarding(1, node.now)
    assert node.board.limits.refused_rank == 2
    node.advance(CATCH_UP_S + 0.1)
    assert node.board.limits.refused_rank == -1


def test_cancel_frees_slot_and_queue():
    """Cancelling a call must free its slot or queue entry exactly once."""
    node = SimulatedNode(slots=2)
    calls = [node.call(0) for _ in range(4)]
    for call in calls:
        node.offer(call)
    assert node.controller.cancel(calls[3].call_id, 0.0) == []
    start = node.controller.cancel(calls[0].call_id, 0.0)
    assert start == [controller_module.Start(calls[2].call_id)]
    completion = controller_module.Completion(0.1, ANSWERED)
    assert node.controller.finish(calls[0].call_id, completion, 0.1) == []
    assert node.board.limits.in_flight == 2


def test_hints_are_spread_and_follow_the_queue():
    """Refused callers must not all retry at the same time."""
    node = SimulatedNode()
    for _ in range(60):
        for _ in range(8):
            node.offer(node.call(0))
        node.advance(0.01)
    hints = [r.retry_after_ms for _, _, r in node.refused]
    assert len(set(hints)) > 20
    assert max(hints) <= 1_500


@pytest.mark.parametrize("level", [5, 200])
def test_path_level_follows_a_peer_with_capacity(level):
    """Callers must not be refused at the entry while a peer has capacity."""
    node = SimulatedNode()
    peer = topics.Member(
        "a-2", "a", 1, state=topics.MemberState.SERVING, level=level
    )
    node.board.membership.members["a-2"] = peer
    for _ in range(100):
        for _ in range(8):
            node.offer(node.call(1))
        node.advance(0.01)
    own = node.board.limits.level
    assert own > 200
    floor = 128 * max(0, node.board.limits.refused_rank)
    # Within the same rank the level in a peer's record may be outdated, so it
    # is not used.
    expected = own if level >= 128 else max(level, floor)
    assert node.controller.path_level(node.now) == expected
    # A record that the peer has not renewed is not used either.
    assert node.controller.path_level(node.now + 3.1) == max(own, floor)


def test_restart_starts_few_queued_calls():
    """The whole queue must not start at once on a restarted, cold upstream."""
    node = SimulatedNode(slots=40)
    calls = [node.call(1) for _ in range(200)]
    for call in calls:
        node.offer(call)
    assert len(node.running) == 40
    node.controller.restart_upstream(node.now)
    lost = controller_module.Completion(0.0, errors.Outcome.UNKNOWN)
    starts = []
    for call_id in list(node.running):
        starts += node.controller.finish(call_id, lost, node.now)
    assert len(starts) == 4
    assert node.board.limits.warmth_percent == 10
    assert node.board.limits.in_flight == 4
