"""Tests of running and forwarding calls on fake transports."""

import anyio
import pytest
import result

from medlardoor import errors
from medlardoor.blackboard import topics
from medlardoor.node.tests import inprocess
from medlardoor.node.transport import forwarding
from medlardoor.quarantine import fingerprints

NOT_RUN = errors.Outcome.NOT_RUN
UNKNOWN = errors.Outcome.UNKNOWN
SHED = (b"medlardoor-outcome", b"not-run")


def _shed():
    return inprocess.answer(status=503, headers=[SHED])


def _connection_loss(dispatched):
    async def handle(address, request):
        await anyio.sleep(0.001)
        return inprocess.lost(dispatched)

    return handle


def _peer_answer(node):
    async def handle(address, request):
        return result.Ok(node.report())

    return handle


@inprocess.test
async def test_shed_call_goes_to_a_peer(node):
    """A call that the upstream shed must run at a peer with capacity."""
    node.add_member()
    node.upstream.handler = _shed()
    node.nodes.handler = _peer_answer(node)
    caller = await node.order().run()
    assert caller.status == 200
    assert len(node.nodes.sent) == 1


@inprocess.test
async def test_streamed_body_is_sent_to_one_peer_only(node):
    """No second peer may get the rest of a body that was already streamed."""
    node.add_member()
    node.add_member()
    node.board.load.upstream_state = topics.UpstreamState.DOWN
    node.nodes.handler = node.refuse(NOT_RUN)
    caller = await node.order(body=b"x" * 300_000).run()
    assert caller.outcome == NOT_RUN.value
    assert len(node.nodes.sent) == 1


@inprocess.test
async def test_unreachable_upstream_goes_to_a_peer(node):
    """A call must run at a peer if no connection to the upstream opens."""
    node.add_member()
    node.upstream.handler = _connection_loss(dispatched=False)
    node.nodes.handler = _peer_answer(node)
    assert (await node.order().run()).status == 200


@inprocess.test
async def test_order_of_unknown_outcome_is_not_forwarded(node):
    """An order whose connection broke must not run at a peer as well."""
    node.add_member()
    node.upstream.handler = _connection_loss(dispatched=True)
    node.nodes.handler = _peer_answer(node)
    caller = await node.order().run()
    assert caller.outcome == UNKNOWN.value
    assert node.nodes.sent == []


@inprocess.test
async def test_unknown_outcome_of_a_peer_ends_forwarding(node):
    """An order that a peer may have run must not be sent to another peer."""
    for _ in range(3):
        node.add_member()
    node.upstream.handler = _shed()
    node.nodes.handler = _connection_loss(dispatched=True)
    caller = await node.order().run()
    assert caller.outcome == UNKNOWN.value
    assert len(node.nodes.sent) == 1


@inprocess.test
async def test_order_refused_by_all_peers_is_not_run(node):
    """An order that all nodes refused must end as not run after two peers."""
    for _ in range(4):
        node.add_member()
    node.upstream.handler = _shed()
    node.nodes.handler = node.refuse(NOT_RUN)
    caller = await node.order().run()
    assert caller.outcome == NOT_RUN.value
    assert len(node.nodes.sent) == 2


@inprocess.test
async def test_forwarded_call_is_not_forwarded_again(node):
    """Peers must not forward a call to each other in a loop."""
    node.add_member()
    node.upstream.handler = _shed()
    active = node.open_call(handed_over=True, rank=1, level=200)
    value = forwarding.encode_context_header(
        active.call, node.parts.cluster_key, anyio.current_time()
    )
    caller = inprocess.Caller(node.apps.peer, medlardoor_context=value.decode())
    await caller.run()
    assert caller.outcome == NOT_RUN.value
    assert node.nodes.sent == []


@inprocess.test
async def test_least_important_call_is_not_forwarded(node):
    """Overload by the least important kind must not spread to the peers."""
    node.add_member()
    node.board.limits.effective_level = 0
    node.parts.paths.observe("x", "stock_check", 4_000, anyio.current_time())
    node.nodes.handler = _peer_answer(node)
    caller = await node.caller().run()
    assert caller.reason == "overload"
    assert node.nodes.sent == []


@inprocess.test
async def test_important_call_is_forwarded(node):
    """An order must not be refused for overload while a peer has capacity."""
    node.add_member()
    node.parts.paths.observe("x", "build_order", 4_000, anyio.current_time())
    node.nodes.handler = _peer_answer(node)
    assert (await node.order().run()).status == 200


@inprocess.test
async def test_deadline_during_the_answer_cuts_it(node):
    """A response cut at the deadline must not look complete."""
    node.upstream.handler = inprocess.answer(pause_s=60.0)
    caller = await node.caller(grpc_timeout="1S").run()
    assert caller.status == 200
    assert caller.cut
    assert not caller.complete


@inprocess.test
async def test_deadline_before_the_answer_is_unknown(node):
    """A dispatched call that times out must have an unknown outcome."""
    node.upstream.handler = inprocess.answer(delay_s=60.0)
    caller = await node.caller(grpc_timeout="1S").run()
    assert (caller.status, caller.outcome) == (504, UNKNOWN.value)


def _fingerprint(body=b""):
    return fingerprints.fingerprint("stock_check", "GET", "/stock", body)


def _crash(node, times):
    now = anyio.current_time()
    for number in range(times):
        node.parts.quarantine.started(-number, _fingerprint(), now)
        node.parts.quarantine.upstream_crashed(now)


@inprocess.test
async def test_suspect_is_not_retried(node):
    """A suspect request must not crash one upstream after another."""
    node.add_member()
    _crash(node, 1)
    node.upstream.handler = _connection_loss(dispatched=True)
    node.nodes.handler = _peer_answer(node)
    caller = await node.caller().run()
    assert (caller.outcome, caller.reason) == (
        UNKNOWN.value,
        "upstream_crashed",
    )
    assert node.nodes.sent == []


@inprocess.test
async def test_idempotent_call_is_retried_at_a_peer(node):
    """Control of the test above: a call that is not suspect is retried."""
    node.add_member()
    node.upstream.handler = _connection_loss(dispatched=True)
    node.nodes.handler = _peer_answer(node)
    assert (await node.caller().run()).status == 200


@inprocess.test
async def test_quarantined_call_is_refused(node):
    """A request that crashed three upstreams must not run again."""
    node.add_member()
    _crash(node, 3)
    caller = await node.caller().run()
    assert (caller.status, caller.reason) == (409, "quarantined")
    assert caller.outcome == NOT_RUN.value
    assert node.upstream.sent == []
    assert node.nodes.sent == []


@inprocess.test
async def test_suspects_run_one_at_a_time(node):
    """Suspects must not run together, so that a crash has one cause."""
    _crash(node, 1)
    running = []

    async def handle(address, request):
        running.append(1)
        assert len(running) == 1
        await anyio.sleep(1.0)
        running.pop()
        # A lost connection does not clear the suspicion.
        return inprocess.lost(dispatched=True)

    node.upstream.handler = handle
    await node.run_all(*[node.caller() for _ in range(3)])
    assert running == []


@pytest.mark.parametrize("children", ["ran", "running"])
def test_shed_after_a_child_is_unknown(children):
    """A shed call must not count as not run if a child call may have run."""

    async def check(node):
        node.add_member("inventory")
        node.add_member()
        node.nodes.handler = inprocess.answer(delay_s=60.0)
        if children == "ran":
            node.nodes.handler = _peer_answer(node)

        async def handle(address, request):
            token = dict(request.headers)[b"medlardoor-call"].decode()
            active = node.parts.registry.find(token)
            child = node.child(active)
            node.start(child)
            await anyio.sleep(1.0)
            return result.Ok(inprocess.FakeResponse(503, [SHED]))

        node.upstream.handler = handle
        caller = await node.order().run()
        assert caller.outcome == UNKNOWN.value
        assert len(node.nodes.sent) == 1

    inprocess.run(check)


@inprocess.test
async def test_child_during_a_shed_answer_is_counted(node):
    """A child call that starts while a shed response is read must count."""
    node.add_member("inventory")
    node.nodes.handler = _peer_answer(node)

    async def handle(address, request):
        token = dict(request.headers)[b"medlardoor-call"].decode()
        active = node.parts.registry.find(token)

        async def late():
            await anyio.sleep(0.5)
            await node.child(active).run()

        node.tasks.start_soon(late)
        return result.Ok(inprocess.FakeResponse(503, [SHED], pause_s=1.0))

    node.upstream.handler = handle
    assert (await node.order().run()).outcome == UNKNOWN.value


@pytest.mark.parametrize("first", ["upstream", "peer"])
def test_unknown_outcome_of_an_earlier_attempt_is_kept(first):
    """A peer's not-run must not hide that an earlier attempt may have run."""

    async def check(node):
        for _ in range(3):
            node.add_member()
        refuse = node.refuse(NOT_RUN)
        handlers = (
            [] if first == "upstream" else [_connection_loss(dispatched=True)]
        )

        async def handle(address, request):
            handler = handlers.pop(0) if handlers else refuse
            return await handler(address, request)

        node.nodes.handler = handle
        node.upstream.handler = _shed()
        if first == "upstream":
            node.upstream.handler = _connection_loss(dispatched=True)
        caller = await node.caller("PUT", "/uploads", b"{}").run()
        assert node.nodes.sent
        assert caller.outcome == UNKNOWN.value

    inprocess.run(check)


@inprocess.test
async def test_deadline_after_an_unknown_attempt_is_unknown(node):
    """A deadline in a later attempt must keep an earlier unknown outcome."""
    node.add_member()
    node.add_member()
    handlers = [node.refuse(NOT_RUN), inprocess.answer(delay_s=60.0)]

    async def handle(address, request):
        return await handlers.pop(0)(address, request)

    node.nodes.handler = handle
    node.upstream.handler = _connection_loss(dispatched=True)
    caller = await node.caller("PUT", "/uploads", b"{}").run()
    assert caller.outcome == UNKNOWN.value


@inprocess.test
async def test_cut_body_of_a_refusal_is_still_a_refusal(node):
    """A refusal whose body was cut must keep its outcome and reason."""
    node.add_member()
    node.upstream.handler = inprocess.answer(
        status=503, headers=[SHED], body=None
    )

    async def handle(address, request):
        return result.Ok(node.report(NOT_RUN, "overload", body=None))

    node.nodes.handler = handle
    caller = await node.order().run()
    assert len(node.nodes.sent) == 1
    assert (caller.outcome, caller.reason) == (NOT_RUN.value, "overload")
