"""Tests of the outcome recorder, the burn report and its merge."""

import json
import types

import pytest

from medlardoor import errors
from medlardoor.blackboard import board as board_module
from medlardoor.calls import context
from medlardoor.config import policy
from medlardoor.report import burn, plot, recorder, windows

ANSWERED = errors.Outcome.ANSWERED
NOT_RUN = errors.Outcome.NOT_RUN
OVERLOAD = errors.Reason.OVERLOAD


def _kind(name, long_s=3_600):
    objective = policy.Objective(0.99, 400, 300, long_s)
    return policy.Kind(
        name, "workshop", "s", "GET", "/", "c", 0, True, 1.0, 3, 1, 1, objective
    )


def _board(*kinds):
    board = board_module.Blackboard("s-1", "s", "a")
    named = {kind.name: kind for kind in kinds}
    board.policy.policy = policy.Policy("e", ("c",), named, {})
    return board


def _call(kind="check"):
    return context.CallContext(b"", 1, "workshop", kind, 0, 0, 0.0)


def _kind_burn(board, now):
    return burn.report_of(board, now).kinds[0]


def test_each_way_to_miss_the_objective_counts_as_bad():
    """A kind burns its error budget while the report shows none."""
    board = _board(_kind("check"))
    found = recorder.OutcomeRecorder(board)
    found.record(_call(), ANSWERED, None, 0.1, 1)
    found.record(_call(), ANSWERED, None, 0.5, 1)
    found.record(_call(), ANSWERED, errors.Reason.UPSTREAM_FAILED, 0.1, 1)
    found.record(_call(), NOT_RUN, OVERLOAD, 0.0, 1)
    unknown = errors.Reason.UPSTREAM_UNAVAILABLE
    found.record(_call(), errors.Outcome.UNKNOWN, unknown, 0.1, 1)
    cancelled = errors.Reason.CANCELLED
    found.record(_call(), errors.Outcome.UNKNOWN, cancelled, 0.1, 1)
    short = _kind_burn(board, 2).short
    assert (short.total, short.bad) == (6, 4)
    assert short.burn == pytest.approx(4 / 6 / 0.01, rel=0.01)
    assert short.p50_ms == pytest.approx(100, rel=0.02)


def test_short_and_long_window_forget_at_their_own_time():
    """An old incident keeps a page open or vanishes from the long window."""
    board = _board(_kind("check"))
    found = recorder.OutcomeRecorder(board)
    for now in range(0, 100, 10):
        found.record(_call(), NOT_RUN, OVERLOAD, 0.0, now)
    found.record(_call(), ANSWERED, None, 0.2, 1_000)
    kind = _kind_burn(board, 1_001)
    assert (kind.short.total, kind.short.bad) == (1, 0)
    assert (kind.long.total, kind.long.bad) == (11, 10)
    assert kind.long.p99_ms == pytest.approx(200, rel=0.02)
    assert _kind_burn(board, 3_000).long.total == 11
    assert _kind_burn(board, 9_000).long.total == 0


def test_memory_is_bounded_for_long_windows_and_many_kinds():
    """A long objective or a large document fills the memory of a node."""
    series = windows.WindowSeries([30 * 86_400], 0.0)
    for now in range(0, 60 * 86_400, 3_600):
        series.record(True, 0.1, now)
    assert series.window_count <= windows.MAX_WINDOWS
    kinds = [_kind(f"k{n}") for n in range(2 * recorder.MAX_KINDS)]
    board = _board(*kinds)
    found = recorder.OutcomeRecorder(board)
    for kind in kinds:
        found.record(_call(kind.name), ANSWERED, None, 0.1, 1)
        found.record(_call("k0"), ANSWERED, None, 0.1, 1)
    assert len(board.outcomes.histograms) == recorder.MAX_KINDS
    assert "k0" in board.outcomes.histograms


def test_short_window_keeps_its_resolution_beside_a_long_one():
    """A long objective blurs the short window that pages."""
    board = _board(_kind("check", long_s=30 * 86_400))
    found = recorder.OutcomeRecorder(board)
    found.record(_call(), NOT_RUN, OVERLOAD, 0.0, 0)
    found.record(_call(), ANSWERED, None, 0.1, 400)
    kind = _kind_burn(board, 401)
    assert (kind.short.bad, kind.long.bad) == (0, 1)


def test_refusals_show_since_when_and_the_worst_outcome():
    """The operator sees an old start or a doubtful run shown as not run."""
    board = _board(_kind("check"))
    found = recorder.OutcomeRecorder(board)
    found.record(_call(), NOT_RUN, OVERLOAD, 0.0, 0)
    found.record(_call(), NOT_RUN, OVERLOAD, 0.0, 100)
    found.record(_call(), errors.Outcome.UNKNOWN, OVERLOAD, 0.0, 130)
    found.record(_call(), NOT_RUN, OVERLOAD, 0.0, 150)
    found.record_trial_refusal(_call(), OVERLOAD, 160)
    refusals = board.outcomes.refusals
    current = refusals["check", "overload", False]
    assert (current.first_at, current.last_at) == (100, 150)
    assert (current.count, current.outcome) == (3, "unknown")
    assert refusals["check", "overload", True].count == 1


def test_refusal_table_is_bounded():
    """Refusals of ever new kinds fill the memory of a node."""
    board = _board()
    found = recorder.OutcomeRecorder(board)
    for n in range(3 * recorder.MAX_REFUSALS):
        found.record(_call(f"k{n}"), NOT_RUN, OVERLOAD, 0.0, n / 100)
    assert len(board.outcomes.refusals) <= recorder.MAX_REFUSALS


def _reports(count):
    for number in range(count):
        board = _board(_kind("check"))
        board.instance = f"s-{number}"
        found = recorder.OutcomeRecorder(board)
        for _ in range(10):
            found.record(_call(), ANSWERED, None, 0.1 + number, 1)
        yield burn.report_of(board, 2)


def test_merge_adds_counts_and_histograms():
    """Burn over nodes is an average of averages."""
    parsed = [
        burn.parse_report("n", json.dumps(burn.to_json(report)).encode())
        for report in _reports(2)
    ]
    merged = burn.merge_reports([one.unwrap() for one in parsed])
    short = merged.kinds[0].short
    assert merged.instances == ["s-0", "s-1"]
    assert (short.total, short.bad, short.burn) == (20, 10, 50.0)
    assert short.p99_ms == pytest.approx(1_100, rel=0.02)
    text = burn.format_text(merged)
    assert "50.00  10 of 20 bad" in text
    assert max(len(line) for line in text.splitlines()) <= 60


def test_report_with_a_damaged_histogram_is_rejected():
    """One bad node ends the burn command with a traceback."""
    report = burn.to_json(next(_reports(1)))
    report["kinds"][0]["long"]["latency"] = "no histogram"
    parsed = burn.parse_report("n", json.dumps(report).encode())
    assert isinstance(parsed.err(), errors.InvalidInput)
    assert burn.parse_report("n", b"[]").is_err()


def test_plot_is_written(tmp_path):
    """The plot needs a display or fails for a burn of zero."""
    path = tmp_path / "burn.png"
    plot.save_plot(burn.merge_reports(list(_reports(1))), str(path))
    assert path.read_bytes().startswith(b"\x89PNG")


def test_unknown_kind_is_counted_without_an_objective():
    """A call that outlives its document stops the node."""
    board = _board()
    found = recorder.OutcomeRecorder(board)
    found.record(_call(), ANSWERED, None, 0.1, 1)
    board.policy = types.SimpleNamespace(policy=None)
    found.record(_call(), ANSWERED, None, 0.1, 1)
    assert board.outcomes.calls == {("check", "answered"): 2}
    assert board.outcomes.histograms == {}
