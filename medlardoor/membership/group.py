"""Members of one service and the rules that merge news about them."""

import collections
import dataclasses
import math

from medlardoor.blackboard import topics
from medlardoor.config import settings as settings_module
from medlardoor.membership import detector as detector_module
from medlardoor.membership import entries as entries_module
from medlardoor.membership import heartbeats as heartbeats_module
from medlardoor.membership import records
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["Address", "Difference", "MemberGroup"]

# A change is relayed once for each doubling of the group's size, which reaches
# nearly all members; the rest learn it in turn.
# A new member is relayed less often: answers to heartbeat lists bring it to
# those that miss it.
_NEW_MEMBER_RELAYS = 2
_MAX_TOMBSTONES = 512
# Longer than regions are expected to lose contact with each other.
_TOMBSTONE_S = 7_200.0


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Address of a gossip listener."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """What one node knows better than another.

    Attributes:
        heartbeats: Newer heartbeats, packed.
        missing: Instances whose records the other node needs.
    """

    heartbeats: bytes
    missing: list[str]


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
        self._entries: dict[str, entries_module.Entry] = {}
        self._by_identity: dict[int, entries_module.Entry] = {}
        self._tombstones: dict[str, entries_module.Tombstone] = {}
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

    def merge(
        self, record: ttypes.MemberRecord, now: float
    ) -> entries_module.Merge:
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
            return entries_module.Merge.INVALID
        entry = self._entries.get(news.instance)
        known = entry.member if entry else self._removed(news.instance)
        if known is None or news.incarnation > known.incarnation:
            self._replace(news)
            return entries_module.Merge.CHANGED
        if news.incarnation < known.incarnation:
            return entries_module.Merge.OUTDATED_INCARNATION
        if news.process_id != known.process_id:
            # Two starts with one incarnation; the newcomer has to choose a
            # greater one.
            return entries_module.Merge.OUTDATED_INCARNATION
        if known.state is topics.MemberState.LEFT:
            return entries_module.Merge.STALE
        if entry is None:
            if news.heartbeat <= known.heartbeat:
                return entries_module.Merge.STALE
            self._replace(news)
            return entries_module.Merge.CHANGED
        return self._update(entry, news)

    def merge_heartbeats(self, data: bytes, now: float) -> int:
        """Takes over newer heartbeats; returns how many there were."""
        count = 0
        for beat in heartbeats_module.unpack(data):
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

    def knows_version(self, version: int) -> bool:
        """Whether any member has this document version or a newer one."""
        return any(
            member.document_version >= version
            for member in self._members.values()
        )

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

    def heartbeats(self, now: float) -> bytes:
        """Heartbeats of live members, at most `heartbeats.MAX_HEARTBEATS`.

        They are in the order of their identity hashes and without gaps, so
        that the receiver can tell which members the sender does not know. A
        larger group is covered piece by piece.
        """
        live = self._live_by_identity(now)
        if len(live) > heartbeats_module.MAX_HEARTBEATS:
            start = self._beat_position % len(live)
            self._beat_position = start + heartbeats_module.MAX_HEARTBEATS
            live = (live[start:] + live[:start])[
                : heartbeats_module.MAX_HEARTBEATS
            ]
        return heartbeats_module.pack([_heartbeat(entry) for entry in live])

    def difference(self, data: bytes, now: float) -> Difference:
        """What this node knows better than the sender of a heartbeat list.

        Args:
            data: List made by `heartbeats` at another node.
            now: Current time, in seconds.
        """
        beats = heartbeats_module.unpack(data)
        known = {beat.identity: beat.counter for beat in beats}
        newer, missing = [], []
        for entry in self._live_by_identity(now):
            counter = known.get(entry.identity)
            if counter is None:
                suspect = self._detector.is_suspect(entry.member, now)
                if not suspect and heartbeats_module.covers(
                    beats, entry.identity
                ):
                    missing.append(entry.member.instance)
            elif entry.member.heartbeat > counter:
                newer.append(_heartbeat(entry))
        for identity in known:
            entry = self._by_identity.get(identity)
            if entry and entry.member.state is topics.MemberState.LEFT:
                missing.insert(0, entry.member.instance)
        return Difference(
            heartbeats_module.pack(newer[: heartbeats_module.MAX_HEARTBEATS]),
            missing,
        )

    def stale_addresses(self, age_s: float, now: float) -> list[Address]:
        """Addresses of live members that were not heard for some time.

        Args:
            age_s: Shortest silence, in seconds.
            now: Current time, in seconds.
        """
        return [
            Address(member.host, member.gossip_port)
            for member in self.live(now)
            if self._detector.age(member, now) > age_s
        ]

    def _live_by_identity(self, now: float) -> list[entries_module.Entry]:
        live = [
            entry
            for entry in self._by_identity.values()
            if self.is_live(entry.member, now)
        ]
        return sorted(live, key=lambda entry: entry.identity)

    def _update(
        self, entry: entries_module.Entry, news: topics.Member
    ) -> entries_module.Merge:
        if news.heartbeat <= entry.data_heartbeat:
            return entries_module.Merge.STALE
        entry.data_heartbeat = news.heartbeat
        member = entry.member
        if member.state >= topics.MemberState.LEAVING:
            news.state = max(news.state, member.state)
        if news.heartbeat <= member.heartbeat:
            # The data is newer than the known data, although a newer
            # heartbeat has already been heard.
            news.heartbeat = member.heartbeat
            news.heard_at = member.heard_at
        changed = entries_module.is_change(member, news)
        entries_module.assign(member, news)
        if changed:
            entry.relays = self._relay_count()
        return (
            entries_module.Merge.CHANGED
            if changed
            else entries_module.Merge.REFRESHED
        )

    def _replace(self, news: topics.Member) -> None:
        old = self._entries.get(news.instance)
        if old is None:
            self._ring.append(news.instance)
        else:
            self._drop_identity(old)
        self._tombstones.pop(news.instance, None)
        entry = entries_module.Entry(
            news, heartbeats_module.identity_hash(news), news.heartbeat, 0
        )
        self._entries[news.instance] = entry
        self._members[news.instance] = news
        # Two members with one hash are left to their full records.
        if self._by_identity.setdefault(entry.identity, entry) is not entry:
            del self._by_identity[entry.identity]
        entry.relays = _NEW_MEMBER_RELAYS

    def _remove(self, entry: entries_module.Entry, now: float) -> None:
        instance = entry.member.instance
        del self._entries[instance]
        del self._members[instance]
        self._ring.remove(instance)
        self._drop_identity(entry)
        if len(self._tombstones) >= _MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]
        self._tombstones[instance] = entries_module.Tombstone(entry.member, now)

    def _drop_identity(self, entry: entries_module.Entry) -> None:
        if self._by_identity.get(entry.identity) is entry:
            del self._by_identity[entry.identity]

    def _removed(self, instance: str) -> topics.Member | None:
        tombstone = self._tombstones.get(instance)
        return tombstone.member if tombstone else None

    def _relay_count(self) -> int:
        return (len(self._entries) + 2).bit_length()


def _heartbeat(entry: entries_module.Entry) -> heartbeats_module.Heartbeat:
    return heartbeats_module.Heartbeat(entry.identity, entry.member.heartbeat)
