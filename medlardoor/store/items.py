"""JSON texts of which a part may be unreadable.

Another writer may store what the decoder refuses, such as strings with unpaired
surrogates or values nested very deeply. Decoded as a whole, an answer with one
such object would be lost with all others in it. The functions here only find
brackets and strings, so that each object can be decoded on its own.
"""

import collections.abc
import dataclasses
import re

import pydantic
import result

__all__ = ["MAX_DEPTH", "Item", "parse_item", "split_list", "without_value"]

# Objects that are nested deeper are not passed to the decoder.
MAX_DEPTH = 64

# Strings, with the colon behind a key, and brackets. A string without an end
# reaches to the end of the text and nothing is tried twice; otherwise the work
# would grow with the square of the length, and the decoder does not let other
# threads run meanwhile.
_TOKEN = re.compile(
    rb'("(?:[^"\\]++|\\.)*+(?:"|\\?\Z))(\s*+:)?|[\[\]{}]', re.DOTALL
)
_NAME = re.compile(rb'"name"\s*:\s*"([\w.:-]{1,253})"')


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """Text of one object.

    Attributes:
        text: JSON text.
        depth: Largest number of brackets that are open at the same time.
    """

    text: bytes
    depth: int

    @property
    def name(self) -> str:
        """Value of its first key ``name``; empty if there is no plain one."""
        found = _NAME.search(self.text)
        return found[1].decode() if found else ""


@dataclasses.dataclass(frozen=True, slots=True)
class _Span:
    """Place of a string, list or object inside another value.

    Attributes:
        key: Its key in quotes; empty in a list.
        start: Offset of its first byte.
        end: Offset behind its last byte.
        depth: Largest number of brackets that are open in it.
    """

    key: bytes
    start: int
    end: int
    depth: int


def parse_item(
    item: Item, model: type[pydantic.BaseModel]
) -> result.Result[pydantic.BaseModel, str]:
    """Decodes one object.

    Args:
        item: Text of the object.
        model: Its model.

    Returns:
        The object, or the reason for which it cannot be read.
    """
    if item.depth > MAX_DEPTH:
        return result.Err(f"nested {item.depth} deep, expected {MAX_DEPTH}")
    try:
        return result.Ok(model.model_validate_json(item.text))
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        place = ".".join(str(part) for part in first["loc"])
        return result.Err(f"{place or 'text'}: {first['msg']}")


def split_list(text: bytes, key: str) -> tuple[bytes, list[Item]]:
    """Splits an object at the list that it has under a key.

    Args:
        text: JSON text of an object.
        key: Key of the list.

    Returns:
        The text with an empty list, and the lists and objects in the list.
    """
    found = _find(text, key)
    if found is None:
        return text, []
    items = [
        Item(text[span.start : span.end], span.depth)
        for span in _children(text, found.start + 1, found.end - 1)
        if span.depth
    ]
    return text[: found.start] + b"[]" + text[found.end :], items


def without_value(text: bytes, key: str) -> bytes:
    """Replaces a string, list or object under a key by null.

    Args:
        text: JSON text of an object.
        key: Key of the value.
    """
    found = _find(text, key)
    if found is None:
        return text
    return text[: found.start] + b"null" + text[found.end :]


def _find(text: bytes, key: str) -> _Span | None:
    wanted = b'"%b"' % key.encode()
    for span in _children(text, text.find(b"{") + 1, text.rfind(b"}")):
        if span.key == wanted:
            return span
    return None


def _children(
    text: bytes, start: int, end: int
) -> collections.abc.Iterator[_Span]:
    """Finds the strings, lists and objects in a list or an object.

    Args:
        text: JSON text.
        start: Offset behind the opening bracket.
        end: Offset of the closing bracket.
    """
    key = b""
    begin = depth = deepest = 0
    for token in _TOKEN.finditer(text, start, end):
        first = text[token.start()]
        if first == ord('"'):
            if depth == 0 and token[2]:
                key = token[1]
            elif depth == 0:
                yield _Span(key, token.start(), token.end(), 0)
        elif first in b"[{":
            if depth == 0:
                begin = token.start()
                deepest = 0
            depth += 1
            deepest = max(deepest, depth)
        elif depth:
            depth -= 1
            if depth == 0:
                yield _Span(key, begin, token.end(), deepest)
