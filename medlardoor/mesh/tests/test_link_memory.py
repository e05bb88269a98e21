"""Tests of what links between nodes hold for nodes that stand still."""

import asyncio

import pytest

from medlardoor.admission import link_budget
from medlardoor.mesh.tests import group as group_module
from medlardoor.wire import frames
from medlardoor.wire.generated.medlardoor_messages import ttypes

pytestmark = pytest.mark.anyio

BUFFER_BYTES = 4_000_000
BODY_BYTES = 500_000
CALLS = 60


@pytest.fixture
async def small_group():
    """A group whose nodes may hold a few bodies."""
    async with group_module.run_group(buffer_bytes=BUFFER_BYTES) as group:
        yield group


def _unsent_bytes(member):
    links = member.node._fleet._inbound
    return sum(link._transport.get_write_buffer_size() for link in links)


async def test_answers_to_a_node_that_stands_still_are_bounded(small_group):
    """One frozen node made the nodes beside it exceed their memory.

    Answers to it were held by its link, without a limit, and the bytes were
    not counted. Other nodes still get answers.
    """
    members = small_group.members
    frozen, other, order = members["s1"], members["s2"], members["o1"]
    order.upstream.extra_body = bytes(BODY_BYTES)
    link = frozen.node._fleet.roster.open_link("o1")
    link._transport.pause_reading()
    calls = [
        asyncio.create_task(frozen.call(f"/order/{n}", f"f{n}", method="POST"))
        for n in range(CALLS)
    ]
    await group_module.wait_until(lambda: len(order.upstream.runs) == CALLS)
    await asyncio.sleep(0.2)
    limit = BUFFER_BYTES * link_budget.UNSENT_SHARE
    assert 0 < _unsent_bytes(order) < limit + 2 * BODY_BYTES
    assert order.node._buffers.used_bytes >= _unsent_bytes(order)
    response = await other.call("/order/x", "other", method="POST")
    assert response.status == 200
    assert len(response.body) > BODY_BYTES
    link._transport.resume_reading()
    statuses = [response.status for response in await asyncio.gather(*calls)]
    assert set(statuses) == {200, 502}
    await group_module.wait_until(lambda: not order.node._buffers.used_bytes)


async def _open_link(member):
    address = member.settings.link_address
    return await asyncio.open_connection(address.host, address.port)


async def _read_answer(reader):
    """Returns the next answer; statuses before it are skipped."""
    frame_reader = frames.FrameReader(1_000_000)
    while True:
        received = frame_reader.feed(await reader.read(65_536)).unwrap()
        for frame in received:
            if frame.answer is not None:
                return frame.answer


async def test_frames_that_are_being_received_are_bounded(small_group):
    """Large requests at once made the node that received them end.

    A frame was held until its end, without a limit over all links, and the
    bytes were not counted.
    """
    order = small_group.members["o1"]
    body = bytes(2 * BUFFER_BYTES // 3)
    call = ttypes.RunCall(id=7, attempt_id=b"a1", body=body)
    data = frames.encode_frame(ttypes.Frame(call=call))
    first_reader, first = await _open_link(order)
    first.write(data[:-1])
    await group_module.wait_until(
        lambda: order.node._buffers.used_bytes >= len(body)
    )
    second_reader, second = await _open_link(order)
    second.write(data[: len(data) // 2])
    answer = await _read_answer(second_reader)
    assert answer.id == 7
    assert answer.outcome == "not-run"
    assert answer.reason == "buffers_full"
    # The rest of the dropped frame is skipped, and the link goes on.
    second.write(data[len(data) // 2 :])
    probe = ttypes.RunCall(id=8, attempt_id=b"a2", time_left_ms=1_000)
    second.write(frames.encode_frame(ttypes.Frame(call=probe)))
    assert (await _read_answer(second_reader)).id == 8
    assert order.node._buffers.used_bytes < 1.1 * len(body)
    first.close()
    second.close()
    await group_module.wait_until(lambda: not order.node._buffers.used_bytes)


async def test_answer_without_room_ends_its_call(small_group):
    """A call whose answer is not received would wait for its deadline."""
    member, order = small_group.members["s1"], small_group.members["o1"]
    order.upstream.extra_body = bytes(BODY_BYTES)
    member.node._buffers.reserve_unchecked(BUFFER_BYTES)
    response = await member.call("/order/1", method="POST")
    member.node._buffers.release(BUFFER_BYTES)
    assert response.status == 502
    assert b"buffers_full" in response.body
    assert len(order.upstream.runs) == 1
    assert (await member.call("/order/2", "a2", method="POST")).status == 200
