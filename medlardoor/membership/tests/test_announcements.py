"""Tests of the upstream state that heartbeats announce."""

import pytest

from medlardoor.membership import announcements, departures

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


def test_departure_of_a_start_not_yet_announced_is_its_own(register):
    """A late first heartbeat brought back a start that had deregistered.

    Its departure was recorded as that of the start before it, which had the
    same identifier.
    """
    register.apply_heartbeat(_heartbeat(born_ms=1_000, sequence=9), 0.0)
    assert register.deregister("i-1", 2_000) is UpstreamChange.LEAVING
    assert register.last_departure == departures.Departure("i-1", 2_000)
    late = _heartbeat(born_ms=2_000, sequence=1)
    assert register.apply_heartbeat(late, 0.0) is UpstreamChange.OUTDATED
    assert not register.is_usable
    later = _heartbeat(born_ms=3_000, sequence=1)
    assert register.apply_heartbeat(later, 0.0) is UpstreamChange.RESTARTED
    assert register.is_usable


def test_departure_of_a_later_start_counts_beside_one_that_has_left(register):
    """A second departure under one identifier was dropped as a repetition."""
    register.apply_heartbeat(_heartbeat(draining=True), 0.0)
    assert register.deregister("i-1", 1_000) is UpstreamChange.NONE
    assert register.deregister("i-1", 2_000) is UpstreamChange.LEAVING
    assert register.last_departure == departures.Departure("i-1", 2_000)
    register.apply_heartbeat(_heartbeat(born_ms=2_000), 0.0)
    assert not register.is_usable


def test_departure_of_another_upstream_is_reported(register):
    """A departure was acknowledged, and lost with the process of the node."""
    register.apply_heartbeat(_heartbeat("i-1", born_ms=1_000), 0.0)
    assert register.deregister("i-2", 2_000) is UpstreamChange.LEFT
    assert register.last_departure == departures.Departure("i-2", 2_000)
    assert register.deregister("i-2", 2_000) is UpstreamChange.OUTDATED
    assert register.is_usable


def test_leaving_named_by_a_response_holds_back_a_late_heartbeat(register):
    """A late heartbeat brought back a start whose responses said it leaves.

    The response does not name its start, so it could be one not yet announced.
    """
    register.apply_heartbeat(_heartbeat(born_ms=1_000, sequence=5), 0.0)
    assert register.record_leaving("i-1", 10.0) is UpstreamChange.LEAVING
    assert register.record_leaving("i-1", 20.0) is UpstreamChange.NONE
    late = _heartbeat(born_ms=2_000, sequence=1)
    assert register.apply_heartbeat(late, 39.0) is UpstreamChange.OUTDATED
    assert not register.is_usable
    register.apply_heartbeat(_heartbeat(born_ms=2_000, sequence=9), 41.0)
    assert register.is_usable


def test_hold_after_a_leaving_is_for_its_identifier_alone(register):
    """The upstream that took over the address stayed unused."""
    register.apply_heartbeat(_heartbeat(born_ms=1_000, sequence=5), 0.0)
    register.record_leaving("i-1", 10.0)
    register.apply_heartbeat(_heartbeat("i-2", born_ms=2_000), 11.0)
    assert register.is_usable


@pytest.mark.parametrize("is_draining", [True, False])
def test_announced_departure_ends_the_hold(register, is_draining):
    """The next start stayed unused although the departed one was named."""
    register.apply_heartbeat(_heartbeat(born_ms=1_000, sequence=5), 0.0)
    register.record_leaving("i-1", 10.0)
    if is_draining:
        register.apply_heartbeat(_heartbeat(sequence=6, draining=True), 11.0)
    else:
        register.deregister("i-1", 1_000)
    register.apply_heartbeat(_heartbeat(born_ms=2_000, sequence=1), 12.0)
    assert register.is_usable


def test_held_start_that_drains_has_left(register):
    """A departure during the hold was dropped."""
    register.apply_heartbeat(_heartbeat(born_ms=1_000, sequence=5), 0.0)
    register.record_leaving("i-1", 10.0)
    draining = _heartbeat(born_ms=2_000, sequence=2, draining=True)
    assert register.apply_heartbeat(draining, 11.0) is UpstreamChange.LEAVING
    register.apply_heartbeat(_heartbeat(born_ms=2_000, sequence=1), 60.0)
    assert not register.is_usable
    register.apply_heartbeat(_heartbeat(born_ms=3_000, sequence=1), 60.0)
    assert register.is_usable
