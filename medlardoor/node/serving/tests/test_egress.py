"""Tests of outgoing calls of the upstream on fake transports."""

import anyio
import pytest
import result

from medlardoor import errors
from medlardoor.blackboard import topics
from medlardoor.calls import context
from medlardoor.node.tests import inprocess
from medlardoor.node.transport import forwarding

NOT_RUN = errors.Outcome.NOT_RUN
UNKNOWN = errors.Outcome.UNKNOWN


async def _lose(address, request):
    await anyio.sleep(0.001)
    return inprocess.lost(dispatched=True)


async def _refuse_connection(address, request):
    return inprocess.lost(dispatched=False)


@inprocess.test
async def test_unknown_token_is_refused(node):
    """An upstream calls on the budget of a chain that it is not part of."""
    node.add_member("inventory")
    active = node.open_call()
    active.token = "made-up"
    caller = await node.child(active).run()
    assert (caller.status, caller.outcome) == (400, NOT_RUN.value)
    assert node.nodes.sent == []


@inprocess.test
async def test_depth_is_limited(node):
    """Services that call each other in a loop never stop."""
    node.add_member("inventory")
    caller = await node.child(node.open_call(depth=context.MAX_DEPTH)).run()
    assert (caller.status, caller.outcome) == (508, NOT_RUN.value)
    assert node.nodes.sent == []


@pytest.mark.parametrize("budget", [0, 1, 3, 5])
def test_attempts_stay_within_the_budget(budget):
    """Retries at one hop exceed the budget of the chain."""

    async def check(node):
        for _ in range(12):
            node.add_member("inventory")
        node.nodes.handler = _refuse_connection
        active = node.open_call(budget=budget)
        for _ in range(5):
            caller = await node.child(active).run()
            assert caller.outcome == NOT_RUN.value
        # Each of the five calls is sent once; all retries share one budget.
        assert len(node.nodes.sent) <= 5 + budget
        assert active.budget.remaining == 0

    inprocess.run(check)


@inprocess.test
async def test_lost_answers_lose_their_share(node):
    """The share of a call whose answer was lost is spent a second time."""
    for _ in range(12):
        node.add_member("inventory")
    shares = []

    async def handle(address, request):
        from_header = dict(request.headers)[b"medlardoor-context"]
        decoded = forwarding.context_from_header(
            from_header, node.parts.cluster_key, 1, anyio.current_time()
        )
        shares.append(decoded.ok().budget)
        return inprocess.lost(dispatched=True)

    node.nodes.handler = handle
    active = node.open_call(budget=8)
    await node.child(active).run()
    retries = len(shares) - 1
    assert shares[0] == 4
    assert sum(shares) + retries + active.budget.remaining == 8


@inprocess.test
async def test_answer_returns_the_unspent_share(node):
    """A chain loses retries that nobody has spent."""
    node.add_member("inventory")

    async def handle(address, request):
        return result.Ok(node.report(unspent=2))

    node.nodes.handler = handle
    active = node.open_call(budget=4)
    assert (await node.child(active).run()).status == 200
    assert active.budget.remaining == 4


@inprocess.test
async def test_child_order_of_unknown_outcome_is_not_resent(node):
    """A call that is not idempotent runs at two members."""
    for _ in range(3):
        node.add_member("inventory")
    node.nodes.handler = _lose
    active = node.open_call()
    caller = await node.child(active, "POST", "/reserve").run()
    assert caller.outcome == UNKNOWN.value
    assert len(node.nodes.sent) == 1
    assert active.child_ran


@inprocess.test
async def test_child_order_that_did_not_run_is_resent(node):
    """A refusal of one member fails a call that another would run."""
    for _ in range(3):
        node.add_member("inventory")
    node.nodes.handler = _refuse_connection
    caller = await node.child(node.open_call(), "POST", "/reserve").run()
    assert caller.outcome == NOT_RUN.value
    assert len(node.nodes.sent) > 1


@inprocess.test
async def test_doubt_of_an_earlier_attempt_stays(node):
    """A not-run of the last attempt hides that an earlier one may have run."""
    for _ in range(4):
        node.add_member("inventory")
    handlers = [_lose, _refuse_connection, _refuse_connection]

    async def handle(address, request):
        handler = handlers.pop(0) if handlers else _refuse_connection
        return await handler(address, request)

    node.nodes.handler = handle
    active = node.open_call()
    caller = await node.child(active).run()
    assert len(node.nodes.sent) > 1
    assert caller.outcome == UNKNOWN.value
    assert active.child_ran


@inprocess.test
async def test_late_child_is_refused(node):
    """An upstream goes on calling for a request that has ended."""
    node.add_member("inventory")
    active = node.open_call()
    node.parts.registry.close(active)
    caller = await node.child(active).run()
    assert caller.outcome == NOT_RUN.value
    assert node.nodes.sent == []


@inprocess.test
async def test_cancelled_child_counts_as_run(node):
    """A child that the upstream gave up is taken for not run."""
    node.add_member("inventory")
    cancelled = []

    async def handle(address, request):
        try:
            await anyio.sleep(60.0)
        except BaseException:
            cancelled.append(address)
            raise

    node.nodes.handler = handle
    active = node.open_call()
    child = node.child(active)
    node.start(child)
    await anyio.sleep(1.0)
    assert active.may_have_children
    child.leave()
    await anyio.sleep(1.0)
    assert len(cancelled) == 1
    assert active.child_ran
    assert active.children == 0
    assert child.status == 0


@inprocess.test
async def test_cut_answer_of_a_child_counts_as_run(node):
    """A child whose answer was cut is forgotten."""
    node.add_member("inventory")

    async def handle(address, request):
        return result.Ok(node.report(body=None))

    node.nodes.handler = handle
    active = node.open_call()
    child = await node.child(active).run()
    assert child.cut
    assert not child.complete
    assert active.child_ran


def _root(node):
    return inprocess.Caller(node.apps.egress, "GET", "/stock", host="order")


@inprocess.test
async def test_own_call_of_the_upstream_delays_the_stop(node):
    """A planned stop cuts a call that the upstream makes on its own."""
    node.add_member()

    async def handle(address, request):
        await anyio.sleep(5.0)
        return result.Ok(node.report())

    node.nodes.handler = handle
    caller = _root(node)
    node.start(caller)
    await anyio.sleep(1.0)
    assert node.apps.in_progress == 1
    node.board.shutdown.phase = topics.Phase.REFUSING
    late = await _root(node).run()
    assert (late.outcome, late.reason) == (NOT_RUN.value, "leaving")
    await anyio.sleep(10.0)
    assert caller.status == 200
    assert node.apps.in_progress == 0


@inprocess.test
async def test_child_is_served_during_a_planned_stop(node):
    """A stop refuses the child calls of requests that it waits for."""
    node.add_member("inventory")

    async def handle(address, request):
        return result.Ok(node.report())

    node.nodes.handler = handle
    node.board.shutdown.phase = topics.Phase.REFUSING
    assert (await node.child(node.open_call()).run()).status == 200
