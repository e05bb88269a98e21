"""Conditional update of the document object that tolerates lost responses."""

import dataclasses
import enum
import random

import anyio
import result

from medlardoor import errors
from medlardoor.config import document, models, settings
from medlardoor.promotion import failures
from medlardoor.store import client

__all__ = [
    "Applied",
    "ConditionalUpdate",
    "Superseded",
    "Pauses",
    "read_with_retries",
]

# Each attempt is one update and one read to verify it.
CALLS_PER_ATTEMPT = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The update took effect.

    Attributes:
        version: Version that the update created.
        replaced: Whether a later version is already in force.
    """

    version: int
    replaced: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """Another update took effect first; this one never will."""


class _Undecided(enum.Enum):
    """Result of a read that does not decide whether an update took effect.

    Attributes:
        REPEAT: The expected version is in force; the update may be repeated.
        UNKNOWN: The object could not be read, or its list of earlier
            promotions is too short to decide.
    """

    REPEAT = "repeat"
    UNKNOWN = "unknown"


class Pauses:
    """Randomised exponential backoff between attempts.

    Args:
        limits: Initial and maximum pause.
        rng: Source of randomness, so that two operators do not retry in step.
    """

    def __init__(self, limits: settings.PromotionSettings, rng: random.Random):
        self._limits = limits
        self._rng = rng

    async def wait(self, attempt: int):
        """Waits before repetition `attempt`, counted from 1."""
        # Bounded, because a float overflows at the exponent 1024.
        max_delay_s = self._limits.pause_s * 2 ** min(attempt - 1, 32)
        max_delay_s = min(max_delay_s, self._limits.max_pause_s)
        await anyio.sleep(max_delay_s * self._rng.uniform(0.5, 1.0))


async def read_with_retries(
    store: client.ObjectStore,
    key: str,
    limits: settings.PromotionSettings,
    pauses: Pauses,
) -> result.Result[client.StoredObject | None, errors.StoreUnavailable]:
    """Reads an object in at most `limits.attempts` attempts.

    Args:
        store: Client of the object store.
        key: Object key.
        limits: Number of attempts.
        pauses: Pauses between attempts.

    Returns:
        The object, None if there is none, or the failure of the last attempt.
    """
    found = await store.read(key)
    for attempt in range(1, limits.attempts):
        if found.is_ok():
            break
        await pauses.wait(attempt)
        found = await store.read(key)
    return found


class ConditionalUpdate:
    """Writes one version of the document object.

    A response may be lost although the update took effect, and an update may
    take effect after its time-out. The object is therefore read before the
    update is repeated. The update is identified by its promotion id, which is
    in the object or, if another operator has replaced it, in the list of
    earlier promotions. Repeating the update is safe, because at most one
    update of the expected version can take effect.

    Args:
        store: Client of the object store.
        limits: Number of attempts.
        pauses: Pauses between attempts.
    """

    def __init__(
        self,
        store: client.ObjectStore,
        limits: settings.PromotionSettings,
        pauses: Pauses,
    ):
        self._store = store
        self._limits = limits
        self._pauses = pauses

    async def run(
        self, key: str, stored: models.StoredDocument, expected_version: int
    ) -> result.Result[
        Applied | Superseded, failures.PromotionUncertain | errors.InvalidInput
    ]:
        """Writes the object if the expected version is still in force.

        Returns:
            Whether the update took effect, or `PromotionUncertain` if too few
            attempts were answered to determine it, or `InvalidInput`.
        """
        encoded = document.encode_object(key, stored)
        if encoded.is_err():
            return encoded
        detail = ""
        # After a lost response, a conflict may be caused by this update
        # itself. The object must then be read before the update is repeated.
        is_in_doubt = False
        must_read = False
        for attempt in range(CALLS_PER_ATTEMPT * self._limits.attempts):
            if attempt:
                await self._pauses.wait(attempt)
            if must_read:
                outcome = await self._read_back(key, stored, expected_version)
                if isinstance(outcome, Applied | Superseded):
                    return result.Ok(outcome)
                must_read = outcome is not _Undecided.REPEAT
                continue
            written = await self._store.update(
                key, encoded.ok_value, expected_version
            )
            if written.is_ok():
                return result.Ok(Applied(written.ok_value))
            if isinstance(written.err_value, errors.StoreUnavailable):
                is_in_doubt = True
                detail = written.err_value.detail
            elif not is_in_doubt:
                return result.Ok(Superseded())
            must_read = True
        return result.Err(
            failures.PromotionUncertain(
                key, stored.promotion_id, expected_version, detail
            )
        )

    async def _read_back(
        self, key: str, stored: models.StoredDocument, expected_version: int
    ) -> Applied | Superseded | _Undecided:
        """Reads the object and looks for the update in it."""
        found = await self._store.read(key)
        if found.is_err():
            return _Undecided.UNKNOWN
        version = found.ok_value.version if found.ok_value else 0
        if version == expected_version:
            return _Undecided.REPEAT
        if found.ok_value is None:
            return _Undecided.UNKNOWN
        parsed = document.parse_object(key, found.ok_value.value)
        if parsed.is_err():
            return _Undecided.UNKNOWN
        return _find_promotion(
            version, parsed.ok_value, stored.promotion_id, expected_version
        )


def _find_promotion(
    version: int,
    current: models.StoredDocument,
    promotion_id: str,
    expected_version: int,
) -> Applied | Superseded | _Undecided:
    """Looks for a promotion in the current content of the object."""
    if current.promotion_id == promotion_id:
        return Applied(version)
    for earlier in current.earlier:
        if earlier.promotion_id == promotion_id:
            return Applied(earlier.version, replaced=True)
    # If the list does not reach back to the expected version, this promotion
    # may have been removed from it.
    if expected_version == 0:
        is_complete = len(current.earlier) < models.MAX_EARLIER_PROMOTIONS
    else:
        is_complete = any(
            earlier.version == expected_version for earlier in current.earlier
        )
    return Superseded() if is_complete else _Undecided.UNKNOWN
