"""Tests of lists of which some items are unreadable."""

import json
import subprocess
import sys

import hypothesis
from hypothesis import strategies
import pydantic
import pytest

from medlardoor.store import items


class _Object(pydantic.BaseModel):
    name: str
    value: object = None


_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**53), 2**53)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=4), inner)
    ),
    max_leaves=8,
)
_GOOD = strategies.builds(
    lambda number, value: json.dumps({"name": f"n{number}", "value": value}),
    strategies.integers(0, 99),
    _VALUES,
)
_BAD = strategies.sampled_from(
    [
        '{"name": "\\ud800"}',
        '{"name": "a", "value": "\\udfff}"}',
        '{"name": 7}',
        '{"value": {"name": []}}',
        '{"name": "a", "value": ' + "[" * 250 + "]" * 250 + "}",
        '{"name": "a", "value": ' + "[" * 50_000 + "]" * 50_000 + "}",
        '["name"]',
        "[[]]",
    ]
)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.booleans(), _GOOD, _BAD), max_size=20
    ),
    strategies.text(max_size=5),
)
@hypothesis.settings(deadline=None)
def test_readable_items_are_found_among_others(choices, other):
    """One unreadable object must not hide the others in a list."""
    texts = [good if is_good else bad for is_good, good, bad in choices]
    joined = ", ".join(texts)
    body = (
        f'{{"x": {json.dumps(other)}, "items": [{joined}], "n": [{{"a": 1}}]}}'
    )
    rest, found = items.split_list(body.encode(), "items")
    assert json.loads(rest) == {"x": other, "items": [], "n": [{"a": 1}]}
    parsed = [items.parse_item(item, _Object) for item in found]
    names = [each.ok_value.name for each in parsed if each.is_ok()]
    assert names == [
        json.loads(good)["name"] for is_good, good, _ in choices if is_good
    ]


@hypothesis.given(strategies.binary(max_size=200))
def test_any_text_is_split_without_an_error(text):
    """Bytes that are no JSON must not raise."""
    items.split_list(b'{"items": [' + text + b"]}", "items")
    items.without_value(text, "spec")


@pytest.mark.parametrize("value", ['"\\ud800"', "[[1]]", '{"a": "]"}'])
def test_value_is_replaced(value):
    """The rest of an object must be readable without an unreadable value."""
    text = f'{{"a": {{"spec": 1}}, "spec": {value}, "b": 2}}'
    rest = items.without_value(text.encode(), "spec")
    assert json.loads(rest) == {"a": {"spec": 1}, "spec": None, "b": 2}


def test_string_without_an_end_is_read_once():
    """A text that is cut off in a string held up a node for minutes.

    The work grew with the square of the length: 80 KB took 80 s.
    """
    code = (
        "from medlardoor.store import items\n"
        "text = b'{\"items\":[{\"spec\":\"' + b'\\\\\"abc' * 200_000 + b'}'\n"
        "items.split_list(text, 'items')\n"
    )
    ended = subprocess.run([sys.executable, "-c", code], timeout=60, check=True)
    assert ended.returncode == 0
