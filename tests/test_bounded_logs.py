"""Tests that logs under load are limited and never block the process."""

import os
import time

import anyio
import logbook

from medlardoor import logs

LINES = 20_000


def test_slow_reader_loses_lines_and_delays_nothing():
    """A full pipe must not block the process that writes to it."""
    reader, writer = os.pipe()
    try:
        stream = logs.BoundedStream(writer, max_bytes=100_000)
        begun = time.monotonic()
        for number in range(LINES):
            stream.write(f"line {number} " + "x" * 100 + "\n")
        assert time.monotonic() - begun < 5.0
        assert stream.dropped > LINES / 2
        # The pipe must contain only whole lines.
        os.set_blocking(reader, False)
        received = b""
        while True:
            try:
                received += os.read(reader, 65_536)
            except BlockingIOError:
                break
        for line in received.split(b"\n")[:-1]:
            assert line.startswith(b"line ")
    finally:
        os.close(reader)
        os.close(writer)


def test_reader_that_has_gone_does_not_end_the_process():
    """A closed pipe must not end the process that writes to it."""
    reader, writer = os.pipe()
    os.close(reader)
    try:
        stream = logs.BoundedStream(writer)
        for _ in range(100):
            stream.write("line\n")
    finally:
        os.close(writer)


def test_flood_of_request_lines_is_limited():
    """An overload must not write one line for each refused request."""
    handler = logbook.TestHandler()

    async def flood():
        for number in range(LINES):
            logs.log_request(
                logbook.Logger("flood"),
                logbook.INFO,
                "flood_of_refusals",
                request_id=str(number),
            )

    begun = time.monotonic()
    with handler.applicationbound():
        anyio.run(flood)
    elapsed_s = time.monotonic() - begun
    windows = elapsed_s / logs.REQUEST_WINDOW_S + 2
    assert 0 < len(handler.records) <= logs.MAX_REQUEST_REPEATS * windows


def test_line_of_a_signal_handler_within_a_write_is_whole(monkeypatch):
    """A line that a signal handler writes during a write breaks the log."""
    written = []
    monkeypatch.setattr(os, "set_blocking", lambda *_: None)
    stream = logs.BoundedStream(1)

    def write(_descriptor, data):
        written.append(bytes(data[:4]))
        size = len(written[-1])
        if len(written) == 1:
            stream.write("alarm\n")
        return size

    monkeypatch.setattr(os, "write", write)
    stream.write("first line\n")
    assert b"".join(written) == b"first line\nalarm\n"


def test_write_of_no_bytes_ends_a_flush(monkeypatch):
    """A descriptor that takes nothing and reports no error stops a node."""
    calls = []
    monkeypatch.setattr(os, "set_blocking", lambda *_: None)
    stream = logs.BoundedStream(1)

    def write(_descriptor, _data):
        calls.append(1)
        assert len(calls) < 100
        return 0

    monkeypatch.setattr(os, "write", write)
    stream.write("line\n")
    assert len(calls) == 1
