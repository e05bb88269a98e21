"""Choice of the nodes that a node keeps links to.

If all nodes were linked, links and status messages would grow with the square
of the fleet size. A node instead keeps a bounded number of links to each
service, most of them in its own failure domain. It chooses them by rendezvous
hashing, so that each instance is chosen by about the same number of nodes.
"""

import collections
import collections.abc
import dataclasses
import zlib

__all__ = ["KnownNode", "NeighbourSettings", "choose_neighbours"]


@dataclasses.dataclass(frozen=True, slots=True)
class NeighbourSettings:
    """Numbers of links.

    Attributes:
        near: Links to a service within the own failure domain.
        far: Links to a service in other failure domains.
    """

    near: int = 8
    far: int = 4


@dataclasses.dataclass(frozen=True, slots=True)
class KnownNode:
    """Candidate for a link.

    Attributes:
        instance: Name of the instance.
        service: Service of its upstream.
        failure_domain: Failure domain of the instance.
        is_reachable: Whether recent attempts to reach it succeeded.
    """

    instance: str
    service: str
    failure_domain: str
    is_reachable: bool = True


def choose_neighbours(
    own: KnownNode,
    known: collections.abc.Iterable[KnownNode],
    settings: NeighbourSettings,
) -> set[str]:
    """Chooses the nodes to keep links to.

    Args:
        own: The choosing node.
        known: All other nodes.
        settings: Numbers of links.

    Returns:
        Names of the chosen instances. Unreachable nodes are included, so that
        they are used as soon as they return, but do not count as links.
    """
    services: dict[str, list[KnownNode]] = collections.defaultdict(list)
    for node in known:
        services[node.service].append(node)
    chosen: set[str] = set()
    for members in services.values():
        members.sort(key=lambda node: _rendezvous_hash(own, node))
        near = [m for m in members if m.failure_domain == own.failure_domain]
        far = [m for m in members if m.failure_domain != own.failure_domain]
        chosen |= _take_reachable(near, settings.near)
        # Links that the own failure domain cannot provide go to others.
        spare = max(0, settings.near - len(near))
        chosen |= _take_reachable(far, settings.far + spare)
    return chosen


def _take_reachable(nodes: list[KnownNode], count: int) -> set[str]:
    """First `count` reachable nodes, and the unreachable ones before them."""
    taken: set[str] = set()
    for node in nodes:
        if count <= 0:
            break
        taken.add(node.instance)
        count -= node.is_reachable
    return taken


def _rendezvous_hash(own: KnownNode, node: KnownNode) -> int:
    return zlib.crc32(f"{own.instance}|{node.instance}".encode())
