"""Tests of crashes of upstreams while there is little traffic."""

import anyio
import pytest

from medlardoor.mesh import crashes, runs
from medlardoor.mesh.tests import group as group_module

pytestmark = pytest.mark.anyio

CRASHING_TARGET = b"/order/crash"


class _CrashingUpstream:
    """Upstream of a member that a request crashes.

    Args:
        member: The member.
    """

    def __init__(self, member):
        self._member = member
        self._handle = member.upstream.handle
        self.starts = 1
        self.crashes = 0
        # Whether crashing requests are shed in place of run.
        self.is_shedding = False
        member.upstream.handle = self._crash_or_handle

    async def restart(self):
        """Starts the upstream again, later than crashes are attributed."""
        member = self._member
        await anyio.sleep(crashes.CRASH_WINDOW_S + 0.2)
        self.starts += 1
        member.upstream.upstream_id = f"i-{member.name}-{self.starts}"
        await member.upstream.listen(member.host, member.settings.upstream.port)
        member.send_heartbeat(
            upstream_id=member.upstream.upstream_id, born_ms=1_000 + self.starts
        )

    def _crash_or_handle(self, request, reply):
        if request.target != CRASHING_TARGET:
            return self._handle(request, reply)
        if self.is_shedding:
            self._member.upstream.remaining_sheds = 1
            return self._handle(request, reply)
        self.crashes += 1
        self._member.upstream.crash()
        return None


async def test_crash_is_noticed_without_other_requests(group):
    """A crashing request came again and again while there was no other."""
    member = group.members["o1"]
    upstream = _CrashingUpstream(member)
    fleet = group.members["s1"].node._fleet
    for number in range(3):
        response = await group.members["s1"].call(
            CRASHING_TARGET.decode(), f"crash-{number}", method="POST"
        )
        assert response.status == 502
        await upstream.restart()
        await group_module.wait_until(lambda: fleet.candidates("orders"))
    for name, other in group.members.items():
        response = await other.call(
            CRASHING_TARGET.decode(), f"last-{name}", method="POST"
        )
        assert response.status == 503
    assert upstream.crashes == 3
    response = await member.call("/order/1", method="POST")
    assert response.status == 200


async def test_rejection_does_not_clear_a_suspect(group):
    """A crashing request was cleared each time that a busy upstream shed it."""
    member = group.members["o1"]
    upstream = _CrashingUpstream(member)
    fleet = group.members["s1"].node._fleet
    for number in range(3):
        response = await member.call(
            CRASHING_TARGET.decode(), f"crash-{number}", method="POST"
        )
        assert response.status == 502
        await upstream.restart()
        await group_module.wait_until(lambda: fleet.candidates("orders"))
        upstream.is_shedding = True
        await member.call(
            CRASHING_TARGET.decode(), f"shed-{number}", method="POST"
        )
        upstream.is_shedding = False
    response = await member.call(
        CRASHING_TARGET.decode(), "crash-last", method="POST"
    )
    assert response.status == 503
    assert upstream.crashes == 3


async def test_lost_response_is_no_crash(group):
    """A request is not blamed for a connection that alone was closed."""
    member = group.members["o1"]
    upstream = member.upstream
    handle = upstream.handle

    def close_or_handle(request, reply):
        if request.target != CRASHING_TARGET:
            return handle(request, reply)
        for connection in list(upstream.connections):
            connection._transport.abort()
        return None

    upstream.handle = close_or_handle
    for number in range(4):
        response = await member.call(
            CRASHING_TARGET.decode(), f"lost-{number}", method="POST"
        )
        assert response.status == 502
        await anyio.sleep(0.4)
    assert not member.node._crashes._topic.suspects


async def test_restarted_node_learns_of_quarantines(group):
    """A rolling restart let a crashing request reach upstreams again."""
    member = group.members["o1"]
    upstream = _CrashingUpstream(member)
    other = await group.add("o2", "orders")
    await group.wait_until_settled()
    tracker = other.node._crashes
    now = anyio.current_time()
    for number in range(3):
        tracker.started(number, _crashing_run(), now)
        tracker.upstream_terminated(now)
    for restarted in (member, other):
        restarted.scope.cancel()
        await restarted.done.wait()
        await restarted.start_node(group.tasks)
        await group.wait_until_settled()
    response = await group.members["s1"].call(
        CRASHING_TARGET.decode(), "after-restart", method="POST"
    )
    assert response.status == 503
    assert upstream.crashes == 0


async def test_restarted_nodes_keep_suspicions(group):
    """Rolling restarts between its crashes kept a request out of quarantine."""
    members = group.members
    await group.add("o2", "orders")
    await group.wait_until_settled()
    upstreams = [_CrashingUpstream(members[name]) for name in ("o1", "o2")]
    for number in range(3):
        before = [upstream.crashes for upstream in upstreams]
        response = await members["s1"].call(
            CRASHING_TARGET.decode(), f"crash-{number}", method="POST"
        )
        assert response.status == 502
        for upstream, crashes_before in zip(upstreams, before, strict=True):
            if upstream.crashes > crashes_before:
                await upstream.restart()
        # Upstreams without heartbeats are taken for silent after some seconds.
        for name in ("s1", "s2"):
            members[name].send_heartbeat()
        for name in ("o1", "o2"):
            members[name].scope.cancel()
            await members[name].done.wait()
            await members[name].start_node(group.tasks)
            await group.wait_until_settled()
    response = await members["s1"].call(
        CRASHING_TARGET.decode(), "crash-last", method="POST"
    )
    assert response.status == 503
    assert sum(upstream.crashes for upstream in upstreams) == 3


def _crashing_run():
    return runs.Run(
        "orders", b"a", b"POST", CRASHING_TARGET, b"", b"", 9e9, 9e9, 0, False
    )
