"""Estimate of a member's load at the node that selects a member."""

import dataclasses

from medlardoor.blackboard import topics

__all__ = ["STALE_AFTER_S", "OwnLoad", "load_of"]

# Records arrive every second; one lost datagram is tolerated.
STALE_AFTER_S = 2.5

# Lower bound on the capacity share of a member that ramps up, so that it
# receives calls and its load becomes visible.
_MIN_WARMTH_SHARE = 0.05

# Upper bound on the number of nodes that one own request stands for.
_MAX_PEER_FACTOR = 8.0


@dataclasses.dataclass(slots=True)
class OwnLoad:
    """Requests that this node has in flight at one member.

    Attributes:
        in_flight: Requests of this node in flight.
        record_heard_at: Receive time of the record that `in_flight_at_record`
            belongs to, in seconds; -1 before the first record.
        in_flight_at_record: `in_flight` when that record was first used.
    """

    in_flight: int = 0
    record_heard_at: float = -1.0
    in_flight_at_record: int = 0


def load_of(member: topics.Member, own: OwnLoad, now: float) -> float:
    """Requests per slot at a member.

    A fresh record is corrected by the requests that this node has sent since.
    Other nodes read the same record and act alike, so this change is scaled up
    to stand for theirs too; otherwise all requests of the next second go to
    the member that looked idle. A stale record is ignored, and only the
    requests of this node count.

    Args:
        member: Record of the member.
        own: Requests of this node at the member.
        now: Current time, in seconds.
    """
    warmth = max(_MIN_WARMTH_SHARE, member.warmth_percent / 100.0)
    capacity = max(1, member.slots) * warmth
    if now - member.heard_at > STALE_AFTER_S:
        return own.in_flight / capacity
    if own.record_heard_at != member.heard_at:
        own.record_heard_at = member.heard_at
        own.in_flight_at_record = own.in_flight
    reported = member.in_flight + member.queued
    peer_factor = min(
        _MAX_PEER_FACTOR, max(1.0, reported / max(1, own.in_flight_at_record))
    )
    sent_since_record = (own.in_flight - own.in_flight_at_record) * peer_factor
    return max(reported + sent_since_record, own.in_flight) / capacity
