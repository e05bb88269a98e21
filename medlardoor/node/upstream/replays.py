"""Detection of call contexts that were received before."""

import collections

__all__ = ["ReplayFilter"]

KEEP_S = 600.0
# A record takes about 200 bytes.
MAX_RECORDS = 20_000


class ReplayFilter:
    """Remembers contexts of calls that must not run a second time.

    No node sends the same context twice to the same node: each attempt of a
    call that is not idempotent goes to another member. The oldest records
    are dropped first.

    Args:
        max_records: Greatest number of records.
    """

    def __init__(self, max_records: int = MAX_RECORDS):
        self._max_records = max_records
        self._seen: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def is_new(self, value: bytes, now: float) -> bool:
        """Whether a context is seen for the first time; remembers it.

        Args:
            value: Authenticated value of the context header.
            now: Current time, in seconds.
        """
        seen = self._seen
        while seen and next(iter(seen.values())) <= now - KEEP_S:
            seen.popitem(last=False)
        if value in seen:
            return False
        seen[value] = now
        if len(seen) > self._max_records:
            seen.popitem(last=False)
        return True
