"""Platform object ``quarantine/<service>``."""

from collections import abc

import pydantic
import result

from medlardoor import errors
from medlardoor.quarantine import fingerprints

__all__ = ["QuarantineObject", "covers", "encode", "parse"]

MAX_ENTRIES = 10_000


class QuarantineObject(pydantic.BaseModel):
    """Quarantined fingerprints with the remaining time.

    The clocks of processes are not comparable, so the object holds durations
    instead of end times.

    Attributes:
        remaining_s: Remaining seconds by hexadecimal fingerprint.
    """

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, defer_build=True
    )

    remaining_s: dict[str, pydantic.NonNegativeFloat] = pydantic.Field(
        default_factory=dict, max_length=MAX_ENTRIES
    )

    @pydantic.field_validator("remaining_s")
    @classmethod
    def _check_fingerprints(cls, value: dict[str, float]) -> dict[str, float]:
        for fingerprint_hex in value:
            if (
                len(bytes.fromhex(fingerprint_hex))
                != fingerprints.FINGERPRINT_BYTES
            ):
                raise ValueError(
                    "fingerprint must have 32 hexadecimal digits, got"
                    f" {len(fingerprint_hex)} characters"
                )
        return value


def parse(
    value: bytes,
) -> result.Result[QuarantineObject, errors.InvalidInput]:
    """Parses and validates the value of the platform object.

    Args:
        value: JSON text as stored in the platform.

    Returns:
        The object, or all faults that were found.
    """
    try:
        return result.Ok(QuarantineObject.model_validate_json(value))
    except pydantic.ValidationError as error:
        faults = tuple(
            errors.Fault(
                ".".join(["$", *map(str, item["loc"])]), 0, item["msg"]
            )
            for item in error.errors()
        )
        return result.Err(errors.InvalidInput("quarantine object", faults))


def encode(quarantined: abc.Mapping[bytes, float], now: float) -> bytes:
    """Encodes the value of the platform object.

    Args:
        quarantined: End of each quarantine by fingerprint, in seconds.
        now: Clock of the ends, in seconds.
    """
    remaining = {
        fingerprint.hex(): round(end - now, 3)
        for fingerprint, end in quarantined.items()
    }
    return QuarantineObject(remaining_s=remaining).model_dump_json().encode()


def covers(value: bytes, quarantined: abc.Collection[bytes]) -> bool:
    """Whether an object contains all fingerprints.

    Args:
        value: Value of the platform object; empty if there is no object.
        quarantined: The fingerprints.
    """
    if not quarantined:
        return True
    parsed = parse(value)
    if parsed.is_err():
        return False
    stored = parsed.unwrap().remaining_s
    return all(fingerprint.hex() in stored for fingerprint in quarantined)
