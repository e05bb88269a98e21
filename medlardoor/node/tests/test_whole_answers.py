"""Tests of complete responses and uploads on processes (G3)."""

import concurrent.futures
import hashlib
import http.client
import json
import random
import socket
import threading

import pytest

from medlardoor.node.tests import scripted
from medlardoor.node.tests import system as system_module

LARGE = random.Random(3).randbytes(6_000_000)
CHUNK = 100_000
UPLOAD_BYTES = 64_000_000
MAX_GROWTH_BYTES = 16_000_000
WAIT_S = 20.0


class _Script:
    """Script of the upstream, by request target."""

    def __init__(self):
        self.received = threading.Event()
        self.release = threading.Event()

    def __call__(self, request):
        path, _, value = request.target.partition("?")
        if path == "/large":
            request.answer(LARGE)
        elif path == "/chunked":
            self._write_chunks(request, len(LARGE), whole=True)
        elif path == "/cut-length":
            request.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE)
            )
            request.write(LARGE[: int(value)])
            return True
        elif path == "/cut-chunked":
            self._write_chunks(request, int(value), whole=False)
            return True
        elif path == "/cut-head":
            request.write(b"HTTP/1.1 200 OK\r\nContent-Le")
            return True
        elif path == "/held":
            self.received.set()
            self.release.wait(WAIT_S)
            request.answer(b"answer of another caller " + value.encode())
        elif path.startswith("/uploads"):
            text = [request.body_bytes, request.body_digest]
            request.answer(json.dumps(text).encode())
        else:
            request.answer(request.target.encode())
        return False

    def _write_chunks(self, request, size, whole):
        request.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for start in range(0, size, CHUNK):
            part = LARGE[start : start + CHUNK]
            request.write(b"%x\r\n%s\r\n" % (len(part), part))
        if whole:
            request.write(b"0\r\n\r\n")


@pytest.fixture(scope="module")
def script():
    return _Script()


@pytest.fixture(scope="module")
def system(tmp_path_factory, script):
    directory = tmp_path_factory.mktemp("whole")
    with (
        scripted.ScriptedUpstream(script) as upstream,
        system_module.System(directory, upstream_port=upstream.port) as started,
    ):
        yield started


@pytest.mark.parametrize("target", ["/large", "/chunked"])
def test_large_answer_is_whole(system, target):
    """A response larger than the buffers must arrive complete."""
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        answers = [pool.submit(system.request, "GET", target) for _ in range(4)]
        for answer in answers:
            status, _, body = answer.result(WAIT_S)
            assert status == 200
            assert body == LARGE


@pytest.mark.parametrize("size", [1, 70_000, len(LARGE) - 1])
def test_cut_answer_is_seen_as_cut(system, size):
    """A response that the upstream truncated must not look complete."""
    for target in (f"/cut-length?{size}", f"/cut-chunked?{size}"):
        with pytest.raises((http.client.IncompleteRead, ConnectionError)):
            system.request("GET", target)
    assert system.is_serving()


def test_cut_head_is_a_typed_failure(system):
    """A response with a truncated head must fail with a typed error."""
    status, headers, _ = system.request("GET", "/cut-head")
    assert status == 502
    assert headers["medlardoor-outcome"] == "unknown"


def _upload(system, framing, part, count):
    connection = socket.create_connection(
        ("127.0.0.1", system.ports["caller_port"]), WAIT_S
    )
    head = b"PUT /uploads/1 HTTP/1.1\r\nHost: order\r\nConnection: close\r\n"
    grown = 0
    before = system.resident_bytes
    with connection:
        if framing == "length":
            length = len(part) * count
            connection.sendall(head + b"Content-Length: %d\r\n\r\n" % length)
        else:
            connection.sendall(head + b"Transfer-Encoding: chunked\r\n\r\n")
        for _ in range(count):
            if framing == "chunked":
                connection.sendall(b"%x\r\n" % len(part))
            connection.sendall(part)
            if framing == "chunked":
                connection.sendall(b"\r\n")
            grown = max(grown, system.resident_bytes - before)
        if framing == "chunked":
            connection.sendall(b"0\r\n\r\n")
        answer = b""
        while chunk := connection.recv(65_536):
            answer += chunk
    return grown, answer


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_upload_is_streamed(system, framing):
    """A large upload must be streamed and arrive complete."""
    part = LARGE[:1_000_000]
    count = UPLOAD_BYTES // len(part)
    grown, answer = _upload(system, framing, part, count)
    digest = hashlib.sha256()
    for _ in range(count):
        digest.update(part)
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 "), answer[:500]
    if b"chunked" in head.lower():
        body = body.partition(b"\r\n")[2].partition(b"\r\n")[0]
    assert json.loads(body) == [UPLOAD_BYTES, digest.hexdigest()]
    assert grown < MAX_GROWTH_BYTES


def test_cancelled_exchange_leaves_no_answer_behind(system, script):
    """A caller must not get the response to a disconnected caller."""
    address = ("127.0.0.1", system.ports["caller_port"])
    leavers = []
    for number in range(5):
        leaver = socket.create_connection(address, WAIT_S)
        leaver.sendall(b"GET /held?%d HTTP/1.1\r\nHost: order\r\n\r\n" % number)
        leavers.append(leaver)
    assert script.received.wait(WAIT_S)
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        first = [pool.submit(_echo, system, n) for n in range(20)]
        for leaver in leavers:
            leaver.close()
        script.release.set()
        later = [pool.submit(_echo, system, n) for n in range(20, 120)]
        for number, answer in enumerate(first + later):
            assert answer.result(WAIT_S) == f"/echo?{number}".encode()


def _echo(system, number):
    return system.request("GET", f"/echo?{number}")[2]
