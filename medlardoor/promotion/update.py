"""Conditional update of the document object, safe when answers are lost."""

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
    "Overtaken",
    "Pauses",
    "read_patiently",
]

# One update and one read back.
CALLS_PER_ATTEMPT = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The update took effect.

    Attributes:
        version: Version that it made.
        replaced: Whether a later version is in force already.
    """

    version: int
    replaced: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Overtaken:
    """Another update came first; this one never takes effect."""


class _Verdict(enum.Enum):
    """What a read back says about an update that was not yet decided."""

    REPEAT = "repeat"
    UNKNOWN = "unknown"


class Pauses:
    """Random pauses that grow with the attempts.

    Args:
        limits: Length of the pauses.
        rng: Source of randomness, so that two operators do not keep step.
    """

    def __init__(self, limits: settings.PromotionSettings, rng: random.Random):
        self._limits = limits
        self._rng = rng

    async def wait(self, attempt: int):
        """Waits before an attempt, counted from 1."""
        # The exponent is bounded, as a float overflows at 1024.
        longest = self._limits.pause_s * 2 ** min(attempt - 1, 32)
        longest = min(longest, self._limits.max_pause_s)
        await anyio.sleep(longest * self._rng.uniform(0.5, 1.0))


async def read_patiently(
    store: client.ObjectStore,
    key: str,
    limits: settings.PromotionSettings,
    pauses: Pauses,
) -> result.Result[client.StoredObject | None, errors.StoreUnavailable]:
    """Reads an object, with up to `attempts` attempts."""
    found = await store.read(key)
    for attempt in range(1, limits.attempts):
        if found.is_ok():
            break
        await pauses.wait(attempt)
        found = await store.read(key)
    return found


class ConditionalUpdate:
    """Writes one version of the document object.

    An answer may be lost although the update took effect, and an update may
    take effect after its time-out. The update is therefore read back before
    it is repeated, and recognised by its promotion id: in the object, or in
    the list of earlier promotions if another operator has replaced it.
    Repeating it is safe, since at most one update can meet the expected
    version.

    Args:
        store: Client of the platform.
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
        Applied | Overtaken, failures.PromotionUncertain | errors.InvalidInput
    ]:
        """Writes the object if its version is still the expected one.

        Returns:
            What became of the update, or `PromotionUncertain` if the
            platform answered too seldom to tell.
        """
        encoded = document.encode_object(key, stored)
        if encoded.is_err():
            return encoded
        detail = ""
        # Set after a lost answer: the update has to be read back first, and
        # a later conflict may be caused by the own update.
        is_in_doubt = False
        must_read = False
        for attempt in range(CALLS_PER_ATTEMPT * self._limits.attempts):
            if attempt:
                await self._pauses.wait(attempt)
            if must_read:
                verdict = await self._read_back(key, stored, expected_version)
                if isinstance(verdict, Applied | Overtaken):
                    return result.Ok(verdict)
                must_read = verdict is not _Verdict.REPEAT
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
                return result.Ok(Overtaken())
            must_read = True
        return result.Err(
            failures.PromotionUncertain(
                key, stored.promotion_id, expected_version, detail
            )
        )

    async def _read_back(
        self, key: str, stored: models.StoredDocument, expected_version: int
    ) -> Applied | Overtaken | _Verdict:
        """What became of the update, as far as one read can tell."""
        found = await self._store.read(key)
        if found.is_err():
            return _Verdict.UNKNOWN
        version = found.ok_value.version if found.ok_value else 0
        if version == expected_version:
            return _Verdict.REPEAT
        if found.ok_value is None:
            return _Verdict.UNKNOWN
        parsed = document.parse_object(key, found.ok_value.value)
        if parsed.is_err():
            return _Verdict.UNKNOWN
        return _judge(
            version, parsed.ok_value, stored.promotion_id, expected_version
        )


def _judge(
    version: int,
    current: models.StoredDocument,
    promotion_id: str,
    expected_version: int,
) -> Applied | Overtaken | _Verdict:
    """Compares an update with the object that is in force now."""
    if current.promotion_id == promotion_id:
        return Applied(version)
    for earlier in current.earlier:
        if earlier.promotion_id == promotion_id:
            return Applied(earlier.version, replaced=True)
    # Without the expected version the list does not show every promotion
    # since then, so the own one may have dropped out of it.
    if expected_version == 0:
        is_complete = len(current.earlier) < models.MAX_EARLIER_PROMOTIONS
    else:
        is_complete = any(
            earlier.version == expected_version for earlier in current.earlier
        )
    return Overtaken() if is_complete else _Verdict.UNKNOWN
