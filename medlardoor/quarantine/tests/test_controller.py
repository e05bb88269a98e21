"""Tests of crash attribution."""

import random

from medlardoor import errors
from medlardoor.blackboard import board as board_module
from medlardoor.quarantine import (
    answers,
    controller,
    fingerprints,
    handover,
)
from medlardoor.quarantine import settings as settings_module
from medlardoor.wire import frames
from medlardoor.wire.generated.medlardoor_messages import ttypes

SETTINGS = settings_module.QuarantineSettings(max_suspects=4)
CRASHING = b"p" * 16


def _controller(instance="a", settings=SETTINGS):
    board = board_module.Blackboard(instance, "order", "fd1")
    return controller.QuarantineController(
        settings, board, random.Random(instance)
    )


def _crash(quarantine, now, *in_flight):
    for i, fingerprint in enumerate(in_flight):
        quarantine.started(i, fingerprint, now)
    return quarantine.upstream_crashed(now)


def _fingerprint(i):
    return i.to_bytes(16, "big")


def test_fields_of_a_fingerprint_are_separated():
    """Another request has the fingerprint of a crashing one."""
    first = fingerprints.fingerprint("order", "POST", "/a", b"b")
    assert len(first) == fingerprints.FINGERPRINT_BYTES
    assert first != fingerprints.fingerprint("order", "POST", "/ab", b"")
    limit = fingerprints.BODY_PREFIX_BYTES
    assert fingerprints.fingerprint(
        "order", "POST", "/a", b"x" * limit
    ) == fingerprints.fingerprint("order", "POST", "/a", b"x" * limit + b"y")


def test_crashing_request_is_quarantined_alone():
    """Requests in flight at a crash are refused with the one causing it."""
    quarantine = _controller()
    _crash(quarantine, 0.0, _fingerprint(1), CRASHING, _fingerprint(2))
    assert quarantine.check(CRASHING, 1.0) == controller.Suspect(True)
    quarantine.started(7, CRASHING, 1.0)
    # Suspects run one at a time; the other two have to wait.
    assert quarantine.check(_fingerprint(1), 1.0) == controller.Suspect(False)
    report = _crash(quarantine, 1.0, _fingerprint(3))
    assert report.fingerprints == [CRASHING]
    assert quarantine.check(_fingerprint(3), 1.0) == controller.Allowed()
    _crash(quarantine, 2.0, CRASHING)
    refusal = quarantine.check(CRASHING, 3.0).refusal
    assert refusal.reason is errors.Reason.QUARANTINED
    assert refusal.outcome is errors.Outcome.NOT_RUN
    assert isinstance(
        quarantine.check(_fingerprint(1), 3.0), controller.Suspect
    )


def test_popular_request_survives_crashes_at_one_moment():
    """A popular request was refused for an hour after three quick crashes."""
    popular = _fingerprint(1)
    quarantine, peer = _controller(), _controller("b")
    for node in (quarantine, peer):
        node.started(0, popular, 0.0)
        node.finished(0, True, 1.0)
    for number in range(3):
        report = _crash(quarantine, 10.0 + number / 10, popular, CRASHING)
        peer.receive_crash_report(report, 10.0 + number / 10)
    for node in (quarantine, peer):
        assert isinstance(node.check(CRASHING, 11.0), controller.Quarantined)
        assert isinstance(node.check(popular, 11.0), controller.Suspect)


def test_request_that_ran_well_is_quarantined_if_it_crashes_alone():
    """A request that began to crash upstreams was taken for a popular one."""
    quarantine = _controller()
    quarantine.started(0, CRASHING, 0.0)
    quarantine.finished(0, True, 1.0)
    for number in range(3):
        _crash(quarantine, 10.0 + number / 10, CRASHING)
    assert isinstance(quarantine.check(CRASHING, 11.0), controller.Quarantined)


def test_request_that_ran_well_is_quarantined_after_three_moments():
    """A request that began to crash upstreams was never quarantined."""
    quarantine = _controller()
    quarantine.started(0, CRASHING, 0.0)
    quarantine.finished(0, True, 1.0)
    for number in range(3):
        _crash(quarantine, 10.0 + number, CRASHING, _fingerprint(1))
    assert isinstance(quarantine.check(CRASHING, 13.0), controller.Quarantined)


def test_sample_of_answered_requests_stays_bounded():
    """Fingerprints of answered requests filled the memory."""
    answered = answers.AnsweredRequests()
    for number in range(answers.MAX_FINGERPRINTS + 1):
        answered.record(_fingerprint(number), float(number))
    assert _fingerprint(0) not in answered
    assert _fingerprint(answers.MAX_FINGERPRINTS) in answered
    last = float(answers.MAX_FINGERPRINTS)
    assert not answered.is_sample_due(last + answers.SAMPLE_INTERVAL_S / 2)
    assert answered.is_sample_due(last + answers.SAMPLE_INTERVAL_S)


def test_success_clears_a_suspect_everywhere():
    """A cleared request stays suspect at other nodes."""
    quarantine, peer = _controller(), _controller("b")
    peer.receive_crash_report(_crash(quarantine, 0.0, CRASHING), 0.0)
    assert isinstance(peer.check(CRASHING, 0.0), controller.Suspect)
    quarantine.started(1, CRASHING, 1.0)
    assert quarantine.finished(1, False, 2.0) is None
    quarantine.started(2, CRASHING, 3.0)
    peer.receive_update(quarantine.finished(2, True, 4.0), 4.0)
    assert quarantine.check(CRASHING, 4.0) == controller.Allowed()
    assert peer.check(CRASHING, 4.0) == controller.Allowed()


def test_suspicion_and_quarantine_end():
    """A request is still refused long after the upstream was repaired."""
    quarantine = _controller()
    _crash(quarantine, 0.0, CRASHING)
    assert quarantine.check(CRASHING, 600.0) == controller.Allowed()
    quarantine.expire(600.0)
    for now in (600.0, 601.0, 602.0):
        _crash(quarantine, now, CRASHING)
    assert isinstance(
        quarantine.check(CRASHING, 4_201.0), controller.Quarantined
    )
    assert quarantine.check(CRASHING, 4_202.0) == controller.Allowed()
    quarantine.expire(4_202.0)
    assert quarantine.to_object(4_202.0) == b'{"remaining_s":{}}'


def test_reports_count_once():
    """A resent report quarantines a request after a single crash."""
    quarantine, peer = _controller(), _controller("b")
    report = _crash(quarantine, 0.0, CRASHING)
    assert [peer.receive_crash_report(report, 0.0) for _ in range(5)] == [
        True,
        False,
        False,
        False,
        False,
    ]
    assert not quarantine.receive_crash_report(report, 0.0)
    assert isinstance(peer.check(CRASHING, 0.0), controller.Suspect)
    foreign = ttypes.CrashReport("quote", "q", 1, [CRASHING])
    assert not peer.receive_crash_report(foreign, 0.0)


def test_tables_stay_bounded():
    """Crashes with many requests in flight exhaust the memory of a node."""
    quarantine = _controller()
    _crash(quarantine, 0.0, CRASHING)
    _crash(quarantine, 0.5, CRASHING)
    report = _crash(quarantine, 1.0, *(_fingerprint(i) for i in range(300)))
    assert len(report.fingerprints) == controller.MAX_REPORTED_FINGERPRINTS
    assert len(quarantine._topic.suspects) == 4
    assert quarantine._topic.suspects[CRASHING] == 2
    update = ttypes.QuarantineUpdate(
        "order", [_fingerprint(i) for i in range(9)] + [b"short"], []
    )
    quarantine.receive_update(update, 2.0)
    assert len(quarantine._topic.quarantined) == 4
    for i in range(5_000):
        other = ttypes.CrashReport("order", "b", i, [])
        quarantine.receive_crash_report(other, 3.0)
    assert len(quarantine._crash_ids) == controller.MAX_CRASH_IDS


def test_platform_object_does_not_prolong_quarantine():
    """Two nodes that read each other's object renew quarantines forever."""
    quarantine, peer = _controller(), _controller("b")
    update = ttypes.QuarantineUpdate("order", [CRASHING], [])
    quarantine.receive_update(update, 1_000.0)
    value = quarantine.to_object(1_000.0)
    # The clock of the peer started at another time.
    assert peer.merge_object(value, 50.0).unwrap() == 1
    assert isinstance(peer.check(CRASHING, 3_649.0), controller.Quarantined)
    assert peer.merge_object(value, 1_050.0).unwrap() == 0
    assert peer.check(CRASHING, 3_650.0) == controller.Allowed()
    assert peer.merge_object(value, 3_650.0).unwrap() == 0
    assert peer.check(CRASHING, 3_650.0) == controller.Allowed()


def test_handover_keeps_suspicions():
    """A restart of a node forgot the crashes of a request."""
    quarantine, restarted = _controller(), _controller("b")
    for now in (0.0, 10.0):
        report = _crash(quarantine, now, CRASHING)
    restarted.receive_update(_relay(quarantine.to_update(20.0)), 1_020.0)
    # Told of the second crash by its origin too, later.
    assert not restarted.receive_crash_report(report, 1_021.0)
    assert restarted._topic.suspects == {CRASHING: 2}
    _crash(restarted, 1_030.0, CRASHING)
    assert isinstance(
        restarted.check(CRASHING, 1_031.0), controller.Quarantined
    )


def test_handover_does_not_prolong_suspicion():
    """Nodes that told each other of suspicions renewed them for ever."""
    quarantine, peer = _controller(), _controller("b")
    _crash(quarantine, 0.0, CRASHING)
    for now in (100.0, 300.0, 500.0):
        peer.receive_update(quarantine.to_update(now), now)
        quarantine.receive_update(peer.to_update(now), now)
    assert isinstance(peer.check(CRASHING, 599.0), controller.Suspect)
    for node in (quarantine, peer):
        assert node.check(CRASHING, 601.0) == controller.Allowed()
        assert node.to_update(601.0) is None
    peer.receive_update(
        ttypes.QuarantineUpdate(
            "order",
            [],
            [],
            remaining_ms=[],
            suspects=[ttypes.Suspicion(CRASHING, 1, 600_000)],
        ),
        700.0,
    )
    assert peer.check(CRASHING, 700.0) == controller.Allowed()


def test_malformed_suspicions_of_a_handover_are_left_out():
    """One malformed suspicion kept a node from learning of the others."""
    quarantine = _controller()
    suspicions = [
        ttypes.Suspicion(b"short", 1, 0),
        ttypes.Suspicion(_fingerprint(1), 1, None),
        ttypes.Suspicion(_fingerprint(2), None, 0),
        ttypes.Suspicion(_fingerprint(3), 1, -1),
        ttypes.Suspicion(None, 1, 0),
        ttypes.Suspicion(CRASHING, 9, 0),
    ]
    update = ttypes.QuarantineUpdate(
        "order", [], [], remaining_ms=[], suspects=suspicions
    )
    quarantine.receive_update(_relay(update), 0.0)
    assert quarantine._topic.suspects == {CRASHING: 2}
    assert not quarantine._topic.quarantined


def test_handover_stays_small():
    """A node that starts was flooded with suspicions of all its peers."""
    settings = settings_module.QuarantineSettings()
    quarantine = _controller(settings=settings)
    for number in range(0, 500, 50):
        _crash(
            quarantine,
            float(number),
            CRASHING,
            *(_fingerprint(number + i) for i in range(50)),
        )
        quarantine.started(0, _fingerprint(number), number)
    update = quarantine.to_update(500.0)
    assert len(update.suspects) <= handover.MAX_SUSPICIONS
    frame = ttypes.Frame(quarantine_update=update)
    assert len(frames.encode_frame(frame)) < 2_000


def _relay(update):
    frame = ttypes.Frame(quarantine_update=update)
    reader = frames.FrameReader(1_000_000)
    (received,) = reader.feed(frames.encode_frame(frame)).unwrap()
    return received.quarantine_update


def test_handover_does_not_prolong_quarantine():
    """Nodes that tell each other at each start renew quarantines forever."""
    quarantine, peer = _controller(), _controller("b")
    assert quarantine.to_update(1_000.0) is None
    update = ttypes.QuarantineUpdate("order", [CRASHING], [])
    quarantine.receive_update(update, 1_000.0)
    handover = quarantine.to_update(2_000.0)
    # The clock of the peer started at another time.
    assert peer.receive_update(handover, 50.0)
    assert isinstance(peer.check(CRASHING, 2_649.0), controller.Quarantined)
    peer.receive_update(handover, 1_050.0)
    assert peer.check(CRASHING, 2_651.0) == controller.Allowed()
    peer.receive_update(handover, 2_651.0)
    assert peer.check(CRASHING, 2_652.0) == controller.Allowed()
    # The lists of a malformed message may have different lengths.
    handover.remaining_ms = [5_000, 1]
    handover.quarantined = [b"short", CRASHING, CRASHING]
    assert peer.receive_update(handover, 9_000.0)


def test_malformed_objects_are_rejected():
    """A damaged platform object crashes the controller of every node."""
    quarantine = _controller()
    for value in (
        b"",
        b"[]",
        b'{"remaining_s": {"xyz": 1}}',
        b'{"remaining_s": {"00": 1}}',
        b'{"remaining_s": {"' + b"0" * 32 + b'": -1}}',
        b'{"until": {}}',
    ):
        failure = quarantine.merge_object(value, 0.0).unwrap_err()
        assert isinstance(failure, errors.InvalidInput)
        assert failure.message
    too_long = b'{"remaining_s": {"' + b"0" * 32 + b'": 1e9}}'
    assert quarantine.merge_object(too_long, 0.0).unwrap() == 1
    assert quarantine.check(bytes(16), 3_600.0) == controller.Allowed()
