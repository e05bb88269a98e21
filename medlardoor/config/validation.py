"""Checks of parsed text against pydantic models, with lines of the faults."""

import difflib
import json
import typing

import pydantic
import result

from medlardoor import errors
from medlardoor.config import jsonc

__all__ = ["FaultList", "describe_error", "validate", "validate_into"]

Model = typing.TypeVar("Model", bound=pydantic.BaseModel)

_PREFIXES = ("Input should be ", "Value error, ")


class FaultList:
    """Collects faults of one text and finds their lines.

    Of more than `jsonc.MAX_FAULTS` faults, the rest is only counted.
    """

    def __init__(self, text: jsonc.ParsedText):
        self._text = text
        self._faults: list[errors.Fault] = []
        self._more = 0

    def add(self, parts: tuple[jsonc.PathPart, ...], expected: str):
        """Records one fault at a value, or at a key that is missing."""
        if self.is_full():
            self._more += 1
            return
        line = self._text.line_of(parts)
        self._faults.append(
            errors.Fault(jsonc.format_path(parts), line, expected)
        )

    def is_full(self) -> bool:
        """Whether further faults are only counted."""
        return len(self._faults) >= jsonc.MAX_FAULTS

    def has_any(self) -> bool:
        """Whether a fault was recorded."""
        return bool(self._faults)

    def failure(self) -> errors.InvalidInput:
        """All faults, in order of lines."""
        ordered = sorted(self._faults, key=lambda fault: fault.line)
        if self._more:
            expected = f"{self._more} faults fewer, which are not listed"
            ordered.append(errors.Fault("$", 0, expected))
        return errors.InvalidInput(self._text.source, tuple(ordered))


def describe_error(
    error: dict[str, typing.Any], known: tuple[str, ...] = ()
) -> str:
    """Says what a model expected, in one short phrase.

    Args:
        error: One entry of `pydantic.ValidationError.errors`.
        known: Keys that the model has, to suggest one for an unknown key.
    """
    if error["type"] == "missing":
        return "a required key, which is missing"
    if error["type"] == "extra_forbidden":
        key = str(error["loc"][-1])
        # The key may be right in another place of the document.
        others = [name for name in known if name != key]
        close = difflib.get_close_matches(key, others, n=1)
        hint = f"; did you mean {close[0]}?" if close else ""
        return f"no such key{hint}"
    text = error["msg"]
    for prefix in _PREFIXES:
        text = text.removeprefix(prefix)
    return text


def _known_keys(model: type[pydantic.BaseModel]) -> tuple[str, ...]:
    """All keys of a model and of the models below it."""
    keys: set[str] = set()
    schema = model.model_json_schema(by_alias=True)
    for part in (schema, *schema.get("$defs", {}).values()):
        keys.update(part.get("properties", {}))
    return tuple(sorted(keys))


def validate_into(
    text: jsonc.ParsedText, model: type[Model], faults: FaultList
) -> Model | None:
    """Checks parsed text against a model and records the faults.

    The value passes through pydantic's JSON mode in strict form, so that
    ``"80"`` is not taken for a number and arrays are taken for tuples.
    """
    try:
        return model.model_validate_json(json.dumps(text.value), strict=True)
    except pydantic.ValidationError as error:
        known = _known_keys(model)
        for entry in error.errors(include_url=False, include_context=False):
            parts = tuple(part for part in entry["loc"] if part != "[key]")
            # A search for similar keys is slow, so it ends with the list.
            hints = () if faults.is_full() else known
            faults.add(parts, describe_error(entry, hints))
        return None


def validate(
    text: jsonc.ParsedText, model: type[Model]
) -> result.Result[Model, errors.InvalidInput]:
    """Checks parsed text against a model."""
    faults = FaultList(text)
    checked = validate_into(text, model, faults)
    if checked is None:
        return result.Err(faults.failure())
    return result.Ok(checked)
