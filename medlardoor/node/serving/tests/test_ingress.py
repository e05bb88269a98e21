"""Tests of `CallerApp` on fake transports."""

import json

from medlardoor import errors
from medlardoor.calls import exchange
from medlardoor.node.tests import inprocess, system
from medlardoor.teams import keys


def _object_on_trial(**changes):
    value = json.loads(inprocess.document_object())
    value["trial"] = json.dumps(system.DOCUMENT | changes)
    return json.dumps(value).encode()


@inprocess.test
async def test_document_on_trial_refuses_nothing(node):
    """A document on trial must count refusals without refusing requests."""
    teams = json.loads(json.dumps(system.DOCUMENT["teams"]))
    del teams["sales"]["kinds"]["stock_check"]
    offered = node.parts.adoption.offer(2, _object_on_trial(teams=teams), 0.0)
    assert offered.version == 2
    caller = await node.caller().run()
    assert caller.status == 200
    reason = errors.Reason.UNKNOWN_KIND.value
    refusals = node.board.outcomes.refusals
    assert [key for key in refusals if key[2]] == [
        ("stock_check", reason, True)
    ]


@inprocess.test
async def test_enforced_document_shows_no_trial_refusals(node):
    """Without a document on trial, no trial refusals may be counted."""
    assert (await node.caller().run()).status == 200
    assert not node.board.outcomes.refusals


def _object_with_keys(*secrets):
    teams = json.loads(json.dumps(system.DOCUMENT["teams"]))
    teams["sales"]["keys"] = [keys.digest_text(each) for each in secrets]
    value = json.loads(inprocess.document_object())
    value["enforced"] = json.dumps(system.DOCUMENT | {"teams": teams})
    return json.dumps(value).encode()


@inprocess.test
async def test_callers_of_a_team_need_its_key(node):
    """Callers without a key of the team must be refused, and only they."""
    sent = []
    handler = node.upstream.handler

    async def remember(address, request):
        sent.append(request)
        return await handler(address, request)

    node.upstream.handler = remember
    node.parts.adoption.offer(2, _object_with_keys("k1", "k2"), 0.0)
    for value in (None, "Bearer k3", "Basic k1", "Bearer"):
        headers = {} if value is None else {"authorization": value}
        refused = await node.caller(**headers).run()
        assert refused.status == 401
        assert refused.outcome == "not-run"
        assert refused.headers["www-authenticate"] == "Bearer"
    assert sent == []
    served = await node.caller(
        authorization="Bearer k2", medlardoor_team="other"
    ).run()
    assert served.status == 200
    (request,) = sent
    assert exchange.header_value(request.headers, b"authorization") is None
    named = [v for n, v in request.headers if n == b"medlardoor-team"]
    assert named == [b"sales"]


@inprocess.test
async def test_withdrawn_key_is_refused(node):
    """A key must be refused as soon as the document without it is in force."""
    node.parts.adoption.offer(2, _object_with_keys("k1", "k2"), 0.0)
    node.parts.adoption.offer(3, _object_with_keys("k2"), 0.0)
    assert (await node.caller(authorization="Bearer k1").run()).status == 401
    assert (await node.caller(authorization="Bearer k2").run()).status == 200
