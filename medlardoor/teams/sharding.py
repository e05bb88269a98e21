"""Shards of teams and the order in which nodes become their lenders."""

import collections.abc
import zlib

__all__ = ["rank_lenders", "shard_of"]


def shard_of(team: str, shards: int) -> int:
    """Returns the shard of a team.

    Args:
        team: Name of the team.
        shards: Number of shards.
    """
    return zlib.crc32(team.encode()) % shards


def rank_lenders(
    shard: int, instances: collections.abc.Iterable[str], count: int
) -> list[str]:
    """Returns the nodes that come first as lender of a shard.

    All nodes rank them in the same order (rendezvous hashing).

    Args:
        shard: The shard.
        instances: Names of the nodes that may become its lender.
        count: Maximum number of nodes to return.
    """
    return sorted(instances, key=lambda name: _sort_key(shard, name))[:count]


def _sort_key(shard: int, instance: str) -> tuple[int, str]:
    return zlib.crc32(f"{shard}|{instance}".encode()), instance
