"""Tests of planned stops of node and upstream processes (G7)."""

import concurrent.futures
import contextlib
import json
import socket

import pytest

from medlardoor.node.tests import system as system_module
from medlardoor.standins import records

# More than the prefix that a node reads before it dispatches a request.
PART = b"x" * 100_000
UPLOAD_PARTS = 6
ORDERS = 5
END_TIMEOUT_S = 10.0


class _Upload:
    """An upload in progress on a separate connection."""

    def __init__(self, port):
        self._socket = socket.create_connection(("127.0.0.1", port), 10)
        length = UPLOAD_PARTS * len(PART)
        self._socket.sendall(
            b"PUT /uploads HTTP/1.1\r\nHost: order\r\n"
            b"Content-Length: %d\r\n\r\n" % length
        )
        self._socket.sendall(PART)

    def finish(self):
        """Sends the rest of the body; returns the response."""
        for _ in range(UPLOAD_PARTS - 1):
            self._socket.sendall(PART)
        answer = b""
        while chunk := self._socket.recv(65_536):
            answer += chunk
        self._socket.close()
        return answer


def _open_idle(port):
    sock = socket.create_connection(("127.0.0.1", port), 10)
    sock.sendall(b"GET /stock HTTP/1.1\r\nHost: order\r\n\r\n")
    answer = b""
    while b'"padding": ""}' not in answer:
        answer += sock.recv(65_536)
    return sock


def _read_to_end(sock):
    with contextlib.suppress(ConnectionResetError):
        while sock.recv(65_536):
            pass
    sock.close()


def _status(system):
    answer = system.request(
        target="/v1/status", port=system.ports["admin_port"]
    )
    return json.loads(answer[2])


def _all_arrived(system, orders):
    """Whether the node has all orders and the upload, some in its queue."""
    ended = sum(order.done() for order in orders)
    status = _status(system)
    present = status["in_flight"] + status["queued"]
    return status["queued"] > 0 and present + ended > ORDERS


def _ended(process):
    return lambda: process.exit_status is not None


def _is_closed(port):
    with socket.socket() as sock:
        return sock.connect_ex(("127.0.0.1", port)) != 0


@pytest.mark.parametrize(
    ("stopped", "signals"), [("node", 2), ("upstream", 1), ("both", 2)]
)
def test_planned_stop_cuts_nothing(tmp_path, stopped, signals):
    """A planned stop must not truncate an upload or lose a queued request."""
    with (
        system_module.System(
            tmp_path,
            # One slow request at a time, so that others queue in the node.
            upstream={"slots": 2, "mean_ms": 300, "sigma": 0},
            admission={"min_limit": 1},
        ) as system,
        concurrent.futures.ThreadPoolExecutor(8) as pool,
    ):
        port = system.ports["caller_port"]
        idle = _open_idle(port)
        upload = _Upload(port)
        system_module.wait_for(lambda: _status(system)["in_flight"] > 0)
        keys = [system.issue_key() for _ in range(ORDERS)]
        orders = [
            pool.submit(
                system.request,
                "POST",
                "/orders",
                b"{}",
                {"Idempotency-Key": key},
            )
            for key in keys
        ]
        system_module.wait_for(lambda: _all_arrived(system, orders))
        targets = {
            "node": [system.node],
            "upstream": [system.upstream],
            "both": [system.node, system.upstream],
        }[stopped]
        for _ in range(signals):
            for process in targets:
                process.begin_stop()
        for order in orders:
            status, headers, body = order.result(END_TIMEOUT_S)
            refused = headers["medlardoor-outcome"] == "not-run"
            # If the upstream stops, the node cannot run its queued requests
            # and refuses them.
            assert status == 200 or (stopped != "node" and refused), body
        if stopped == "upstream":
            system.node.begin_stop()
        # All orders have ended, so the stop has begun.
        head, _, body = upload.finish().partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        assert b"connection: close" in head.lower()
        assert json.loads(body)["body_sha256"]
        _read_to_end(idle)
        for process in (system.node, *targets):
            system_module.wait_for(_ended(process))
            assert process.exit_status == 0
        for name, listener in system.ports.items():
            if name.endswith("_port") and name != "gossip_port":
                assert _is_closed(listener), name
        ends = [
            row["end"]
            for row in records.read_records(tmp_path / "upstream.jsonl")
            if row["event"] == "end"
        ]
        assert set(ends) == {"answered"}
