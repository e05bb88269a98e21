"""Tests of JSON with comments."""

import json
import time

import anyio
import hypothesis
from hypothesis import strategies
import pytest

from medlardoor.config import jsonc

KEYS = strategies.text(
    strategies.characters(exclude_categories=("Cs",)), max_size=8
)
SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63) + 1, 2**63 - 1)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | KEYS
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(KEYS, inner, max_size=4)
    ),
    max_leaves=20,
)


def _faults(text):
    return jsonc.parse("test", text).unwrap_err().faults


@hypothesis.settings(derandomize=True, max_examples=200)
@hypothesis.given(VALUES, strategies.sampled_from([None, 1]))
def test_reads_what_json_writes(value, indent):
    """Valid JSON must give the same values as the json module."""
    text = json.dumps(value, indent=indent)
    parsed = jsonc.parse("test", text).unwrap()
    assert parsed.value == json.loads(text)


@hypothesis.settings(derandomize=True, max_examples=300)
@hypothesis.given(strategies.text('{}[],:"\\/*ab01.-eE\n tu', max_size=30))
def test_any_text_gives_values_or_faults(text):
    """Malformed text must give a fault with a line, not an exception."""
    parsed = jsonc.parse("test", text)
    in_steps = anyio.run(jsonc.parse_in_steps, "test", text)
    assert in_steps.err() == parsed.err()
    if parsed.is_err():
        assert parsed.err_value.faults[0].line >= 1


def test_comments_and_trailing_commas():
    """Comments must not shift lines; comment marks in strings must stay."""
    text = (
        "// first\n"
        '{ /* two\nlines **/ "a": "// no /* comment",\n'
        '  "b c": [1, /**/ {"d": null,},],\n'
        "} // end"
    )
    parsed = jsonc.parse("test", text).unwrap()
    assert parsed.value == {"a": "// no /* comment", "b c": [1, {"d": None}]}
    assert parsed.lines['$["b c"][1].d'] == 4
    assert parsed.line_of(("b c", 1, "missing")) == 4


@pytest.mark.parametrize(
    ("text", "line", "expected"),
    [
        ('{"a": 1,\n "b": }', 2, "a value, got '}'"),
        ('{"a": 1', 1, "got the end of the text"),
        ("[1,\n\n2 /* x", 3, "a comment that ends with */"),
        ('{"a": "x\n"}', 1, "a value"),
        ('{"a": 01}', 1, "got '1'"),
        ("", 1, "a value, got the end of the text"),
        ("[1]\n]", 2, "the end of the text"),
    ],
)
def test_syntax_error_has_a_line(text, line, expected):
    """A syntax error must be reported with its line and expected tokens."""
    (fault,) = _faults(text)
    assert fault.line == line
    assert expected in fault.expected


def test_duplicate_keys_are_all_reported():
    """A duplicate key must not silently replace the first one."""
    faults = _faults('{"a": 1,\n"a": 2,\n"b": {"c": 1,\n"\\u0063": 2}}')
    assert [(fault.path, fault.line) for fault in faults] == [
        ("$.a", 2),
        ("$.b.c", 4),
    ]


@pytest.mark.parametrize("text", ["1e999", "9" * 20, "1" * 5_000, '"\\ud800"'])
def test_values_out_of_range(text):
    """Values that cannot be stored or sent must be rejected."""
    assert len(_faults(f"[{text}]")) == 1


def test_limits():
    """Deep or large text must not exhaust the stack or the memory."""
    depth = jsonc.MAX_DEPTH
    assert jsonc.parse("test", "[" * depth + "]" * depth).is_ok()
    (fault,) = _faults("[" * (depth + 1) + "]" * (depth + 1))
    assert "nested" in fault.expected
    assert _faults("[" * 100_000 + "]" * 100_000)[0].line == 1
    assert "surrogates" in _faults("1 // \ud800")[0].expected
    assert "bytes" in _faults(" " * (jsonc.MAX_TEXT_BYTES + 1))[0].expected


def test_large_document_is_parsed_in_time():
    """Parsing a document of 200 KB must not occupy a node for seconds."""
    kind = {"match": {"method": "GET", "path_prefix": "/a"}, "weight": 1.5}
    value = {
        f"team{n}": {"kinds": {"one": kind, "two": kind}} for n in range(850)
    }
    text = json.dumps(value, indent=1)
    assert len(text) > 200_000
    started = time.process_time()
    assert jsonc.parse("test", text).is_ok()
    # Takes 0.3 s on the development machine; the bound allows for slower
    # machines.
    assert time.process_time() - started < 2.0
