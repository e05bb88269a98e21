"""Subscriptions between services: who is asked and who asks."""

import collections.abc
import dataclasses

from medlardoor.membership import group as group_module
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["SequenceFilter", "Subscribers"]

# A subscriber asks two members a second, so one member of 22 hears it every
# 11 s on average.
_SUBSCRIBER_S = 60.0
_MAX_SUBSCRIBERS = 1_024
_SENDER_S = 600.0
_MAX_SENDERS = 4_096


class Subscribers:
    """Nodes of other services that recently asked for a digest."""

    def __init__(self):
        self._asked_at: dict[group_module.Address, float] = {}

    def add(self, address: group_module.Address, now: float) -> None:
        """Notes a request; the oldest one gives way when there are many."""
        self._asked_at.pop(address, None)
        if len(self._asked_at) >= _MAX_SUBSCRIBERS:
            del self._asked_at[next(iter(self._asked_at))]
        self._asked_at[address] = now

    def expire(self, now: float) -> None:
        """Removes subscribers that no longer ask."""
        for address, asked_at in list(self._asked_at.items()):
            if now - asked_at <= _SUBSCRIBER_S:
                break
            del self._asked_at[address]

    def addresses(self) -> collections.abc.Collection[group_module.Address]:
        """Addresses of all current subscribers."""
        return self._asked_at.keys()


@dataclasses.dataclass(slots=True)
class _Sender:
    sequence: int
    at: float


class SequenceFilter:
    """Tells new digests from replayed, doubled and late ones.

    Their records are judged one by one; this filter only decides whether a
    digest is a sign of contact and deserves an answer. Sequences are kept by
    process, because a restarted one begins again at 1.
    """

    def __init__(self):
        self._senders: dict[str, _Sender] = {}

    def is_new(self, digest: ttypes.Digest, now: float) -> bool:
        """Whether this is the newest digest of its sender so far."""
        sender = f"{digest.sender}/{digest.records[0].process_id}"
        sequence = digest.sequence or 0
        known = self._senders.get(sender)
        if known is not None and sequence <= known.sequence:
            return False
        self._senders.pop(sender, None)
        if len(self._senders) >= _MAX_SENDERS:
            del self._senders[next(iter(self._senders))]
        self._senders[sender] = _Sender(sequence, now)
        return True

    def expire(self, now: float) -> None:
        """Removes senders that were not heard for long."""
        for name, sender in list(self._senders.items()):
            if now - sender.at <= _SENDER_S:
                break
            del self._senders[name]
