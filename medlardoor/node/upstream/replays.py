"""Detection of replayed call contexts."""

import collections

__all__ = ["ReplayFilter"]

RETENTION_S = 600.0
# A record takes about 200 bytes, so the filter takes up to about 4 MB.
MAX_RECORDS = 20_000


class ReplayFilter:
    """Detects contexts of non-idempotent calls that arrive a second time.

    A repeated context is a replay, because each attempt of a non-idempotent
    call goes to another member. Records expire after `RETENTION_S`; when the
    filter is full, the oldest record is evicted.

    Args:
        max_records: Maximum number of records.
    """

    def __init__(self, max_records: int = MAX_RECORDS):
        self._max_records = max_records
        self._received_at: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def is_new(self, value: bytes, now: float) -> bool:
        """Records a context and returns whether it is new.

        Args:
            value: Authenticated value of the context header.
            now: Current time, in seconds.
        """
        received_at = self._received_at
        while (
            received_at
            and next(iter(received_at.values())) <= now - RETENTION_S
        ):
            received_at.popitem(last=False)
        if value in received_at:
            return False
        received_at[value] = now
        if len(received_at) > self._max_records:
            received_at.popitem(last=False)
        return True
