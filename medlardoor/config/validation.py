"""Validation of parsed text by pydantic models, with lines of faults."""

import json
import typing

import pydantic
import result

from medlardoor import errors
from medlardoor.config import error_texts, jsonc

__all__ = ["FaultList", "validate", "validate_into"]

Model = typing.TypeVar("Model", bound=pydantic.BaseModel)


class FaultList:
    """Collects the faults of one text and finds their lines.

    Faults beyond `jsonc.MAX_FAULTS` are counted but not stored.

    Args:
        text: The parsed text.
    """

    def __init__(self, text: jsonc.ParsedText):
        self._text = text
        self._faults: list[errors.Fault] = []
        self._unlisted_count = 0

    def add(self, parts: tuple[jsonc.PathPart, ...], expected: str):
        """Records a fault of a value or of a missing key."""
        if self.is_full():
            self._unlisted_count += 1
            return
        line = self._text.line_of(parts)
        self._faults.append(
            errors.Fault(jsonc.format_path(parts), line, expected)
        )

    def is_full(self) -> bool:
        """Whether further faults are only counted."""
        return len(self._faults) >= jsonc.MAX_FAULTS

    def has_any(self) -> bool:
        """Whether any fault was recorded."""
        return bool(self._faults)

    def failure(self) -> errors.InvalidInput:
        """Returns a failure with all faults in order of lines."""
        ordered = sorted(self._faults, key=lambda fault: fault.line)
        if self._unlisted_count:
            expected = (
                f"valid values; {self._unlisted_count} more faults are not"
                " listed"
            )
            ordered.append(errors.Fault("$", 0, expected))
        return errors.InvalidInput(self._text.source, tuple(ordered))


def _known_keys(model: type[pydantic.BaseModel]) -> tuple[str, ...]:
    """Returns all keys of a model and of its nested models."""
    keys: set[str] = set()
    schema = model.model_json_schema(by_alias=True)
    for part in (schema, *schema.get("$defs", {}).values()):
        keys.update(part.get("properties", {}))
    return tuple(sorted(keys))


def validate_into(
    text: jsonc.ParsedText, model: type[Model], faults: FaultList
) -> Model | None:
    """Validates parsed text by a model and records the faults.

    Pydantic's strict JSON mode rejects ``"80"`` for a number but accepts arrays
    for tuples.

    Args:
        text: The parsed text.
        model: Model class.
        faults: List that receives the faults.

    Returns:
        The model, or None if the text is not valid.
    """
    try:
        return model.model_validate_json(json.dumps(text.value), strict=True)
    except pydantic.ValidationError as error:
        known = _known_keys(model)
        for entry in error.errors(include_url=False, include_context=False):
            parts = tuple(part for part in entry["loc"] if part != "[key]")
            # The search for similar keys is slow, so it is skipped for faults
            # that are not listed.
            hints = () if faults.is_full() else known
            faults.add(parts, error_texts.describe_error(entry, hints))
        return None


def validate(
    text: jsonc.ParsedText, model: type[Model]
) -> result.Result[Model, errors.InvalidInput]:
    """Validates parsed text by a model and returns it, or the faults."""
    faults = FaultList(text)
    checked = validate_into(text, model, faults)
    if checked is None:
        return result.Err(faults.failure())
    return result.Ok(checked)
