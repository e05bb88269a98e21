"""Tests of the short form of the crash rule."""

from medlardoor.bench import crashes, fakes, workload

KIND = workload.KindSpec("stock check", 0, 1.0, ("stock",), 1.0)


def _call():
    request = workload.Request(KIND, 0.0)
    return fakes.Call(request, 0, 10.0, None)


def test_quarantine_after_three_crashes():
    """A request that takes down one upstream after the other."""
    rule = crashes.CrashRule()
    guilty = _call()
    for _ in range(crashes.MAX_CRASHES):
        innocent = _call()
        assert not rule.is_quarantined(guilty.request)
        rule.crashed([guilty, innocent])
        assert rule.is_suspect(innocent.request)
        rule.succeeded(innocent.request)
        assert not rule.is_suspect(innocent.request)
    assert rule.is_quarantined(guilty.request)


def test_suspects_run_one_at_a_time():
    """A crash that makes suspects of many and identifies none."""
    gate = crashes.SuspectGate()
    first, second, third = _call(), _call(), _call()
    assert gate.enter(first)
    assert not gate.enter(second)
    assert not gate.enter(third)
    assert gate.leave(second) is None
    second.cancelled = True
    assert gate.leave(first) is third
    assert gate.enter(third)
