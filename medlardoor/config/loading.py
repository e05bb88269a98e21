"""Loading of settings files."""

import pathlib
import typing

import pydantic
import result

from medlardoor import errors
from medlardoor.config import jsonc, validation

__all__ = ["load_settings", "parse_settings", "read_text"]

Model = typing.TypeVar("Model", bound=pydantic.BaseModel)


def read_text(
    path: str | pathlib.Path, max_bytes: int = jsonc.MAX_TEXT_BYTES
) -> result.Result[str, errors.InvalidInput]:
    """Reads a text file in UTF-8, at most `max_bytes` long.

    At most one byte more than the limit is read, so that a device or a
    very large file given by mistake does not fill the memory.
    """
    source = str(path)
    try:
        with open(path, "rb") as file:
            content = file.read(max_bytes + 1)
        if len(content) > max_bytes:
            expected = f"at most {max_bytes} bytes"
        else:
            return result.Ok(content.decode())
    except OSError as error:
        expected = f"a readable file ({error.strerror})"
    except UnicodeDecodeError as error:
        expected = f"text in UTF-8 (byte {error.start} is not)"
    fault = errors.Fault("$", 0, expected)
    return result.Err(errors.InvalidInput(source, (fault,)))


def parse_settings(
    source: str, text: str, model: type[Model]
) -> result.Result[Model, errors.InvalidInput]:
    """Checks JSON with comments against a settings model."""
    parsed = jsonc.parse(source, text)
    return parsed.and_then(lambda found: validation.validate(found, model))


def load_settings(
    path: str | pathlib.Path, model: type[Model]
) -> result.Result[Model, errors.InvalidInput]:
    """Loads a settings model from a file of JSON with comments.

    Args:
        path: The file.
        model: Model of the settings, such as `settings.NodeSettings`.

    Returns:
        The settings, or every fault with its JSON path and line.
    """
    text = read_text(path)
    return text.and_then(lambda body: parse_settings(str(path), body, model))
