"""Conversion between members and the records of a digest."""

import ipaddress

from medlardoor.blackboard import topics
from medlardoor.wire import codec
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["from_record", "record_size", "to_record"]

_MAX_NAME_LENGTH = 64
_MAX_PORT = 65_535
_MAX_INT64 = 2**63 - 1

# Fields that are left out of a record when they have this value.
_OPTIONAL_FIELD_DEFAULTS = {
    "slots": 0,
    "in_flight": 0,
    "queued": 0,
    "level": 0,
    "document_version": 0,
    "warmth_percent": 100,
    "refused_rank": -1,
}


def to_record(
    member: topics.Member, heartbeat: int | None = None
) -> ttypes.MemberRecord:
    """Converts a member to a record.

    Args:
        member: Member to describe.
        heartbeat: Heartbeat at which the other fields were current, if not the
            last known one of the member.
    """
    record = ttypes.MemberRecord(
        instance=member.instance,
        incarnation=member.incarnation,
        heartbeat=member.heartbeat if heartbeat is None else heartbeat,
        state=ttypes.MemberState(int(member.state)),
        host=member.host,
        peer_port=member.peer_port,
        gossip_port=member.gossip_port,
        failure_domain=member.failure_domain,
        process_id=member.process_id,
    )
    for name, default in _OPTIONAL_FIELD_DEFAULTS.items():
        value = getattr(member, name)
        if value != default:
            setattr(record, name, value)
    return record


def from_record(
    record: ttypes.MemberRecord, service: str, now: float
) -> topics.Member | None:
    """Converts a record to a member; None if the record is invalid.

    Args:
        record: Record from a digest of another node.
        service: Service of the member.
        now: When the record was received, in seconds.
    """
    state = _parse_state(record.state)
    if state is None or not _is_valid(record):
        return None
    values = {}
    for name, default in _OPTIONAL_FIELD_DEFAULTS.items():
        value = getattr(record, name)
        values[name] = default if value is None else value
    return topics.Member(
        instance=record.instance,
        service=service,
        incarnation=record.incarnation,
        process_id=record.process_id or "",
        heartbeat=record.heartbeat,
        state=state,
        host=record.host,
        peer_port=record.peer_port,
        gossip_port=record.gossip_port,
        failure_domain=record.failure_domain or "",
        heard_at=now,
        **values,
    )


def record_size(record: ttypes.MemberRecord) -> int:
    """Size of the encoded record, in bytes."""
    return len(codec.encode(record))


def _parse_state(value: int | str | None) -> topics.MemberState | None:
    # The C decoder of thrift returns integers for enums, its Python decoder
    # returns their names.
    try:
        if isinstance(value, str):
            return topics.MemberState[value]
        return topics.MemberState(value)
    except (KeyError, ValueError):
        return None


def _is_valid(record: ttypes.MemberRecord) -> bool:
    names = (record.instance, record.host)
    if not all(name and len(name) <= _MAX_NAME_LENGTH for name in names):
        return False
    if not _is_address(record.host):
        return False
    counters = (record.incarnation, record.heartbeat)
    if not all(n is not None and 0 <= n < _MAX_INT64 for n in counters):
        return False
    ports = (record.peer_port, record.gossip_port)
    return all(n is not None and 0 <= n <= _MAX_PORT for n in ports)


def _is_address(host: str) -> bool:
    """Whether a host is an IP address; host names would need a resolver."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
