"""Tests that ended requests keep no memory until a garbage collection."""

import asyncio
import gc

import pytest

from medlardoor.mesh import calls, handlers, limited_calls, local_run, runs
from medlardoor.mesh.tests import group as group_module

pytestmark = pytest.mark.anyio

# Objects that refer to the body of a request.
HOLDERS = (
    calls.Call,
    handlers.Request,
    limited_calls.LimitedCall,
    local_run.LocalRun,
    runs.Run,
)
BODY = bytes(10_000)
KEY_LINE = ("Authorization: Bearer k1",)
LIMITED = (*group_module.DOCUMENT, "team t1 k1 1 1000 1000")


@pytest.fixture(autouse=True)
def no_collection():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def _count_held():
    return sum(isinstance(each, HOLDERS) for each in gc.get_objects())


async def _wait_until_released(group):
    for member in group.members.values():
        # The script of the upstream keeps the requests that it has run.
        member.upstream.runs.clear()
    try:
        await group_module.wait_until(lambda: not _count_held(), 1.0)
    except TimeoutError:
        held = [each for each in gc.get_objects() if isinstance(each, HOLDERS)]
        raise AssertionError({type(each).__name__ for each in held}) from None


async def _send(member, count=5, **fields):
    """Sends requests whose bodies go to the upstream of another node."""
    return await asyncio.gather(
        *(
            member.call(f"/order/{n}", f"a{n}", "POST", body=BODY, **fields)
            for n in range(count)
        )
    )


@pytest.mark.parametrize("name", ["o1", "s1"], ids=["local", "remote"])
async def test_answered_request(group, name):
    """Large uploads filled the memory: each body lived on in a cycle."""
    responses = await _send(group.members[name])
    assert {each.status for each in responses} == {200}
    await _wait_until_released(group)


async def test_shed_request(group):
    """A request that is sent again is released like any other."""
    group.members["o1"].upstream.remaining_sheds = 3
    await _send(group.members["s1"])
    await _wait_until_released(group)


async def test_request_past_its_deadline(group):
    """The timer of a request that has fired must not keep it."""
    group.members["o1"].upstream.delay_s = 0.3
    responses = await _send(group.members["s1"], deadline_ms=100)
    assert {each.status for each in responses} == {504}
    await asyncio.sleep(0.4)
    await _wait_until_released(group)


async def test_request_on_a_broken_connection(group):
    """A crash of the upstream must not keep the requests in flight."""
    upstream = group.members["o1"].upstream
    upstream.delay_s = 1.0
    sending = asyncio.create_task(_send(group.members["s1"]))
    await group_module.wait_until(lambda: len(upstream.runs) == 5)
    upstream.crash()
    assert {each.status for each in await sending} == {502}
    del sending
    # Requests in flight are kept while a crash may be attributed to them.
    await asyncio.sleep(1.2)
    await _wait_until_released(group)


async def test_request_of_a_limited_team():
    """The token of a request must not keep it."""
    async with group_module.run_group(document=LIMITED) as group:
        member = group.members["s1"]

        # The first lender needs a moment until it knows all nodes.
        await group_module.wait_until(
            lambda: (
                sum(
                    sum(each.node._lending.shares().values())
                    for each in group.members.values()
                )
                == member.settings.limits.shards
            )
        )
        responses = await _send(member, lines=KEY_LINE)
        assert {each.status for each in responses} == {200}
        await _wait_until_released(group)
