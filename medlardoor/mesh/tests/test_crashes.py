"""Tests of the attribution of upstream crashes to requests."""

import random

import pytest

from medlardoor.blackboard import board as board_module
from medlardoor.mesh import crashes, runs
from medlardoor.quarantine import controller, settings


def _run(target):
    return runs.Run("s", b"a", b"GET", target, b"", b"", 9e9, 9e9, 0, True)


class _Watch:
    def __init__(self):
        board = board_module.Blackboard("n1", "s", "d1")
        quarantine = controller.QuarantineController(
            settings.QuarantineSettings(), board, random.Random(1)
        )
        self.published = []
        self.watch = crashes.CrashTracker(
            quarantine, board, self.published.append
        )
        self.now = 0.0

    def crash_with(self, *targets):
        """Crashes the upstream while requests to the targets run."""
        self.now += 5.0
        for target in targets:
            self.watch.started(target, _run(target), self.now)
        for target in targets:
            self.watch.finished(target, False, True, self.now)
        self.watch.upstream_terminated(self.now + 0.1)

    def succeed(self, target):
        self.watch.started(target, _run(target), self.now)
        self.watch.finished(target, True, False, self.now)

    def may_start(self, target):
        return self.watch.may_start(_run(target), self.now)


@pytest.fixture
def watch(monkeypatch):
    monkeypatch.setattr(crashes.logs, "log_event", lambda *a, **k: None)
    return _Watch()


def test_request_is_refused_after_its_third_crash(watch):
    """A request must not crash one upstream after another."""
    for _ in range(2):
        watch.crash_with(b"/bad")
        assert watch.may_start(b"/bad")
    watch.crash_with(b"/bad")
    assert not watch.may_start(b"/bad")
    assert watch.may_start(b"/good")


def test_neighbours_of_one_crash_are_not_held_up(watch):
    """A single crash must not serialize all requests that were in flight."""
    watch.crash_with(b"/bad", b"/x", b"/y")
    watch.watch.started("x", _run(b"/x"), watch.now)
    assert watch.may_start(b"/y")


def test_suspect_of_two_crashes_runs_alone(watch):
    """Suspects of two crashes run one at a time, to tell them apart."""
    watch.crash_with(b"/bad", b"/x")
    watch.crash_with(b"/bad", b"/x")
    watch.watch.started("x", _run(b"/x"), watch.now)
    assert not watch.may_start(b"/bad")


def test_success_clears_a_neighbour(watch):
    """A request that only ran beside a crashing one is not quarantined."""
    for _ in range(5):
        watch.crash_with(b"/bad", b"/x")
        watch.succeed(b"/x")
    assert watch.may_start(b"/x")
    assert not watch.may_start(b"/bad")
    # Crashes and cleared suspects are published to the other nodes.
    assert len(watch.published) >= 5


def test_broken_connection_alone_is_no_crash(watch):
    """A broken connection alone must not count as an upstream crash."""
    watch.watch.started("x", _run(b"/x"), 1.0)
    watch.watch.finished("x", False, True, 1.0)
    watch.watch.tick(3.0)
    watch.watch.upstream_terminated(3.0)
    assert watch.published == []
