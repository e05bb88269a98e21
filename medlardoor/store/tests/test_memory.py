"""Tests of the in-memory object store client."""

import anyio
import pytest

from medlardoor import errors
from medlardoor.store import client, memory

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "trio"


async def test_update_is_conditional():
    """An update with an outdated version does not overwrite a newer value."""
    store = memory.MemoryObjectStore()
    first = (await store.update("a", b"1", 0)).unwrap()
    assert (await store.update("a", b"2", 0)).is_err()
    second = (await store.update("a", b"2", first)).unwrap()
    assert second > first
    assert (await store.read("a")).unwrap().value == b"2"


async def test_lost_answer_applies_the_change():
    """An update whose response is lost still takes effect."""
    store = memory.MemoryObjectStore()
    store.inject(memory.FaultMode.LOSE_ANSWERS)
    answer = await store.update("a", b"1", 0)
    assert isinstance(answer.err_value, errors.StoreUnavailable)
    assert (await store.read("a")).unwrap().value == b"1"


async def test_value_above_limit_is_refused():
    """A value above the size limit is refused without a call."""
    store = memory.MemoryObjectStore()
    value = bytes(client.MAX_VALUE_BYTES + 1)
    assert (await store.update("a", value, 0)).is_err()
    assert store.calls.total == 0


async def test_watch_wakes_on_change_and_on_outage():
    """A waiting watch ends when the object changes or the store goes down."""
    store = memory.MemoryObjectStore()
    answers = []

    async def watch(after):
        answers.append(await store.watch("a", after, 30.0))

    with anyio.fail_after(5):
        async with anyio.create_task_group() as group:
            group.start_soon(watch, 0)
            await anyio.wait_all_tasks_blocked()
            await store.update("a", b"1", 0)
        async with anyio.create_task_group() as group:
            group.start_soon(watch, 1)
            await anyio.wait_all_tasks_blocked()
            store.inject(memory.FaultMode.DOWN)
    assert answers[0].unwrap().version == 1
    assert answers[1].is_err()
