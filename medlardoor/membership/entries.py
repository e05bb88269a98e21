"""Members with the facts that only the merge rules need."""

import dataclasses
import enum

from medlardoor.blackboard import topics

__all__ = ["Entry", "Merge", "Tombstone", "assign", "is_change"]

_LEVELS_PER_RANK = 128


class Merge(enum.Enum):
    """What a record did to the group."""

    INVALID = "invalid"
    STALE = "stale"
    OUTDATED_INCARNATION = "outdated_incarnation"
    REFRESHED = "refreshed"
    CHANGED = "changed"


@dataclasses.dataclass(slots=True)
class Entry:
    """Facts about a member that only the merge rules need.

    Attributes:
        member: The member on the blackboard.
        identity: Hash that names the member in heartbeat lists.
        data_heartbeat: Heartbeat at which the other fields were current.
        relays: How often the record is still to be relayed as a change.
    """

    member: topics.Member
    identity: int
    data_heartbeat: int
    relays: int


@dataclasses.dataclass(slots=True)
class Tombstone:
    """What remains of a removed member, against late digests about it."""

    member: topics.Member
    removed_at: float


def is_change(old: topics.Member, new: topics.Member) -> bool:
    """Whether others should hear of it before their turn."""
    if old.state is not new.state:
        return True
    if old.document_version != new.document_version:
        return True
    if old.refused_rank != new.refused_rank:
        return True
    return abs(old.level - new.level) >= _LEVELS_PER_RANK


def assign(member: topics.Member, news: topics.Member) -> None:
    """Overwrites the fields; controllers keep references to the member."""
    for field in dataclasses.fields(topics.Member):
        setattr(member, field.name, getattr(news, field.name))
