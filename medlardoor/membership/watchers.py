"""Choice of the nodes that watch the document in the store.

A watch costs the store one call for each change and one every few seconds, so
only a few nodes in each failure domain watch. The others learn of changes over
their links, and start to watch when too few watching nodes report to them.
"""

import collections.abc
import zlib

__all__ = ["WATCHERS_PER_FAILURE_DOMAIN", "is_covered"]

# Watching nodes in each failure domain. Two of them are enough to not miss a
# change if one fails, because changes also spread between failure domains.
WATCHERS_PER_FAILURE_DOMAIN = 2


def is_covered(instance: str, watching: collections.abc.Iterable[str]) -> bool:
    """Whether a node can stop watching because enough others watch.

    All nodes sort the watching ones in the same order and the first ones
    continue; without a common order all of them would stop at once.

    Args:
        instance: Name of the node.
        watching: Other watching nodes of its failure domain that have reported
            recently.
    """
    own = _sort_key(instance)
    return (
        sum(_sort_key(other) < own for other in watching)
        >= WATCHERS_PER_FAILURE_DOMAIN
    )


def _sort_key(instance: str) -> tuple[int, str]:
    return zlib.crc32(instance.encode()), instance
