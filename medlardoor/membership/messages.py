"""Inputs and outputs of the gossip controller."""

import collections.abc
import dataclasses
import random as random_module

from medlardoor.blackboard import topics
from medlardoor.membership import group as group_module
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = [
    "GossipCounters",
    "LoadReport",
    "PushThrottle",
    "Send",
    "sample",
    "sends_for",
]

_LEVELS_PER_RANK = 128
# Admission levels adapt every 100 ms; pushing each change to 21 peers would
# exceed the network budget of a node.
_LEVEL_PUSH_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """A digest to send.

    Attributes:
        host: IP address of the receiver.
        port: UDP port of its gossip listener.
        digest: Digest, which fits into one datagram.
    """

    host: str
    port: int
    digest: ttypes.Digest


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a node reports; see `topics.Member` for the fields."""

    slots: int = 0
    in_flight: int = 0
    queued: int = 0
    level: int = 0
    document_version: int = 0
    warmth_percent: int = 100
    refused_rank: int = -1

    def apply(self, member: topics.Member) -> None:
        """Copies all fields to a member."""
        for field in dataclasses.fields(self):
            setattr(member, field.name, getattr(self, field.name))

    def has_rank_change(self, member: topics.Member) -> bool:
        """Whether the level moved by a full rank or a higher rank is refused.

        Args:
            member: Member with the load that was reported before.
        """
        if self.refused_rank > member.refused_rank:
            return True
        return abs(self.level - member.level) >= _LEVELS_PER_RANK


@dataclasses.dataclass(slots=True)
class GossipCounters:
    """Counts since the start of the process."""

    received: int = 0
    replayed: int = 0
    invalid_records: int = 0
    stale_records: int = 0
    incarnation_conflicts: int = 0
    pauses: int = 0


class PushThrottle:
    """Limits the rate at which admission level changes are pushed."""

    def __init__(self):
        self._is_requested = False
        self._pushed_at = float("-inf")

    def request(self) -> None:
        """Requests a push as soon as the rate allows."""
        self._is_requested = True

    def is_due(self, now: float) -> bool:
        """Whether a requested push may be made now."""
        waited_s = now - self._pushed_at
        return self._is_requested and waited_s >= _LEVEL_PUSH_INTERVAL_S

    def record_push(self, now: float) -> None:
        """Records a push for any reason, which satisfies the request."""
        self._is_requested = False
        self._pushed_at = now


def sample(
    random: random_module.Random,
    addresses: collections.abc.Iterable[group_module.Address],
    count: int,
) -> list[group_module.Address]:
    """Chooses at most `count` distinct addresses at random."""
    distinct = list(dict.fromkeys(addresses))
    return random.sample(distinct, min(count, len(distinct)))


def sends_for(
    targets: collections.abc.Iterable[group_module.Address],
    digest: ttypes.Digest,
) -> list[Send]:
    """Addresses one digest to several receivers."""
    return [Send(target.host, target.port, digest) for target in targets]
