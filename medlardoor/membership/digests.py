"""Assembly of gossip digests within the size limits."""

from medlardoor.blackboard import topics
from medlardoor.config import settings as settings_module
from medlardoor.membership import group as group_module
from medlardoor.membership import heartbeats as heartbeats_module
from medlardoor.membership import records
from medlardoor.wire import authentication, codec
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["DigestBuilder"]

# Records of other members in each exchange. Heartbeat lists carry the liveness
# and changes are relayed first, so these records only refresh the load data;
# 16 of them would need twice the bandwidth of a node.
_ROUND_ROBIN_RECORDS = 2
# Subscribers route by the load of all members, so they get more records.
_SUBSCRIBER_ROUND_ROBIN_RECORDS = 4
# Length prefixes that are absent from the encoding of an empty digest.
_LENGTH_PREFIX_BYTES = 6


class DigestBuilder:
    """Builds the digests of one node.

    Args:
        own: Member that describes this node, updated by the gossip controller.
        settings: Maximum number of records.
    """

    def __init__(
        self, own: topics.Member, settings: settings_module.GossipSettings
    ):
        self._own = own
        self._max_records = settings.max_records
        self._sequence = 0

    def own_digest(
        self, reply: bool = False, heartbeats: bytes | None = None
    ) -> ttypes.Digest:
        """Digest that contains only the own record.

        Args:
            reply: Whether the receiver should answer.
            heartbeats: Heartbeat list of the receiver's service; without it
                the answer contains only the receiver's own record.
        """
        return self._digest([self._own], reply, heartbeats)

    def correction(self, record: ttypes.MemberRecord) -> ttypes.Digest:
        """Digest that sends a node the known record of its instance."""
        digest = self._digest([self._own], False)
        digest.records.append(record)
        return digest

    def exchange(
        self, group: group_module.MemberGroup, now: float
    ) -> ttypes.Digest:
        """Digest of the own record, recent changes and some other records.

        Args:
            group: Group of the own service.
            now: Current time, in seconds.
        """
        digest = self._digest([self._own], True, group.heartbeats(now))
        changed = group.pending_changes()
        self._add(digest, group, changed)
        for record in digest.records[1:]:
            group.count_relay(record.instance)
        self._add(
            digest, group, group.next_round_robin(_ROUND_ROBIN_RECORDS, now)
        )
        return digest

    def answer(
        self,
        group: group_module.MemberGroup,
        request: ttypes.Digest,
        now: float,
    ) -> ttypes.Digest:
        """Digest of the state that the sender of another digest lacks.

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
        # A push may not reach every subscriber, so answers contain changes too.
        self._add(digest, group, group.pending_changes())
        if request.service_name != self._own.service:
            round_robin = group.next_round_robin(
                _SUBSCRIBER_ROUND_ROBIN_RECORDS, now
            )
            self._add(digest, group, round_robin)
        return digest

    def _rotated(self, instances: list[str]) -> list[str]:
        """Rotates the list by an offset that differs between nodes.

        The answers of several nodes then complement each other.
        """
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
        free_bytes = codec.MAX_DATAGRAM_BYTES - authentication.MAC_BYTES
        free_bytes -= _LENGTH_PREFIX_BYTES
        free_bytes -= len(codec.encode(ttypes.Message(digest=digest)))
        included = {record.instance for record in digest.records}
        for instance in instances:
            if instance in included:
                continue
            if len(digest.records) >= self._max_records:
                return
            record = group.record_of(instance)
            free_bytes -= records.record_size(record)
            if free_bytes < 0:
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
