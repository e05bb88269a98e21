"""Tests of requests that wait for a token of their team."""

import contextlib
import dataclasses

import pytest

from medlardoor.mesh.tests import group as group_module
from medlardoor.mesh.tests import lending_group
from medlardoor.teams import sharding

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("has_lender", [False, True])
async def test_request_without_a_token_is_served_when_the_limit_is_lifted(
    monkeypatch, has_lender
):
    """Waiting requests were never answered after the last limit was lifted.

    They wait for a lender, or for the answer of one that is lost.
    """
    patient = dataclasses.replace(lending_group.LIMITS, request_timeout_s=30.0)
    async with group_module.run_group(
        lending_group.MEMBERS,
        lending_group.document(1_000, 1_000),
        limits=patient,
    ) as group:
        await lending_group.wait_until_lent(group)
        shard = sharding.shard_of("t1", lending_group.LIMITS.shards)
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
            responses.append(
                await member.call("/read/1", lines=lending_group.KEY_LINE)
            )

        group.tasks.start_soon(call)
        await group_module.wait_until(
            lambda: lending._pending if has_lender else lending._waiting
        )
        group.publish(*lending_group.document(0, 0))
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
    patient = dataclasses.replace(
        lending_group.LIMITS, request_timeout_s=30.0, **limits
    )
    async with group_module.run_group(
        lending_group.MEMBERS,
        lending_group.document(1_000, 1_000),
        limits=patient,
    ) as group:
        await lending_group.wait_until_lent(group)
        await lending_group.fill_bucket(group, burst=1_000)
        member = group.members["s1"]
        lending = member.node._lending
        monkeypatch.setattr(lending._pledges, "lender_of", lambda shard: None)
        responses = {}

        async def call(attempt_id, fields):
            responses[attempt_id] = await member.call(
                "/read/1", attempt_id, lines=lending_group.KEY_LINE, **fields
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
        (*lending_group.ROUTES, "team t1 k1 2 1000 1000"),
        (*lending_group.ROUTES, "team t1 k1 0 1000 1000"),
        (*lending_group.ROUTES, "team t2 k2 3 1000 1000"),
        (lending_group.ROUTES[1], "team t1 k1 4 1000 1000"),
        ("/other/ stock safe 7", "team t2 k2 5 1000 1000"),
        lending_group.ROUTES,
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


async def test_error_of_a_waiting_request_ends_it_alone(monkeypatch):
    """An exception for one waiting request dropped all those beside it."""
    calls = {"first": {}, "bad": {}, "last": {}}
    async with _requests_without_a_token(monkeypatch, calls) as (
        _,
        member,
        responses,
    ):
        entry_levels = member.node._dispatcher.entry_levels
        level = entry_levels.level
        monkeypatch.undo()

        def fail(route, team, attempt_id, now):
            if attempt_id == b"bad":
                raise KeyError(attempt_id)
            return level(route, team, attempt_id, now)

        monkeypatch.setattr(entry_levels, "level", fail)
        await group_module.wait_until(lambda: len(responses) == 3)
        statuses = {name: r.status for name, r in responses.items()}
        assert statuses == {"first": 200, "bad": 502, "last": 200}
        assert responses["bad"].headers["medlardoor-outcome"] == "unknown"


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
