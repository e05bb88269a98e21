"""Tests of the operator command."""

import json
import pathlib
import socket

import anyio
from cleo.io import buffered_io
from cleo.io.inputs import argv_input
import pytest

from medlardoor.cli import (
    admin_client,
    operator,
    promote_command,
    rendering,
)
from medlardoor.cli.tests import scripted_node
from medlardoor.config import document, settings
from medlardoor.teams import keys

EXAMPLE = (
    pathlib.Path(document.__file__).parent / "examples/derwent/document.jsonc"
)
TEXT = EXAMPLE.read_text()
STATUS = {
    "environment": "derwent",
    "service": "inventory",
    "instance": "inventory-1",
    "failure_domain": "a",
    "version": 1234567,
    "trial": True,
    "phase": "serving",
    "isolated": False,
    "confirmed_age_s": 3.2,
    "limit": 40,
    "in_flight": 12,
    "queued": 0,
    "level": 128,
    "members": [
        {
            "instance": "inventory-2",
            "service": "inventory",
            "state": "serving",
            "failure_domain": "b",
            "version": 1234567,
            "level": 0,
        }
    ],
}
PROMOTE = "POST /v1/promote"
DOCUMENT = "GET /v1/document"


@pytest.fixture(autouse=True)
def _environment(monkeypatch):
    monkeypatch.delenv("MEDLARDOOR_NODE", raising=False)
    monkeypatch.delenv("MEDLARDOOR_TOKEN", raising=False)


def _run(*arguments):
    """Exit code and output of one command line."""
    created = operator.create_application()
    created.auto_exits(False)
    io = buffered_io.BufferedIO(
        argv_input.ArgvInput(["medlardoor", *map(str, arguments)])
    )
    code = operator.run(created, io)
    return code, io.fetch_output()


def _promote(node, *arguments):
    return _run(
        "promote",
        EXAMPLE,
        "--node",
        node.url,
        "--expect-version",
        7,
        *arguments,
    )


def test_check_works_without_a_node(tmp_path):
    """A document cannot be checked while the nodes are not reachable."""
    assert _run("check", EXAMPLE) == (0, "valid\n")
    wrong = tmp_path / "document.jsonc"
    wrong.write_text(TEXT.replace('"retry_budget": 3', '"retry_budget": 99'))
    code, text = _run("check", wrong, "--json")
    (fault,) = json.loads(text)["faults"]
    assert code == 1
    assert fault["path"].endswith("build_order.retry_budget")
    assert "99" in wrong.read_text().splitlines()[fault["line"] - 1]


def test_check_at_the_node():
    """Faults that only the node finds are not shown."""
    fault = {"path": "$.environment", "line": 3, "expected": "kavango"}
    answers = {"POST /v1/check": [(422, {"valid": False, "faults": [fault]})]}
    with scripted_node.serve(answers) as node:
        code, text = _run("check", EXAMPLE, "--node", node.url, "--token", "t")
        assert code == 1
        assert "line 3: $.environment" in text
        _, headers, body = node.requests[0]
        assert headers["Authorization"] == "Bearer t"
        assert body == TEXT


@pytest.mark.parametrize(
    "arguments",
    [
        ("unknown",),
        ("check",),
        ("status",),
        ("status", "--node", "ftp://127.0.0.1"),
        ("status", "--node", "http://127.0.0.1:1", "--token", "a\nb"),
        ("promote", EXAMPLE, "--node", "http://127.0.0.1:1"),
        ("promote", EXAMPLE, "--expect-version", "-1"),
        ("diff", "--node", "http://127.0.0.1:1"),
        ("diff", EXAMPLE, "--to-version", "3"),
    ],
)
def test_wrong_command_lines(arguments):
    """A mistyped command is taken for a refused or a failed one."""
    assert _run(*arguments)[0] == 2


def test_promote():
    """A promotion loses its options, or its version is not shown."""
    with scripted_node.serve({PROMOTE: [(200, {"version": 8})]}) as node:
        code, text = _promote(node, "--trial", "--note", "more <b>stock</b>")
        assert (code, text) == (0, "promoted version 8\n")
        assert json.loads(node.bodies(PROMOTE)[0]) == {
            "text": TEXT,
            "expected_version": 7,
            "trial": True,
            "note": "more <b>stock</b>",
        }


def test_conflict_shows_the_changes():
    """The losing operator is not told what is in force."""
    difference = {"path": "kinds.a.weight", "old": "1", "new": "2"}
    body = {"version": 9, "differences": [difference], "author": "b\x1b[2Jen"}
    with scripted_node.serve({PROMOTE: [(409, body)]}) as node:
        code, text = _promote(node)
        assert code == 3
        assert "version 9 by b?[2Jen" in text
        assert "~ kinds.a.weight\n  1 -> 2\n" in text


@pytest.mark.parametrize(
    ("answer", "documents", "code", "shown"),
    [
        (scripted_node.LOST, [(7, "old", ""), (8, TEXT, "n")], 0, "version 8"),
        (scripted_node.LOST, [(8, "other", "n")], 3, "another document"),
        (scripted_node.LOST, [(7, "old", "")], 4, "RESULT UNKNOWN"),
        ((503, {"detail": "slow"}), [(8, TEXT, "n")], 0, "version 8"),
        ((503, {"detail": "slow"}), [(7, "old", "")], 4, "slow"),
        ((200, {}), [(8, TEXT, "n")], 0, "version 8"),
    ],
)
def test_lost_answer_is_read_back(answer, documents, code, shown):
    """A promotion without an answer is sent again or reported wrongly."""
    answers = {
        PROMOTE: [answer],
        DOCUMENT: [
            (200, {"version": version, "enforced": text, "note": note})
            for version, text, note in documents
        ],
    }
    with scripted_node.serve(answers) as node:
        options = settings.OperatorSettings(
            node=node.url, read_back_pause_s=0.001
        )
        call = promote_command.PromotionCall(
            admin_client.AdminClient(options), options
        )
        request = promote_command.PromotionRequest(TEXT, 7, False, "n")
        report = anyio.run(call.run, request)
        assert report.code == code
        assert shown in " ".join(report.lines)
        assert len(node.bodies(PROMOTE)) == 1


def test_node_that_is_away_got_nothing():
    """An unreachable node is reported as an unknown result."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        url = f"http://127.0.0.1:{unused.getsockname()[1]}"
        code, text = _run(
            "promote", EXAMPLE, "--node", url, "--expect-version", "1"
        )
    assert code == 4
    assert text.startswith("Nothing was promoted.")


def test_reports_fit_a_phone():
    """A report is wider than a phone or lacks its content."""
    refusal = {
        "team": "workshop",
        "kind": "stock_check",
        "reason": "overload",
        "outcome": "not-run",
        "count": 123456,
        "first_age_s": 4000,
        "last_age_s": 1.5,
        "trial": False,
    }
    entries = [
        {"version": 5, "author": "ana", "note": "a", "trial": False},
        {"version": 8, "author": "ben", "note": "note " * 20, "trial": True},
    ]
    difference = {"path": "kinds.stock_check", "old": None, "new": "x " * 60}
    answers = {
        "GET /v1/status": [(200, STATUS)],
        "GET /v1/history": [(200, {"entries": entries})],
        "GET /v1/refusals": [(200, {"refusals": [refusal]})],
        "POST /v1/diff": [(200, {"version": 8, "differences": [difference]})],
        "POST /v1/diff?version=5": [(200, {"version": 8, "differences": []})],
    }
    shown = {
        ("status",): "inventory-2 serving",
        ("history",): "8 ben (trial)",
        ("refusals",): "123456 workshop/stock_check",
        ("diff", EXAMPLE): "+ kinds.stock_check",
        ("diff", "--to-version", "5"): "no differences",
    }
    with scripted_node.serve(answers) as node:
        for arguments, expected in shown.items():
            code, text = _run(*arguments, "--node", node.url)
            assert code == 0
            assert expected in text
            assert max(map(len, text.splitlines())) <= rendering.WIDTH
            code, text = _run(*arguments, "--node", node.url, "--json")
            assert json.loads(text)["exit_code"] == code == 0


@pytest.mark.parametrize(
    ("answer", "code"),
    [
        ((401, {"title": "no"}), 1),
        ((500, {}), 4),
        ((200, {"version": "x"}), 4),
        ((200, []), 4),
        (scripted_node.LOST, 4),
    ],
)
def test_answers_that_cannot_be_shown(answer, code):
    """An error of the node ends the command with an exception."""
    with scripted_node.serve({"GET /v1/status": [answer]}) as node:
        assert _run("status", "--node", node.url)[0] == code


def test_new_key_matches_its_digest():
    """A caller's key is refused because its digest belongs to another one."""
    code, output = _run("new-key", "--json")
    assert code == 0
    found = json.loads(output)
    assert found["digest"] == keys.digest_text(found["key"])
    assert json.loads(_run("new-key", "--json")[1])["key"] != found["key"]
