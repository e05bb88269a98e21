"""Priority queue of calls that wait for a slot of the local upstream."""

import bisect
from collections import abc
import dataclasses

from medlardoor.calls import context

__all__ = ["Entry", "PriorityQueue"]


@dataclasses.dataclass(slots=True)
class Entry:
    """A waiting call.

    Attributes:
        call: The call.
        queued_at: When the call was queued, in seconds.
        key: Sort key: negated rank, deadline and sequence number.
    """

    call: context.CallContext
    queued_at: float
    key: tuple[int, float, int]

    def can_start(self, now: float, service_s: float) -> bool:
        """Whether the call can meet its deadline and has not waited too long.

        Args:
            now: Current time, in seconds.
            service_s: Expected service time, in seconds.
        """
        if now + service_s > self.call.deadline:
            return False
        return now - self.queued_at <= self.call.max_wait_s


class PriorityQueue:
    """Calls ordered by rank, then by deadline.

    The queue is a sorted list, because it holds a few hundred entries and needs
    access to both ends, removal from the middle and a scan for expired entries.
    """

    def __init__(self):
        self._entries: list[Entry] = []
        self._by_id: dict[int, Entry] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def lowest_rank(self) -> int | None:
        """Rank of the least important entry; None if the queue is empty."""
        if not self._entries:
            return None
        return self._entries[-1].call.rank

    def count_from_rank(self, rank: int) -> int:
        """Number of entries of at least this rank."""
        return bisect.bisect_left(self._entries, (-rank + 1,), key=_sort_key)

    def push(self, call: context.CallContext, now: float) -> None:
        """Adds a call.

        Args:
            call: The call; its id is not in the queue.
            now: Current time, in seconds.
        """
        self._sequence += 1
        key = (-call.rank, call.deadline, self._sequence)
        entry = Entry(call, now, key)
        bisect.insort(self._entries, entry, key=_sort_key)
        self._by_id[call.call_id] = entry

    def pop(self) -> Entry | None:
        """Removes the most important entry; None if the queue is empty."""
        if not self._entries:
            return None
        entry = self._entries.pop(0)
        del self._by_id[entry.call.call_id]
        return entry

    def cancel(self, call_id: int) -> Entry | None:
        """Removes a call; None if it is not in the queue."""
        entry = self._by_id.pop(call_id, None)
        if entry is None:
            return None
        index = bisect.bisect_left(self._entries, entry.key, key=_sort_key)
        del self._entries[index]
        return entry

    def evict(self) -> Entry | None:
        """Removes the entry with the lowest level, the latest one if tied.

        The level of a chain is the same in all nodes, so all nodes keep the
        same chains when they evict.
        """
        if not self._entries:
            return None
        # The least important entry has the lowest rank, so only the end of
        # the list that has this rank needs to be searched.
        lowest = self._entries[-1].call.rank
        first = bisect.bisect_left(self._entries, (-lowest,), key=_sort_key)
        candidates = self._entries[first:]
        entry = min(candidates, key=lambda e: (e.call.level, -e.key[2]))
        return self.cancel(entry.call.call_id)

    def expire(
        self, now: float, expected_service_s: abc.Callable[[str], float]
    ) -> list[Entry]:
        """Removes and returns the entries for which `can_start` is false.

        Args:
            now: Current time, in seconds.
            expected_service_s: Returns the expected service time of a kind, in
                seconds.
        """
        expired = [
            e
            for e in self._entries
            if not e.can_start(now, expected_service_s(e.call.kind))
        ]
        for entry in expired:
            self.cancel(entry.call.call_id)
        return expired


def _sort_key(entry: Entry) -> tuple[int, float, int]:
    return entry.key
