"""Data that the gossip controller takes and returns."""

import dataclasses

from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["GossipCounters", "LoadReport", "Send"]


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """A digest to send.

    Attributes:
        host: IP address of the receiver.
        port: UDP port of its gossip listener.
        digest: What to send; it fits into one datagram.
    """

    host: str
    port: int
    digest: ttypes.Digest


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What a node says of its load; see `topics.Member` for the fields."""

    slots: int = 0
    in_flight: int = 0
    queued: int = 0
    level: int = 0
    document_version: int = 0
    warmth_percent: int = 100
    refused_rank: int = -1


@dataclasses.dataclass(slots=True)
class GossipCounters:
    """Counts since the start of the process."""

    received: int = 0
    replayed: int = 0
    invalid_records: int = 0
    stale_records: int = 0
    incarnation_conflicts: int = 0
    pauses: int = 0
