"""Tests of limits of teams through nodes on loopback."""

import contextlib
import dataclasses
import itertools

import anyio
import pytest

from medlardoor.membership import neighbours
from medlardoor.mesh.tests import group as group_module
from medlardoor.teams import lender as lender_module
from medlardoor.teams import settings, sharding

pytestmark = pytest.mark.anyio

LIMITS = settings.LimitSettings(
    pledge_interval_s=0.1, pledge_valid_s=0.5, settle_s=0.3
)
MEMBERS = (("s1", "stock"), ("s2", "stock"), ("o1", "orders"), ("o2", "orders"))
ROUTES = ("/read/ stock safe 2", "/order/ orders unsafe 0")
KEY_LINE = ("Authorization: Bearer k1",)
_ids = itertools.count()


def _document(rate_per_s, burst):
    return (*ROUTES, f"team t1 k1 1 {rate_per_s} {burst}")


def _lent_share(group):
    return sum(
        sum(member.node._lending.shares().values())
        for member in group.members.values()
    )


async def _wait_until_lent(group, share=1.0):
    """Waits until the preferred lender of each shard has all shares."""

    def is_lent():
        for shard in range(LIMITS.shards):
            (name,) = sharding.rank_lenders(shard, group.members, 1)
            shares = group.members[name].node._lending.shares()
            if abs(shares[shard] - share) > 1e-6:
                return False
        return True

    await group_module.wait_until(is_lent, timeout_s=10.0)


async def _fill_bucket(group, burst):
    """Fills the bucket of the team, which would take minutes."""
    shard = sharding.shard_of("t1", LIMITS.shards)
    (name,) = sharding.rank_lenders(shard, group.members, 1)
    buckets = group.members[name].node._lending._lender._buckets
    await group_module.wait_until(
        lambda: "t1" in buckets and buckets["t1"]._capacity >= burst - 1e-6
    )
    buckets["t1"]._tokens = burst


async def _call_all(group, count, target="/read/1"):
    """Sends requests to the nodes in turn and returns the responses."""
    members = itertools.cycle(group.members.values())
    responses = []
    for _ in range(count):
        responses.append(
            await next(members).call(
                target, f"l{next(_ids)}", method="POST", lines=KEY_LINE
            )
        )
    return responses


async def test_limit_holds_over_all_nodes():
    """Each node grants the limit of a team for itself."""
    async with group_module.run_group(
        MEMBERS, _document(0.2, 20), limits=LIMITS
    ) as group:
        await _wait_until_lent(group)
        await _fill_bucket(group, burst=20)
        responses = await _call_all(group, 32)
        statuses = [response.status for response in responses]
        assert 14 <= statuses.count(200) <= 18
        limited = [r for r in responses if r.status == 429]
        assert len(limited) == 32 - statuses.count(200)
        assert all(float(r.headers["retry-after"]) > 0 for r in limited)
        assert b"rate_limited" in limited[0].body
        # The last tokens are kept for orders.
        orders = await _call_all(group, 8, "/order/1")
        assert 2 <= [r.status for r in orders].count(200) <= 6


async def test_requests_within_the_limit_are_served_by_every_node():
    """A node refuses what the team is owed because others have its tokens."""
    async with group_module.run_group(
        MEMBERS, _document(200, 200), limits=LIMITS
    ) as group:
        await _wait_until_lent(group)
        await _fill_bucket(group, burst=200)
        responses = await _call_all(group, 40)
        assert [r.status for r in responses] == [200] * 40


async def test_refused_requests_return_their_tokens():
    """Requests that were never run use up the limit of their team."""
    async with group_module.run_group(
        MEMBERS, _document(0.1, 40), limits=LIMITS
    ) as group:
        await _wait_until_lent(group)
        await _fill_bucket(group, burst=40)
        for name in ("o1", "o2"):
            group.members[name].upstream.crash()
        refused = await _call_all(group, 60, "/order/1")
        assert {r.status for r in refused} == {503}
        await anyio.sleep(0.3)
        responses = await _call_all(group, 20)
        assert [r.status for r in responses] == [200] * 20


async def test_planned_stop_of_lenders_passes_the_limit_on():
    """A team is refused for seconds after a planned stop of a lender."""
    async with group_module.run_group(
        MEMBERS, _document(1_000, 1_000), limits=LIMITS
    ) as group:
        await _wait_until_lent(group)
        stopping = group.members.pop("s1")
        stopping.stop.set()
        await _wait_until_lent(group)
        await stopping.done.wait()
        await _wait_until_lent(group)
        await anyio.sleep(0.2)
        responses = await _call_all(group, 12)
        assert [r.status for r in responses] == [200] * 12


async def test_lost_node_keeps_its_share():
    """The share of a node that may only be cut off is used by others."""
    async with group_module.run_group(
        MEMBERS, _document(1_000, 1_000), limits=LIMITS
    ) as group:
        await _wait_until_lent(group)
        group.members.pop("o2").scope.cancel()
        await _wait_until_lent(group, 0.75)


async def test_document_without_limits_needs_no_lenders():
    """A fleet without limits pays for the exchange of pledges."""
    async with group_module.run_group(MEMBERS, ROUTES, limits=LIMITS) as group:
        await anyio.sleep(0.6)
        assert _lent_share(group) == 0.0
        member = group.members["s1"]
        assert (await member.call("/read/1")).status == 200


async def test_restarted_fleet_lends_as_soon_as_it_is_linked():
    """After a loss of power, teams are refused until no new node appears."""
    patient = dataclasses.replace(LIMITS, settle_s=600.0)
    async with group_module.run_group(
        MEMBERS, _document(1_000, 1_000), limits=patient
    ) as group:
        for member in group.members.values():
            member.scope.cancel()
            await member.done.wait()
        for member in group.members.values():
            await member.start_node(group.tasks)
        await group.wait_until_settled()
        await _wait_until_lent(group)


async def test_new_node_becomes_lender_only_when_it_can_lend():
    """Nodes pledge to a node that has just started, which lends nothing."""
    async with group_module.run_group(
        MEMBERS, _document(1_000, 1_000), limits=LIMITS
    ) as group:
        await _wait_until_lent(group)
        first = next(
            name
            for name in (f"n{n}" for n in itertools.count())
            if sharding.rank_lenders(0, [name, *group.members], 1) == [name]
        )
        settling = dataclasses.replace(LIMITS, settle_s=600.0)
        await group.add(first, "stock", limits=settling)
        await group.wait_until_settled()
        await anyio.sleep(3 * LIMITS.pledge_valid_s)
        assert _lent_share(group) == pytest.approx(LIMITS.shards)
        for member in group.members.values():
            member.node._lending._lender.end_settling()
        await group_module.wait_until(
            lambda: group.members[first].node._lending.shares()[0] == 1.0
        )


async def test_request_waits_for_a_lender():
    """Requests are refused while shares pass from one lender to another."""
    patient = dataclasses.replace(LIMITS, request_timeout_s=5.0)
    async with group_module.run_group(
        MEMBERS, _document(1_000, 1_000), limits=patient
    ) as group:
        members = list(group.members.values())
        assert any(
            member.node._lending.shares()[shard] < 1.0
            for member in members
            for shard in range(LIMITS.shards)
        )
        response = await members[0].call("/order/1", "w1", lines=KEY_LINE)
        assert response.status == 200


@pytest.mark.parametrize("name", ["s1", "s2", "o1", "o2"])
async def test_request_that_starts_a_bucket_waits_for_its_first_token(
    monkeypatch, name
):
    """The first request of a team at a new lender is refused with 429.

    Lenders start the buckets of all teams several times a second. Without
    this, the request is always the one that starts the bucket.
    """
    monkeypatch.setattr(lender_module.Lender, "refresh", lambda *args: None)
    patient = dataclasses.replace(LIMITS, request_timeout_s=5.0)
    async with group_module.run_group(
        MEMBERS, _document(1_000, 1_000), limits=patient
    ) as group:
        await _wait_until_lent(group)
        member = group.members[name]
        response = await member.call("/order/1", "w1", lines=KEY_LINE)
        assert response.status == 200


async def test_candidate_that_cannot_be_linked_is_no_standby(monkeypatch):
    """A lender is replaced only after dials to lost nodes have timed out."""
    async with group_module.run_group(
        MEMBERS, _document(1_000, 1_000), limits=LIMITS
    ) as group:
        await _wait_until_lent(group)
        member = group.members["s1"]
        roster = member.node._fleet.roster
        monkeypatch.setattr(roster, "_dial", lambda peer: None)
        lost = [
            name
            for name in (f"n{n}" for n in range(200))
            if sharding.rank_lenders(0, [name, *group.members], 1) == [name]
        ][:3]
        for name in lost:
            node = neighbours.KnownNode(name, "stock", "d1")
            roster.record_node(node, member.settings.advertised_address)
        await group_module.wait_until(
            lambda: set(lost) <= set(roster.lender_candidates(0))
        )
        await group_module.wait_until(lambda: set(lost) <= roster._neighbours)
        linked = [n for n in roster.lender_candidates(0) if n not in lost]
        standby = [n for n in linked if n in roster._standby_lenders]
        assert len(standby) >= LIMITS.standby_links


async def test_new_lender_gets_shares_before_the_next_interval():
    """Each change of lenders leaves shares unused for an interval."""
    slow = dataclasses.replace(
        LIMITS, pledge_interval_s=30.0, pledge_valid_s=90.0
    )
    async with group_module.run_group(
        MEMBERS, _document(1_000, 1_000), limits=slow
    ) as group:
        await _wait_until_lent(group)
        stopping = group.members.pop("s1")
        stopping.stop.set()
        await _wait_until_lent(group)


async def test_link_that_fails_towards_the_lender_is_closed():
    """A team is refused for good at a node whose messages are lost.

    Without tokens the node sends no calls, so no call shows that the link
    works in one direction only.
    """
    limits = dataclasses.replace(LIMITS, answer_timeout_s=0.5)
    async with group_module.run_group(
        MEMBERS, _document(1_000, 1_000), limits=limits
    ) as group:
        await _wait_until_lent(group)
        (name,) = sharding.rank_lenders(0, group.members, 1)
        other = next(m for n, m in group.members.items() if n != name)
        link = other.node._fleet.roster.open_link(name)
        link.send = lambda frame: True
        await group_module.wait_until(
            lambda: other.node._fleet.roster.open_link(name) not in (None, link)
        )
        await _wait_until_lent(group)


@pytest.mark.parametrize("has_lender", [False, True])
async def test_request_without_a_token_is_served_when_the_limit_is_lifted(
    monkeypatch, has_lender
):
    """Waiting requests were never answered after the last limit was lifted.

    They wait for a lender, or for the answer of one that is lost.
    """
    patient = dataclasses.replace(LIMITS, request_timeout_s=30.0)
    async with group_module.run_group(
        MEMBERS, _document(1_000, 1_000), limits=patient
    ) as group:
        await _wait_until_lent(group)
        shard = sharding.shard_of("t1", LIMITS.shards)
        (name,) = sharding.rank_lenders(shard, group.members, 1)
        member = next(m for n, m in group.members.items() if n != name)
        lending = member.node._lending
        if has_lender:
            lender = group.members[name].node._lending
            monkeypatch.setattr(lender, "_on_token_request", lambda *a: None)
        else:
            monkeypatch.setattr(
                lending._pledges, "lender_of", lambda shard: None
            )
        responses = []

        async def call():
            responses.append(await member.call("/read/1", lines=KEY_LINE))

        group.tasks.start_soon(call)
        await group_module.wait_until(
            lambda: lending._pending if has_lender else lending._waiting
        )
        group.publish(*_document(0, 0))
        await group_module.wait_until(lambda: responses, timeout_s=1.0)
        assert responses[0].status == 200
        assert not member.node._dispatcher.in_progress


@contextlib.asynccontextmanager
async def _requests_without_a_token(monkeypatch, calls, **limits):
    """Runs requests that wait for a lender; yields group, member and results.

    The results are by attempt identifier. The member finds its lender again
    when `monkeypatch` is undone.

    Args:
        monkeypatch: Fixture of the test.
        calls: Fields of the calls by attempt identifier.
        **limits: Changed settings of limits.
    """
    patient = dataclasses.replace(LIMITS, request_timeout_s=30.0, **limits)
    async with group_module.run_group(
        MEMBERS, _document(1_000, 1_000), limits=patient
    ) as group:
        await _wait_until_lent(group)
        await _fill_bucket(group, burst=1_000)
        member = group.members["s1"]
        lending = member.node._lending
        monkeypatch.setattr(lending._pledges, "lender_of", lambda shard: None)
        responses = {}

        async def call(attempt_id, fields):
            responses[attempt_id] = await member.call(
                "/read/1", attempt_id, lines=KEY_LINE, **fields
            )

        for count, (attempt_id, fields) in enumerate(calls.items(), 1):
            group.tasks.start_soon(call, attempt_id, fields)
            await group_module.wait_until(
                lambda: len(lending._waiting) == count  # noqa: B023
            )
        yield group, member, responses
        assert not member.node._dispatcher.in_progress


@pytest.mark.parametrize(
    "document",
    [
        (*ROUTES, "team t1 k1 2 1000 1000"),
        (*ROUTES, "team t1 k1 0 1000 1000"),
        (*ROUTES, "team t2 k2 3 1000 1000"),
        (ROUTES[1], "team t1 k1 4 1000 1000"),
        ("/other/ stock safe 7", "team t2 k2 5 1000 1000"),
        ROUTES,
    ],
    ids=["priority", "raised", "team", "route", "all", "no teams"],
)
async def test_request_that_waits_for_a_token_outlasts_a_new_document(
    monkeypatch, document
):
    """Requests that waited for a token were never answered.

    Their team was ranked in a newer document, which does not list its priority.
    """
    async with _requests_without_a_token(monkeypatch, {"w1": {}}) as (
        group,
        member,
        responses,
    ):
        before = member.node._holder.table
        group.publish(*document)
        await group_module.wait_until(
            lambda: member.node._holder.table is not before
        )
        monkeypatch.undo()
        await group_module.wait_until(lambda: responses)
        assert responses["w1"].status == 200


async def test_wait_for_a_token_ends_at_the_deadline(monkeypatch):
    """A request that waited for a token had no time limit of its own."""
    calls = {"w1": {"deadline_ms": 200}}
    async with _requests_without_a_token(monkeypatch, calls) as (
        _,
        member,
        responses,
    ):
        await group_module.wait_until(lambda: responses)
        assert responses["w1"].status == 503
        assert responses["w1"].headers["medlardoor-outcome"] == "not-run"
        assert not member.node._dispatcher.in_progress
        monkeypatch.undo()
        # The token that comes too late is returned.
        lending = member.node._lending
        await group_module.wait_until(lambda: not lending._waiting)
        await group_module.wait_until(lambda: not lending._pending)
        assert not member.upstream.runs
