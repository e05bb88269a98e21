"""Tests of forged, invalid and replayed messages to a node process."""

import dataclasses
import json
import random
import socket

import pytest

from medlardoor.calls import context
from medlardoor.node.tests import system as system_module
from medlardoor.node.transport import forwarding
from medlardoor.wire import authentication, codec
from medlardoor.wire.generated.medlardoor_messages import ttypes

KEY = authentication.ClusterKey(system_module.CLUSTER_KEY)


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    directory = tmp_path_factory.mktemp("bad-messages")
    with system_module.System(directory) as started:
        yield started


@pytest.fixture(autouse=True)
def unharmed(system):
    """Checks after each test that the node serves and has not grown."""
    with system_module.unharmed(system):
        yield


def _call(**changes):
    call = context.CallContext(
        chain_id=b"c" * 16,
        call_id=1,
        team="sales",
        kind="stock_check",
        rank=0,
        level=5,
        deadline=5.0,
        budget=1,
    )
    return dataclasses.replace(call, **changes)


def _header(call):
    return forwarding.encode_context_header(call, KEY, 0.0).decode()


def _peer(system, value, method="GET", target="/stock", body=None):
    return system.request(
        method,
        target,
        body,
        {"Medlardoor-Context": value},
        system.ports["peer_port"],
    )


def test_authentic_context_is_served(system):
    """Control of the tests below: a valid context is served."""
    assert _peer(system, _header(_call()))[0] == 200


def _struct(**changes):
    values = {
        "chain_id": b"c" * 16,
        "call_id": 1,
        "kind": "stock_check",
        "team": "sales",
        "rank": 0,
        "level": 5,
        "deadline_ms": 5_000,
        "budget": 1,
        "idempotent": True,
        "depth": 0,
        "max_wait_ms": 100,
        "document_version": 1,
    }
    struct = ttypes.CallContext(**(values | changes))
    return codec.encode_header(struct, KEY).decode()


FORGED = {
    "empty": "",
    "noise": "!!!.???",
    "other key": codec.encode_header(
        ttypes.CallContext(kind="a"), authentication.ClusterKey("x" * 32)
    ).decode(),
    "truncated": _struct()[:-9],
    "extended": _struct() + "AAAA",
    "too long": "A" * 20_000,
    "not a context": codec.encode_header(
        ttypes.CallResult(outcome="answered"), KEY
    ).decode(),
    "no chain": _struct(chain_id=None),
    "short chain": _struct(chain_id=b"c"),
    "no kind": _struct(kind=None),
    "no level": _struct(level=None),
    "no deadline": _struct(deadline_ms=None),
    "negative deadline": _struct(deadline_ms=-1),
    "huge deadline": _struct(deadline_ms=2**31 - 1),
    "huge budget": _struct(budget=2**31 - 1),
    "negative budget": _struct(budget=-5),
    "too deep": _struct(depth=context.MAX_DEPTH + 1),
    "negative depth": _struct(depth=-1),
    "huge level": _struct(level=2**31 - 1),
    "negative rank": _struct(rank=-1),
    "negative version": _struct(document_version=-1),
    "negative wait": _struct(max_wait_ms=-1),
    "not UTF-8": _struct(kind=b"\xff\xfe"),
}


@pytest.mark.parametrize("name", FORGED)
def test_bad_context_is_refused(system, name):
    """A forged or invalid context must be refused."""
    status, headers, body = _peer(system, FORGED[name])
    assert status == 400
    assert headers["medlardoor-outcome"] == "not-run"
    assert json.loads(body)["reason"] == "invalid_request"


def test_unknown_version_is_harmless(system):
    """A nonexistent version must not start an endless series of fetches."""
    value = _struct(document_version=2**62)
    assert _peer(system, value)[0] == 200


def test_replayed_context_of_an_order_is_refused(system):
    """A replayed context must not run an order a second time."""
    value = _struct(kind="build_order", idempotent=False, handed_over=True)
    assert _peer(system, value, "POST", "/orders", b"{}")[0] == 200
    status, headers, _ = _peer(system, value, "POST", "/orders", b"{}")
    assert status == 400
    assert headers["medlardoor-outcome"] == "unknown"


def test_context_of_a_caller_is_ignored(system):
    """An external caller must not gain the rights of a node by a header."""
    value = _struct(rank=1, level=255)
    headers = {"Medlardoor-Context": value, "Medlardoor-Call": "x"}
    assert system.request(headers=headers)[0] == 200
    headers["Medlardoor-Authorization"] = "00"
    assert system.request("POST", "/orders", b"", headers)[0] == 428


@pytest.mark.parametrize("token", ["", "x", "x" * 10_000, "\xff\xfe"])
def test_forged_call_token_is_refused(system, token):
    """An outgoing call with a forged call token must be refused."""
    status, headers, _ = system.request(
        headers={"Host": "order", "Medlardoor-Call": token},
        port=system.ports["egress_port"],
    )
    assert status == 400
    assert headers["medlardoor-outcome"] == "not-run"


@pytest.mark.parametrize(
    "body",
    [b"[" * 250, b"\xff\xfe", b"[1]", b'{"count": 1e99}', b'{"count": true}'],
)
def test_bad_key_request_is_refused(system, body):
    """An invalid body of a key request must not raise in the node."""
    status, _, answer = system.request("POST", "/.medlardoor/keys", body)
    assert status == 400 or len(json.loads(answer)["keys"]) == 1


def _datagrams(system):
    generator = random.Random(5)
    own = codec.seal_datagram(_digest(host="not an address"), KEY)
    yield b""
    yield own[:-1]
    yield own[:10]
    yield own + b"x"
    yield codec.seal_datagram(
        _digest(), authentication.ClusterKey("another key of the cluster")
    )
    for size in (1, 16, 17, 200, 1_400, 1_401, 9_000, 60_000):
        yield generator.randbytes(size)
    for size in (1, 60, 500):
        noise = generator.randbytes(size)
        yield KEY.mac(noise) + noise
    # A list of 2**31 - 1 records, and one whose elements are of a wrong type.
    for data in (b"\x1c\x59\xfc\xff\xff\xff\xff\x07", b"\x1c\x59\x25\x02\x04"):
        yield KEY.mac(data) + data
    # Unknown fields around an empty message, and nested unknown structs.
    for data in (b"\xf5\x02\xf8\x02ab\x00", b"\xfc" * 1_300):
        yield KEY.mac(data) + data
    yield codec.seal_datagram(ttypes.Message(), KEY)
    yield codec.seal_datagram(ttypes.Message(digest=ttypes.Digest()), KEY)
    yield codec.seal_datagram(
        ttypes.Message(crash_report=ttypes.CrashReport()), KEY
    )
    yield codec.seal_datagram(
        ttypes.Message(quarantine_update=ttypes.QuarantineUpdate()), KEY
    )
    report = ttypes.CrashReport(
        "order", "x", -1, [b"", b"short", b"x" * 99, b"y" * 16]
    )
    yield codec.seal_datagram(ttypes.Message(crash_report=report), KEY)
    for changes in (
        {"host": "not an address"},
        {"host": "example.com"},
        {"host": "::1"},
        {"host": "\ud7ff" * 20},
        {"peer_port": 0, "gossip_port": 0},
        {"gossip_port": 70_000},
        {"instance": ""},
        {"instance": "x" * 500},
        {"incarnation": 2**63 - 1},
        {"heartbeat": -1},
        {"state": 77},
        {"slots": -5, "in_flight": -5, "level": -1, "queued": -1},
        {"slots": 2**31 - 1, "level": 2**31 - 1},
        {"document_version": 2**62},
        {"warmth_percent": -100, "refused_rank": 2**31 - 1},
        {"failure_domain": None, "process_id": None},
    ):
        digest = _digest(**changes)
        yield codec.seal_datagram(digest, KEY)
        # Again, with another sequence number and with the same one.
        yield codec.seal_datagram(digest, KEY)
    yield codec.seal_datagram(_digest(heartbeats=b"x" * 13), KEY)


def _digest(heartbeats=None, **changes):
    values = {
        "instance": "order-x",
        "incarnation": 3,
        "heartbeat": 1,
        "state": ttypes.MemberState.SERVING,
        "host": "127.0.0.1",
        "peer_port": 9,
        "gossip_port": 9,
        "failure_domain": "a",
        "process_id": "p",
    }
    record = ttypes.MemberRecord(**(values | changes))
    return ttypes.Message(
        digest=ttypes.Digest(
            "order", record.instance, 3, 1, [record], True, heartbeats
        )
    )


def test_bad_datagrams_are_dropped(system):
    """An invalid datagram must not end the gossip task and the node."""
    address = ("127.0.0.1", system.ports["gossip_port"])
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for data in _datagrams(system):
            sock.sendto(data, address)
            assert system.node.exit_status is None, system.log[-2_000:]
    system_module.wait_for(lambda: "datagram_malformed" in system.log)
    assert system.is_serving()


def test_stale_digest_changes_nothing(system):
    """A replayed digest about the node must not stop it from serving."""
    address = ("127.0.0.1", system.ports["gossip_port"])
    stale = _digest(instance="order-1", incarnation=1, state=3)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for _ in range(200):
            sock.sendto(codec.seal_datagram(stale, KEY), address)
    assert system.is_serving()
