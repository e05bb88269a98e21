"""Tests of `CallerApp` on fake transports."""

import json

from medlardoor import errors
from medlardoor.node.tests import inprocess, system


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
