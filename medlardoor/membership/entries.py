"""Entries of a member group and results of a merge."""

import dataclasses
import enum

from medlardoor.blackboard import topics

__all__ = [
    "Entry",
    "MergeResult",
    "Tombstone",
    "copy_fields",
    "is_significant_change",
]

_LEVELS_PER_RANK = 128


class MergeResult(enum.Enum):
    """Effect of a record on the group.

    Attributes:
        INVALID: The record has missing or invalid fields.
        STALE: The record is not newer than the known one, or the member left.
        OUTDATED_INCARNATION: The incarnation is lower than the known one, or
            another process uses it.
        REFRESHED: The record was merged and need not be relayed as a change.
        CHANGED: The record was merged and is relayed as a change.
    """

    INVALID = "invalid"
    STALE = "stale"
    OUTDATED_INCARNATION = "outdated_incarnation"
    REFRESHED = "refreshed"
    CHANGED = "changed"


@dataclasses.dataclass(slots=True)
class Entry:
    """Member with the state that only the merge rules need.

    Attributes:
        member: The member on the blackboard.
        identity: Hash that identifies the member in heartbeat lists.
        data_heartbeat: Heartbeat at which the other fields were current.
        remaining_relays: Number of times that the record is still to be
            relayed as a change.
    """

    member: topics.Member
    identity: int
    data_heartbeat: int
    remaining_relays: int


@dataclasses.dataclass(slots=True)
class Tombstone:
    """Removed member, kept to reject late digests about it."""

    member: topics.Member
    removed_at: float


def is_significant_change(old: topics.Member, new: topics.Member) -> bool:
    """Whether a change is relayed ahead of the round robin."""
    if old.state is not new.state:
        return True
    if old.document_version != new.document_version:
        return True
    if old.refused_rank != new.refused_rank:
        return True
    return abs(old.level - new.level) >= _LEVELS_PER_RANK


def copy_fields(member: topics.Member, incoming: topics.Member) -> None:
    """Updates a member in place, because controllers hold references to it."""
    for field in dataclasses.fields(topics.Member):
        setattr(member, field.name, getattr(incoming, field.name))
