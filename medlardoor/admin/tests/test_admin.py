"""Tests of the administration API and of access to it."""

import json

import anyio
import pytest
import result

from medlardoor import errors
from medlardoor.admin import api, page, tokens
from medlardoor.blackboard import board as board_module
from medlardoor.blackboard import topics
from medlardoor.calls import context
from medlardoor.config import diff, policy
from medlardoor.config import settings as settings_module
from medlardoor.promotion import promoter
from medlardoor.report import recorder

FAULT = errors.Fault("$.teams", 3, "an object")
INVALID = result.Err(errors.InvalidInput("document", (FAULT,)))
DIFFERENCE = diff.Difference("kinds.check.weight", "1", "2")


class ScriptedPromotion(api.PromotionService):
    """Gives a prepared result and keeps the arguments."""

    def __init__(self, outcome=None):
        self.outcome = outcome
        self.calls = []

    def check(self, text):
        self.calls.append(text)
        return self.outcome

    async def compare(self, text):
        return self.check(text)

    async def compare_version(self, version):
        return self.check(version)

    async def promote(self, request):
        return self.check(request)

    async def history(self):
        return self.outcome


def _board():
    board = board_module.Blackboard("s-1", "s", "a")
    objective = policy.Objective(0.99, 400, 300, 3_600)
    kind = policy.Kind(
        "check",
        "workshop",
        "s",
        "GET",
        "/",
        "c",
        0,
        True,
        1.0,
        3,
        1,
        1,
        objective,
    )
    board.policy.policy = policy.Policy("e", ("c",), {"check": kind}, {})
    board.policy.version = 7
    board.policy.value = b'{"enforced": "{}", "author": "sales"}'
    board.limits.effective_level = 130
    other = topics.Member("t-1", "t", 1, document_version=6)
    board.membership.services["t"] = {"t-1": other}
    return board


def _ask(method, target, body=b"", promotion=None, app=None, **changes):
    """Calls the application and gives status code and body."""
    if app is None:
        app = api.AdminApp(
            changes.pop("board", None) or _board(),
            settings_module.AdminSettings(tokens=changes.pop("tokens", {})),
            "derwent",
            promotion or ScriptedPromotion(),
            changes.pop("begin_drain", lambda: None),
        )
    path, _, query = target.partition("?")
    headers = {"host": "127.0.0.1:1"} | changes.pop("headers", {})
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "query_string": query.encode(),
        "headers": [(k.encode(), v.encode()) for k, v in headers.items()],
        "client": (changes.pop("peer", "127.0.0.1"), 9),
    }
    sent = []

    async def receive():
        return {"type": "http.request", "body": body}

    async def send(message):
        sent.append(message)

    anyio.run(app, scope, receive, send)
    content = sent[1]["body"]
    return sent[0]["status"], content


def _ask_json(*arguments, **changes):
    status, content = _ask(*arguments, **changes)
    return status, json.loads(content)


def test_status_shows_which_version_is_in_force_where():
    """The operator cannot see that a promotion has not arrived."""
    status, found = _ask_json("GET", "/v1/status")
    assert (status, found["version"], found["level"]) == (200, 7, 130)
    assert found["environment"] == "derwent"
    assert found["confirmed_age_s"] is None
    versions = {row["instance"]: row["version"] for row in found["members"]}
    assert versions == {"s-1": 7, "t-1": 6}


def test_document_is_the_stored_object():
    """The operator edits another text than the one in force."""
    found = _ask_json("GET", "/v1/document")[1]
    assert (found["version"], found["enforced"]) == (7, "{}")
    assert (found["author"], found["trial"]) == ("sales", None)


def test_refusals_and_burn_show_what_was_recorded():
    """The page stays empty while requests are refused."""
    board = _board()
    found = recorder.OutcomeRecorder(board)
    call = context.CallContext(b"", 1, "workshop", "check", 0, 0, 0.0)
    now = anyio.run(_now)
    not_run, reason = errors.Outcome.NOT_RUN, errors.Reason.OVERLOAD
    found.record(call, not_run, reason, 0.0, now - 5)
    found.record_trial_refusal(call, reason, now - 700)
    rows = _ask_json("GET", "/v1/refusals", board=board)[1]["refusals"]
    assert [(r["kind"], r["count"], r["trial"]) for r in rows] == [
        ("check", 1, False)
    ]
    assert rows[0]["first_age_s"] == pytest.approx(5, abs=2)
    kinds = _ask_json("GET", "/v1/burn", board=board)[1]["kinds"]
    assert (kinds[0]["kind"], kinds[0]["short"]["burn"]) == ("check", 100.0)


async def _now():
    return anyio.current_time()


def test_promotion_passes_the_seen_version_and_the_team():
    """A change is made over another one or under a wrong name."""
    promotion = ScriptedPromotion(result.Ok(8))
    body = {"text": "x", "expected_version": 7, "trial": True, "note": "n"}
    status, found = _ask_json(
        "POST",
        "/v1/promote",
        json.dumps(body).encode(),
        promotion,
        tokens={"sales": "secret"},
        headers={"authorization": "Bearer secret"},
    )
    assert (status, found) == (200, {"version": 8})
    assert promotion.calls == [api.PromotionRequest("x", 7, True, "sales", "n")]


@pytest.mark.parametrize(
    ("outcome", "status", "key"),
    [
        (INVALID, 422, "faults"),
        (
            result.Err(api.ConflictingPromotion(9, "sales", (DIFFERENCE,))),
            409,
            "differences",
        ),
        (result.Err(errors.StoreUnavailable("documents/e")), 503, "detail"),
    ],
)
def test_each_failed_promotion_has_its_own_status(outcome, status, key):
    """The operator command takes a failed promotion for another one."""
    body = json.dumps({"text": "x", "expected_version": 7}).encode()
    promotion = ScriptedPromotion(outcome)
    found = _ask_json("POST", "/v1/promote", body, promotion)
    assert found[0] == status
    assert found[1][key]


def test_damaged_promotion_does_not_reach_the_service():
    """A promotion without the version seen overwrites another one."""
    promotion = ScriptedPromotion(result.Ok(1))
    for body in (b"{", b'{"text": "x"}', b"\xff"):
        status, found = _ask_json("POST", "/v1/promote", body, promotion)
        assert (status, found["valid"]) == (422, False)
    assert promotion.calls == []


def test_check_and_diff_answer_as_described():
    """The operator command cannot read what it asked for."""
    valid = ScriptedPromotion(result.Ok(None))
    assert _ask_json("POST", "/v1/check", b"d", valid)[1] == {"valid": True}
    status, found = _ask_json(
        "POST", "/v1/check", b"d", ScriptedPromotion(INVALID)
    )
    assert (status, found["faults"][0]["line"]) == (422, 3)
    compared = result.Ok(promoter.Comparison(7, (DIFFERENCE,)))
    promotion = ScriptedPromotion(compared)
    found = _ask_json("POST", "/v1/diff", b"d", promotion)[1]
    assert (found["version"], found["differences"][0]["new"]) == (7, "2")
    assert _ask("POST", "/v1/diff?version=5", b"", promotion)[0] == 200
    assert _ask("POST", "/v1/diff?version=x", b"", promotion)[0] == 400
    assert promotion.calls == ["d", 5]


def test_oversized_document_is_not_read_to_the_end():
    """A large body fills the memory of the node."""
    promotion = ScriptedPromotion(result.Ok(None))
    body = b"x" * (api.MAX_DOCUMENT_BYTES + 1)
    assert _ask("POST", "/v1/check", body, promotion)[0] == 422
    assert promotion.calls == []


def test_drain_needs_post():
    """A link or a prefetch stops a node."""
    begun = []
    begin = {"begin_drain": lambda: begun.append(1)}
    assert _ask("GET", "/v1/drain", **begin)[0] == 405
    assert begun == []
    assert _ask("POST", "/v1/drain", **begin)[0] == 200
    assert begun == [1]


def test_page_needs_no_external_resource():
    """The page stays blank where only the node can be reached."""
    status, content = _ask("GET", "/", peer="10.0.0.9", tokens={"a": "t"})
    assert (status, content) == (200, page.PAGE)
    for text in (b"http://", b"https://", b"src=", b"@import", b"url("):
        assert text not in content


@pytest.mark.parametrize(
    ("peer", "headers", "status"),
    [
        ("127.0.0.1", {}, 200),
        ("::1", {"host": "[::1]:1"}, 200),
        ("10.0.0.9", {}, 401),
        ("", {}, 401),
        ("127.0.0.1", {"host": "evil.example"}, 401),
        ("127.0.0.1", {"origin": "http://evil.example"}, 401),
        ("127.0.0.1", {"origin": "http://127.0.0.1:1"}, 200),
    ],
)
def test_without_tokens_only_this_machine_has_access(peer, headers, status):
    """Anyone on the network, or a page in a browser, drains a node."""
    assert _ask("GET", "/v1/status", peer=peer, headers=headers)[0] == status


@pytest.mark.parametrize(
    ("authorization", "team"),
    [
        ("Bearer one", "a"),
        ("bearer two", "b"),
        ("Bearer on", None),
        ("Bearer one1", None),
        ("Basic one", None),
        ("Bearer ", None),
        ("Bearer \u00fc", None),
        ("", None),
    ],
)
def test_a_token_names_its_team(authorization, team):
    """A wrong or empty token has access, or under another team's name."""
    access = tokens.AccessControl({"a": "one", "b": "two", "c": ""})
    found = access.team_of(tokens.AccessRequest(authorization, "127.0.0.1"))
    assert found == team
