"""Seeds of the soak that have failed stay regression cases."""

import functools
import pathlib

import anyio
import pytest

import medlardoor.soak
from medlardoor.soak import run

SEEDS = pathlib.Path(medlardoor.soak.__file__).parent / "seeds.txt"


def _cases():
    cases = [(1, 0.25)]
    for line in SEEDS.read_text().splitlines():
        if line and not line.startswith("#"):
            seed, minutes, _ = line.split(maxsplit=2)
            cases.append((int(seed), float(minutes)))
    return cases


@pytest.mark.parametrize(("seed", "minutes"), _cases())
def test_promises_hold_under_faults(seed, minutes, tmp_path):
    """A promise of the pages breaks under a series of faults."""
    report = anyio.run(run.run, seed, minutes, tmp_path)
    assert report.findings == (), "\n".join(report.faults)
    assert sum(report.outcomes.values()) > 200


def test_promises_hold_when_the_store_returns(tmp_path):
    """Nodes keep an outdated document once the store has returned."""
    report = anyio.run(
        functools.partial(run.run, 380303, 0.5, tmp_path, has_returns=True)
    )
    assert report.findings == (), "\n".join(report.faults)
    assert any("return_store" in line for line in report.faults)


def test_rejected_orders_run_once_when_answers_are_repeated(tmp_path):
    """Orders ran twice: late copies of rejections passed for new answers."""
    report = anyio.run(
        functools.partial(run.run, 7, 0.4, tmp_path, has_late_copies=True)
    )
    assert report.findings == (), "\n".join(report.faults)
    assert any("repeat_answers" in line for line in report.faults)


def test_crashing_request_is_kept_out_over_restarts(tmp_path):
    """A crashing request was sent on and on in a quiet hour, over restarts."""
    report = anyio.run(
        functools.partial(
            run.run, 4611, 0.4, tmp_path, has_crashing_request=True
        )
    )
    assert report.findings == (), "\n".join(report.faults)
    assert any("crashes by /order" in line for line in report.faults)
