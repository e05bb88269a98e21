"""Tests of calls with an idempotency key on fake transports."""

import anyio
import result

from medlardoor import errors
from medlardoor.node.tests import inprocess

NOT_RUN = errors.Outcome.NOT_RUN.value
UNKNOWN = errors.Outcome.UNKNOWN.value


@inprocess.test
async def test_same_key_at_once_runs_once(node):
    """Concurrent requests with one key must run the order once."""
    node.upstream.handler = inprocess.answer(delay_s=1.0)
    key = node.issue_key()
    callers = [node.order(key) for _ in range(3)]
    await node.run_all(*callers)
    assert len(node.upstream.sent) == 1
    assert [c.body for c in callers] == [b"part-ok"] * 3


@inprocess.test
async def test_run_continues_without_its_caller(node):
    """A caller that disconnects must not cancel its order.

    Otherwise its resend would run the order a second time.
    """
    node.upstream.handler = inprocess.answer(delay_s=2.0)
    key = node.issue_key()
    first = node.order(key)
    node.start(first)
    await anyio.sleep(0.5)
    first.leave()
    await anyio.sleep(0.5)
    assert node.apps.in_progress == 1
    second = await node.order(key).run()
    assert second.body == b"part-ok"
    assert second.headers["idempotent-replayed"] == "true"
    third = await node.order(key).run()
    assert third.body == b"part-ok"
    assert len(node.upstream.sent) == 1
    assert node.apps.in_progress == 0


@inprocess.test
async def test_key_belongs_to_one_body(node):
    """A key must not replay its response to a different request."""
    key = node.issue_key()
    assert (await node.order(key).run()).status == 200
    other = await node.order(key, b'{"other": 1}').run()
    assert other.status == 422
    assert other.reason == "key_mismatch"
    assert len(node.upstream.sent) == 1


@inprocess.test
async def test_key_that_no_node_issued_is_not_run(node):
    """An order with a key that no node issued must not run.

    No node could prevent a second run of it elsewhere.
    """
    for key in ("made-up", node.issue_key()[:-2] + "AA", "a.b.c"):
        caller = await node.order(key).run()
        assert caller.status == 428
        assert caller.outcome == NOT_RUN
    assert node.upstream.sent == []


def _key_of(node, instance, process_id):
    settings = inprocess.SETTINGS
    issuer = type(node.parts.keys)(
        settings.ledger, instance, process_id, settings.cluster_key
    )
    return issuer.issue(1, anyio.current_time())[0]


@inprocess.test
async def test_key_of_a_lost_owner_is_unknown(node):
    """An order whose key owner is unreachable must not run elsewhere."""
    member = node.add_member()

    async def refuse_connection(address, request):
        return inprocess.lost(dispatched=False)

    node.nodes.handler = refuse_connection
    keys = [
        _key_of(node, "order-9", "p"),
        _key_of(node, member.instance, "earlier process"),
        _key_of(node, member.instance, member.process_id),
        _key_of(node, "order-1", "earlier process"),
    ]
    for key in keys:
        caller = await node.order(key).run()
        assert (caller.outcome, caller.reason) == (UNKNOWN, "key_owner_lost")
    assert node.upstream.sent == []
    assert len(node.nodes.sent) == 1


@inprocess.test
async def test_owner_runs_the_order_of_another_node(node):
    """A node must not run an order whose key another node issued."""
    member = node.add_member()

    async def handle(address, request):
        return result.Ok(node.report())

    node.nodes.handler = handle
    key = _key_of(node, member.instance, member.process_id)
    caller = await node.order(key).run()
    assert caller.status == 200
    assert [a.port for a in node.nodes.sent] == [member.peer_port]
    assert node.upstream.sent == []


@inprocess.test
async def test_order_continues_with_a_new_key_after_a_queue_timeout(node):
    """An order whose deadline passes in the queue must end as not run.

    It can be resent with the key in the refusal; a late attempt with the
    first key must not run.
    """
    node.board.load.reported_slots = 1
    node.upstream.handler = inprocess.answer(delay_s=15.0)
    for _ in range(node.parts.settings.admission.min_limit):
        node.start(node.caller())
    await anyio.sleep(0.1)
    busy = len(node.upstream.sent)
    assert busy
    key = node.issue_key()
    queued = node.caller(
        "POST", "/orders", b"{}", idempotency_key=key, grpc_timeout="500m"
    )
    await queued.run()
    assert queued.outcome == NOT_RUN
    assert len(node.upstream.sent) == busy
    await anyio.sleep(20.0)
    node.upstream.handler = inprocess.answer()
    late = await node.order(key).run()
    assert (late.status, late.outcome) == (428, NOT_RUN)
    assert late.headers["idempotency-key"] == queued.headers["idempotency-key"]
    assert len(node.upstream.sent) == busy
    again = await node.order(queued.headers["idempotency-key"]).run()
    assert again.status == 200
    assert len(node.upstream.sent) == busy + 1


@inprocess.test
async def test_cut_answer_of_an_order_is_unknown(node):
    """An order whose response was cut must not run again when resent."""
    node.upstream.handler = inprocess.answer(body=None)
    key = node.issue_key()
    first = await node.order(key).run()
    assert first.cut
    assert not first.complete
    node.upstream.handler = inprocess.answer()
    second = await node.order(key).run()
    assert second.outcome == UNKNOWN
    assert len(node.upstream.sent) == 1


@inprocess.test
async def test_lost_answer_of_an_order_is_unknown(node):
    """An order whose connection broke must not run again when resent."""

    async def handle(address, request):
        return inprocess.lost(dispatched=True)

    node.add_member()
    node.upstream.handler = handle
    key = node.issue_key()
    assert (await node.order(key).run()).outcome == UNKNOWN
    assert (await node.order(key).run()).outcome == UNKNOWN
    assert len(node.upstream.sent) == 1
    assert node.nodes.sent == []
