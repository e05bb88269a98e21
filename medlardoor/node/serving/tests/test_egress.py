"""Tests of `EgressApp` on fake transports."""

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


async def _lose_response(address, request):
    await anyio.sleep(0.001)
    return inprocess.lost(dispatched=True)


async def _refuse_connection(address, request):
    return inprocess.lost(dispatched=False)


@inprocess.test
async def test_unknown_token_is_refused(node):
    """An unknown token must be refused.

    Otherwise an upstream could spend the retry budget of a chain that it does
    not belong to.
    """
    node.add_member("inventory")
    active = node.open_call()
    active.token = "made-up"
    caller = await node.child(active).run()
    assert (caller.status, caller.outcome) == (400, NOT_RUN.value)
    assert node.nodes.sent == []


@inprocess.test
async def test_depth_is_limited(node):
    """A depth limit must end chains of services that call in a loop."""
    node.add_member("inventory")
    caller = await node.child(node.open_call(depth=context.MAX_DEPTH)).run()
    assert (caller.status, caller.outcome) == (508, NOT_RUN.value)
    assert node.nodes.sent == []


@pytest.mark.parametrize("budget", [0, 1, 3, 5])
def test_attempts_stay_within_the_budget(budget):
    """Retries at one hop must not exceed the budget of the chain."""

    async def check(node):
        for _ in range(12):
            node.add_member("inventory")
        node.nodes.handler = _refuse_connection
        active = node.open_call(budget=budget)
        for _ in range(5):
            caller = await node.child(active).run()
            assert caller.outcome == NOT_RUN.value
        # Each of the five calls is sent at least once, and their retries share
        # one budget.
        assert len(node.nodes.sent) <= 5 + budget
        assert active.budget.remaining == 0

    inprocess.run(check)


@inprocess.test
async def test_share_of_lost_response_is_not_reused(node):
    """The budget share of an attempt without a response must not be reused.

    The node that received the attempt may have spent the share.
    """
    for _ in range(12):
        node.add_member("inventory")
    shares = []

    async def handle(address, request):
        from_header = dict(request.headers)[b"medlardoor-context"]
        decoded = forwarding.decode_context_header(
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
async def test_response_returns_unspent_share(node):
    """A response must return the unspent part of its budget share."""
    node.add_member("inventory")

    async def handle(address, request):
        return result.Ok(node.report(unspent=2))

    node.nodes.handler = handle
    active = node.open_call(budget=4)
    assert (await node.child(active).run()).status == 200
    assert active.budget.remaining == 4


@inprocess.test
async def test_child_call_of_unknown_outcome_is_not_retried(node):
    """A non-idempotent call of unknown outcome must not be retried.

    It could run at two members.
    """
    for _ in range(3):
        node.add_member("inventory")
    node.nodes.handler = _lose_response
    active = node.open_call()
    caller = await node.child(active, "POST", "/reserve").run()
    assert caller.outcome == UNKNOWN.value
    assert len(node.nodes.sent) == 1
    assert active.may_have_run_child


@inprocess.test
async def test_child_call_that_did_not_run_is_retried(node):
    """A call that did not run must be retried, even if not idempotent."""
    for _ in range(3):
        node.add_member("inventory")
    node.nodes.handler = _refuse_connection
    caller = await node.child(node.open_call(), "POST", "/reserve").run()
    assert caller.outcome == NOT_RUN.value
    assert len(node.nodes.sent) > 1


@inprocess.test
async def test_unknown_outcome_of_earlier_attempt_remains(node):
    """An unknown outcome of an earlier attempt must remain the outcome.

    A last attempt that did not run must not hide that the earlier one may
    have run.
    """
    for _ in range(4):
        node.add_member("inventory")
    handlers = [_lose_response, _refuse_connection, _refuse_connection]

    async def handle(address, request):
        handler = handlers.pop(0) if handlers else _refuse_connection
        return await handler(address, request)

    node.nodes.handler = handle
    active = node.open_call()
    caller = await node.child(active).run()
    assert len(node.nodes.sent) > 1
    assert caller.outcome == UNKNOWN.value
    assert active.may_have_run_child


@inprocess.test
async def test_child_call_of_ended_request_is_refused(node):
    """Child calls of a request that has ended must be refused."""
    node.add_member("inventory")
    active = node.open_call()
    node.parts.registry.close(active)
    caller = await node.child(active).run()
    assert caller.outcome == NOT_RUN.value
    assert node.nodes.sent == []


@inprocess.test
async def test_cancelled_child_counts_as_run(node):
    """A child call that the upstream cancelled must count as run."""
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
    assert active.may_have_run_child
    assert active.children == 0
    assert child.status == 0


@inprocess.test
async def test_truncated_response_of_child_counts_as_run(node):
    """A child call whose response was truncated must count as run."""
    node.add_member("inventory")

    async def handle(address, request):
        return result.Ok(node.report(body=None))

    node.nodes.handler = handle
    active = node.open_call()
    child = await node.child(active).run()
    assert child.cut
    assert not child.complete
    assert active.may_have_run_child


def _root_call(node):
    return inprocess.Caller(node.apps.egress, "GET", "/stock", host="order")


@inprocess.test
async def test_root_call_delays_planned_stop(node):
    """A planned stop must wait for calls that the upstream makes itself.

    No new call of this kind may start during the stop.
    """
    node.add_member()

    async def handle(address, request):
        await anyio.sleep(5.0)
        return result.Ok(node.report())

    node.nodes.handler = handle
    caller = _root_call(node)
    node.start(caller)
    await anyio.sleep(1.0)
    assert node.apps.in_progress == 1
    node.board.shutdown.phase = topics.Phase.REFUSING
    late = await _root_call(node).run()
    assert (late.outcome, late.reason) == (NOT_RUN.value, "leaving")
    await anyio.sleep(10.0)
    assert caller.status == 200
    assert node.apps.in_progress == 0


@inprocess.test
async def test_child_is_served_during_a_planned_stop(node):
    """A planned stop must serve child calls of the requests in progress."""
    node.add_member("inventory")

    async def handle(address, request):
        return result.Ok(node.report())

    node.nodes.handler = handle
    node.board.shutdown.phase = topics.Phase.REFUSING
    assert (await node.child(node.open_call()).run()).status == 200
