"""Tests of the roster of nodes at the size of a large fleet."""

import asyncio
import random

import pytest

from medlardoor.admission import buffers, link_budget
from medlardoor.membership import neighbours
from medlardoor.mesh import roster, settings
from medlardoor.mesh.tests import group as group_module

pytestmark = pytest.mark.anyio

NODES = 3_000
SERVICES = 100


class _Events:
    """Receives no events: the tests open no links."""


@pytest.fixture
async def large(monkeypatch):
    """A roster with many nodes; its dials are recorded and never finish."""
    group = group_module.Group()
    member = group_module.Member(group, "own", "s0", "127.0.0.1")
    node_roster = roster.Roster(
        member.settings,
        _Events(),
        link_budget.LinkBudget(buffers.BufferBudget(1_000_000)),
        random.Random(1),
    )
    dialled = []

    def dial(peer):
        peer.is_dialling = True
        dialled.append(peer.instance)

    monkeypatch.setattr(node_roster, "_dial", dial)
    for number in range(NODES):
        node = neighbours.KnownNode(
            f"n{number}", f"s{number % SERVICES}", f"d{number % 6}"
        )
        node_roster.record_node(node, settings.Address("127.0.0.1", 1_000))
    return node_roster, dialled


async def test_known_nodes_cost_nothing_while_nothing_changes(
    large, monkeypatch
):
    """The periodic check must not examine all known nodes each time."""
    node_roster, dialled = large
    now = asyncio.get_running_loop().time()
    node_roster.check(now)
    assert 0 < len(dialled) <= SERVICES * 12
    described = []
    for peer in node_roster.peers.values():
        monkeypatch.setattr(
            peer, "to_known_node", lambda p=peer: described.append(p) or p.node
        )
    for tick in range(1, 50):
        node_roster.check(now + 0.1 * tick)
    assert described == []


async def test_unreachable_neighbour_is_replaced(large):
    """An unreachable neighbour must not reduce the number of usable links."""
    node_roster, dialled = large
    now = asyncio.get_running_loop().time()
    node_roster.check(now)
    unreachable = node_roster.peers[dialled[0]]
    before = len(dialled)
    unreachable.redial_pause_s = 1.0
    node_roster._is_choice_due = True
    node_roster.check(now + 1.0)
    assert len(dialled) == before + 1


async def test_gone_neighbour_is_forgotten(large):
    """An instance that was removed must not be dialled indefinitely."""
    node_roster, dialled = large
    now = asyncio.get_running_loop().time()
    node_roster.check(now)
    gone = dialled[0]
    node_roster.peers[gone].is_dialling = False
    node_roster.check(now + 31.0)
    assert gone not in node_roster.peers
    node_roster.check(now + 32.0)
    assert len(dialled) > 0
