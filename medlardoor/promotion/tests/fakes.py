"""In-memory object store with injected faults, for tests of promotion."""

import collections
import enum

import anyio
import result

from medlardoor import errors
from medlardoor.store import client

__all__ = ["FaultyStore", "StoreFault"]


class StoreFault(enum.Enum):
    """Fault that is injected into one call."""

    NONE = "none"
    LOST_REQUEST = "lost request"
    LOST_ANSWER = "lost answer"
    DELAYED_REQUEST = "delayed request"
    LATE_REQUEST = "late request"


# Number of calls after which a failed request takes effect all the same.
DELAY_CALLS = {StoreFault.DELAYED_REQUEST: 1, StoreFault.LATE_REQUEST: 2}


class FaultyStore(client.ObjectStore):
    """In-memory object store; each call consumes the next scripted fault.

    A delayed request returns a failure and takes effect just before the next
    call, a late request just before the call after that.
    """

    def __init__(self, faults=()):
        self.objects: dict[str, client.StoredObject] = {}
        self.faults = collections.deque(faults)
        self.calls: list[str] = []
        self.on_change = None
        self._version = 0
        self._delayed = []

    async def _next_fault(self, name):
        # Lets concurrent operators alternate at every call.
        await anyio.sleep(0.001)
        due = [change for calls, *change in self._delayed if calls == 1]
        self._delayed = [
            (calls - 1, *change)
            for calls, *change in self._delayed
            if calls > 1
        ]
        for change in due:
            self._apply(*change)
        self.calls.append(name)
        return self.faults.popleft() if self.faults else StoreFault.NONE

    def _apply(self, key, value, expected_version):
        found = self.objects.get(key)
        if (found.version if found else 0) != expected_version:
            return result.Err(errors.StoreConflict(key, expected_version))
        self._version += 3
        self.objects[key] = client.StoredObject(key, value, self._version)
        if self.on_change is not None:
            self.on_change()
        return result.Ok(self._version)

    async def read(self, key):
        fault = await self._next_fault(f"read {key}")
        if fault is not StoreFault.NONE:
            return result.Err(errors.StoreUnavailable(key, fault.value))
        return result.Ok(self.objects.get(key))

    async def update(self, key, value, expected_version):
        fault = await self._next_fault(f"update {key}")
        if fault in DELAY_CALLS:
            self._delayed.append(
                (DELAY_CALLS[fault], key, value, expected_version)
            )
        if fault in DELAY_CALLS or fault is StoreFault.LOST_REQUEST:
            return result.Err(errors.StoreUnavailable(key, fault.value))
        written = self._apply(key, value, expected_version)
        if fault is StoreFault.LOST_ANSWER:
            return result.Err(errors.StoreUnavailable(key, fault.value))
        return written

    async def delete(self, key):
        await self._next_fault("delete")
        self.objects.pop(key, None)
        return result.Ok(None)

    async def watch(self, key, after_version, wait_s):
        raise NotImplementedError

    async def list(self, prefix):
        raise NotImplementedError
