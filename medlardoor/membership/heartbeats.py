"""Compact lists of heartbeats, which carry the liveness of many members."""

import dataclasses
import struct
import zlib

from medlardoor.blackboard import topics

__all__ = [
    "MAX_HEARTBEATS",
    "Heartbeat",
    "covers",
    "identity_hash",
    "pack",
    "unpack",
]

# Maximum in one digest. They take 896 of its 1,400 bytes, which leaves room for
# the own record and two changed ones.
MAX_HEARTBEATS = 112
_HEARTBEAT_FORMAT = struct.Struct("<II")
_MAX_COUNTER = 2**32 - 1


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Heartbeat of one member, without its record.

    Attributes:
        identity: Value of `identity_hash`.
        counter: Heartbeat counter of the member.
    """

    identity: int
    counter: int


def identity_hash(member: topics.Member) -> int:
    """32-bit hash that identifies one start of one instance."""
    text = f"{member.instance}/{member.incarnation}/{member.process_id}"
    return zlib.crc32(text.encode())


def pack(heartbeats: list[Heartbeat]) -> bytes:
    """Encodes heartbeats, 8 bytes each."""
    return b"".join(
        _HEARTBEAT_FORMAT.pack(beat.identity, beat.counter)
        for beat in heartbeats
        if beat.counter <= _MAX_COUNTER
    )


def unpack(data: bytes) -> list[Heartbeat]:
    """Decodes heartbeats and drops an incomplete last one."""
    complete_bytes = len(data) - len(data) % _HEARTBEAT_FORMAT.size
    return [
        Heartbeat(*pair)
        for pair in _HEARTBEAT_FORMAT.iter_unpack(data[:complete_bytes])
    ]


def covers(beats: list[Heartbeat], identity: int) -> bool:
    """Whether a list would contain the identity if its sender had it."""
    if len(beats) < MAX_HEARTBEATS:
        return True
    first, last = beats[0].identity, beats[-1].identity
    if first <= last:
        return first <= identity <= last
    return identity >= first or identity <= last
