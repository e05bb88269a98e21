"""Tests of the upstream monitor on fake transports."""

import anyio
import result

from medlardoor.blackboard import topics
from medlardoor.node.tests import inprocess
from medlardoor.node.upstream import upstream


class _Monitored:
    """A monitor that counts crashes and starts."""

    def __init__(self, node):
        self.node = node
        self.crashes = 0
        self.starts = 0
        self.monitor = upstream.UpstreamMonitor(
            inprocess.SETTINGS.upstream,
            node.board,
            node.upstream,
            self._crash,
            self._start,
        )

    async def poll(self, **report):
        self.node.upstream.report = report or None
        await anyio.sleep(1.0)
        await self.monitor.probe()

    def _crash(self):
        self.crashes += 1

    def _start(self):
        self.starts += 1


@inprocess.test
async def test_crash_is_reported_once(node):
    """Concurrent probes must count one crash of the upstream once."""
    monitored = _Monitored(node)
    await monitored.poll(slots=4, start_id="s1")
    node.upstream.report = None
    async with anyio.create_task_group() as tasks:
        for _ in range(20):
            tasks.start_soon(monitored.monitor.probe)
    assert monitored.crashes == 1
    await monitored.poll()
    assert monitored.crashes == 1
    await monitored.poll(slots=4, start_id="s2")
    assert (monitored.crashes, monitored.starts) == (1, 1)


@inprocess.test
async def test_restart_between_polls_is_a_crash(node):
    """A crash must be detected if the upstream restarts between two polls."""
    monitored = _Monitored(node)
    await monitored.poll(slots=4, start_id="s1")
    await monitored.poll(slots=4, start_id="s2")
    assert (monitored.crashes, monitored.starts) == (1, 1)
    await monitored.poll(slots=4, start_id="s2")
    assert (monitored.crashes, monitored.starts) == (1, 1)


@inprocess.test
async def test_planned_stop_is_no_crash(node):
    """A restart after a drain must not count as a crash."""
    monitored = _Monitored(node)
    await monitored.poll(slots=4, start_id="s1")
    await monitored.poll(slots=4, start_id="s1", state="draining")
    await monitored.poll()
    assert node.board.load.upstream_state is topics.UpstreamState.DOWN
    await monitored.poll(slots=4, start_id="s2")
    assert (monitored.crashes, monitored.starts) == (0, 1)


@inprocess.test
async def test_unusable_report_is_no_crash(node):
    """An invalid load report must not raise or count as a crash."""
    monitored = _Monitored(node)
    await monitored.poll(slots=4, start_id="s1")
    bad = [
        b"[" * 4_000,
        b"\xff\xfe",
        b'{"slots": 0}',
        b'{"slots": 1e400}',
        b'{"start_id": 5}',
        b"[]",
        b"x" * 9_000,
    ]
    for text in bad:

        async def send(address, request, connect_timeout_s, text=text):
            return result.Ok(inprocess.PlainResponse(body=text))

        monitored.monitor._transport = _Scripted(send)
        await anyio.sleep(1.0)
        await monitored.monitor.probe()
        state = node.board.load.upstream_state
        assert state is topics.UpstreamState.SERVING
    monitored.monitor._transport = node.upstream
    await monitored.poll(slots=4, start_id="s1")
    assert (monitored.crashes, monitored.starts) == (0, 0)


class _Scripted:
    def __init__(self, send):
        self.send = send


@inprocess.test
async def test_endless_retry_after_is_bounded(node):
    """A Retry-After of thousands of digits must be capped, not raise."""
    node.upstream.handler = inprocess.answer(
        status=503,
        headers=[
            (b"medlardoor-outcome", b"not-run"),
            (b"retry-after", b"9" * 5_000),
        ],
    )
    caller = await node.caller().run()
    assert caller.status == 503
    assert caller.headers["retry-after"] == "60"
