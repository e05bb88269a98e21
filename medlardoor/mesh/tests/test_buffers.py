"""Tests of large bodies on nodes with little buffer space."""

import asyncio

import pytest

from medlardoor.mesh.tests import group as group_module

pytestmark = pytest.mark.anyio

BUFFER_BYTES = 4_000_000
UPLOADS = 60
UPLOAD_BYTES = 360_000


@pytest.fixture
async def small_group():
    """Nodes with little buffer space; the upstream for orders is slow."""
    async with group_module.run_group(buffer_bytes=BUFFER_BYTES) as group:
        group.members["o1"].upstream.delay_s = 0.2
        yield group


async def test_many_uploads_stay_within_the_buffer_space(small_group):
    """Large bodies stay within the buffer space; all that ran are answered."""
    entry, called = (
        small_group.members["s1"],
        small_group.members["o1"],
    )
    budgets = [m.node._buffers for m in small_group.members.values()]
    highest = 0

    async def record_highest():
        nonlocal highest
        while True:
            highest = max(highest, *(b.used_bytes for b in budgets))
            await asyncio.sleep(0.002)

    recording = asyncio.create_task(record_highest())
    responses = await asyncio.gather(
        *(
            entry.call(f"/order/{n}", f"a{n}", "POST", body=bytes(UPLOAD_BYTES))
            for n in range(UPLOADS)
        )
    )
    recording.cancel()
    assert highest <= BUFFER_BYTES
    assert {r.status for r in responses} <= {200, 503}
    ran = {run.header(b"x-attempt").decode() for run in called.upstream.runs}
    answered = {f"a{n}" for n, r in enumerate(responses) if r.status == 200}
    assert ran == answered
    assert answered
    await group_module.wait_until(
        lambda: not any(b.used_bytes for b in budgets)
    )


async def test_unread_responses_count_as_buffered(small_group):
    """Responses that a caller does not read count against the buffer space."""
    entry = small_group.members["s1"]
    called = small_group.members["o1"].upstream
    called.delay_s = 0.0
    called.extra_headers = b"X-Filler: " + b"f" * 60_000 + b"\r\n"
    reader, writer = await asyncio.open_connection(
        entry.host, entry.settings.caller_address.port, limit=1_000
    )
    request = b"GET /order/1 HTTP/1.1\r\nHost: x\r\nX-Attempt: a%d\r\n\r\n"
    for n in range(200):
        writer.write(request % n)
    await group_module.wait_until(lambda: entry.node._buffers.used_bytes > 0)
    writer.transport.abort()
    await group_module.wait_until(lambda: entry.node._buffers.used_bytes == 0)
