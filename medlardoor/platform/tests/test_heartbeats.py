"""Tests of heartbeats of the local upstream."""

import json

import pytest

from medlardoor.membership import announcements
from medlardoor.mesh import handlers
from medlardoor.platform import heartbeats, settings
from medlardoor.platform.tests import test_settings

BEAT = {
    "service": "huvo11a",
    "address": "10.1.0.8:8301",
    "zone": "hobart-a",
    "version": "v1",
    "slots": 343,
    "state": "ready",
    "coldLeft": "1500ms",
    "sequence": 4,
    "born": 1_700_000_000_000,
}


class _Receiver:
    def __init__(self):
        self.register = announcements.UpstreamRegister()
        self.changes = []
        loaded = settings.parse("node.conf", test_settings.TEXT).unwrap()
        self.handler = heartbeats.HeartbeatHandler(
            settings.to_mesh(loaded), self.register, self.changes.append
        )

    def post(self, path, body):
        responses = []
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        request = handlers.Request(
            b"POST", path, b"h", [], data, received_at=100.0
        )
        self.handler.handle(request, responses.append)
        return responses[0].status

    def beat(self, upstream_id=b"i-7", **changes):
        return self.post(
            b"/Instances.Heartbeat/" + upstream_id, {**BEAT, **changes}
        )


@pytest.fixture
def receiver(monkeypatch):
    monkeypatch.setattr(heartbeats.logs, "log_event", lambda *a, **k: None)
    return _Receiver()


def test_heartbeat_makes_the_upstream_usable(receiver):
    """The fields of a heartbeat are read wrongly."""
    assert receiver.beat() == 200
    current = receiver.register.current
    assert (current.upstream_id, current.slots) == ("i-7", 343)
    assert receiver.register.cold_s(100.5) == pytest.approx(1.0)
    assert receiver.changes == [announcements.UpstreamChange.STARTED]


def test_draining_and_deregistration_end_new_work(receiver):
    """An upstream that says that it leaves gets new work."""
    receiver.beat()
    assert receiver.beat(sequence=5, state="draining") == 200
    assert not receiver.register.is_usable
    receiver.beat(b"i-8", born=BEAT["born"] + 1, sequence=1)
    assert receiver.register.is_usable
    assert receiver.post(b"/Instances.Deregister/i-8", b"") == 200
    assert not receiver.register.is_usable


@pytest.mark.parametrize(
    "changes",
    [
        {"service": "other"},
        {"address": "10.1.0.9:8301"},
        {"address": "10.1.0.8:9999"},
        {"state": "perhaps"},
        {"slots": "343"},
        {"sequence": -1},
        {"sequence": None},
        {"born": 1.5},
        {"coldLeft": "soon"},
    ],
)
def test_invalid_heartbeat_changes_nothing(receiver, changes):
    """A heartbeat of another writer names an upstream, or removes one."""
    receiver.beat()
    assert receiver.beat(b"i-9", **{"sequence": 9, **changes}) == 400
    assert receiver.register.current.upstream_id == "i-7"
    assert receiver.register.is_usable


@pytest.mark.parametrize("body", [b"", b"{", b"\xff\xfe", b"[]", b"null"])
def test_unreadable_heartbeat_is_refused(receiver, body):
    """Bytes that are not JSON end the process."""
    assert receiver.post(b"/Instances.Heartbeat/i-7", body) == 400


def test_unknown_path_is_not_found(receiver):
    """A call to another path is acknowledged."""
    assert receiver.post(b"/other", b"{}") == 404


def test_deregistration_at_a_restarted_node_is_final(receiver):
    """A late heartbeat brings back an upstream that has said it ends.

    The node has restarted and does not know the upstream; the message does not
    say which start it means.
    """
    assert receiver.post(b"/Instances.Deregister/i-7", b"") == 200
    assert receiver.beat() == 200
    assert not receiver.register.is_usable
    assert receiver.changes[-1] is announcements.UpstreamChange.OUTDATED
