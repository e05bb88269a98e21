"""How long the tests with generated input run, and common ways to spoil it."""

import os

import hypothesis
from hypothesis import strategies

__all__ = ["cuts", "examples", "mutate", "mutations", "split"]

# Set by ``make fuzz`` for a long run with new input each time.
EXAMPLES_VARIABLE = "MEDLARDOOR_FUZZ_EXAMPLES"


def examples(count):
    """Settings of a test: a fixed short run, or a long one on demand.

    Args:
        count: Examples of the short run.
    """
    wanted = os.environ.get(EXAMPLES_VARIABLE)
    return hypothesis.settings(
        max_examples=int(wanted) if wanted else count,
        derandomize=wanted is None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


# Sizes of the parts in which a stream arrives.
cuts = strategies.lists(strategies.integers(1, 200), min_size=1, max_size=8)

mutations = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["cut", "double", "drop", "flip", "insert", "swap"]
        ),
        strategies.floats(0, 1),
        strategies.floats(0, 1),
        strategies.binary(max_size=40),
    ),
    max_size=3,
)


def mutate(data, changes):
    """Spoils a stream.

    Args:
        data: The stream.
        changes: Draws of `mutations`.
    """
    for kind, first, second, extra in changes:
        start, end = sorted((int(first * len(data)), int(second * len(data))))
        part = data[start:end]
        if kind == "cut":
            data = data[:start]
        elif kind == "double":
            data = data[:end] + part + data[end:]
        elif kind == "drop":
            data = data[:start] + data[end:]
        elif kind == "flip" and part:
            data = data[:start] + bytes([part[0] ^ 0x55]) + data[start + 1 :]
        elif kind == "insert":
            data = data[:start] + extra + data[start:]
        elif kind == "swap":
            data = data[:start] + part[::-1] + data[end:]
    return data


def split(data, sizes):
    """Cuts a stream into parts whose sizes repeat."""
    parts = []
    position = 0
    while position < len(data):
        size = sizes[len(parts) % len(sizes)]
        parts.append(data[position : position + size])
        position += size
    return parts
