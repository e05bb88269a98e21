"""Reads text files up to a maximum size."""

import pathlib

import result

from medlardoor import errors

__all__ = ["MAX_TEXT_BYTES", "read_text"]

MAX_TEXT_BYTES = 512_000


def read_text(
    path: str | pathlib.Path, max_bytes: int = MAX_TEXT_BYTES
) -> result.Result[str, errors.InvalidInput]:
    """Reads a UTF-8 text file of at most `max_bytes` bytes.

    At most one byte above the limit is read, so that a device or a very large
    file given by mistake does not exhaust the memory.
    """
    source = str(path)
    try:
        with open(path, "rb") as file:
            content = file.read(max_bytes + 1)
        if len(content) > max_bytes:
            expected = f"a file of at most {max_bytes} bytes, got a larger one"
        else:
            return result.Ok(content.decode())
    except OSError as error:
        expected = f"a readable file, got the error: {error.strerror}"
    except UnicodeDecodeError as error:
        expected = f"text in UTF-8, got an invalid byte at offset {error.start}"
    fault = errors.Fault("$", 0, expected)
    return result.Err(errors.InvalidInput(source, (fault,)))
