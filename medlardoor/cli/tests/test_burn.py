"""Tests of the burn command."""

import json

import anyio
import anyio.abc
import pytest

from medlardoor.cli import burn as burn_cli

SPAN = {"span_s": 300, "total": 0, "bad": 0, "burn": 0.0, "latency": ""}


def _fetch(status_line, body, token=""):
    """Fetches from a server that gives one prepared answer."""
    requests = []

    async def answer(stream):
        async with stream:
            requests.append(await stream.receive())
            head = f"HTTP/1.1 {status_line}\r\nConnection: close\r\n"
            head += f"Content-Length: {len(body)}\r\n\r\n"
            await stream.send(head.encode() + body)

    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, answer)
            found = await burn_cli.fetch_report(
                f"http://127.0.0.1:{port}/", token
            )
            group.cancel_scope.cancel()
        return found

    return anyio.run(run), requests[0]


def test_report_is_read_with_the_token():
    """The command has no access to nodes that need a token."""
    body = json.dumps({"instances": ["s-1"], "kinds": []}).encode()
    found, request = _fetch("200 OK", body, "secret")
    assert found.unwrap().instances == ["s-1"]
    assert request.startswith(b"GET /v1/burn ")
    assert b"Authorization: Bearer secret" in request


@pytest.mark.parametrize(
    ("status_line", "body"),
    [
        ("401 Unauthorized", b"{}"),
        ("200 OK", b"<html>"),
        (
            "200 OK",
            json.dumps(
                {
                    "instances": ["s-1"],
                    "kinds": [
                        {
                            "team": "t",
                            "kind": "k",
                            "availability": 1.5,
                            "latency_ms": 1,
                            "short": SPAN,
                            "long": SPAN,
                        }
                    ],
                }
            ).encode(),
        ),
    ],
)
def test_unusable_answer_is_a_failure(status_line, body):
    """One node with a wrong answer ends the command with a traceback."""
    found, _ = _fetch(status_line, body)
    assert "127.0.0.1" in found.err().message


@pytest.mark.parametrize("node", ["http://127.0.0.1:1", "127.0.0.1", "x:/"])
def test_unreachable_node_is_a_failure(node):
    """A node that is away hides the burn of the others."""
    assert anyio.run(burn_cli.fetch_report, node, "").is_err()
