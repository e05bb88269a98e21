"""Tests of the merge rules and of the comparison of heartbeat lists."""

from medlardoor.config import settings
from medlardoor.membership import detector, entries, group, heartbeats
from medlardoor.wire import codec
from medlardoor.wire.generated.medlardoor_messages import ttypes


def _record(number, beat=1, **fields):
    values = {
        "instance": f"order-{number:03}",
        "incarnation": 1,
        "heartbeat": beat,
        "state": ttypes.MemberState.SERVING,
        "host": "127.0.0.1",
        "peer_port": 1,
        "gossip_port": number,
        "process_id": "p",
    }
    return ttypes.MemberRecord(**{**values, **fields})


def _group(numbers, beat=1):
    limits = settings.GossipSettings()
    members = group.MemberGroup(
        "order", {}, limits, detector.FailureDetector(limits)
    )
    for number in numbers:
        members.merge(_record(number, beat), 0.0)
    return members


def test_missing_members_of_a_large_group_are_found():
    """A member missing from a list sent in sections must still be sent."""
    size = 2 * heartbeats.MAX_HEARTBEATS
    complete = _group(range(1, size))
    absent = set(range(5, size, 20))
    partial = _group(set(range(1, size)) - absent, beat=0)
    missing, newer = set(), 0
    for _ in range(3):
        found = complete.difference(partial.heartbeats(0.0), 0.0)
        missing.update(found.missing)
        newer += partial.merge_heartbeats(found.heartbeats, 0.0)
    assert missing == {f"order-{number:03}" for number in absent}
    assert newer == size - 1 - len(absent)


def test_list_of_a_complete_group_requests_no_records():
    """Members that both nodes have must not be sent with each answer."""
    one, other = _group(range(1, 300)), _group(range(1, 300))
    for _ in range(5):
        found = one.difference(other.heartbeats(0.0), 0.0)
        assert found == group.Difference(b"", [])


def test_newer_record_is_merged_after_a_newer_heartbeat():
    """A record must be merged although a later heartbeat arrived before it."""
    members = _group([1])
    sender = _group([1], beat=9)
    assert members.merge_heartbeats(sender.heartbeats(0.0), 1.0) == 1
    leaving = _record(1, 5, state=ttypes.MemberState.LEAVING)
    assert members.merge(leaving, 2.0) is entries.MergeResult.CHANGED
    member = members.members["order-001"]
    assert (member.heartbeat, member.heard_at) == (9, 1.0)
    assert members.merge(leaving, 3.0) is entries.MergeResult.STALE
    reverted = _record(1, 20, state=ttypes.MemberState.SERVING)
    members.merge(reverted, 4.0)
    assert member.state is not ttypes.MemberState.SERVING
    # A relayed record states the heartbeat at which its data was current.
    assert members.record_of("order-001").heartbeat == 20


def test_records_survive_the_codec():
    """Omitted defaults and explicit zeros must be decoded unchanged."""
    sent = _record(1, 3, warmth_percent=0, refused_rank=0)
    data = codec.encode(sent)
    members = _group([])
    decoded = codec.decode(ttypes.MemberRecord, data).unwrap()
    members.merge(decoded, 0.0)
    member = members.members["order-001"]
    assert (member.warmth_percent, member.refused_rank) == (0, 0)
    assert (member.slots, member.document_version) == (0, 0)
