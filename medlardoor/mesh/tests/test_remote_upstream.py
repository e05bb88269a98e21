"""Tests of what nodes remember of upstreams beside nodes of earlier builds."""

import asyncio

import pytest

from medlardoor import errors
from medlardoor.membership import neighbours
from medlardoor.mesh import peers, remote_upstream, runs, settings, statuses
from medlardoor.mesh.tests import group as group_module
from medlardoor.mesh.tests import test_named_limit
from medlardoor.wire.generated.medlardoor_messages import ttypes

pytestmark = pytest.mark.anyio

MEMBERS = (("s1", "stock"), ("o1", "orders"), ("o2", "orders"))


@pytest.fixture
async def mixed():
    """A group in which the node of the stock upstream is an earlier build."""
    async with group_module.run_group(MEMBERS) as group:
        earlier = group.members["s1"].node
        earlier._local.observer.observe = lambda *response: None
        make_status = earlier._fleet._make_status

        def make_earlier_status():
            status = make_status()
            status.applies_limits = None
            return status

        earlier._fleet._make_status = make_earlier_status
        await group_module.wait_until(
            lambda: not any(_applies_limits(group, n) for n in ("o1", "o2"))
        )
        yield group


def _applies_limits(group, name):
    peer = group.members[name].node._fleet.roster.peers["s1"]
    return peer.status.applies_limits


async def test_limit_holds_beside_a_node_of_an_earlier_build(mixed):
    """A limit is exceeded while nodes are replaced one after the other."""
    upstream = mixed.members["s1"].upstream
    upstream.extra_headers = test_named_limit.LIMIT_LINE
    for name in ("o1", "o2"):
        await mixed.members[name].call("/read/x", f"n{name}")
    upstream.runs.clear()
    # Only the requests of current nodes are bounded.
    del mixed.members["s1"]
    await test_named_limit._send(mixed, 60, test_named_limit.WINDOW_S)
    count = len(upstream.runs)
    assert 10 <= count <= test_named_limit.ALLOWED


async def test_leaving_beside_a_node_of_an_earlier_build(mixed):
    """A request reaches an upstream whose answer has said that it leaves."""
    upstream = mixed.members["s1"].upstream
    upstream.extra_headers = b"Leaving: 1\r\n"
    caller = mixed.members["o1"]
    assert (await caller.call("/read/x", "a")).status == 200
    upstream.runs.clear()
    await group_module.wait_until(
        lambda: not caller.node._fleet.candidates("stock"), timeout_s=1.0
    )
    assert (await caller.call("/read/x", "b")).status == 503
    assert upstream.runs == []


async def test_upstream_that_starts_again_is_used(mixed):
    """An upstream that starts again under its identifier is never used."""
    member = mixed.members["s1"]
    caller = mixed.members["o1"]
    member.upstream.extra_headers = b"Leaving: 1\r\n"
    await caller.call("/read/x", "a")
    await group_module.wait_until(
        lambda: not caller.node._fleet.candidates("stock"), timeout_s=1.0
    )
    peer = caller.node._fleet.roster.peers["s1"]
    member.send_heartbeat(draining=True)
    await group_module.wait_until(lambda: not peer.status.upstream_id)
    member.upstream.extra_headers = b""
    member.send_heartbeat(born_ms=2_000)
    await group_module.wait_until(
        lambda: caller.node._fleet.candidates("stock")
    )
    assert (await caller.call("/read/x", "b")).status == 200


@pytest.fixture
def remote():
    return remote_upstream.RemoteUpstream(group_module.HEADERS)


def test_next_upstream_has_neither_limit_nor_leaving(remote):
    """An upstream inherits what the answers of its predecessor said."""
    lines = b"leaving: 1\r\nrate-limit: 0.5\r\n"
    remote.observe("i-1", lines, 1, 0.0, 0.1)
    assert remote.has_left("i-1")
    assert not remote.allows("i-1", 0.2)
    assert not remote.has_left("i-2")
    assert remote.allows("i-2", 0.2)


@pytest.mark.parametrize(
    "lines",
    [b"", b"x: rate-limit: 1\r\n", b"rate-limit: nan\r\n", b"leaving: 0\r\n"],
)
def test_other_headers_limit_nothing(remote, lines):
    """A header that is not the limit or the leaving is taken for it."""
    remote.observe("i-1", lines, 1, 0.0, 0.1)
    assert remote.allows("i-1", 0.1)
    assert not remote.has_left("i-1")


class _Link:
    """Link that keeps the calls that were sent on it."""

    is_open = True
    is_congested = False

    def __init__(self):
        self.calls = []

    def may_send(self, size):
        return True

    def send(self, frame):
        self.calls.append(frame.call)
        return True


async def test_limit_outlasts_a_restart_of_the_node_beside_the_upstream():
    """A node that has just started sent on more than the upstream takes.

    It hears of the limit with the first answer only.
    """
    node = neighbours.KnownNode("s1", "stock", "d1")
    peer = peers.Peer(
        node, settings.Address("127.0.0.1", 1), group_module.HEADERS, lambda: 2
    )
    peer.link = _Link()
    results = []

    def send(count):
        sent = len(peer.link.calls)
        for _ in range(count):
            peer.run(_make_run(), results.append)
        return len(peer.link.calls) - sent

    def answer(lines):
        call = peer.link.calls[-1]
        result = runs.RunResult(errors.Outcome.ANSWERED, headers=lines)
        peer.call_answered(statuses.to_answer(call.id, result))

    peer.apply_status(_make_status(1))
    assert send(1) == 1
    answer(b"rate-limit: 2\r\n")
    # The node beside the upstream applies the limit.
    assert send(20) == 20
    peer.apply_status(_make_status(2))
    assert send(20) <= 1
    assert results[-1].outcome is errors.Outcome.NOT_RUN
    answer(b"rate-limit: 2\r\n")
    assert send(20) == 20


def _make_status(incarnation):
    return ttypes.NodeStatus(
        instance="s1",
        upstream_id="i-1",
        incarnation=incarnation,
        applies_limits=True,
        limit=20,
        running=0,
        waiting=0,
        level=0,
    )


def _make_run():
    now = asyncio.get_running_loop().time()
    return runs.Run(
        "stock", b"a", b"GET", b"/x", b"", b"", now + 2, now + 1, 0, True
    )
