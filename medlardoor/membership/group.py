"""Members of one service and the rules that merge records about them."""

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

# Changes are relayed once for each doubling of the group's size, which reaches
# nearly all members; the round robin reaches the rest. New members need fewer
# relays, because the answer to a heartbeat list contains the records of members
# that the list lacks.
_NEW_MEMBER_RELAY_COUNT = 2
_MAX_TOMBSTONES = 512
# Exceeds the longest expected partition between regions.
_TOMBSTONE_RETENTION_S = 7_200.0


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Address of a gossip listener."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """State that is newer at one node than at another.

    Attributes:
        heartbeats: Newer heartbeats, packed.
        missing: Instances whose records the other node needs.
    """

    heartbeats: bytes
    missing: list[str]


class MemberGroup:
    """Members of one service, excluding this node.

    Args:
        service: Name of the service.
        members: Members by instance name, shared with the blackboard.
        settings: Time limits and intervals.
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
        self._round_robin: collections.deque[str] = collections.deque()
        self._heartbeat_list_start = 0

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
    ) -> entries_module.MergeResult:
        """Merges a record if it is newer than the known one.

        A greater incarnation replaces a member. Within one incarnation only a
        record with a greater heartbeat is merged, and a member that is leaving
        or has left never returns to an earlier state.

        Args:
            record: Record about a node other than this one.
            now: Current time, in seconds.

        Returns:
            Effect of the record on the group.
        """
        incoming = records.from_record(record, self._service, now)
        if incoming is None:
            return entries_module.MergeResult.INVALID
        entry = self._entries.get(incoming.instance)
        known = (
            entry.member if entry else self._removed_member(incoming.instance)
        )
        if known is None or incoming.incarnation > known.incarnation:
            self._replace(incoming)
            return entries_module.MergeResult.CHANGED
        if incoming.incarnation < known.incarnation:
            return entries_module.MergeResult.OUTDATED_INCARNATION
        if incoming.process_id != known.process_id:
            # Two processes use the same incarnation; the later one has to
            # choose a greater one.
            return entries_module.MergeResult.OUTDATED_INCARNATION
        if known.state is topics.MemberState.LEFT:
            return entries_module.MergeResult.STALE
        if entry is None:
            if incoming.heartbeat <= known.heartbeat:
                return entries_module.MergeResult.STALE
            self._replace(incoming)
            return entries_module.MergeResult.CHANGED
        return self._update(entry, incoming)

    def merge_heartbeats(self, data: bytes, now: float) -> int:
        """Merges newer heartbeats and returns their number."""
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

    def remove_expired(self, now: float) -> None:
        """Removes members without recent heartbeats, and old tombstones.

        Members that have not left are kept while no member is live: a fault of
        the network or of this node is then more likely than a failure of all
        members.
        """
        any_live = any(
            self.is_live(member, now) for member in self._members.values()
        )
        for entry in list(self._entries.values()):
            member = entry.member
            if not self._detector.is_removable(member, now):
                continue
            if any_live or member.state is topics.MemberState.LEFT:
                self._remove(entry, now)
        for instance, tombstone in list(self._tombstones.items()):
            if now - tombstone.removed_at > _TOMBSTONE_RETENTION_S:
                del self._tombstones[instance]

    def is_live(self, member: topics.Member, now: float) -> bool:
        """Whether the member has neither left nor failed."""
        if member.state is topics.MemberState.LEFT:
            return False
        return not self._detector.is_failed(member, now)

    def live_members(self, now: float) -> list[topics.Member]:
        """Members that have neither left nor failed."""
        return [m for m in self._members.values() if self.is_live(m, now)]

    def live_addresses(self, now: float) -> list[Address]:
        """Gossip addresses of the live members."""
        return [Address(m.host, m.gossip_port) for m in self.live_members(now)]

    def failed_addresses(self, now: float) -> list[Address]:
        """Gossip addresses of failed members, including removed ones.

        They are contacted occasionally; otherwise the two sides of a long
        partition would never rejoin.
        """
        failed = [m for m in self._members.values() if not self.is_live(m, now)]
        failed += [tombstone.member for tombstone in self._tombstones.values()]
        return [
            Address(member.host, member.gossip_port)
            for member in failed
            if member.state is not topics.MemberState.LEFT
        ]

    def usable_members(self, now: float) -> list[topics.Member]:
        """Serving members that may receive new requests.

        At least half of the serving members are returned. If too few are free
        of suspicion, the suspect ones with the latest heartbeats are added: a
        fault of the network or of this node is more likely than a simultaneous
        failure of most members.
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
        """Record of a known or removed member; does not count as a relay."""
        entry = self._entries.get(instance)
        if entry is not None:
            return records.to_record(entry.member, entry.data_heartbeat)
        removed = self._removed_member(instance)
        return records.to_record(removed) if removed else None

    def has_version(self, version: int) -> bool:
        """Whether any member has this document version or a newer one."""
        return any(
            member.document_version >= version
            for member in self._members.values()
        )

    def pending_changes(self) -> list[str]:
        """Instances with changes left to relay, the newest changes first."""
        pending = [e for e in self._entries.values() if e.remaining_relays > 0]
        pending.sort(key=lambda entry: entry.remaining_relays, reverse=True)
        return [entry.member.instance for entry in pending]

    def count_relay(self, instance: str) -> None:
        """Counts one relay of a changed record."""
        entry = self._entries[instance]
        entry.remaining_relays = max(0, entry.remaining_relays - 1)

    def next_round_robin(self, count: int, now: float) -> list[str]:
        """Next members in round-robin order, without left and suspect ones."""
        chosen = []
        for _ in range(len(self._round_robin)):
            if len(chosen) >= count:
                break
            instance = self._round_robin[0]
            self._round_robin.rotate(-1)
            member = self._members[instance]
            # A suspect member is not relayed: a node that lacks it would treat
            # the record as a recent heartbeat.
            if member.state is topics.MemberState.LEFT:
                continue
            if not self._detector.is_suspect(member, now):
                chosen.append(instance)
        return chosen

    def heartbeats(self, now: float) -> bytes:
        """Heartbeats of live members, at most `heartbeats.MAX_HEARTBEATS`.

        They are sorted by identity hash and contiguous, so that the receiver
        can tell which members the sender lacks. For a larger group, successive
        calls return successive sections.
        """
        live_entries = self._live_by_identity(now)
        if len(live_entries) > heartbeats_module.MAX_HEARTBEATS:
            start = self._heartbeat_list_start % len(live_entries)
            self._heartbeat_list_start = (
                start + heartbeats_module.MAX_HEARTBEATS
            )
            live_entries = (live_entries[start:] + live_entries[:start])[
                : heartbeats_module.MAX_HEARTBEATS
            ]
        return heartbeats_module.pack(
            [_heartbeat(entry) for entry in live_entries]
        )

    def difference(self, data: bytes, now: float) -> Difference:
        """Returns the state that is newer here than in a heartbeat list.

        Args:
            data: List that another node built with `heartbeats`.
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
        """Gossip addresses of live members without a recent heartbeat.

        Args:
            age_s: Heartbeat age above which a member counts, in seconds.
            now: Current time, in seconds.
        """
        return [
            Address(member.host, member.gossip_port)
            for member in self.live_members(now)
            if self._detector.age(member, now) > age_s
        ]

    def _live_by_identity(self, now: float) -> list[entries_module.Entry]:
        live_entries = [
            entry
            for entry in self._by_identity.values()
            if self.is_live(entry.member, now)
        ]
        return sorted(live_entries, key=lambda entry: entry.identity)

    def _update(
        self, entry: entries_module.Entry, incoming: topics.Member
    ) -> entries_module.MergeResult:
        if incoming.heartbeat <= entry.data_heartbeat:
            return entries_module.MergeResult.STALE
        entry.data_heartbeat = incoming.heartbeat
        member = entry.member
        if member.state >= topics.MemberState.LEAVING:
            incoming.state = max(incoming.state, member.state)
        if incoming.heartbeat <= member.heartbeat:
            # The record is newer than the known one, but a heartbeat list has
            # already provided a later heartbeat.
            incoming.heartbeat = member.heartbeat
            incoming.heard_at = member.heard_at
        changed = entries_module.is_significant_change(member, incoming)
        entries_module.copy_fields(member, incoming)
        if changed:
            entry.remaining_relays = self._relay_count()
        return (
            entries_module.MergeResult.CHANGED
            if changed
            else entries_module.MergeResult.REFRESHED
        )

    def _replace(self, incoming: topics.Member) -> None:
        old = self._entries.get(incoming.instance)
        if old is None:
            self._round_robin.append(incoming.instance)
        else:
            self._drop_identity(old)
        self._tombstones.pop(incoming.instance, None)
        entry = entries_module.Entry(
            incoming,
            heartbeats_module.identity_hash(incoming),
            incoming.heartbeat,
            0,
        )
        self._entries[incoming.instance] = entry
        self._members[incoming.instance] = incoming
        # After a hash collision neither member is in heartbeat lists; only full
        # records update them.
        if self._by_identity.setdefault(entry.identity, entry) is not entry:
            del self._by_identity[entry.identity]
        entry.remaining_relays = _NEW_MEMBER_RELAY_COUNT

    def _remove(self, entry: entries_module.Entry, now: float) -> None:
        instance = entry.member.instance
        del self._entries[instance]
        del self._members[instance]
        self._round_robin.remove(instance)
        self._drop_identity(entry)
        if len(self._tombstones) >= _MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]
        self._tombstones[instance] = entries_module.Tombstone(entry.member, now)

    def _drop_identity(self, entry: entries_module.Entry) -> None:
        if self._by_identity.get(entry.identity) is entry:
            del self._by_identity[entry.identity]

    def _removed_member(self, instance: str) -> topics.Member | None:
        tombstone = self._tombstones.get(instance)
        return tombstone.member if tombstone else None

    def _relay_count(self) -> int:
        return (len(self._entries) + 2).bit_length()


def _heartbeat(entry: entries_module.Entry) -> heartbeats_module.Heartbeat:
    return heartbeats_module.Heartbeat(entry.identity, entry.member.heartbeat)
