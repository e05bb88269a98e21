"""A node process with its upstream and platform, for tests."""

import contextlib
import http.client
import json
import pathlib
import socket
import time
import typing

from medlardoor.standins import processes

__all__ = ["CLUSTER_KEY", "System", "raw_exchange", "unharmed", "wait_for"]

STANDINS = ["-m", "medlardoor.cli.standins"]
NODE = ["-m", "medlardoor.cli.node"]
CLUSTER_KEY = "key-of-the-tests-of-the-node-process"
WAIT_S = 10.0
POLL_S = 0.02
READ_BYTES = 65_536
# Limit of memory growth during one test of bad input, with a margin for freed
# memory that the allocator keeps.
MAX_GROWTH_BYTES = 48_000_000


def _kind(method, prefix, idempotent, importance):
    return {
        "class": importance,
        "service": "order",
        "match": {"method": method, "path_prefix": prefix},
        "idempotent": idempotent,
        "max_wait_ms": 8_000,
        "timeout_ms": 20_000,
    }


DOCUMENT = {
    "environment": "test",
    "importance_classes": ["orders", "stock"],
    "services": {"order": {"slots": 64, "max_queue": 100, "ramp_s": 1}},
    "teams": {
        "sales": {
            "contact": "sales@example.com",
            "kinds": {
                "build_order": _kind("POST", "/orders", False, "orders"),
                "upload": _kind("PUT", "/uploads", True, "orders"),
                "stock_check": _kind("GET", "/", True, "stock"),
            },
        }
    },
}


def wait_for(condition: typing.Callable[[], typing.Any]) -> typing.Any:
    """Waits until a condition holds; returns its value."""
    deadline = time.monotonic() + WAIT_S
    while True:
        value = condition()
        if value:
            return value
        assert time.monotonic() < deadline, condition
        time.sleep(POLL_S)


def raw_exchange(port: int, data: bytes, timeout_s: float = 5.0) -> bytes:
    """Sends bytes on a new connection and reads until it is closed.

    The test fails if the connection stays open for `timeout_s` without data.
    """
    received = b""
    with socket.create_connection(("127.0.0.1", port), timeout_s) as sock:
        try:
            sock.sendall(data)
            while chunk := sock.recv(READ_BYTES):
                received += chunk
        except (ConnectionResetError, BrokenPipeError):
            return received
    return received


class System(contextlib.AbstractContextManager):
    """A platform, an upstream stand-in and a node.

    Args:
        directory: Directory of settings and logs.
        upstream: Settings that override those of the upstream stand-in.
        upstream_port: Port of an upstream that the test runs itself.
        node: Settings that override those of the node.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        upstream: dict | None = None,
        upstream_port: int = 0,
        **node: typing.Any,
    ):
        self.group = processes.ProcessGroup(directory)
        self.upstream = None
        self.upstream_port = upstream_port
        try:
            self._start(upstream or {}, node)
        except BaseException:
            self.group.stop_all()
            raise

    def __exit__(self, *exception: object) -> None:
        self.group.stop_all()

    @property
    def log(self) -> str:
        """Log of the node so far."""
        return (self.group.directory / "node.log").read_text()

    @property
    def resident_bytes(self) -> int:
        """Resident memory of the node, in bytes."""
        path = pathlib.Path(f"/proc/{self.node.process_id}/status")
        for line in path.read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1_024
        raise AssertionError("no VmRSS")

    def request(
        self,
        method: str = "GET",
        target: str = "/stock",
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        port: int = 0,
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends a request to the caller listener on a new connection."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", port or self.ports["caller_port"], timeout=WAIT_S
        )
        with contextlib.closing(connection):
            connection.request(method, target, body, headers or {})
            answer = connection.getresponse()
            names = {k.lower(): v for k, v in answer.getheaders()}
            return answer.status, names, answer.read()

    def is_serving(self) -> bool:
        """Whether a valid request gets status 200."""
        return self.request()[0] == 200

    def issue_key(self) -> str:
        """Requests a new idempotency key."""
        return json.loads(self.request("POST", "/.medlardoor/keys", b"")[2])[
            "keys"
        ][0]

    def _start(self, upstream, node):
        platform = self.group.start(
            "platform", [*STANDINS, "platform", "--port", "0"]
        )
        if not self.upstream_port:
            self.upstream = self.group.start_with_settings(
                "upstream",
                [*STANDINS, "upstream"],
                {
                    "service": "order",
                    "mean_ms": 1,
                    "drain_grace_s": 0.2,
                    "record": str(self.group.directory / "upstream.jsonl"),
                }
                | upstream,
            )
            event = self.upstream.wait_listening()
            self.upstream_port = event["port"]
        store_port = platform.wait_listening()["port"]
        value = {"enforced": json.dumps(DOCUMENT), "trial": None}
        answer = self.request(
            "PUT",
            "/v1/objects/documents/test",
            json.dumps({"author": "test", "note": "", **value}).encode(),
            {"If-None-Match": "*"},
            store_port,
        )
        assert answer[0] == 200, answer
        self.node = self.group.start_with_settings(
            "node",
            NODE,
            {
                "environment": "test",
                "service": "order",
                "instance": "order-1",
                "failure_domain": "a",
                "cluster_key": CLUSTER_KEY,
                "upstream": {"port": self.upstream_port},
                "store": {"url": f"http://127.0.0.1:{store_port}"},
                "forward_s": 0.2,
                "drain_timeout_s": 8.0,
            }
            | node,
        )
        self.ports = self.node.wait_listening()
        wait_for(self.is_serving)


@contextlib.contextmanager
def unharmed(system: System) -> typing.Iterator[None]:
    """Checks afterwards that the node serves and its memory has not grown."""
    before = system.resident_bytes
    yield
    assert system.node.exit_status is None, system.log[-2_000:]
    assert system.is_serving()
    assert system.resident_bytes - before < MAX_GROWTH_BYTES
    assert "request_failed" not in system.log
    assert "Traceback" not in system.log
