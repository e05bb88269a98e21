"""Hypothesis settings and byte mutations for tests with generated input."""

import os

import hypothesis
from hypothesis import strategies

__all__ = ["examples", "mutate", "mutations", "part_sizes", "split"]

# Number of examples, set by ``make fuzz`` for long runs with random input.
EXAMPLES_VARIABLE = "MEDLARDOOR_FUZZ_EXAMPLES"


def examples(count):
    """Returns the Hypothesis settings of a test.

    Args:
        count: Number of examples of a default run, which is deterministic.
    """
    wanted = os.environ.get(EXAMPLES_VARIABLE)
    return hypothesis.settings(
        max_examples=int(wanted) if wanted else count,
        derandomize=wanted is None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


# Sizes of the parts into which `split` cuts a stream.
part_sizes = strategies.lists(
    strategies.integers(1, 200), min_size=1, max_size=8
)

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
    """Applies mutations to a byte stream.

    Args:
        data: The stream.
        changes: Mutations drawn from `mutations`.

    Returns:
        The mutated stream.
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
    """Cuts a stream into parts, whose sizes cycle through the given ones."""
    parts = []
    position = 0
    while position < len(data):
        size = sizes[len(parts) % len(sizes)]
        parts.append(data[position : position + size])
        position += size
    return parts
