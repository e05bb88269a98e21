"""Tests of the upstream state that heartbeats announce."""

import pytest

from medlardoor.membership import announcements

UpstreamChange = announcements.UpstreamChange


def _heartbeat(upstream_id="i-1", born_ms=1_000, sequence=1, draining=False):
    return announcements.Announcement(
        upstream_id, born_ms, sequence, slots=8, draining=draining
    )


@pytest.fixture
def register():
    return announcements.UpstreamRegister()


def test_first_heartbeat_makes_upstream_usable(register):
    """The first heartbeat must make the upstream usable."""
    assert not register.is_usable
    assert register.apply_heartbeat(_heartbeat(), 0.0) is UpstreamChange.STARTED
    assert register.is_usable


def test_late_heartbeat_does_not_undo_draining(register):
    """A delayed ready heartbeat must not make a leaving upstream usable."""
    register.apply_heartbeat(_heartbeat(sequence=1), 0.0)
    assert register.apply_heartbeat(
        _heartbeat(sequence=3, draining=True), 0.0
    ) is (UpstreamChange.LEAVING)
    assert (
        register.apply_heartbeat(_heartbeat(sequence=2), 0.0)
        is UpstreamChange.OUTDATED
    )
    assert not register.is_usable


def test_departure_is_final_even_with_newer_sequence(register):
    """A leaving upstream must get no new requests if it reports ready again."""
    register.apply_heartbeat(_heartbeat(sequence=1), 0.0)
    register.deregister("i-1", 1_000)
    register.apply_heartbeat(_heartbeat(sequence=9), 0.0)
    assert not register.is_usable


def test_heartbeat_of_earlier_start_is_outdated(register):
    """A heartbeat of a crashed start must not replace the running one."""
    register.apply_heartbeat(_heartbeat("i-2", born_ms=2_000), 0.0)
    change = register.apply_heartbeat(
        _heartbeat("i-1", born_ms=1_000, sequence=50), 0.0
    )
    assert change is UpstreamChange.OUTDATED
    assert register.current.upstream_id == "i-2"


def test_restart_with_the_same_id_resets_the_sequence(register):
    """A restarted upstream must be accepted although its sequence restarts."""
    register.apply_heartbeat(_heartbeat(sequence=40), 0.0)
    restarted = _heartbeat(born_ms=5_000, sequence=1)
    assert register.apply_heartbeat(restarted, 0.0) is UpstreamChange.RESTARTED
    assert register.is_usable


def test_departure_survives_a_restart_of_the_node(register):
    """A restarted node must not use an upstream that had announced to leave."""
    register.restore_departure("i-1", 1_000)
    assert (
        register.apply_heartbeat(_heartbeat(sequence=9), 0.0)
        is UpstreamChange.OUTDATED
    )
    assert not register.is_usable
    assert (
        register.apply_heartbeat(_heartbeat(born_ms=2_000), 0.0)
        is UpstreamChange.STARTED
    )


def test_restored_departure_applies_to_the_current_upstream(register):
    """A heartbeat before the answer of the store must not override it."""
    register.apply_heartbeat(_heartbeat(), 0.0)
    register.restore_departure("i-1", 1_000)
    assert not register.is_usable


def test_replaced_upstream_never_returns(register):
    """A late heartbeat must not bring back an upstream that was replaced."""
    register.apply_heartbeat(_heartbeat(), 0.0)
    register.record_replacement("i-1")
    assert not register.is_usable
    assert (
        register.apply_heartbeat(_heartbeat(sequence=7), 0.0)
        is UpstreamChange.OUTDATED
    )


def test_cold_time_ends(register):
    """An upstream must count as slow only for its reported cold time."""
    beat = announcements.Announcement("i-1", 1, 1, 8, False, cold_s=3.0)
    register.apply_heartbeat(beat, 10.0)
    assert register.cold_s(11.0) == pytest.approx(2.0)
    assert register.cold_s(20.0) == 0.0
