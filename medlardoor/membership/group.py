"""Members of one service and the rules that merge news about them."""

import collections
import dataclasses
import enum
import math

from medlardoor.blackboard import topics
from medlardoor.config import settings as settings_module
from medlardoor.membership import detector as detector_module
from medlardoor.membership import records
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["Address", "MemberGroup", "Merge"]

# Each change is relayed this many times the logarithm of the group's size,
# which reaches all members of a group with high probability.
_RELAYS_PER_DOUBLING = 2
_MAX_TOMBSTONES = 512
# Longer than regions are expected to lose contact with each other.
_TOMBSTONE_S = 7_200.0
_LEVELS_PER_RANK = 128


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Address of a gossip listener."""

    host: str
    port: int


class Merge(enum.Enum):
    """What a record did to the group."""

    INVALID = "invalid"
    STALE = "stale"
    OUTDATED_INCARNATION = "outdated_incarnation"
    REFRESHED = "refreshed"
    CHANGED = "changed"


@dataclasses.dataclass(slots=True)
class _Entry:
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
class _Tombstone:
    """What remains of a removed member, against late digests about it."""

    member: topics.Member
    removed_at: float


class MemberGroup:
    """Members of one service, other than this node itself.

    Args:
        service: Name of the service.
        members: Members by instance name, as they are on the blackboard.
        settings: Times and limits.
        detector: Failure detector of the node.
    """

    def __init__(
        self,
        service: str,
        members: dict[str, topics.Member],
        settings: settings_module.GossipSettings,
        detector: detector_module.FailureDetector,
    ):
        self._service = service
        self._members = members
        self._settings = settings
        self._detector = detector
        self._entries: dict[str, _Entry] = {}
        self._by_identity: dict[int, _Entry] = {}
        self._tombstones: dict[str, _Tombstone] = {}
        self._ring: collections.deque[str] = collections.deque()
        self._beat_position = 0

    @property
    def service(self) -> str:
        """Name of the service."""
        return self._service

    @property
    def members(self) -> dict[str, topics.Member]:
        """Known members by instance name."""
        return self._members

    def merge(self, record: ttypes.MemberRecord, now: float) -> Merge:
        """Takes over a record if it is newer than what is known.

        A greater incarnation replaces a member. Within one incarnation only a
        greater heartbeat counts, and a member that is leaving or has left
        never returns to another state.

        Args:
            record: Record about another node than this one.
            now: Current time, in seconds.
        """
        news = records.from_record(record, self._service, now)
        if news is None:
            return Merge.INVALID
        entry = self._entries.get(news.instance)
        known = entry.member if entry else self._removed(news.instance)
        if known is None or news.incarnation > known.incarnation:
            self._replace(news)
            return Merge.CHANGED
        if news.incarnation < known.incarnation:
            return Merge.OUTDATED_INCARNATION
        if news.process_id != known.process_id:
            # Two starts with one incarnation; the newcomer has to choose a
            # greater one.
            return Merge.OUTDATED_INCARNATION
        if known.state is topics.MemberState.LEFT:
            return Merge.STALE
        if entry is None:
            if news.heartbeat <= known.heartbeat:
                return Merge.STALE
            self._replace(news)
            return Merge.CHANGED
        return self._update(entry, news)

    def merge_heartbeats(self, data: bytes, now: float) -> int:
        """Takes over newer heartbeats; returns how many there were."""
        count = 0
        for beat in records.unpack_heartbeats(data):
            entry = self._by_identity.get(beat.identity)
            if entry is None or beat.counter <= entry.member.heartbeat:
                continue
            if entry.member.state is topics.MemberState.LEFT:
                continue
            entry.member.heartbeat = beat.counter
            entry.member.heard_at = now
            count += 1
        return count

    def forget(self, now: float) -> None:
        """Removes members that were silent for long, and old tombstones.

        Silent members are kept while no member at all is heard, because then
        the network or this node is more likely at fault than all of them.
        """
        any_live = any(
            self.is_live(member, now) for member in self._members.values()
        )
        for entry in list(self._entries.values()):
            member = entry.member
            if not self._detector.is_forgettable(member, now):
                continue
            if any_live or member.state is topics.MemberState.LEFT:
                self._remove(entry, now)
        for instance, tombstone in list(self._tombstones.items()):
            if now - tombstone.removed_at > _TOMBSTONE_S:
                del self._tombstones[instance]

    def is_live(self, member: topics.Member, now: float) -> bool:
        """Whether the member runs as far as this node knows."""
        if member.state is topics.MemberState.LEFT:
            return False
        return not self._detector.is_failed(member, now)

    def live(self, now: float) -> list[topics.Member]:
        """Members that run as far as this node knows."""
        return [m for m in self._members.values() if self.is_live(m, now)]

    def live_addresses(self, now: float) -> list[Address]:
        """Gossip addresses of the live members."""
        return [Address(m.host, m.gossip_port) for m in self.live(now)]

    def lost_addresses(self, now: float) -> list[Address]:
        """Addresses of members that fell silent without leaving.

        They are tried now and then, because two halves of a group that lost
        contact for long would otherwise stay apart.
        """
        silent = [m for m in self._members.values() if not self.is_live(m, now)]
        silent += [tombstone.member for tombstone in self._tombstones.values()]
        return [
            Address(member.host, member.gossip_port)
            for member in silent
            if member.state is not topics.MemberState.LEFT
        ]

    def usable(self, now: float) -> list[topics.Member]:
        """Serving members that may get new work.

        If more than half of the serving members are suspect, those heard last
        fill up to one half: most of a group rarely fails at once, but a
        network or this node may.
        """
        serving = [
            member
            for member in self._members.values()
            if member.state is topics.MemberState.SERVING
        ]
        serving.sort(key=lambda member: self._detector.age(member, now))
        minimum = math.ceil(len(serving) / 2)
        return [
            member
            for position, member in enumerate(serving)
            if position < minimum or not self._detector.is_suspect(member, now)
        ]

    def record_of(self, instance: str) -> ttypes.MemberRecord | None:
        """Record of a known or removed member, without counting a relay."""
        entry = self._entries.get(instance)
        if entry is not None:
            return records.to_record(entry.member, entry.data_heartbeat)
        removed = self._removed(instance)
        return records.to_record(removed) if removed else None

    def next_changed(self) -> list[str]:
        """Instances whose change is still to be relayed, newest first."""
        pending = [e for e in self._entries.values() if e.relays > 0]
        pending.sort(key=lambda entry: entry.relays, reverse=True)
        return [entry.member.instance for entry in pending]

    def note_relayed(self, instance: str) -> None:
        """Counts one relay of a changed record."""
        entry = self._entries[instance]
        entry.relays = max(0, entry.relays - 1)

    def next_in_turn(self, count: int, now: float) -> list[str]:
        """The next live instances in the round robin order."""
        chosen = []
        for _ in range(len(self._ring)):
            if len(chosen) >= count:
                break
            instance = self._ring[0]
            self._ring.rotate(-1)
            member = self._members[instance]
            # A silent member is not relayed: a node that does not know it
            # would take it for one that was just heard.
            if member.state is topics.MemberState.LEFT:
                continue
            if not self._detector.is_suspect(member, now):
                chosen.append(instance)
        return chosen

    def heartbeats(self, limit: int, now: float) -> bytes:
        """Heartbeats of live members, at most `limit`, in turn."""
        entries = [
            entry
            for entry in self._entries.values()
            if self.is_live(entry.member, now)
        ]
        start = 0
        if len(entries) > limit:
            start = self._beat_position % len(entries)
            self._beat_position = start + limit
        chosen = (entries[start:] + entries[:start])[:limit]
        return records.pack_heartbeats(
            [
                records.Heartbeat(entry.identity, entry.member.heartbeat)
                for entry in chosen
            ]
        )

    def _update(self, entry: _Entry, news: topics.Member) -> Merge:
        if news.heartbeat <= entry.data_heartbeat:
            return Merge.STALE
        entry.data_heartbeat = news.heartbeat
        member = entry.member
        if member.state >= topics.MemberState.LEAVING:
            news.state = max(news.state, member.state)
        if news.heartbeat <= member.heartbeat:
            # The data is newer than the known data, although a newer
            # heartbeat has already been heard.
            news.heartbeat = member.heartbeat
            news.heard_at = member.heard_at
        changed = _is_change(member, news)
        _assign(member, news)
        if changed:
            entry.relays = self._relay_count()
        return Merge.CHANGED if changed else Merge.REFRESHED

    def _replace(self, news: topics.Member) -> None:
        old = self._entries.get(news.instance)
        if old is None:
            self._ring.append(news.instance)
        else:
            self._drop_identity(old)
        self._tombstones.pop(news.instance, None)
        entry = _Entry(news, records.identity_hash(news), news.heartbeat, 0)
        self._entries[news.instance] = entry
        self._members[news.instance] = news
        # Two members with one hash are left to their full records.
        if self._by_identity.setdefault(entry.identity, entry) is not entry:
            del self._by_identity[entry.identity]
        entry.relays = self._relay_count()

    def _remove(self, entry: _Entry, now: float) -> None:
        instance = entry.member.instance
        del self._entries[instance]
        del self._members[instance]
        self._ring.remove(instance)
        self._drop_identity(entry)
        if len(self._tombstones) >= _MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]
        self._tombstones[instance] = _Tombstone(entry.member, now)

    def _drop_identity(self, entry: _Entry) -> None:
        if self._by_identity.get(entry.identity) is entry:
            del self._by_identity[entry.identity]

    def _removed(self, instance: str) -> topics.Member | None:
        tombstone = self._tombstones.get(instance)
        return tombstone.member if tombstone else None

    def _relay_count(self) -> int:
        return _RELAYS_PER_DOUBLING * (len(self._entries) + 2).bit_length()


def _is_change(old: topics.Member, new: topics.Member) -> bool:
    """Whether others should hear of it before their turn."""
    if old.state is not new.state:
        return True
    if old.document_version != new.document_version:
        return True
    if old.refused_rank != new.refused_rank:
        return True
    return abs(old.level - new.level) >= _LEVELS_PER_RANK


def _assign(member: topics.Member, news: topics.Member) -> None:
    """Overwrites the fields; controllers keep references to the member."""
    for field in dataclasses.fields(topics.Member):
        setattr(member, field.name, getattr(news, field.name))
