"""Assembly of gossip digests within the size limits."""

from medlardoor.blackboard import topics
from medlardoor.config import settings as settings_module
from medlardoor.membership import group as group_module
from medlardoor.membership import heartbeats as heartbeats_module
from medlardoor.membership import records
from medlardoor.wire import authentication, codec
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["DigestBuilder"]

# Records relayed in turn. Liveness travels with the heartbeats and changes are
# relayed first, so these only refresh the load of others; 16 would need twice
# the bandwidth of a node.
_RECORDS_IN_TURN = 2
# A subscriber routes by the load of all members, so it gets more of them.
_RECORDS_FOR_SUBSCRIBER = 4
# Length prefixes that an empty digest does not have.
_LENGTH_PREFIX_BYTES = 6


class DigestBuilder:
    """Builds the digests of one node.

    Args:
        own: Record of this node, kept up to date by the gossip controller.
        settings: Limits.
    """

    def __init__(
        self, own: topics.Member, settings: settings_module.GossipSettings
    ):
        self._own = own
        self._max_records = settings.max_records
        self._sequence = 0

    def announcement(
        self, reply: bool = False, heartbeats: bytes | None = None
    ) -> ttypes.Digest:
        """Digest that holds only the own record.

        Args:
            reply: Whether the receiver should answer.
            heartbeats: What this node knows of the receiver's service; without
                it the answer holds the receiver's own record only.
        """
        return self._digest([self._own], reply, heartbeats)

    def correction(self, record: ttypes.MemberRecord) -> ttypes.Digest:
        """Digest that tells a node what is known about its instance."""
        digest = self._digest([self._own], False)
        digest.records.append(record)
        return digest

    def exchange(
        self, group: group_module.MemberGroup, now: float
    ) -> ttypes.Digest:
        """Own record first, then recent changes, then others in turn.

        Args:
            group: Group of the own service.
            now: Current time, in seconds.
        """
        digest = self._digest([self._own], True, group.heartbeats(now))
        changed = group.next_changed()
        self._add(digest, group, changed)
        for record in digest.records[1:]:
            group.note_relayed(record.instance)
        self._add(digest, group, group.next_in_turn(_RECORDS_IN_TURN, now))
        return digest

    def answer(
        self,
        group: group_module.MemberGroup,
        request: ttypes.Digest,
        now: float,
    ) -> ttypes.Digest:
        """What the sender of a digest does not know yet.

        Args:
            group: Group of the own service.
            request: Digest to answer.
            now: Current time, in seconds.
        """
        if request.heartbeats is None:
            return self._digest([self._own], False)
        difference = group.difference(request.heartbeats, now)
        digest = self._digest([self._own], False, difference.heartbeats)
        self._add(digest, group, self._rotated(difference.missing))
        # Not every subscriber gets each push, so changes are answered too.
        self._add(digest, group, group.next_changed())
        if request.service_name != self._own.service:
            in_turn = group.next_in_turn(_RECORDS_FOR_SUBSCRIBER, now)
            self._add(digest, group, in_turn)
        return digest

    def _rotated(self, instances: list[str]) -> list[str]:
        """Starts elsewhere in each node, so that answers complement."""
        if not instances:
            return []
        start = heartbeats_module.identity_hash(self._own) % len(instances)
        return instances[start:] + instances[:start]

    def _add(
        self,
        digest: ttypes.Digest,
        group: group_module.MemberGroup,
        instances: list[str],
    ) -> None:
        """Appends records while they fit into the datagram."""
        room = codec.MAX_DATAGRAM_BYTES - authentication.MAC_BYTES
        room -= _LENGTH_PREFIX_BYTES
        room -= len(codec.encode(ttypes.Message(digest=digest)))
        included = {record.instance for record in digest.records}
        for instance in instances:
            if instance in included:
                continue
            if len(digest.records) >= self._max_records:
                return
            record = group.record_of(instance)
            room -= records.record_size(record)
            if room < 0:
                return
            digest.records.append(record)

    def _digest(
        self,
        members: list[topics.Member],
        reply: bool,
        heartbeats: bytes | None = None,
    ) -> ttypes.Digest:
        self._sequence += 1
        return ttypes.Digest(
            service_name=self._own.service,
            sender=self._own.instance,
            incarnation=self._own.incarnation,
            sequence=self._sequence,
            records=[records.to_record(member) for member in members],
            reply=reply,
            heartbeats=heartbeats,
        )
