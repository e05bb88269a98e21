"""Tests of the upstream stand-in as a process."""

import json
import socket
import time

import anyio
import pytest

from medlardoor.standins import connections, digests, processes, records

UPSTREAM = ["-m", "medlardoor.cli.standins", "upstream"]
WAIT_S = 10.0
POLL_S = 0.01


@pytest.fixture
def group(tmp_path):
    with processes.ProcessGroup(tmp_path) as started:
        yield started


def _start(group, name, **settings):
    record = str(group.directory / f"{name}.jsonl")
    process = group.start_with_settings(
        name,
        UPSTREAM,
        {"service": name, "record": record, "drain_grace_s": 0.1} | settings,
    )
    event = process.wait_listening()
    return process, f"{event['host']}:{event['port']}"


def _events(group, name):
    return [
        (row["event"], row.get("end", ""))
        for row in records.read_records(group.directory / f"{name}.jsonl")
    ]


def _call(
    address,
    method="GET",
    target="/",
    headers=None,
    body=b"",
    timeout_s=WAIT_S,
):
    async def exchange():
        pool = connections.ConnectionPool()
        message = connections.Message(method, target, headers or {}, body)
        outcome = await pool.exchange(address, message, timeout_s)
        await pool.aclose()
        return outcome

    return anyio.run(exchange)


def _wait_for(condition):
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(POLL_S)


def _load(address):
    return json.loads(_call(address, target="/load").ok_value.body)


def test_answer_belongs_to_the_request(group):
    """An answer that is cut or belongs to another request passes as whole."""
    _, address = _start(group, "stock", mean_ms=1)
    body = b"x" * 300_000
    answer = _call(
        address, "POST", "/a?size=200000", {"X-Request-ID": "r1"}, body
    ).ok_value
    identity = digests.RequestIdentity(
        "POST", "/a?size=200000", "r1", digests.body_digest(body)
    )
    assert digests.verify_answer(identity, answer.body, 200_000)
    assert not digests.verify_answer(identity, answer.body, 200_001)
    assert not digests.verify_answer(identity, answer.body[:-1], 200_000)
    other = digests.RequestIdentity("POST", "/a?size=200000", "r2", "")
    assert not digests.verify_answer(other, answer.body, 200_000)


def test_child_calls_take_over_token_and_time(group):
    """A child call without token or time left escapes the retry budget."""
    child = {"service": "stock", "path": "/c", "count": 2, "parallel": True}
    _, below = _start(group, "stock", mean_ms=1)
    _, above = _start(group, "order", mean_ms=1, egress=below, children=[child])
    answer = _call(above, headers={"X-Request-ID": "r"}).ok_value
    assert json.loads(answer.body)["calls"] == 2
    assert _events(group, "stock").count(("end", "answered")) == 2
    late = _call(above, headers={"grpc-timeout": "1u"}).ok_value
    assert late.status == 502
    assert "No time left" in json.loads(late.body)["detail"]


def test_calls_of_one_run_have_different_ids(group):
    """Two calls to one service are counted as a call and its retry."""
    children = [{"service": "stock", "path": path} for path in ("/c", "/d")]
    _, below = _start(group, "stock", mean_ms=1)
    _, above = _start(
        group, "order", mean_ms=1, egress=below, children=children
    )
    assert _call(above, headers={"X-Request-ID": "r"}).ok_value.status == 200
    rows = list(records.read_records(group.directory / "stock.jsonl"))
    assert len({r["id"] for r in rows if r["event"] == "start"}) == 2


def test_direct_children_are_retried_naively(group):
    """The uncontrolled baseline retries less often than it is said to."""
    child = {"service": "stock", "path": "/c"}
    _, below = _start(group, "stock", mean_ms=0, queue_limit=0)
    _call(below, "POST", "/standin/faults", body=b'{"shed": 1.0}')
    _, above = _start(
        group,
        "order",
        mean_ms=0,
        direct={"stock": ["127.0.0.1:1", below, below]},
        children=[child],
    )
    answer = _call(above).ok_value
    assert answer.status == 502
    assert json.loads(answer.body)["child_outcome"] == "not-run"
    assert _events(group, "order")[-1] == ("end", "failed")


def _send(address):
    """Sends a request and returns its connection once it runs."""
    host, port = address.split(":")
    connection = socket.create_connection((host, int(port)), WAIT_S)
    connection.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    return connection


def test_disconnect_cancels_the_run(group):
    """Cancelled work keeps its slot and is counted as answered."""
    _, address = _start(group, "stock", mean_ms=60_000, slots=1)
    with _send(address):
        _wait_for(lambda: ("start", "") in _events(group, "stock"))
    _wait_for(lambda: ("end", "cancelled") in _events(group, "stock"))
    assert _load(address)["in_use"] == 0


def test_drain_finishes_what_is_in_progress(group):
    """A stop interrupts a request in progress."""
    process, address = _start(group, "stock", mean_ms=700, sigma=0)
    with _send(address) as connection:
        _wait_for(lambda: ("start", "") in _events(group, "stock"))
        process.begin_stop()
        assert connection.recv(1_000).startswith(b"HTTP/1.1 200")
    _wait_for(lambda: process.exit_status == 0)
    assert _events(group, "stock")[-1] == ("end", "answered")


def test_load_reports_show_the_set_fault(group):
    """A fault of the load report is not shown, so that tests pass idly."""
    _, address = _start(group, "stock", slots=7)
    honest = _load(address)
    assert (honest["slots"], honest["state"]) == (7, "serving")
    lie = b'{"report": "lie", "reported_slots": 99, "draining": true}'
    assert _call(address, "POST", "/standin/faults", body=lie).ok_value
    report = _load(address)
    assert (report["slots"], report["state"]) == (99, "draining")
    assert report["start_id"] == honest["start_id"]
    wrong = _call(address, "POST", "/standin/faults", body=b'{"shed": 2}')
    assert wrong.ok_value.status == 422


def test_stale_report_is_frozen_and_silent_one_is_missing(group):
    """A report that should be old is fresh, so that distrust is untested."""
    _, address = _start(group, "stock", mean_ms=60_000, slots=1)
    stale = b'{"report": "stale"}'
    _call(address, "POST", "/standin/faults", body=stale)
    assert _load(address)["in_use"] == 0
    with _send(address):
        _wait_for(lambda: ("start", "") in _events(group, "stock"))
        answer = _call(address, target="/load").ok_value
        assert json.loads(answer.body)["in_use"] == 0
        assert "age" in answer.headers
        silent = b'{"report": "silent"}'
        _call(address, "POST", "/standin/faults", body=silent)
        assert _call(address, target="/load", timeout_s=0.2).is_err()


def test_full_queue_sheds_as_not_run(group):
    """A limited upstream queues without limit like the baseline."""
    _, address = _start(group, "stock", mean_ms=60_000, slots=1, queue_limit=0)
    with _send(address):
        _wait_for(lambda: ("start", "") in _events(group, "stock"))
        answer = _call(address).ok_value
    assert answer.status == 503
    assert answer.headers["medlardoor-outcome"] == "not-run"


def test_crash_leaves_the_start_on_record(group):
    """A run that crashed its upstream is missing from the record."""
    process, address = _start(group, "stock")
    fault = b'{"crash_on": "poison"}'
    _call(address, "POST", "/standin/faults", body=fault)
    outcome = _call(address, "POST", "/x", body=b"a" * 100_000 + b"poison")
    assert outcome.is_err()
    assert outcome.err_value.sent
    _wait_for(lambda: process.exit_status is not None)
    assert _events(group, "stock")[-1] == ("start", "")
