"""Tests of the attribution of upstream crashes to requests."""

import random

import pytest

from medlardoor.blackboard import board as board_module
from medlardoor.mesh import crashes, runs
from medlardoor.quarantine import controller, settings


def _run(target):
    return runs.Run("s", b"a", b"GET", target, b"", b"", 9e9, 9e9, 0, True)


class _Harness:
    def __init__(self):
        board = board_module.Blackboard("n1", "s", "d1")
        quarantine = controller.QuarantineController(
            settings.QuarantineSettings(), board, random.Random(1)
        )
        self.published = []
        self.tracker = crashes.CrashTracker(
            quarantine, board, self.published.append
        )
        self.now = 0.0

    def crash_with(self, *targets):
        """Crashes the upstream while requests to the targets run."""
        self.now += 5.0
        for target in targets:
            self.tracker.started(target, _run(target), self.now)
        for target in targets:
            self.tracker.finished(target, False, True, self.now)
        self.tracker.upstream_terminated(self.now + 0.1)

    def succeed(self, target):
        self.tracker.started(target, _run(target), self.now)
        self.tracker.finished(target, True, False, self.now)

    def may_start(self, target):
        return self.tracker.may_start(_run(target), self.now)


@pytest.fixture
def harness(monkeypatch):
    monkeypatch.setattr(crashes.logs, "log_event", lambda *a, **k: None)
    return _Harness()


def test_request_is_refused_after_its_third_crash(harness):
    """A request must not crash one upstream after another."""
    for _ in range(2):
        harness.crash_with(b"/bad")
        assert harness.may_start(b"/bad")
    harness.crash_with(b"/bad")
    assert not harness.may_start(b"/bad")
    assert harness.may_start(b"/good")


def test_neighbours_of_one_crash_are_not_held_up(harness):
    """A single crash must not serialize all requests that were in flight."""
    harness.crash_with(b"/bad", b"/x", b"/y")
    harness.tracker.started("x", _run(b"/x"), harness.now)
    assert harness.may_start(b"/y")


def test_suspect_of_two_crashes_runs_alone(harness):
    """Suspects of two crashes run one at a time, to tell them apart."""
    harness.crash_with(b"/bad", b"/x")
    harness.crash_with(b"/bad", b"/x")
    harness.tracker.started("x", _run(b"/x"), harness.now)
    assert not harness.may_start(b"/bad")


def test_success_clears_a_neighbour(harness):
    """A request that only ran beside a crashing one is not quarantined."""
    for _ in range(5):
        harness.crash_with(b"/bad", b"/x")
        harness.succeed(b"/x")
    assert harness.may_start(b"/x")
    assert not harness.may_start(b"/bad")
    # Crashes and cleared suspects are published to the other nodes.
    assert len(harness.published) >= 5


def test_popular_request_survives_crashes_at_one_moment(harness):
    """A popular request was refused for an hour after three quick crashes."""
    harness.succeed(b"/popular")
    for number in range(3):
        harness.crash_with(b"/bad", b"/popular")
        harness.now -= 4.9
        assert harness.may_start(b"/popular"), number
    assert not harness.may_start(b"/bad")


def test_broken_connection_alone_is_no_crash(harness):
    """A broken connection alone must not count as an upstream crash."""
    harness.tracker.started("x", _run(b"/x"), 1.0)
    harness.tracker.finished("x", False, True, 1.0)
    harness.tracker.tick(3.0)
    harness.tracker.upstream_terminated(3.0)
    assert harness.published == []
