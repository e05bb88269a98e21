"""Texts for the errors of pydantic models.

They need no parser, so that the program beside an upstream can use them.
"""

import difflib
import typing

__all__ = ["describe_error"]

# Removed from pydantic's messages, so that the rest can follow "expected".
_MESSAGE_PREFIXES = (
    "Input should be ",
    "Value error, ",
    "String should have ",
    "List should have ",
    "Dictionary should have ",
)


def describe_error(
    error: dict[str, typing.Any], known: tuple[str, ...] = ()
) -> str:
    """Describes the value that a model expected, in one short phrase.

    Args:
        error: One entry of `pydantic.ValidationError.errors`.
        known: Keys of the model, from which to suggest a similar one for an
            unknown key.
    """
    if error["type"] == "missing":
        return "a value for this required key, got none"
    if error["type"] == "extra_forbidden":
        key = str(error["loc"][-1])
        # The key itself may be valid elsewhere in the document.
        others = [name for name in known if name != key]
        close = difflib.get_close_matches(key, others, n=1)
        hint = f"; did you mean {close[0]}?" if close else ""
        return f"a known key, got {key}{hint}"
    text = error["msg"]
    for prefix in _MESSAGE_PREFIXES:
        text = text.removeprefix(prefix)
    return text
