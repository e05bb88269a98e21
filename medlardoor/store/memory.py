"""In-memory object table for the stand-in, and a fake client for tests."""

import dataclasses
import enum

import anyio
import anyio.lowlevel
import result

from medlardoor import errors
from medlardoor.store import client, versions

__all__ = [
    "FaultMode",
    "MemoryObjectStore",
    "ObjectTable",
    "StoreCalls",
    "TableCopy",
]


class FaultMode(enum.Enum):
    """Fault that the platform simulates.

    `LOSE_ANSWERS` affects updates and deletions: the change takes effect, but
    the client receives no response. Reads still receive a response.
    """

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose_answers"


@dataclasses.dataclass(slots=True)
class StoreCalls:
    """Number of calls by type; a watch that waits counts as one call."""

    reads: int = 0
    updates: int = 0
    conflicts: int = 0
    watches: int = 0
    lists: int = 0

    @property
    def total(self) -> int:
        """Number of calls of all types; `updates` includes conflicts."""
        return self.reads + self.updates + self.watches + self.lists


@dataclasses.dataclass(frozen=True, slots=True)
class TableCopy:
    """Content of a table at one moment.

    Attributes:
        revision: Revision of the last change.
        objects: Objects by key.
    """

    revision: int
    objects: dict[str, client.StoredObject]


class ObjectTable:
    """Table of objects with one version counter for all of them."""

    def __init__(self):
        self._objects: dict[str, client.StoredObject] = {}
        self._version = 0
        self._waiters: dict[str, anyio.Event] = {}

    def copy(self) -> TableCopy:
        """Copies the content of the table."""
        revision = versions.revision_of(self._version)
        return TableCopy(revision, dict(self._objects))

    def restore(self, older: TableCopy) -> None:
        """Returns from an older copy, as the store does, in a new era."""
        era = versions.era_of(self._version) + 1
        self._version = versions.compose(era, older.revision)
        self._objects = {
            key: dataclasses.replace(
                stored,
                version=versions.compose(
                    era, versions.revision_of(stored.version)
                ),
            )
            for key, stored in older.objects.items()
        }
        self.wake_all()

    @property
    def version(self) -> int:
        """Version of the last change to any object."""
        return self._version

    def read(self, key: str) -> client.StoredObject | None:
        """Returns the object, or None if the key does not exist."""
        return self._objects.get(key)

    def update(
        self, key: str, value: bytes, expected_version: int
    ) -> result.Result[int, errors.StoreConflict]:
        """Applies a conditional update and wakes tasks waiting for the key."""
        current = self._objects.get(key)
        if (current.version if current else 0) != expected_version:
            return result.Err(errors.StoreConflict(key, expected_version))
        self._version += 1
        self._objects[key] = client.StoredObject(key, value, self._version)
        self._wake(key)
        return result.Ok(self._version)

    def delete(self, key: str) -> None:
        """Removes an object and wakes tasks waiting for the key."""
        if self._objects.pop(key, None) is not None:
            self._version += 1
            self._wake(key)

    def list(self, prefix: str) -> tuple[client.StoredObject, ...]:
        """Returns the objects whose key has the prefix, sorted by key."""
        return tuple(
            self._objects[key]
            for key in sorted(self._objects)
            if key.startswith(prefix)
        )

    def newer(self, key: str, after_version: int) -> client.StoredObject | None:
        """Returns the object if its version is above `after_version`."""
        current = self._objects.get(key)
        if current is None or current.version <= after_version:
            return None
        return current

    async def wait_for_change(self, key: str) -> None:
        """Waits until the object changes or `wake_all` is called."""
        await self._waiters.setdefault(key, anyio.Event()).wait()

    def wake_all(self) -> None:
        """Wakes all waiting tasks, for example to close their connections."""
        for key in list(self._waiters):
            self._wake(key)

    def _wake(self, key: str) -> None:
        change_event = self._waiters.pop(key, None)
        if change_event is not None:
            change_event.set()


class MemoryObjectStore(client.ObjectStore):
    """Fake client for tests with fault injection.

    Several clients may share one table, so that a test can disconnect one of
    them and leave the others connected.

    Args:
        table: Table of objects; a new table if None.
    """

    def __init__(self, table: ObjectTable | None = None):
        self._table = table or ObjectTable()
        self._mode = FaultMode.UP
        self._delay_s = 0.0
        self._calls = StoreCalls()
        self._era: int | None = None

    @property
    def table(self) -> ObjectTable:
        """Table of objects that this client reads and writes."""
        return self._table

    @property
    def era(self) -> int | None:
        """Era of the last answer; see `ObjectStore`."""
        return self._era

    @property
    def calls(self) -> StoreCalls:
        """Number of calls made through this client."""
        return self._calls

    def inject(self, mode: FaultMode, delay_s: float = 0.0) -> None:
        """Sets the fault mode; mode `DOWN` ends waiting watches with a failure.

        Args:
            mode: Fault that applies from now on.
            delay_s: Delay of each call in mode `SLOW`, in seconds.
        """
        self._mode = mode
        self._delay_s = delay_s
        self._table.wake_all()

    async def read(
        self, key: str
    ) -> result.Result[client.StoredObject | None, errors.StoreUnavailable]:
        """Reads an object; returns None if the key does not exist."""
        self._calls.reads += 1
        await self._delay()
        if self._mode is FaultMode.DOWN:
            return result.Err(_unavailable(key))
        self._record_era()
        return result.Ok(self._table.read(key))

    async def update(
        self, key: str, value: bytes, expected_version: int
    ) -> result.Result[int, errors.StoreUnavailable | errors.StoreConflict]:
        """Writes an object if its version equals `expected_version`."""
        if len(value) > client.MAX_VALUE_BYTES:
            return result.Err(client.too_large(key, len(value)))
        self._calls.updates += 1
        await self._delay()
        if self._mode is FaultMode.DOWN:
            return result.Err(_unavailable(key))
        update_result = self._table.update(key, value, expected_version)
        if update_result.is_err():
            self._calls.conflicts += 1
        if self._mode is FaultMode.LOSE_ANSWERS:
            return result.Err(_unavailable(key, "response lost"))
        self._record_era()
        return update_result

    async def delete(
        self, key: str
    ) -> result.Result[None, errors.StoreUnavailable]:
        """Removes an object; succeeds if the object does not exist."""
        self._calls.updates += 1
        await self._delay()
        if self._mode is FaultMode.DOWN:
            return result.Err(_unavailable(key))
        self._table.delete(key)
        if self._mode is FaultMode.LOSE_ANSWERS:
            return result.Err(_unavailable(key, "response lost"))
        return result.Ok(None)

    async def watch(
        self, key: str, after_version: int, wait_s: float
    ) -> result.Result[client.StoredObject | None, errors.StoreUnavailable]:
        """Waits for a newer version; returns None after `wait_s`."""
        self._calls.watches += 1
        await self._delay()
        with anyio.move_on_after(wait_s):
            while self._mode is not FaultMode.DOWN:
                found = self._table.newer(key, after_version)
                if found is not None:
                    self._record_era()
                    return result.Ok(found)
                await self._table.wait_for_change(key)
        if self._mode is FaultMode.DOWN:
            return result.Err(_unavailable(key))
        self._record_era()
        return result.Ok(None)

    async def list(
        self, prefix: str
    ) -> result.Result[
        tuple[client.StoredObject, ...], errors.StoreUnavailable
    ]:
        """Reads all objects whose key starts with the prefix."""
        self._calls.lists += 1
        await self._delay()
        if self._mode is FaultMode.DOWN:
            return result.Err(_unavailable(prefix))
        self._record_era()
        return result.Ok(self._table.list(prefix))

    def _record_era(self) -> None:
        self._era = versions.era_of(self._table.version)

    async def _delay(self) -> None:
        # Without a checkpoint a task that retries in a loop would never
        # yield to other tasks.
        await anyio.lowlevel.checkpoint()
        if self._mode is FaultMode.SLOW:
            await anyio.sleep(self._delay_s)


def _unavailable(key: str, detail: str = "down") -> errors.StoreUnavailable:
    return errors.StoreUnavailable(key, detail)
