"""Tests of the bench itself."""

import dataclasses

import pytest

from medlardoor.bench import cases, possible, runner, simulation

SHORT = dataclasses.replace(
    cases.CASES["kavango-surge-2x"], begin_s=2.0, overload_s=4.0, after_s=17.0
)


def test_runs_are_reproducible():
    """Figures that change from run to run without any change of the code."""
    first, _ = runner.run_case(SHORT, runner.Variant.MEDLARDOOR)
    second, _ = runner.run_case(SHORT, runner.Variant.MEDLARDOOR)
    assert first == second


@pytest.mark.parametrize("name", cases.CASES)
def test_weights_follow_ranks(name):
    """A case in which shedding by importance is not the best possible."""
    company = cases.CASES[name].company
    worth = [
        kind.weight / sum(company.services[s].service_s for s in kind.path)
        for kind in company.kinds
    ]
    assert worth == sorted(worth, reverse=True)
    ranks = [kind.rank for kind in company.kinds]
    assert ranks == sorted(ranks, reverse=True)
    assert sum(kind.share for kind in company.kinds) == pytest.approx(1.0)


def test_possible_goodput_is_bounded_by_capacity():
    """A share of a possible goodput that no control could reach."""
    case = cases.CASES["derwent-surge-5x"]
    # 300 requests a second fit: 150 orders and half of the calculations.
    assert possible.possible_goodput(case) == pytest.approx(60 * 1_950)
    assert possible.top_kind_fits(case)


def test_events_run_in_order():
    """Effects that come before their causes in simulated time."""
    simulator = simulation.Simulator()
    seen = []
    simulator.after(2.0, seen.append, "c")
    simulator.after(1.0, seen.append, "a")
    simulator.after(1.0, seen.append, "b")
    simulator.run(1.5)
    assert seen == ["a", "b"]
    simulator.run(2.0)
    assert seen == ["a", "b", "c"]
    assert simulator.now == 2.0
