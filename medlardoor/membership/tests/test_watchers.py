"""Tests of the choice of the nodes that watch the document."""

from medlardoor.membership import watchers

NAMES = [f"node-{number}" for number in range(40)]


def _remaining_watchers(names):
    """Nodes that keep watching if all of them see the same watching nodes."""
    return [
        name
        for name in names
        if not watchers.is_covered(name, [n for n in names if n != name])
    ]


def test_a_few_nodes_keep_watching():
    """Only a few nodes may watch, but not all of them may stop at once."""
    chosen = _remaining_watchers(NAMES)
    assert len(chosen) == watchers.WATCHERS_PER_FAILURE_DOMAIN
    assert _remaining_watchers(chosen) == chosen


def test_lost_watcher_is_replaced():
    """Another node must replace a watcher that has failed."""
    first, *_ = _remaining_watchers(NAMES)
    left = [name for name in NAMES if name != first]
    assert (
        len(_remaining_watchers(left)) == watchers.WATCHERS_PER_FAILURE_DOMAIN
    )


def test_node_without_other_watchers_watches():
    """A node must watch if no other watching node reports to it."""
    assert not watchers.is_covered("node-1", [])
