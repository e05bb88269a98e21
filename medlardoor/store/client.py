"""Interface of clients of the platform's object API."""

import abc
import dataclasses

import result

from medlardoor import errors

__all__ = ["MAX_VALUE_BYTES", "ObjectStore", "StoredObject", "too_large"]

# Size of the largest value in the object API of the product's own interface.
MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """Object stored by the platform.

    Attributes:
        key: Key of the object, such as ``documents/production``.
        value: Content.
        version: Version of the last change; see `store.versions`. Versions
            increase across all objects.
    """

    key: str
    value: bytes
    version: int


class ObjectStore(abc.ABC):
    """Client of the object API.

    Every method, including a watch that waits, counts as one call against the
    platform's limits. No method retries a failed call.
    """

    @property
    def era(self) -> int | None:
        """Highest era in an answer of the store; None if none had one."""
        return None

    @property
    def unreadable_objects(self) -> int:
        """Number of unreadable objects that were left out of answers.

        An object counts again when it has changed.
        """
        return 0

    @abc.abstractmethod
    async def read(
        self, key: str
    ) -> result.Result[StoredObject | None, errors.StoreUnavailable]:
        """Reads an object; returns None if the key does not exist."""

    @abc.abstractmethod
    async def update(
        self, key: str, value: bytes, expected_version: int
    ) -> result.Result[int, errors.StoreUnavailable | errors.StoreConflict]:
        """Writes an object if its version equals `expected_version`.

        Args:
            key: Key of the object.
            value: New content.
            expected_version: Version that the object must have; 0 if the
                object must not exist.

        Returns:
            The new version. After `StoreUnavailable` the change may or may
            not have taken effect: the calling code reads the object back
            before it retries the update.
        """

    @abc.abstractmethod
    async def delete(
        self, key: str
    ) -> result.Result[None, errors.StoreUnavailable]:
        """Removes an object; succeeds if the object does not exist."""

    @abc.abstractmethod
    async def watch(
        self, key: str, after_version: int, wait_s: float
    ) -> result.Result[StoredObject | None, errors.StoreUnavailable]:
        """Waits for a version of the object above `after_version`.

        Args:
            key: Key of the object.
            after_version: Version after which changes are reported.
            wait_s: Maximum time to wait, in seconds.

        Returns:
            The changed object, or None if it did not change within `wait_s`.
        """

    @abc.abstractmethod
    async def list(
        self, prefix: str
    ) -> result.Result[tuple[StoredObject, ...], errors.StoreUnavailable]:
        """Reads all objects whose key starts with the prefix.

        The list may be some seconds out of date, because a list that may be
        stale costs the platform less.
        """


def too_large(
    key: str, size: int, max_size: int = MAX_VALUE_BYTES
) -> errors.StoreUnavailable:
    """Returns the failure of an update that exceeds the size of an object.

    The client does not send such an update.

    Args:
        key: Key of the object.
        size: Size of the value, in bytes.
        max_size: Largest size, in bytes.
    """
    return errors.StoreUnavailable(
        key, f"not sent: value has {size} bytes, limit is {max_size}"
    )
