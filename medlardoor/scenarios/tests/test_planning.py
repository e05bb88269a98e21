"""Tests of the scenario language and the binding of its steps."""

import pathlib

import pytest

from medlardoor.scenarios import language, planning, steps

SCENARIOS = pathlib.Path(__file__).parents[3] / "scenarios"


def test_steps_are_parsed_with_words_and_options():
    """A step that is read wrongly tests something else than it says."""
    text = (
        "# comment\n\n"
        'start service order instances=2 mean_ms=0.5  # "more"\n'
        'promote derwent old="\\"slots\\": 1" new=x\n'
    )
    assert language.parse(text, "x").unwrap() == (
        language.Step(
            3,
            "start",
            ("service", "order"),
            {"instances": 2, "mean_ms": 0.5},
        ),
        language.Step(
            4, "promote", ("derwent",), {"old": '"slots": 1', "new": "x"}
        ),
    )


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ("begin platform", 1),
        ("\nstart planet", 2),
        ("start service", 1),
        ("start service order instances=0", 1),
        ("start service order instance=2", 1),
        ("fault melt node-order-1", 1),
        ("stop node-order-1 now", 1),
        ("wait-for serving\nwait-for", 2),
        ("expect share lowest=many", 1),
        ('load "orders', 1),
    ],
)
def test_wrong_steps_are_reported_with_their_line(text, line):
    """A mistyped option is ignored and a check is weaker than it says."""
    failure = planning.plan(text, "x").unwrap_err()
    assert [fault.line for fault in failure.faults] == [line]
    assert failure.faults[0].expected


def test_words_and_options_reach_the_function():
    """A step runs with the defaults instead of what the file says."""
    (step,) = planning.plan(
        "start service order slots=7 relay=true", "x"
    ).unwrap()
    options = step.function.keywords["options"]
    assert options == steps.ServiceOptions(service="order", slots=7, relay=True)
    (step,) = planning.plan("wait-for runs order-1 within_s=3", "x").unwrap()
    assert step.within_s == 3.0
    assert step.function.keywords == {"instance": "order-1", "count": 1}


def test_all_scenario_files_are_valid():
    """A scenario file that no longer parses is noticed only when it runs."""
    files = list(SCENARIOS.glob("*.scenario"))
    assert files
    for path in files:
        assert planning.plan(path.read_text(), path.name).is_ok(), path
