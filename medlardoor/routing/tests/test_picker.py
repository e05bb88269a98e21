"""Tests of node selection."""

import collections
import random

import pytest

from medlardoor import errors
from medlardoor.blackboard import board as board_module
from medlardoor.blackboard import topics
from medlardoor.calls import context
from medlardoor.config import settings as settings_module
from medlardoor.routing import picker as picker_module

SERVING = topics.MemberState.SERVING
CALL = context.CallContext(bytes(16), 1, "t", "k", 1, 200, 100.0)


def _picker(count=3, own_service="calculator", **changes):
    board = board_module.Blackboard("own-1", own_service, "a")
    fields = {"slots": 40, "state": SERVING} | changes
    members = {
        f"inventory-{i}": topics.Member(
            f"inventory-{i}",
            "inventory",
            1,
            failure_domain="abc"[i % 3],
            **fields,
        )
        for i in range(count)
    }
    board.membership.services["inventory"] = members
    board.membership.members = members
    settings = settings_module.GossipSettings()
    picker = picker_module.PowerOfTwoPicker(settings, board, random.Random(1))
    return picker, members


def _pick(picker, now=0.0, exclude=()):
    return picker.pick("inventory", CALL, exclude, now).ok()


@pytest.mark.parametrize("now", [0.0, 2.8])
def test_load_is_spread(now):
    """One member gets all calls because the records are stale or equal."""
    picker, _ = _picker(6)
    counts = collections.Counter()
    for _ in range(120):
        member = _pick(picker, now)
        picker.started(member, now)
        counts[member.instance] += 1
    assert max(counts.values()) - min(counts.values()) <= 6


def test_own_domain_on_a_tie():
    """Calls cross failure domains although the own one is idle."""
    picker, _ = _picker()
    counts = collections.Counter(
        _pick(picker).failure_domain for _ in range(300)
    )
    assert counts["a"] > 180


def test_cold_member_is_ramped_up():
    """A restarted member gets its full share of calls at once."""
    picker, members = _picker()
    members["inventory-1"].warmth_percent = 10
    counts = collections.Counter()
    for _ in range(60):
        member = _pick(picker)
        picker.started(member, 0.0)
        counts[member.instance] += 1
    assert counts["inventory-1"] <= 6


def test_refused_connection_ejects_a_member():
    """A dead member keeps getting calls, or gets none after it recovers."""
    picker, members = _picker()
    dead = members["inventory-1"]
    now = 0.0
    ejections_s = []
    for _ in range(5):
        picker.started(dead, now)
        picker.finished(dead, False, now)
        ejected_at = now
        while dead not in picker.usable("inventory", now):
            now += 0.05
            for member in members.values():
                member.heard_at = now
        ejections_s.append(now - ejected_at)
    assert 0.8 <= ejections_s[0] <= 1.3
    assert ejections_s[0] < ejections_s[1] < ejections_s[2] < ejections_s[3]
    assert 6.4 <= ejections_s[4] <= 8.1


@pytest.mark.parametrize("count", [1, 2, 3, 7])
def test_minimum_stays_usable(count):
    """A network fault leaves a node without any usable member."""
    picker, members = _picker(count)
    for member in members.values():
        picker.started(member, 0.0)
        picker.finished(member, False, 0.0)
    assert len(picker.usable("inventory", 0.5)) == (count + 1) // 2
    assert _pick(picker, 0.5) is not None
    assert len(picker.usable("inventory", 60.0)) == (count + 1) // 2


def test_level_and_exclusion():
    """A call is sent to a member whose reported level refuses it."""
    picker, members = _picker(level=256)
    refused = picker.pick("inventory", CALL, (), 0.0).err()
    assert refused.reason is errors.Reason.OVERLOAD
    assert refused.outcome is errors.Outcome.NOT_RUN
    members["inventory-2"].level = 200
    assert _pick(picker).instance == "inventory-2"
    refused = picker.pick("inventory", CALL, members, 0.0).err()
    assert refused.reason is errors.Reason.NO_UPSTREAM


def test_peers_need_a_lower_level():
    """Refused calls are forwarded to peers that refuse them too."""
    picker, members = _picker(level=201)
    assert _pick(picker) is not None
    picker, members = _picker(own_service="inventory", level=201)
    refused = picker.pick("inventory", CALL, (), 0.0).err()
    assert refused.reason is errors.Reason.OVERLOAD
    members["inventory-2"].level = 200
    assert _pick(picker).instance == "inventory-2"
