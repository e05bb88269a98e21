"""Platform object ``quarantine/<service>``."""

import pydantic
import result

from medlardoor import errors
from medlardoor.quarantine import fingerprints

__all__ = ["QuarantineObject", "parse"]

MAX_ENTRIES = 10_000


class QuarantineObject(pydantic.BaseModel):
    """Quarantined fingerprints with the time left.

    Clocks of processes are not comparable, so the object holds durations.

    Attributes:
        remaining_s: Seconds left by fingerprint in hexadecimal digits.
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
        for text in value:
            if len(bytes.fromhex(text)) != fingerprints.FINGERPRINT_BYTES:
                raise ValueError("a fingerprint has 32 hexadecimal digits")
        return value


def parse(
    value: bytes,
) -> result.Result[QuarantineObject, errors.InvalidInput]:
    """Validates the value of the platform object."""
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
