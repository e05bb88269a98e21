"""Each checker passes clean records and finds a planted violation."""

import json

import pytest

from medlardoor.scenarios import checks, evidence


def _run(request_id="1-a-k-1", key="", at=1.0, end="answered", service="s"):
    return evidence.Run(service, f"{service}-1", request_id, key, at, end)


def _attempt(outcome, at=1.0, kind="k", key="", reason="overload"):
    return evidence.Attempt("1-a-k-1", kind, key, outcome, reason, at - 0.1, at)


def _request(outcome, request_id="1-a-k-1", reason=""):
    return evidence.Request(request_id, "k", "", outcome, reason)


def _sample(at, version):
    return evidence.VersionSample("n", at, version)


NOT_RUN = "refused_not_run"
LATER = evidence.Promotion(2, 5.0)

CASES = {
    "order ran twice": (
        checks.orders_run_once,
        {},
        evidence.Evidence(runs=[_run(key="1"), _run(key="2")]),
        evidence.Evidence(runs=[_run(key="1"), _run(key="1")]),
    ),
    "wrong answer": (
        checks.answers_match,
        {},
        evidence.Evidence(attempts=[_attempt("whole")]),
        evidence.Evidence(attempts=[_attempt("wrong_answer")]),
    ),
    "not-run after a run of the same key": (
        checks.not_run_is_true,
        {},
        evidence.Evidence(
            attempts=[_attempt(NOT_RUN, key="1")],
            runs=[_run(key="1", at=2.0), _run(key="2", at=0.5)],
        ),
        evidence.Evidence(
            attempts=[_attempt(NOT_RUN, key="1")],
            runs=[_run(key="1", at=0.5)],
        ),
    ),
    "refused request whose child ran": (
        checks.not_run_is_true,
        {},
        evidence.Evidence(requests=[_request(NOT_RUN)], runs=[_run("2")]),
        evidence.Evidence(
            requests=[_request(NOT_RUN)], runs=[_run("1-a-k-1/0")]
        ),
    ),
    "retries over two services": (
        checks.retries_bounded,
        {"most": 1},
        evidence.Evidence(runs=[_run("1"), _run("1"), _run("2")]),
        evidence.Evidence(
            runs=[_run("1"), _run("1")] + [_run("1/0", service="t")] * 2
        ),
    ),
    "retries that were refused": (
        checks.retries_bounded,
        {"most": 1},
        evidence.Evidence(runs=[_run("1")], sheds=[_run("1")]),
        evidence.Evidence(runs=[_run("1")], sheds=[_run("1")] * 2),
    ),
    "service not back in time": (
        checks.recovered,
        {"load": "a", "after_s": 3.0, "lowest": 0.6},
        evidence.Evidence(
            attempts=[_attempt("unknown", 8.0), _attempt("whole", 8.2)],
            marks={"platform": 5.0},
        ),
        evidence.Evidence(
            attempts=[_attempt("unknown", 8.2), _attempt("whole", 8.2)],
            marks={"platform": 5.0},
        ),
    ),
    "less important kind accepted amid refusals": (
        checks.refused_by_rank,
        {"kinds": "top,low", "bound_s": 1.0},
        evidence.Evidence(
            attempts=[
                _attempt(NOT_RUN, 1.0, "low"),
                _attempt("whole", 2.5, "low"),
                _attempt(NOT_RUN, 3.0, "low"),
                _attempt(NOT_RUN, 9.0, "top"),
            ]
        ),
        evidence.Evidence(
            attempts=[
                _attempt(NOT_RUN, 1.0, "top"),
                _attempt("whole", 2.5, "low"),
                _attempt(NOT_RUN, 3.0, "top"),
            ]
        ),
    ),
    "new work after leaving": (
        checks.no_new_work,
        {"instance": "s-1", "after_s": 3.0},
        evidence.Evidence(runs=[_run(at=12.9)], marks={"s-1": 10.0}),
        evidence.Evidence(runs=[_run(at=13.1)], marks={"s-1": 10.0}),
    ),
    "run interrupted by a stop": (
        checks.runs_completed,
        {"instance": "s-1"},
        evidence.Evidence(runs=[_run()], requests=[_request("whole")]),
        evidence.Evidence(runs=[_run(end="")], requests=[_request("whole")]),
    ),
    "answer lost by a stop": (
        checks.runs_completed,
        {"instance": "s-1"},
        evidence.Evidence(runs=[_run()], requests=[_request("whole")]),
        evidence.Evidence(runs=[_run()], requests=[_request("unknown")]),
    ),
    "return to an older version": (
        checks.versions_in_force,
        {"within_s": 3.0},
        evidence.Evidence(versions=[_sample(1, 2), _sample(2, 0)]),
        evidence.Evidence(versions=[_sample(1, 2), _sample(2, 1)]),
    ),
    "version late": (
        checks.versions_in_force,
        {"within_s": 3.0},
        evidence.Evidence(versions=[_sample(8, 1)], promotions=[LATER]),
        evidence.Evidence(versions=[_sample(8.1, 1)], promotions=[LATER]),
    ),
    "share too small": (
        checks.share,
        {"load": "a", "lowest": 1.0},
        evidence.Evidence(
            requests=[_request("whole"), _request("failed", "1-b-k-1")]
        ),
        evidence.Evidence(requests=[_request("whole"), _request("failed")]),
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_checker_tells_records_apart(name):
    """A checker that passes everything hides a broken guarantee."""
    checker, options, clean, violated = CASES[name]
    assert checker(clean, **options).is_ok()
    assert checker(violated, **options).is_err()


@pytest.mark.parametrize("name", CASES)
def test_checker_without_records_fails(name):
    """A scenario that sent no load passes all its checks."""
    checker, options, _, _ = CASES[name]
    assert checker(evidence.Evidence(), **options).is_err()


def test_records_of_restarted_upstreams_are_aligned(tmp_path):
    """Times of two starts are mixed up, or a row being written is read."""
    path = tmp_path / "upstream.jsonl"
    start = {"event": "process_start", "t_ms": 0, "service": "s"}
    run = {"id": "1", "key": "k", "target": "/"}
    rows = [
        {**start, "instance": "s-1", "monotonic_s": 100.0},
        {"event": "start", "t_ms": 500, **run},
        {**start, "instance": "s-1", "monotonic_s": 200.0},
        {"event": "start", "t_ms": 500, **run},
        {"event": "shed", "t_ms": 600, **run},
        {"event": "end", "t_ms": 700, "end": "answered", **run},
    ]
    text = "".join(json.dumps(row) + "\n" for row in rows)
    path.write_text(text + '{"event": "sta')
    runs, sheds = evidence.read_runs(path)
    assert runs == [
        evidence.Run("s", "s-1", "1", "k", 100.5, ""),
        evidence.Run("s", "s-1", "1", "k", 200.5, "answered"),
    ]
    assert sheds == [evidence.Run("s", "s-1", "1", "k", 200.6, "")]
    assert evidence.read_runs(tmp_path / "none") == ([], [])
