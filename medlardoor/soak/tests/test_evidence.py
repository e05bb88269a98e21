"""Tests that each broken promise becomes a finding."""

import pytest

from medlardoor.soak import evidence


@pytest.fixture
def ledger():
    return evidence.Ledger()


def _promises(ledger):
    return [finding.promise for finding in ledger.findings]


def _run(ledger, attempt, upstream="i-1", deadline_ms=1_000):
    ledger.arrived("orders", "order", attempt, upstream)
    ledger.ran("orders", "order", attempt, upstream, deadline_ms)


def test_honest_run_has_no_finding(ledger):
    """A run without a fault is reported as one."""
    for number in range(50):
        attempt = f"a{number}"
        ledger.asked("orders", attempt, True, 2_000, "t")
        _run(ledger, attempt)
    assert ledger.findings == []


def test_second_run_of_an_order(ledger):
    """An order that runs twice is not noticed."""
    ledger.asked("orders", "a", True, 2_000, "t")
    _run(ledger, "a")
    _run(ledger, "a", "i-2")
    assert _promises(ledger) == [evidence.Promise.ONCE]


def test_run_that_nobody_asked_for(ledger):
    """A request that no caller sent is not noticed."""
    _run(ledger, "x")
    assert evidence.Promise.ONCE in _promises(ledger)


@pytest.mark.parametrize("refused_first", [True, False])
def test_false_refusal(ledger, refused_first):
    """A refusal of an order that has run, or runs later, is not noticed."""
    ledger.asked("orders", "a", True, 2_000, "t")
    if refused_first:
        ledger.refused("a")
    _run(ledger, "a")
    if not refused_first:
        ledger.refused("a")
    assert _promises(ledger) == [evidence.Promise.REFUSAL]


@pytest.mark.parametrize(("age_s", "is_outdated"), [(2.0, False), (3.0, True)])
def test_run_by_an_outdated_document(ledger, monkeypatch, age_s, is_outdated):
    """A node that never takes a confirmed document is not noticed."""
    ledger.confirmed("order", "orders")
    ledger.confirmed("order", "stock")
    monkeypatch.setattr(ledger, "_started_at", ledger._started_at - age_s)
    ledger.asked("orders", "a", True, 2_000, "t")
    _run(ledger, "a")
    ledger.check_document("order", "a")
    found = [evidence.Promise.DOCUMENT] if is_outdated else []
    assert _promises(ledger) == found


def test_work_for_a_leaving_upstream(ledger, monkeypatch):
    """Work after an acknowledged leaving is not noticed."""
    ledger.acknowledged_leaving("i-1")
    ledger.asked("orders", "a", False, 2_000, "t")
    _run(ledger, "a")
    assert ledger.findings == []
    monkeypatch.setattr(evidence, "DRAIN_S", -1.0)
    ledger.asked("orders", "b", False, 2_000, "t")
    _run(ledger, "b")
    assert _promises(ledger) == [evidence.Promise.LEAVING]


def test_longer_deadline(ledger):
    """An upstream that is given more time than is left is not noticed."""
    ledger.asked("orders", "a", False, 1_000, "t")
    _run(ledger, "a", deadline_ms=1_600)
    assert _promises(ledger) == [evidence.Promise.DEADLINE]


def test_too_many_repeats(ledger):
    """Repeats above the bound are not noticed."""
    ledger.asked("orders", "a", False, 2_000, "t")
    for _ in range(60):
        ledger.arrived("orders", "read", "a", "i-1")
    assert evidence.Promise.BUDGET in _promises(ledger)


def test_run_for_another_team_is_found(ledger):
    """An upstream is told a wrong team, shown a key, or runs a forged key."""
    for attempt, team in (("a", "t"), ("b", "t"), ("c", "t"), ("d", "")):
        ledger.asked("orders", attempt, False, 2_000, team)
    ledger.ran_for("a", "t", has_key=False)
    assert ledger.findings == []
    ledger.ran_for("b", "u", has_key=False)
    ledger.ran_for("c", "t", has_key=True)
    ledger.ran_for("d", "", has_key=False)
    assert [f.promise for f in ledger.findings] == [evidence.Promise.KEY] * 3


def test_team_above_its_limit_is_found():
    """Nodes together run more requests of a team than its limit."""
    ledger = evidence.Ledger({"t": 3})
    for number in range(4):
        ledger.asked("orders", f"a{number}", False, 2_000, "t")
        ledger.ran_for(f"a{number}", "t", has_key=False)
    (found,) = ledger.findings
    assert found.promise == evidence.Promise.LIMIT
