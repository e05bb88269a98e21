"""Parser of JSON with comments that records the line of every value.

Accepts JSON (RFC 8259) with ``//`` and ``/* */`` comments and trailing
commas. Paths are written as in RFC 9535, for example
``$.teams.derwent.kinds`` or ``$.services["a b"][0]``.
"""

import dataclasses
import functools
import json
import math
import re

import anyio
import anyio.lowlevel
import lark
import result

from medlardoor import errors
from medlardoor.config import files

__all__ = [
    "MAX_DEPTH",
    "MAX_FAULTS",
    "MAX_TEXT_BYTES",
    "ParsedText",
    "PathPart",
    "format_path",
    "parse",
    "parse_in_steps",
]

MAX_TEXT_BYTES = files.MAX_TEXT_BYTES
MAX_DEPTH = 32
# Larger integers are not needed in settings and are slow to convert.
MAX_INTEGER = 2**63 - 1
MAX_NUMBER_CHARACTERS = 40
# The path of a value repeats all keys above it, so the total length of the
# paths grows with the key length times the number of values.
MAX_KEY_CHARACTERS = 256
# A malicious text of 440 KB can contain 18,000 faults; more than these are of
# no use to a reader.
MAX_FAULTS = 500
MAX_SHOWN_CHARACTERS = 20
# Parsing this many tokens takes about 0.2 ms.
TOKENS_PER_STEP = 16

PathPart = str | int

_PLAIN_KEY = re.compile(r"[A-Za-z_][A-Za-z0-9_-]*")
_LITERALS = {"true": True, "false": False, "null": None}
_TERMINAL_TEXTS = {
    "LBRACE": "'{'",
    "_RBRACE": "'}'",
    "LBRACKET": "'['",
    "_RBRACKET": "']'",
    "_COMMA": "','",
    "KEY": "a quoted key followed by ':'",
    "SCALAR": "a string, number, true, false or null",
    "$END": "the end of the text",
}
_VALUE_TERMINALS = frozenset({"LBRACE", "LBRACKET", "SCALAR"})


def format_path(parts: tuple[PathPart, ...]) -> str:
    """Formats keys and list positions as a JSON path."""
    text = "$"
    for part in parts:
        if isinstance(part, int):
            text += f"[{part}]"
        elif _PLAIN_KEY.fullmatch(part):
            text += f".{part}"
        else:
            text += f"[{json.dumps(part)}]"
    return text


@dataclasses.dataclass(slots=True)
class _Node:
    """One value of the text.

    Attributes:
        line: Line on which the value starts, counted from 1.
        value: Scalar, list of nodes, or tuple of members.
        expected: Expected form if the value is not valid, else empty.
    """

    line: int
    value: object
    expected: str = ""


@dataclasses.dataclass(slots=True)
class _Member:
    """Key and value of an object member."""

    key: _Node
    node: _Node


@dataclasses.dataclass(frozen=True)
class ParsedText:
    """Values of one text and their lines.

    Attributes:
        source: Name of the file or endpoint that the text came from.
        value: Root value: dict, list, str, int, float, bool or None.
        root: Syntax tree with the lines.
    """

    source: str
    value: object
    root: _Node = dataclasses.field(repr=False)

    @functools.cached_property
    def lines(self) -> dict[str, int]:
        """Line of every value by JSON path; lines are counted from 1."""
        lines: dict[str, int] = {}
        _collect_lines(self.root, (), lines)
        return lines

    def line_of(self, parts: tuple[PathPart, ...]) -> int:
        """Returns the line of a value, or of its closest existing parent."""
        node = self.root
        for part in parts:
            below = _find_child(node, part)
            if below is None:
                break
            node = below
        return node.line


def _find_child(node: _Node, part: PathPart) -> _Node | None:
    """Returns the child of a node at a key or a list position."""
    if isinstance(node.value, tuple):
        for member in node.value:
            if member.key.value == part:
                return member.node
    elif isinstance(node.value, list) and isinstance(part, int):
        return node.value[part] if part < len(node.value) else None
    return None


def _collect_lines(
    node: _Node, parts: tuple[PathPart, ...], lines: dict[str, int]
):
    lines[format_path(parts)] = node.line
    if isinstance(node.value, tuple):
        for member in node.value:
            _collect_lines(member.node, (*parts, member.key.value), lines)
    elif isinstance(node.value, list):
        for position, item in enumerate(node.value):
            _collect_lines(item, (*parts, position), lines)


class _Builder(lark.Transformer):
    """Builds nodes during the parse, so that no parse tree is stored."""

    def start(self, children):
        return _to_node(children[0])

    def object(self, children):
        return _Node(children[0].line, tuple(children[1:]))

    def pair(self, children):
        token = children[0]
        key = _read_string(token[: token.rindex('"') + 1], token.line)
        return _Member(key, _to_node(children[1]))

    def array(self, children):
        items = [_to_node(child) for child in children[1:]]
        return _Node(children[0].line, items)


def _to_node(child: _Node | lark.Token) -> _Node:
    """Returns the node of a container, or converts the token of a scalar."""
    if isinstance(child, _Node):
        return child
    if child[0] == '"':
        return _read_string(str(child), child.line)
    if child in _LITERALS:
        return _Node(child.line, _LITERALS[child])
    return _read_number(str(child), child.line)


def _read_string(text: str, line: int) -> _Node:
    if "\\" not in text:
        return _Node(line, text[1:-1])
    value = json.loads(text)
    try:
        value.encode()
    except UnicodeEncodeError:
        return _Node(line, "", "a string without unpaired surrogates")
    return _Node(line, value)


def _read_number(text: str, line: int) -> _Node:
    if len(text) > MAX_NUMBER_CHARACTERS:
        expected = (
            f"a number of at most {MAX_NUMBER_CHARACTERS} characters,"
            f" got {len(text)}"
        )
        return _Node(line, 0, expected)
    if text.lstrip("-").isdigit():
        value = int(text)
        if abs(value) > MAX_INTEGER:
            return _Node(line, 0, f"an integer within +/-{MAX_INTEGER}")
        return _Node(line, value)
    value = float(text)
    if not math.isfinite(value):
        return _Node(
            line, 0.0, f"a number in the range of a 64-bit float, got {text}"
        )
    return _Node(line, value)


_PARSER = lark.Lark.open(
    "jsonc.lark", rel_to=__file__, parser="lalr", transformer=_Builder()
)


class _ValueReader:
    """Converts nodes to Python values and collects their faults."""

    def __init__(self):
        self.faults: list[errors.Fault] = []

    def read(self, node: _Node, parts: tuple[PathPart, ...]) -> object:
        """Returns the value of a node, with None for each invalid value."""
        if node.expected:
            self._add(parts, node.line, node.expected)
            return None
        is_container = isinstance(node.value, tuple | list)
        if is_container and len(parts) >= MAX_DEPTH:
            self._add(
                parts, node.line, f"at most {MAX_DEPTH} nested levels, got more"
            )
            return None
        if isinstance(node.value, tuple):
            return self._read_members(node.value, parts)
        if isinstance(node.value, list):
            return [
                self.read(item, (*parts, position))
                for position, item in enumerate(node.value)
            ]
        return node.value

    def _read_members(
        self, members: tuple[_Member, ...], parts: tuple[PathPart, ...]
    ) -> dict[str, object]:
        values = {}
        for member in members:
            key = member.key.value
            if member.key.expected:
                self._add(parts, member.key.line, member.key.expected)
            elif len(key) > MAX_KEY_CHARACTERS:
                expected = (
                    f"keys of at most {MAX_KEY_CHARACTERS} characters,"
                    f" got {len(key)}"
                )
                self._add(parts, member.key.line, expected)
            elif key in values:
                expected = "a key that is unique in its object, got a duplicate"
                self._add((*parts, key), member.key.line, expected)
            else:
                values[key] = self.read(member.node, (*parts, key))
        return values

    def _add(self, parts: tuple[PathPart, ...], line: int, expected: str):
        if len(self.faults) >= MAX_FAULTS:
            return
        self.faults.append(errors.Fault(format_path(parts), line, expected))


def _describe_expected(expected: set[str], found: str) -> str:
    """Describes the tokens that the grammar allows and the one found."""
    names = set(expected) & _TERMINAL_TEXTS.keys()
    texts = []
    if names >= _VALUE_TERMINALS:
        names -= _VALUE_TERMINALS
        texts.append("a value")
    texts += sorted(_TERMINAL_TEXTS[name] for name in names)
    return f"{' or '.join(texts)}, got {found}"


def _syntax_fault(
    error: lark.exceptions.UnexpectedInput, text: str
) -> errors.Fault:
    """Creates the fault of a syntax error, with its line."""
    if isinstance(error, lark.exceptions.UnexpectedCharacters):
        rest = text[error.pos_in_stream :].split("\n", 1)[0]
        if rest.startswith("/*"):
            expected = "a comment that ends with */"
        else:
            shown = repr(rest[:MAX_SHOWN_CHARACTERS])
            expected = _describe_expected(error.allowed or set(), shown)
        return errors.Fault("$", error.line, expected)
    if error.token.type == "$END":
        line = text.count("\n") + 1
        shown = "the end of the text"
    else:
        line = error.token.line
        shown = repr(str(error.token).strip()[:MAX_SHOWN_CHARACTERS])
    return errors.Fault("$", line, _describe_expected(error.expected, shown))


def _check_text(
    source: str, text: str, max_bytes: int
) -> result.Result[str, errors.InvalidInput]:
    """Returns the text without byte order mark if it may be parsed."""
    try:
        size = len(text.encode())
        expected = f"at most {max_bytes} bytes, got {size} bytes"
    except UnicodeEncodeError:
        size = math.inf
        expected = "text without unpaired surrogates"
    if size > max_bytes:
        fault = errors.Fault("$", 0, expected)
        return result.Err(errors.InvalidInput(source, (fault,)))
    return result.Ok(text.removeprefix("\ufeff"))


def _read_root(
    source: str, root: _Node
) -> result.Result[ParsedText, errors.InvalidInput]:
    reader = _ValueReader()
    value = reader.read(root, ())
    if reader.faults:
        faults = tuple(sorted(reader.faults, key=lambda fault: fault.line))
        return result.Err(errors.InvalidInput(source, faults))
    return result.Ok(ParsedText(source, value, root))


def parse(
    source: str, text: str, max_bytes: int = MAX_TEXT_BYTES
) -> result.Result[ParsedText, errors.InvalidInput]:
    """Parses JSON with comments.

    Args:
        source: Name of the file or endpoint, for messages.
        text: The text; a byte order mark at the start is skipped.
        max_bytes: Size limit of the text in UTF-8, in bytes.

    Returns:
        Values and lines, or the first syntax error, or up to `MAX_FAULTS`
        faults of the values, such as duplicate keys, too deep nesting and
        numbers out of range.
    """
    body = _check_text(source, text, max_bytes)
    if body.is_err():
        return body
    try:
        root = _PARSER.parse(body.ok_value)
    except lark.exceptions.UnexpectedInput as error:
        fault = _syntax_fault(error, body.ok_value)
        return result.Err(errors.InvalidInput(source, (fault,)))
    return _read_root(source, root)


async def parse_in_steps(
    source: str, text: str, max_bytes: int = MAX_TEXT_BYTES
) -> result.Result[ParsedText, errors.InvalidInput]:
    """Parses like `parse`, but yields to other tasks at regular intervals.

    Parsing 200 KB takes about 0.2 s, during which the node would otherwise
    serve no calls.
    """
    body = _check_text(source, text, max_bytes)
    if body.is_err():
        return body
    parser = _PARSER.parse_interactive(body.ok_value)
    last_token = None
    try:
        for position, token in enumerate(parser.iter_parse()):
            last_token = token
            if position % TOKENS_PER_STEP == 0:
                await anyio.lowlevel.checkpoint()
        root = parser.feed_eof(last_token)
    except lark.exceptions.UnexpectedInput as error:
        fault = _syntax_fault(error, body.ok_value)
        return result.Err(errors.InvalidInput(source, (fault,)))
    return _read_root(source, root)
