"""Loads and validates settings files."""

import pathlib
import typing

import pydantic
import result

from medlardoor import errors
from medlardoor.config import files, jsonc, validation

__all__ = ["load_settings", "parse_settings"]

Model = typing.TypeVar("Model", bound=pydantic.BaseModel)


def parse_settings(
    source: str, text: str, model: type[Model]
) -> result.Result[Model, errors.InvalidInput]:
    """Parses JSON with comments and validates it as a settings model."""
    parsed = jsonc.parse(source, text)
    return parsed.and_then(lambda found: validation.validate(found, model))


def load_settings(
    path: str | pathlib.Path, model: type[Model]
) -> result.Result[Model, errors.InvalidInput]:
    """Loads a settings model from a file of JSON with comments.

    Args:
        path: Path of the file.
        model: Model of the settings, such as `settings.NodeSettings`.

    Returns:
        The settings, or the faults with their JSON paths and lines.
    """
    text = files.read_text(path)
    return text.and_then(lambda body: parse_settings(str(path), body, model))
