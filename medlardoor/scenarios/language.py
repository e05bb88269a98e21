"""Language of scenario files: one step a line.

A step is a verb, words and options::

    start service order instances=2 slots=20   # a comment
    expect share kind=build_order outcome=whole min=0.99
"""

import dataclasses
import json

import lark
import result

from medlardoor import errors

__all__ = ["Step", "parse"]

GRAMMAR = r"""
start: _NL* (step _NL+)*
step: VERB argument*
argument: option | word
option: NAME "=" value
word: WORD | STRING
?value: NUMBER -> number
    | STRING -> string
    | WORD -> bare

VERB.2: /(start|load|fault|wait-for|expect|promote|stop)(?=[ \t\r\n#])/
NAME.1: /[a-z][a-z0-9_]*(?==)/
NUMBER.1: /-?[0-9]+(\.[0-9]+)?(?=[ \t\r\n#])/
STRING: /"(\\.|[^"\\\n])*"/
WORD: /[A-Za-z0-9\/][A-Za-z0-9_.,:\/?=&-]*/
COMMENT: /#[^\n]*/
_NL: /\r?\n/
%ignore /[ \t]+/
%ignore COMMENT
"""

Value = str | int | float

_PARSER = lark.Lark(GRAMMAR, parser="lalr", propagate_positions=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One line of a scenario.

    Attributes:
        line: Line number, counted from 1.
        verb: What to do.
        words: What to do it with.
        options: Options by name; checked by the step.
    """

    line: int
    verb: str
    words: tuple[str, ...]
    options: dict[str, Value]

    def word(self, number: int) -> str:
        """A word by its position; empty if there are fewer."""
        return self.words[number] if number < len(self.words) else ""


class _Builder(lark.Transformer):
    """Builds steps from the syntax tree."""

    def number(self, items):
        text = str(items[0])
        return float(text) if "." in text else int(text)

    def string(self, items):
        return json.loads(items[0])

    def bare(self, items):
        return str(items[0])

    def word(self, items):
        text = str(items[0])
        return json.loads(text) if text.startswith('"') else text

    def option(self, items):
        return str(items[0]), items[1]

    def argument(self, items):
        return items[0]

    def step(self, items):
        verb, arguments = items[0], items[1:]
        return Step(
            verb.line,
            str(verb),
            tuple(a for a in arguments if isinstance(a, str)),
            dict(a for a in arguments if isinstance(a, tuple)),
        )

    def start(self, items):
        return tuple(items)


def parse(
    text: str, source: str
) -> result.Result[tuple[Step, ...], errors.InvalidInput]:
    """Parses a scenario.

    Args:
        text: Content of the file.
        source: Name of the file, for the failure.
    """
    try:
        return result.Ok(_Builder().transform(_PARSER.parse(text + "\n")))
    except lark.exceptions.UnexpectedInput as error:
        fault = errors.Fault("$", max(error.line, 0), "a step was expected")
        return result.Err(errors.InvalidInput(source, (fault,)))
