"""Tests of the retry decision and the throttle."""

import random

import pytest

from medlardoor import errors
from medlardoor.blackboard import topics
from medlardoor.calls import context
from medlardoor.retries import budget as budget_module
from medlardoor.retries import policy as policy_module
from medlardoor.retries import throttle as throttle_module

NOT_RUN = errors.Outcome.NOT_RUN
UNKNOWN = errors.Outcome.UNKNOWN


def _call(**changes):
    fields = {
        "chain_id": bytes(16),
        "call_id": 1,
        "team": "t",
        "kind": "k",
        "rank": 1,
        "level": 200,
        "deadline": 10.0,
    }
    return context.CallContext(**(fields | changes))


def _member(level=0):
    return topics.Member("peer", "inventory", 1, level=level)


def _decide(call, outcome, reason, levels=(0,), budget=3, now=0.0):
    policy = policy_module.RetryPolicy(
        throttle_module.RetryThrottle(), random.Random(1)
    )
    refusal = errors.Refusal(outcome, reason)
    return policy.decide(
        call,
        refusal,
        budget_module.RetryBudget(budget),
        [_member(level) for level in levels],
        now,
    )


def test_order_with_unknown_outcome_is_not_retried():
    """A non-idempotent order runs twice (G5)."""
    order = _call(idempotent=False)
    reason = errors.Reason.UPSTREAM_FAILED
    assert isinstance(_decide(order, UNKNOWN, reason), policy_module.GiveUp)
    assert isinstance(_decide(order, NOT_RUN, reason), policy_module.Retry)
    assert isinstance(_decide(_call(), UNKNOWN, reason), policy_module.Retry)


@pytest.mark.parametrize(
    ("levels", "expected"),
    [
        ((), policy_module.GiveUp),
        ((201, 300), policy_module.GiveUp),
        ((300, 200), policy_module.Retry),
    ],
)
def test_overload_needs_a_lower_level(levels, expected):
    """Retries circulate in a service whose nodes are all overloaded."""
    decision = _decide(_call(), NOT_RUN, errors.Reason.OVERLOAD, levels)
    assert isinstance(decision, expected)


def test_no_retry_without_time_or_budget():
    """A retry is answered after the deadline or exceeds the budget (G1)."""
    reason = errors.Reason.UPSTREAM_UNAVAILABLE
    late = _decide(_call(), NOT_RUN, reason, now=9.999)
    assert isinstance(late, policy_module.GiveUp)
    spent = _decide(_call(), NOT_RUN, reason, budget=0)
    assert isinstance(spent, policy_module.GiveUp)


def test_fault_of_the_request_is_not_retried():
    """A request that every node refuses is retried."""
    for reason in (errors.Reason.QUARANTINED, errors.Reason.CANCELLED):
        decision = _decide(_call(), NOT_RUN, reason)
        assert isinstance(decision, policy_module.GiveUp)
        assert decision.refusal.unspent_budget == 3


def test_throttle_bounds_the_share_of_retries():
    """Retries double the load of a service that fails all calls."""
    throttle = throttle_module.RetryThrottle()
    retries = 0
    for _ in range(10_000):
        throttle.record_first_attempt()
        retries += throttle.try_retry()
    assert retries <= 10_000 / 10 + throttle_module.BURST
    assert retries >= 10_000 / 10
