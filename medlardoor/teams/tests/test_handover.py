"""Exhaustive search of short schedules of two nodes that hand lending over."""

import copy
import dataclasses

import pytest

from medlardoor.teams import pledger
from medlardoor.teams.tests import world as world_module

DEPTH = 4


def _spend(world):
    for node in world.nodes.values():
        if node.acts:
            for _ in range(60):
                node.request()
    for link in list(world.links):
        world.deliver(link)


def _toggle_pause(world, name):
    world.nodes[name].is_paused = not world.nodes[name].is_paused


def _toggle_cut(world):
    world.cuts ^= {frozenset(("a", "b"))}


def _toggle_links(world):
    for link in world.links:
        link.is_silent = not link.is_silent


def _restart(world, name):
    world.close_links(name)
    world.nodes[name].start()


def _stop(world, name):
    if world.nodes[name].acts:
        world.nodes[name].stop_lending()


# The lender of the calm start is "a".
ACTIONS = {
    "pass 0.4 s": lambda world: world.advance(0.4),
    "pass 1.4 s": lambda world: world.advance(1.4),
    "spend": _spend,
    "pause a": lambda world: _toggle_pause(world, "a"),
    "cut": _toggle_cut,
    "hold messages": _toggle_links,
    "restart a": lambda world: _restart(world, "a"),
    "stop a": lambda world: _stop(world, "a"),
}


def _explore(world, depth):
    """Runs all schedules of a length; returns how many there were."""
    if depth == 0:
        return 1
    count = 0
    for action in ACTIONS.values():
        branch = copy.deepcopy(world)
        action(branch)
        # Both nodes spend what they can after each action.
        _spend(branch)
        count += _explore(branch, depth - 1)
    return count


def _calm_start():
    world = world_module.World(["a", "b"], world_module.make_team())
    world.advance(3.0)
    assert world.nodes["a"].lender.share(world_module.SHARD, world.now) == 1.0
    return world


def test_no_short_schedule_exceeds_the_limit():
    """Some order of pauses, cuts, restarts and stops lends a share twice."""
    assert _explore(_calm_start(), DEPTH) == len(ACTIONS) ** DEPTH


def test_search_finds_a_share_taken_before_it_is_given_up(monkeypatch):
    """The search passes although a share counts at two lenders."""
    update = pledger.Pledger.update

    def without_waiting(self, preferred, now):
        for state in self._shards:
            state.counts_until = 0.0
        return update(self, preferred, now)

    monkeypatch.setattr(pledger.Pledger, "update", without_waiting)
    with pytest.raises(AssertionError, match="limit exceeded"):
        _explore(_calm_start(), DEPTH)


def test_silent_lender_is_overdue():
    """A link that works in one direction only is never closed."""
    settings = dataclasses.replace(world_module.SETTINGS, answer_timeout_s=1.0)
    found = pledger.Pledger(settings)
    for now in (0.0, 0.4, 0.8):
        found.update(["b"], now)
    assert found.overdue(0.9) == []
    assert found.overdue(1.1) == ["b"]
    found.restart_waiting(1.1)
    assert found.overdue(1.2) == []
    found.answered("b", 1.5)
    assert found.overdue(2.4) == []
    # A lender that stops as planned is not taken for a silent one.
    found.released("b")
    assert found.overdue(9.0) == []
