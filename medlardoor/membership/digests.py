"""Assembly of gossip digests within the size limits."""

from medlardoor.blackboard import topics
from medlardoor.config import settings as settings_module
from medlardoor.membership import group as group_module
from medlardoor.membership import records
from medlardoor.wire import authentication, codec
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["DigestBuilder"]

# Largest share of a digest: 128 of them leave room for the own record and
# one more.
_MAX_HEARTBEATS = 128
# Records relayed in turn. Liveness travels with the heartbeats, so these only
# refresh the load of others; 16 would need twice the bandwidth.
_RECORDS_IN_TURN = 4
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

    def announcement(self, reply: bool = False) -> ttypes.Digest:
        """Digest that holds only the own record."""
        return self._digest([records.to_record(self._own)], reply)

    def correction(self, record: ttypes.MemberRecord) -> ttypes.Digest:
        """Digest that tells a node what is known about its instance."""
        return self._digest([records.to_record(self._own), record], False)

    def full(
        self,
        group: group_module.MemberGroup,
        now: float,
        reply: bool = False,
    ) -> ttypes.Digest:
        """Own record first, then recent changes, then others in turn.

        Args:
            group: Group of the own service.
            now: Current time, in seconds.
            reply: Whether the receiver should answer with its own digest.
        """
        digest = self._digest([records.to_record(self._own)], reply)
        room = codec.MAX_DATAGRAM_BYTES - authentication.MAC_BYTES
        room -= _LENGTH_PREFIX_BYTES
        room -= len(codec.encode(ttypes.Message(digest=digest)))
        changed = group.next_changed()[: self._max_records - 1]
        room = self._add(digest, group, changed, room)
        for instance in [r.instance for r in digest.records[1:]]:
            group.note_relayed(instance)
        limit = min(_MAX_HEARTBEATS, room // records.HEARTBEAT_BYTES)
        digest.heartbeats = group.heartbeats(limit, now)
        room -= len(digest.heartbeats)
        in_turn = group.next_in_turn(_RECORDS_IN_TURN, now)
        included = {record.instance for record in digest.records}
        in_turn = [i for i in in_turn if i not in included]
        self._add(digest, group, in_turn, room)
        return digest

    def _add(
        self,
        digest: ttypes.Digest,
        group: group_module.MemberGroup,
        instances: list[str],
        room: int,
    ) -> int:
        """Appends records while they fit; returns the room that is left."""
        for instance in instances:
            if len(digest.records) >= self._max_records:
                break
            record = group.record_of(instance)
            size = records.record_size(record)
            if size > room:
                break
            digest.records.append(record)
            room -= size
        return room

    def _digest(
        self, rows: list[ttypes.MemberRecord], reply: bool
    ) -> ttypes.Digest:
        self._sequence += 1
        return ttypes.Digest(
            service_name=self._own.service,
            sender=self._own.instance,
            incarnation=self._own.incarnation,
            sequence=self._sequence,
            records=rows,
            reply=reply,
        )
