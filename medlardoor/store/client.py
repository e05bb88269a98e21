"""Interface to the object API of the platform."""

import abc
import dataclasses

import result

from medlardoor import errors

__all__ = ["MAX_VALUE_BYTES", "ObjectStore", "StoredObject", "too_large"]

MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """One object of the platform.

    Attributes:
        key: Name of the object, such as ``documents/production``.
        value: Content, at most `MAX_VALUE_BYTES`.
        version: Version of the last change; versions grow over all objects.
    """

    key: str
    value: bytes
    version: int


class ObjectStore(abc.ABC):
    """Client of the object API.

    Every method counts as one call against the platform's limits, a waiting
    watch too. None of them repeats a call by itself.
    """

    @abc.abstractmethod
    async def read(
        self, key: str
    ) -> result.Result[StoredObject | None, errors.StoreUnavailable]:
        """Reads an object; None if there is no object with this key."""

    @abc.abstractmethod
    async def update(
        self, key: str, value: bytes, expected_version: int
    ) -> result.Result[int, errors.StoreUnavailable | errors.StoreConflict]:
        """Writes an object if its version is still the expected one.

        Args:
            key: Name of the object.
            value: New content.
            expected_version: Version that the object must have; 0 if it must
                not exist.

        Returns:
            The new version. `StoreUnavailable` leaves open whether the
            change took effect: the caller reads the object back before it
            repeats the update.
        """

    @abc.abstractmethod
    async def delete(
        self, key: str
    ) -> result.Result[None, errors.StoreUnavailable]:
        """Removes an object; one that does not exist counts as removed."""

    @abc.abstractmethod
    async def watch(
        self, key: str, after_version: int, wait_s: float
    ) -> result.Result[StoredObject | None, errors.StoreUnavailable]:
        """Waits for a version above `after_version`; None after `wait_s`."""

    @abc.abstractmethod
    async def list(
        self, prefix: str
    ) -> result.Result[tuple[StoredObject, ...], errors.StoreUnavailable]:
        """Reads all objects whose key starts with the prefix.

        The answer may be some seconds old: a list that is allowed to be costs
        the platform less.
        """


def too_large(key: str, size: int) -> errors.StoreUnavailable:
    """Failure of an update whose value is above the limit; nothing is sent.

    Args:
        key: Name of the object.
        size: Size of the value, in bytes.
    """
    return errors.StoreUnavailable(
        key, f"not sent: {size} bytes are above {MAX_VALUE_BYTES}"
    )
