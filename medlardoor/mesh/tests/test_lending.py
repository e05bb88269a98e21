"""Tests of limits of teams through nodes on loopback."""

import dataclasses
import itertools

import anyio
import pytest

from medlardoor.membership import neighbours
from medlardoor.mesh.tests import group as group_module
from medlardoor.mesh.tests import lending_group
from medlardoor.teams import lender as lender_module
from medlardoor.teams import sharding

pytestmark = pytest.mark.anyio

_ids = itertools.count()


def _lent_share(group):
    return sum(
        sum(member.node._lending.shares().values())
        for member in group.members.values()
    )


async def _call_all(group, count, target="/read/1"):
    """Sends requests to the nodes in turn and returns the responses."""
    members = itertools.cycle(group.members.values())
    responses = []
    for _ in range(count):
        responses.append(
            await next(members).call(
                target,
                f"l{next(_ids)}",
                method="POST",
                lines=lending_group.KEY_LINE,
            )
        )
    return responses


async def test_limit_holds_over_all_nodes():
    """Each node grants the limit of a team for itself."""
    async with group_module.run_group(
        lending_group.MEMBERS,
        lending_group.document(0.2, 20),
        limits=lending_group.LIMITS,
    ) as group:
        await lending_group.wait_until_lent(group)
        await lending_group.fill_bucket(group, burst=20)
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
        lending_group.MEMBERS,
        lending_group.document(200, 200),
        limits=lending_group.LIMITS,
    ) as group:
        await lending_group.wait_until_lent(group)
        await lending_group.fill_bucket(group, burst=200)
        responses = await _call_all(group, 40)
        assert [r.status for r in responses] == [200] * 40


async def test_refused_requests_return_their_tokens():
    """Requests that were never run use up the limit of their team."""
    async with group_module.run_group(
        lending_group.MEMBERS,
        lending_group.document(0.1, 40),
        limits=lending_group.LIMITS,
    ) as group:
        await lending_group.wait_until_lent(group)
        await lending_group.fill_bucket(group, burst=40)
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
        lending_group.MEMBERS,
        lending_group.document(1_000, 1_000),
        limits=lending_group.LIMITS,
    ) as group:
        await lending_group.wait_until_lent(group)
        stopping = group.members.pop("s1")
        stopping.stop.set()
        await lending_group.wait_until_lent(group)
        await stopping.done.wait()
        await lending_group.wait_until_lent(group)
        await anyio.sleep(0.2)
        responses = await _call_all(group, 12)
        assert [r.status for r in responses] == [200] * 12


async def test_lost_node_keeps_its_share():
    """The share of a node that may only be cut off is used by others."""
    async with group_module.run_group(
        lending_group.MEMBERS,
        lending_group.document(1_000, 1_000),
        limits=lending_group.LIMITS,
    ) as group:
        await lending_group.wait_until_lent(group)
        group.members.pop("o2").scope.cancel()
        await lending_group.wait_until_lent(group, 0.75)


async def test_document_without_limits_needs_no_lenders():
    """A fleet without limits pays for the exchange of pledges."""
    async with group_module.run_group(
        lending_group.MEMBERS, lending_group.ROUTES, limits=lending_group.LIMITS
    ) as group:
        await anyio.sleep(0.6)
        assert _lent_share(group) == 0.0
        member = group.members["s1"]
        assert (await member.call("/read/1")).status == 200


async def test_restarted_fleet_lends_as_soon_as_it_is_linked():
    """After a loss of power, teams are refused until no new node appears."""
    patient = dataclasses.replace(lending_group.LIMITS, settle_s=600.0)
    async with group_module.run_group(
        lending_group.MEMBERS,
        lending_group.document(1_000, 1_000),
        limits=patient,
    ) as group:
        for member in group.members.values():
            member.scope.cancel()
            await member.done.wait()
        for member in group.members.values():
            await member.start_node(group.tasks)
        await group.wait_until_settled()
        await lending_group.wait_until_lent(group)


async def test_new_node_becomes_lender_only_when_it_can_lend():
    """Nodes pledge to a node that has just started, which lends nothing."""
    async with group_module.run_group(
        lending_group.MEMBERS,
        lending_group.document(1_000, 1_000),
        limits=lending_group.LIMITS,
    ) as group:
        await lending_group.wait_until_lent(group)
        first = next(
            name
            for name in (f"n{n}" for n in itertools.count())
            if sharding.rank_lenders(0, [name, *group.members], 1) == [name]
        )
        settling = dataclasses.replace(lending_group.LIMITS, settle_s=600.0)
        await group.add(first, "stock", limits=settling)
        await group.wait_until_settled()
        await anyio.sleep(3 * lending_group.LIMITS.pledge_valid_s)
        assert _lent_share(group) == pytest.approx(lending_group.LIMITS.shards)
        for member in group.members.values():
            member.node._lending._lender.end_settling()
        await group_module.wait_until(
            lambda: group.members[first].node._lending.shares()[0] == 1.0
        )


async def test_request_waits_for_a_lender():
    """Requests are refused while shares pass from one lender to another."""
    patient = dataclasses.replace(lending_group.LIMITS, request_timeout_s=5.0)
    async with group_module.run_group(
        lending_group.MEMBERS,
        lending_group.document(1_000, 1_000),
        limits=patient,
    ) as group:
        members = list(group.members.values())
        assert any(
            member.node._lending.shares()[shard] < 1.0
            for member in members
            for shard in range(lending_group.LIMITS.shards)
        )
        response = await members[0].call(
            "/order/1", "w1", lines=lending_group.KEY_LINE
        )
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
    patient = dataclasses.replace(lending_group.LIMITS, request_timeout_s=5.0)
    async with group_module.run_group(
        lending_group.MEMBERS,
        lending_group.document(1_000, 1_000),
        limits=patient,
    ) as group:
        await lending_group.wait_until_lent(group)
        member = group.members[name]
        response = await member.call(
            "/order/1", "w1", lines=lending_group.KEY_LINE
        )
        assert response.status == 200


async def test_candidate_that_cannot_be_linked_is_no_standby(monkeypatch):
    """A lender is replaced only after dials to lost nodes have timed out."""
    async with group_module.run_group(
        lending_group.MEMBERS,
        lending_group.document(1_000, 1_000),
        limits=lending_group.LIMITS,
    ) as group:
        await lending_group.wait_until_lent(group)
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
        assert len(standby) >= lending_group.LIMITS.standby_links


async def test_new_lender_gets_shares_before_the_next_interval():
    """Each change of lenders leaves shares unused for an interval."""
    slow = dataclasses.replace(
        lending_group.LIMITS, pledge_interval_s=30.0, pledge_valid_s=90.0
    )
    async with group_module.run_group(
        lending_group.MEMBERS, lending_group.document(1_000, 1_000), limits=slow
    ) as group:
        await lending_group.wait_until_lent(group)
        stopping = group.members.pop("s1")
        stopping.stop.set()
        await lending_group.wait_until_lent(group)


async def test_link_that_fails_towards_the_lender_is_closed():
    """A team is refused for good at a node whose messages are lost.

    Without tokens the node sends no calls, so no call shows that the link
    works in one direction only.
    """
    limits = dataclasses.replace(lending_group.LIMITS, answer_timeout_s=0.5)
    async with group_module.run_group(
        lending_group.MEMBERS,
        lending_group.document(1_000, 1_000),
        limits=limits,
    ) as group:
        await lending_group.wait_until_lent(group)
        (name,) = sharding.rank_lenders(0, group.members, 1)
        other = next(m for n, m in group.members.items() if n != name)
        link = other.node._fleet.roster.open_link(name)
        link.send = lambda frame: True
        await group_module.wait_until(
            lambda: other.node._fleet.roster.open_link(name) not in (None, link)
        )
        await lending_group.wait_until_lent(group)
