"""Subscribers of a service and detection of repeated digests."""

import collections.abc
import dataclasses

from medlardoor.membership import group as group_module
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["SequenceFilter", "Subscribers"]

# A subscriber sends requests to two members a second, so each of 22 members
# gets one every 11 s on average.
_SUBSCRIBER_TIMEOUT_S = 60.0
_MAX_SUBSCRIBERS = 1_024
_SENDER_TIMEOUT_S = 600.0
_MAX_SENDERS = 4_096


class Subscribers:
    """Nodes of other services that recently asked for a digest."""

    def __init__(self):
        self._last_request_at: dict[group_module.Address, float] = {}

    def add(self, address: group_module.Address, now: float) -> None:
        """Records a request; replaces the oldest subscriber if full."""
        self._last_request_at.pop(address, None)
        if len(self._last_request_at) >= _MAX_SUBSCRIBERS:
            del self._last_request_at[next(iter(self._last_request_at))]
        self._last_request_at[address] = now

    def expire(self, now: float) -> None:
        """Removes subscribers without a recent request."""
        for address, requested_at in list(self._last_request_at.items()):
            if now - requested_at <= _SUBSCRIBER_TIMEOUT_S:
                break
            del self._last_request_at[address]

    def addresses(self) -> collections.abc.Collection[group_module.Address]:
        """Addresses of all current subscribers."""
        return self._last_request_at.keys()


@dataclasses.dataclass(slots=True)
class _Sender:
    sequence: int
    seen_at: float


class SequenceFilter:
    """Distinguishes new digests from replayed, duplicated and late ones.

    The records of a digest are merged in any case; this filter only decides
    whether a digest counts as contact and is answered. Sequence numbers are
    kept for each process, because a restarted one begins again at 1.
    """

    def __init__(self):
        self._senders: dict[str, _Sender] = {}

    def is_newest(self, digest: ttypes.Digest, now: float) -> bool:
        """Whether a digest is newer than all others from its sender."""
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
        """Removes senders without a recent new digest."""
        for name, sender in list(self._senders.items()):
            if now - sender.seen_at <= _SENDER_TIMEOUT_S:
                break
            del self._senders[name]
