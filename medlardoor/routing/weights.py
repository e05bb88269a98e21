"""Load of a member as seen from the node that selects."""

import dataclasses

from medlardoor.blackboard import topics

__all__ = ["STALE_AFTER_S", "OwnLoad", "load_of"]

# Records arrive every second; one lost datagram is tolerated.
STALE_AFTER_S = 2.5

# A member that ramps up gets at least this share, so that its load is seen.
_MIN_WARMTH = 0.05

# Most nodes that an own request is taken to stand for.
_MAX_ALIKE = 8.0


@dataclasses.dataclass(slots=True)
class OwnLoad:
    """What this node has in flight at one member.

    Attributes:
        in_flight: Own requests in flight.
        heard_at: Record that `at_record` belongs to, in seconds.
        at_record: Own requests in flight when that record arrived.
    """

    in_flight: int = 0
    heard_at: float = -1.0
    at_record: int = 0


def load_of(member: topics.Member, own: OwnLoad, now: float) -> float:
    """Requests per slot at a member.

    A fresh record is corrected by what this node has sent since. Other nodes
    read the same record and act alike, so the own change stands for theirs
    too; otherwise the requests of the next second all go to the member that
    looked idle. An old record is not used: only own requests count.

    Args:
        member: Record of the member.
        own: Own requests at the member.
        now: Current time, in seconds.
    """
    warmth = max(_MIN_WARMTH, member.warmth_percent / 100.0)
    capacity = max(1, member.slots) * warmth
    if now - member.heard_at > STALE_AFTER_S:
        return own.in_flight / capacity
    if own.heard_at != member.heard_at:
        own.heard_at = member.heard_at
        own.at_record = own.in_flight
    reported = member.in_flight + member.queued
    alike = min(_MAX_ALIKE, max(1.0, reported / max(1, own.at_record)))
    since = (own.in_flight - own.at_record) * alike
    return max(reported + since, own.in_flight) / capacity
