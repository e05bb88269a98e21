"""Tests of the choice of linked nodes."""

import collections

from medlardoor.membership import neighbours

SETTINGS = neighbours.NeighbourSettings(near=4, far=2)


def _make_nodes(count, services=2, domains=3, reachable=lambda n: True):
    return [
        neighbours.KnownNode(
            f"n{n}", f"s{n % services}", f"d{n % domains}", reachable(n)
        )
        for n in range(count)
    ]


def _choose(own, nodes):
    others = [n for n in nodes if n.instance != own.instance]
    return neighbours.choose_neighbours(own, others, SETTINGS)


def test_small_fleet_is_fully_linked():
    """Each node of a small fleet must have links to all other nodes."""
    nodes = _make_nodes(12)
    assert all(len(_choose(n, nodes)) == 11 for n in nodes)


def test_links_do_not_grow_with_the_fleet():
    """The number of links of a node must not grow with the fleet."""
    small = _choose(_make_nodes(1)[0], _make_nodes(100))
    large = _choose(_make_nodes(1)[0], _make_nodes(3_000))
    assert len(small) == len(large) == 2 * (4 + 2)


def test_each_instance_is_chosen_by_some_nodes():
    """Each instance needs a link from some node to get requests."""
    nodes = _make_nodes(90)
    chosen = collections.Counter()
    for node in nodes:
        chosen.update(_choose(node, nodes))
    assert min(chosen[n.instance] for n in nodes) >= 3
    assert max(chosen.values()) <= 30


def test_unreachable_nodes_are_replaced_and_kept():
    """A node whose neighbours are down must choose reachable nodes as well."""
    nodes = _make_nodes(90, reachable=lambda n: n % 4 != 0)
    own = nodes[1]
    chosen = _choose(own, nodes)
    reachable = [n for n in nodes if n.instance in chosen and n.is_reachable]
    assert len(reachable) == 2 * (4 + 2)


def test_links_of_a_lost_failure_domain_go_to_others():
    """A node without near upstreams must keep as many links as others."""
    nodes = [n for n in _make_nodes(90) if n.failure_domain != "d0"]
    own = neighbours.KnownNode("own", "s0", "d0")
    assert len(_choose(own, nodes)) == 2 * (4 + 2)
