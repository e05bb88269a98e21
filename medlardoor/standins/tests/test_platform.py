"""Tests of the platform stand-in together with the HTTP client."""

import contextlib
import json
import socket
import subprocess
import sys

import anyio
import httpcore
import pytest

from medlardoor import errors
from medlardoor.config import settings
from medlardoor.store import client, http

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture(scope="module")
def url():
    process = subprocess.Popen(
        [sys.executable, "-m", "medlardoor.cli.standins", "platform"],
        stdout=subprocess.PIPE,
    )
    try:
        line = json.loads(process.stdout.readline())
        yield f"http://{line['host']}:{line['port']}"
    finally:
        process.terminate()
        process.wait(timeout=10)
        process.stdout.close()


@contextlib.asynccontextmanager
async def _store(url, timeout_s=5.0):
    store = http.HttpObjectStore(
        settings.StoreSettings(url=url, timeout_s=timeout_s)
    )
    try:
        yield store
    finally:
        await _inject(url, "up")
        await store.aclose()


async def _inject(url, mode, delay_ms=0):
    body = json.dumps({"mode": mode, "delay_ms": delay_ms}).encode()
    async with httpcore.AsyncConnectionPool() as pool:
        answer = await pool.request(
            "POST", f"{url}/standin/faults", content=body
        )
    assert answer.status == 200


async def test_objects_round_trip(url):
    """Client and stand-in disagree about versions, limits or conflicts."""
    value = bytes(range(256)) * (client.MAX_VALUE_BYTES // 256)
    async with _store(url) as store:
        assert (await store.read("documents/none")).unwrap() is None
        version = (await store.update("a/b c", value, 0)).unwrap()
        found = (await store.read("a/b c")).unwrap()
        assert (found.value, found.version) == (value, version)
        again = await store.update("a/b c", b"x", 0)
        assert isinstance(again.err_value, errors.StoreConflict)
        assert (await store.update("a/b c", b"x", version)).unwrap() > version
        assert [o.value for o in (await store.list("a/")).unwrap()] == [b"x"]
        too_long = await store.update("big", value + bytes(256), 0)
        assert too_long.is_err()
        assert (await store.read("big")).unwrap() is None


async def test_watch_waits_for_the_next_version(url):
    """A watch misses a change, or returns the version already known."""
    answers = []
    async with _store(url) as store:
        first = (await store.update("watched", b"1", 0)).unwrap()
        assert (await store.watch("watched", first, 0.05)).unwrap() is None

        async def watch():
            answers.append(await store.watch("watched", first, 30.0))

        with anyio.fail_after(10):
            async with anyio.create_task_group() as group:
                group.start_soon(watch)
                await store.update("watched", b"2", first)
    assert answers[0].unwrap().value == b"2"


async def test_outage_breaks_calls_and_waiting_watches(url):
    """An outage leaves watches waiting or raises in the client."""
    answers = []
    async with _store(url) as store:

        async def watch():
            answers.append(await store.watch("never", 0, 30.0))

        with anyio.fail_after(10):
            async with anyio.create_task_group() as group:
                group.start_soon(watch)
                await _inject(url, "down")
        reading = await store.read("a")
        assert isinstance(reading.err_value, errors.StoreUnavailable)
        assert isinstance(answers[0].err_value, errors.StoreUnavailable)
        await _inject(url, "up")
        assert (await store.read("a")).is_ok()


async def test_lost_answer_and_slow_platform(url):
    """A lost answer hides a change, or a slow platform blocks a caller."""
    async with _store(url, timeout_s=0.2) as store:
        await _inject(url, "lose_answers")
        lost = await store.update("lost", b"1", 0)
        assert isinstance(lost.err_value, errors.StoreUnavailable)
        assert (await store.read("lost")).unwrap().value == b"1"
        await _inject(url, "slow", 2_000)
        slow = await store.read("lost")
        assert isinstance(slow.err_value, errors.StoreUnavailable)


async def test_counters_count_every_call(url):
    """Calls of the platform are not counted, so budgets cannot be checked."""
    async with _store(url) as store, httpcore.AsyncConnectionPool() as pool:
        counts = []
        for _ in range(2):
            answer = await pool.request("GET", f"{url}/standin/counters")
            counts.append(json.loads(answer.content))
            await store.read("a")
            await store.watch("a", 0, 0.01)
        assert counts[1]["total"] - counts[0]["total"] == 2
        assert counts[1]["watches"] - counts[0]["watches"] == 1


async def test_unreachable_platform_is_a_failure_not_an_exception():
    """A refused connection ends the task that made the call."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        url = f"http://127.0.0.1:{unused.getsockname()[1]}"
        store = http.HttpObjectStore(settings.StoreSettings(url=url))
        answers = [
            await store.read("a"),
            await store.update("a", b"1", 0),
            await store.watch("a", 0, 1.0),
            await store.list("a"),
        ]
        await store.aclose()
    for answer in answers:
        assert isinstance(answer.err_value, errors.StoreUnavailable)
