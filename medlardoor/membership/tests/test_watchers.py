"""Tests of the choice of the nodes that watch the document."""

from medlardoor.membership import watchers

NAMES = [f"node-{number}" for number in range(40)]


def _watching(names):
    """Who goes on if all see the same nodes watch."""
    return [
        name
        for name in names
        if not watchers.is_covered(name, [n for n in names if n != name])
    ]


def test_a_few_go_on():
    """All nodes watch, or all of them stop at once."""
    chosen = _watching(NAMES)
    assert len(chosen) == watchers.WATCHERS
    assert _watching(chosen) == chosen


def test_lost_watcher_is_replaced():
    """Nobody takes the place of a watcher that is gone."""
    first, *_ = _watching(NAMES)
    left = [name for name in NAMES if name != first]
    assert len(_watching(left)) == watchers.WATCHERS


def test_without_others_a_node_watches():
    """A node that hears of no watcher relies on others."""
    assert not watchers.is_covered("node-1", [])
