"""Which nodes follow the store's document, so that not all of them do.

A watch costs the store a call for each change and each few seconds. A few nodes
in each failure domain watch; the others hear of a change on their links, and
watch as soon as they do not hear enough nodes that do.
"""

import collections.abc
import zlib

__all__ = ["WATCHERS", "is_covered"]

# Watching nodes in a failure domain. Changes cross failure domains as well, so
# two keep a change from being missed when one node is lost with it.
WATCHERS = 2


def is_covered(instance: str, watching: collections.abc.Iterable[str]) -> bool:
    """Whether a node can leave watching to others.

    Of the nodes that watch, those that come first in an order that all nodes
    know go on; without an order all would stop at once.

    Args:
        instance: Name of the node.
        watching: Other nodes of its failure domain that watch and were heard
            lately.
    """
    own = _order(instance)
    return sum(_order(other) < own for other in watching) >= WATCHERS


def _order(instance: str) -> tuple[int, str]:
    return zlib.crc32(instance.encode()), instance
