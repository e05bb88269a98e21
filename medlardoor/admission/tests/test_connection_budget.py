"""Tests of the bounds on what clients make a process hold."""

import hypothesis
from hypothesis import strategies
import pytest

from medlardoor.admission import connection_budget

Group = connection_budget.ConnectionGroup
Reason = connection_budget.ClosingReason

BUFFER_BYTES = 100_000
LIMIT = 4
SETTINGS = connection_budget.ClientSettings(
    max_connections=LIMIT, max_internal_connections=2
)
HEAD_BYTES = BUFFER_BYTES * connection_budget.HEAD_SHARE
KEYS = strategies.integers(0, 7)


@pytest.fixture
def budget():
    return connection_budget.ConnectionBudget(SETTINGS, BUFFER_BYTES)


def _wide(count):
    settings = connection_budget.ClientSettings(max_connections=count)
    made = connection_budget.ConnectionBudget(settings, BUFFER_BYTES)
    for key in range(count):
        made.opened(key, Group.CALLERS)
    return made


def _keys(closings):
    return [closing.connection for closing in closings]


def test_oldest_idle_connection_is_replaced(budget):
    """A new caller is refused while idle connections hold descriptors."""
    for key in range(LIMIT):
        budget.opened(key, Group.CALLERS)
    budget.became_busy(0)
    budget.became_busy(1)
    budget.became_idle(1)
    closings = budget.opened("new", Group.CALLERS)
    assert closings == [connection_budget.Closing(2, Reason.IDLE_REPLACED)]
    assert budget.open_connections(Group.CALLERS) == LIMIT


def test_connection_that_awaits_its_close_is_replaced_first(budget):
    """A connection in use is closed while an ended one holds a descriptor."""
    for key in range(LIMIT):
        budget.opened(key, Group.CALLERS)
    budget.became_busy(3)
    budget.awaits_close(3)
    budget.awaits_close(3)
    closings = budget.opened("new", Group.CALLERS)
    assert closings == [connection_budget.Closing(3, Reason.IDLE_REPLACED)]
    budget.closed(3)
    budget.awaits_close(3)
    assert _keys(budget.opened("newer", Group.CALLERS)) == [0]


def test_new_connection_is_refused_if_none_is_idle(budget):
    """A request in progress is cut for a new connection."""
    for key in range(LIMIT):
        budget.opened(key, Group.CALLERS)
        budget.became_busy(key)
    closings = budget.opened("new", Group.CALLERS)
    assert closings == [
        connection_budget.Closing("new", Reason.TOO_MANY_CONNECTIONS)
    ]
    budget.closed("new")
    assert budget.open_connections(Group.CALLERS) == LIMIT


def test_callers_leave_internal_listeners_free(budget):
    """A crowd of callers shuts out readiness and control."""
    for key in range(LIMIT):
        budget.opened(key, Group.CALLERS)
        budget.became_busy(key)
    assert budget.opened("ready", Group.INTERNAL) == []


def test_large_new_heads_are_refused_first():
    """A short head of an ordinary client is refused with those of a crowd."""
    budget = _wide(40)
    assert budget.head_received(0, 300, 0.0) == []
    closings = []
    for key in range(1, 40):
        closings += budget.head_received(key, 1_000, float(key))
        if closings:
            break
    # From 12,500 to 10,000 bytes, without the oldest ones.
    assert _keys(closings) == [13, 12, 11, 10]
    assert budget.unfinished_head_bytes <= HEAD_BYTES


def test_slowest_reader_is_closed_first():
    """A client that reads is closed in place of one that does not."""
    budget = _wide(2)
    for key in range(2):
        budget.unsent_changed(key, 25_000, 25_000, 0.0)
    budget.unsent_changed(0, 5_000, 25_000, 1.0)
    budget.unsent_changed(1, 24_900, 25_000, 1.0)
    assert _keys(budget.check(1.5)) == [1]


def test_readers_have_time_to_read():
    """An answer that has just been written counts as one that is not read."""
    budget = _wide(2)
    for key in range(2):
        budget.unsent_changed(key, 25_000, 25_000, 0.0)
    assert budget.check(0.5) == []


def test_single_long_answer_is_delivered():
    """A long answer alone is cut although it is within the limits."""
    budget = _wide(1)
    assert budget.unsent_changed(0, 95_000, 95_000, 0.0) == []


def test_pipelined_answers_are_not_a_single_one():
    """One client that pipelines holds the whole budget."""
    budget = _wide(1)
    closings = []
    for count in range(1, 6):
        closings += budget.unsent_changed(
            0, 20_000 * count, 20_000 * count, 0.0
        )
    assert _keys(closings) == [0]


events = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("open"), KEYS, strategies.just(0)),
        strategies.tuples(strategies.just("close"), KEYS, strategies.just(0)),
        strategies.tuples(strategies.just("busy"), KEYS, strategies.just(0)),
        strategies.tuples(strategies.just("idle"), KEYS, strategies.just(0)),
        strategies.tuples(strategies.just("whole"), KEYS, strategies.just(0)),
        strategies.tuples(
            strategies.just("head"), KEYS, strategies.integers(1, 20_000)
        ),
        strategies.tuples(
            strategies.just("unsent"), KEYS, strategies.integers(0, 60_000)
        ),
        strategies.tuples(
            strategies.just("wait"), KEYS, strategies.integers(1, 5)
        ),
    ),
    max_size=80,
)


class _Model:
    """Applies events, and checks each decision against plain counts."""

    def __init__(self):
        self.budget = connection_budget.ConnectionBudget(SETTINGS, BUFFER_BYTES)
        self.open = {}
        self.heads = {}
        self.unsent = {}
        self.closing = {}
        self.now = 0.0

    def apply(self, kind, key, amount):
        if kind == "open":
            if key in self.open or key in self.closing:
                return
            group = Group.CALLERS if key < 6 else Group.INTERNAL
            self.open[key] = (group, True)
            self.settle(self.budget.opened(key, group))
        elif kind == "close":
            self.budget.closed(key)
            self.closing.pop(key, None)
            self.forget(key)
        elif kind in ("busy", "idle"):
            method = {
                "busy": self.budget.became_busy,
                "idle": self.budget.became_idle,
            }[kind]
            method(key)
            if key in self.open:
                self.open[key] = (self.open[key][0], kind == "idle")
        elif kind == "whole":
            self.budget.head_ended(key)
            self.heads.pop(key, None)
        elif kind == "head":
            if key in self.open:
                self.heads[key] = amount
            self.settle(self.budget.head_received(key, amount, self.now))
        elif kind == "unsent":
            if key in self.open:
                self.unsent[key] = amount
            self.settle(
                self.budget.unsent_changed(key, amount, amount, self.now)
            )
        elif kind == "wait":
            self.now += amount
            self.settle(self.budget.check(self.now))

    def forget(self, key):
        self.open.pop(key, None)
        self.heads.pop(key, None)
        self.unsent.pop(key, None)

    def settle(self, closings):
        assert len(set(_keys(closings))) == len(closings)
        for closing in closings:
            key = closing.connection
            if closing.reason is Reason.HEADS_OVER_BUDGET:
                assert key in self.heads
                del self.heads[key]
                continue
            if closing.reason is Reason.IDLE_REPLACED:
                assert self.open[key][1]
            if closing.reason is Reason.SLOW_READER:
                self.closing[key] = self.unsent[key]
            self.forget(key)


@hypothesis.given(events)
@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
def test_bounds_hold_in_any_order_of_events(order):
    """Some order of events exceeds a bound or loses count of a connection."""
    model = _Model()
    for event in order:
        model.apply(*event)
        budget = model.budget
        for group, limit in ((Group.CALLERS, LIMIT), (Group.INTERNAL, 2)):
            count = sum(found is group for found, _ in model.open.values())
            assert budget.open_connections(group) == count <= limit
        assert budget.unfinished_heads == len(model.heads)
        assert budget.unfinished_head_bytes == sum(model.heads.values())
        assert budget.unfinished_head_bytes <= HEAD_BYTES
        unsent_bytes = sum(model.unsent.values())
        closing_bytes = sum(model.closing.values())
        assert budget.unsent_bytes == unsent_bytes + closing_bytes
        assert unsent_bytes <= BUFFER_BYTES
    for key in range(8):
        model.budget.closed(key)
    assert model.budget.unfinished_head_bytes == 0
    assert model.budget.unsent_bytes == 0
