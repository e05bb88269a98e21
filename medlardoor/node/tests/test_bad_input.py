"""Tests of invalid input on the listeners of a node process."""

import concurrent.futures
import contextlib
import json
import pathlib
import random
import socket
import time

import pytest

from medlardoor.node.tests import system as system_module

HTTP_PORTS = ("caller_port", "peer_port", "egress_port", "admin_port")
HEAD_TIMEOUT_S = 0.6
IDLE_TIMEOUT_S = 0.8
MAX_CONNECTIONS = 200


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    with system_module.System(
        tmp_path_factory.mktemp("bad-input"),
        listeners={
            "max_connections": MAX_CONNECTIONS,
            "head_timeout_s": HEAD_TIMEOUT_S,
            "idle_timeout_s": IDLE_TIMEOUT_S,
        },
    ) as started:
        yield started


@pytest.fixture(autouse=True)
def unharmed(system):
    """Checks after each test that the node serves and has not grown."""
    with system_module.unharmed(system):
        yield


def _assert_typed(answer, *statuses):
    """Checks for a problem document or a connection closed without data."""
    if not answer:
        return
    head, _, body = answer.partition(b"\r\n\r\n")
    status = int(head.split(b" ", 2)[1])
    assert status in statuses, answer[:500]
    assert b"application/problem+json" in head.lower()
    problem = json.loads(body)
    assert problem["status"] == status
    if b"medlardoor-outcome" in head.lower():
        assert problem["outcome"] in ("not-run", "unknown")


MALFORMED = {
    "wrong protocol TLS": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" * 9,
    "wrong protocol HTTP/2": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "wrong protocol SSH": b"SSH-2.0-OpenSSH_9.2\r\n",
    "no version": b"GET /\r\n\r\n",
    "no host": b"GET / HTTP/1.1\r\n\r\n",
    "two hosts": b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    "unknown method": b"FETCH / HTTP/1.1\r\n\r\n",
    "bad header": b"GET / HTTP/1.1\r\nno colon here\r\n\r\n",
    "control character": b"GET / HTTP/1.1\r\nA: b\x00c\r\n\r\n",
    "target not ASCII": b"GET /\xff\xfe HTTP/1.1\r\nHost: a\r\n\r\n",
    "absolute nonsense": b"GET http://[::1 HTTP/1.1\r\nHost: a\r\n\r\n",
    "two lengths": (
        b"PUT /uploads HTTP/1.1\r\nContent-Length: 1\r\n"
        b"Content-Length: 2\r\n\r\nab"
    ),
    "length and chunks": (
        b"PUT /uploads HTTP/1.1\r\nContent-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    ),
    "negative length": b"PUT /uploads HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    "huge length": (
        b"PUT /uploads HTTP/1.1\r\nContent-Length: " + b"9" * 40 + b"\r\n\r\n"
    ),
}


@pytest.mark.parametrize("port", HTTP_PORTS)
@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_request_is_refused(system, port, name):
    """A request that is not valid HTTP/1.1 must not hang or raise."""
    answer = system_module.raw_exchange(system.ports[port], MALFORMED[name])
    _assert_typed(answer, 400)


@pytest.mark.parametrize("port", HTTP_PORTS)
def test_malformed_chunk_is_refused(system, port):
    """A request with invalid chunk framing must not wait for more data."""
    data = (
        b"PUT /uploads HTTP/1.1\r\nHost: order\r\n"
        b"Transfer-Encoding: chunked\r\n\r\nnot hexadecimal\r\n"
    )
    answer = system_module.raw_exchange(system.ports[port], data)
    _assert_typed(answer, 400, 401, 404)


@pytest.mark.parametrize("port", HTTP_PORTS)
def test_binary_noise_is_refused(system, port):
    """Random bytes must not end the process or leave connections open."""
    generator = random.Random(port)
    for size in (1, 7, 100, 5_000, 40_000):
        noise = generator.randbytes(size)
        answer = system_module.raw_exchange(system.ports[port], noise)
        _assert_typed(answer, 400, 408, 431)


@pytest.mark.parametrize("port", HTTP_PORTS)
@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\nA: " + b"x" * 8_000_000,
        b"GET /" + b"x" * 8_000_000,
        b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 1_000_000,
        b"GET / HTTP/1.1\r\nA: " + b"x" * 33_000 + b"\r\n\r\n",
        b"\r\n" * 4_000_000,
    ],
    ids=["endless header", "endless target", "headers", "one read", "empty"],
)
def test_oversized_head_is_refused(system, port, data):
    """An endless request head must not fill the memory of the node."""
    answer = system_module.raw_exchange(system.ports[port], data)
    _assert_typed(answer, 431)


def test_oversized_head_gets_its_own_status(system):
    """An oversized request head must get status 431."""
    data = b"GET / HTTP/1.1\r\nA: " + b"x" * 33_000
    answer = system_module.raw_exchange(system.ports["caller_port"], data)
    assert answer.startswith(b"HTTP/1.1 431 ")
    assert b"not-run" in answer


def test_body_does_not_count_as_head(system):
    """A body that arrives with its head must not count as head bytes."""
    for size in (40_000, 300_000):
        head = b"PUT /uploads HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        head += b"Content-Length: %d\r\n\r\n" % size
        answer = system_module.raw_exchange(
            system.ports["caller_port"], head + b"x" * size
        )
        assert answer.startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize("extra", [b"1;" + b"e" * 99_000, b"0\r\nA: b\r\n"])
def test_endless_framing_is_refused(system, extra):
    """Endless chunk extensions or trailers must be refused."""
    data = (
        b"PUT /uploads HTTP/1.1\r\nHost: order\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    trailers = extra + b"A: b\r\n" * 100_000
    answer = system_module.raw_exchange(
        system.ports["caller_port"], data + trailers
    )
    _assert_typed(answer, 400, 431)


def test_pipelined_requests_are_bounded(system):
    """A connection must not queue thousands of pipelined requests."""
    request = b"GET /stock HTTP/1.1\r\nHost: a\r\n"
    data = (request + b"\r\n") * 2_000 + request + b"Connection: close\r\n\r\n"
    answer = system_module.raw_exchange(system.ports["caller_port"], data)
    assert answer.count(b"HTTP/1.1 200 ") < 100


def test_error_is_not_part_of_another_answer(system):
    """An error response must not become part of the previous response."""
    good = b"GET /stock?size=2000000 HTTP/1.1\r\nHost: a\r\n\r\n"
    answer = system_module.raw_exchange(
        system.ports["caller_port"], good + b"NONSENSE\r\n\r\n"
    )
    assert b"is not valid" not in answer
    head, _, body = answer.partition(b"\r\n\r\n")
    if body:
        # The response may be truncated, but its padding must contain no other
        # bytes.
        assert b'"padding": "' in body
        rest = body.partition(b'"padding": "')[2].strip(b'"}')
        assert rest.strip(b"x") == b""


@pytest.mark.parametrize("port", HTTP_PORTS)
@pytest.mark.parametrize(
    "data", [b"", b"GET / HT", b"GET / HTTP/1.1\r\nHost: a\r\n"]
)
def test_slow_head_is_closed(system, port, data):
    """Connections that never send a complete head must be closed."""
    began_at = time.monotonic()
    answer = system_module.raw_exchange(system.ports[port], data)
    assert time.monotonic() - began_at < 4 * HEAD_TIMEOUT_S
    _assert_typed(answer, 408)


def test_dripping_head_is_closed(system):
    """Single bytes at intervals must not keep a request head open."""
    address = ("127.0.0.1", system.ports["caller_port"])
    deadline = time.monotonic() + 6 * HEAD_TIMEOUT_S
    with socket.create_connection(address, 5) as sock:
        sock.settimeout(HEAD_TIMEOUT_S / 6)
        sock.sendall(b"GET / HTTP/1.1\r\nA: ")
        while time.monotonic() < deadline:
            with contextlib.suppress(TimeoutError):
                if not sock.recv(1):
                    return
                break
            sock.sendall(b"x")
        else:
            pytest.fail("the head stayed open")


@pytest.mark.parametrize("port", ["caller_port", "peer_port", "admin_port"])
def test_stopped_body_ends_its_request(system, port):
    """A stalled body must end its request before the deadline."""
    data = b"PUT /uploads HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nabc"
    began_at = time.monotonic()
    answer = system_module.raw_exchange(system.ports[port], data)
    assert time.monotonic() - began_at < 5 * IDLE_TIMEOUT_S
    _assert_typed(answer, 400, 401, 404, 408)


def test_unread_answer_is_dropped(system):
    """A caller that does not read its response must be disconnected."""
    address = ("127.0.0.1", system.ports["caller_port"])
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.connect(address)
        sock.sendall(b"GET /stock?size=20000000 HTTP/1.1\r\nHost: a\r\n\r\n")

        def is_dropped():
            # Connections of other tests may use the same local port number to
            # another listener, so both ports are compared.
            node, own = f":{address[1]:04X}", f":{sock.getsockname()[1]:04X}"
            rows = pathlib.Path("/proc/net/tcp").read_text().splitlines()
            ends = [row.split()[1:3] for row in rows[1:]]
            return not any(
                local.endswith(node) and remote.endswith(own)
                for local, remote in ends
            )

        system_module.wait_for(is_dropped)


def test_connections_are_limited(system):
    """Idle connections must not exhaust the node."""
    address = ("127.0.0.1", system.ports["peer_port"])
    closed = 0
    with contextlib.ExitStack() as stack:
        opened = [
            stack.enter_context(socket.create_connection(address, 5))
            for _ in range(MAX_CONNECTIONS + 50)
        ]
        assert system.is_serving()
        for sock in opened[MAX_CONNECTIONS:]:
            sock.settimeout(5)
            with contextlib.suppress(ConnectionResetError):
                assert sock.recv(1) == b""
            closed += 1
    assert closed == 50
    system_module.wait_for(
        lambda: system_module.raw_exchange(
            system.ports["peer_port"],
            b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
        )
    )


def test_innocent_requests_survive_bad_neighbours(system):
    """Invalid input on some connections must not affect others."""
    bad = [
        b"GET / HTTP/1.1\r\nA: " + b"x" * 200_000,
        b"\x00" * 1_000,
        b"PUT /uploads HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc",
        b"GET / HT",
    ]
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        noise = [
            pool.submit(
                system_module.raw_exchange, system.ports[port], bad[i % 4]
            )
            for i in range(24)
            for port in HTTP_PORTS[:2]
        ]
        answers = [pool.submit(system.request) for _ in range(100)]
        for answer in answers:
            assert answer.result(30)[0] == 200
        for each in noise:
            each.result(30)
