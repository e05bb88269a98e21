"""Tests of keys and teams through nodes on loopback."""

import asyncio
import itertools

import pytest

from medlardoor import errors
from medlardoor.mesh import recording
from medlardoor.mesh.tests import group as group_module

pytestmark = pytest.mark.anyio

DOCUMENT = (
    "/read/ stock safe 2",
    "/order/ orders unsafe 0",
    "/open/ stock safe 2 public",
    "team t1 k1,k2 1",
    "team t2 k3 0",
)
_ids = itertools.count()


@pytest.fixture
async def keyed_group():
    async with group_module.run_group(document=DOCUMENT) as group:
        yield group


async def _call(member, target, *lines, attempt_id=None):
    attempt_id = attempt_id or f"c{next(_ids)}"
    return await member.call(target, attempt_id, lines=lines)


def _runs(group):
    return [
        run for member in group.members.values() for run in member.upstream.runs
    ]


async def test_upstream_learns_the_team_and_not_the_key(keyed_group):
    """A key reaches an upstream, or a caller names its team itself."""
    member = keyed_group.members["o1"]
    response = await _call(
        member,
        "/read/1",
        "Authorization: Bearer k1",
        "X-Team: t2",
        "x-TEAM: t2",
    )
    assert response.status == 200
    (run,) = _runs(keyed_group)
    assert [v for n, v in run.headers if n == b"x-team"] == [b"t1"]
    assert run.header(b"authorization") is None


@pytest.mark.parametrize(
    ("lines", "reason"),
    [
        ((), "credentials_missing"),
        (("Authorization: Bearer k9",), "credentials_invalid"),
        (("Authorization: Basic k1",), "credentials_invalid"),
        (("Authorization: Bearer k1",) * 2, "credentials_invalid"),
        (("Authorization: Bearer " + "k" * 2_000,), "credentials_invalid"),
        (("Authorization: Bearer k1\x01",), "credentials_invalid"),
    ],
)
async def test_caller_without_a_valid_key_is_refused(
    keyed_group, lines, reason
):
    """A request runs although no document holds its key."""
    response = await _call(keyed_group.members["o1"], "/read/1", *lines)
    if response.status != 400:
        assert response.status == 401
        assert response.headers["www-authenticate"] == "Bearer"
        assert reason.encode() in response.body
    assert _runs(keyed_group) == []


async def test_public_route_needs_no_key(keyed_group):
    """A public route is closed, or shows a caller's key or own team name."""
    member = keyed_group.members["o1"]
    key_line = "Authorization: Bearer k9"
    assert (await _call(member, "/open/1", "X-Team: t2")).status == 200
    assert (await _call(member, "/open/1", key_line)).status == 200
    for run in _runs(keyed_group):
        assert run.header(b"x-team") is None
        assert run.header(b"authorization") is None
    await _call(member, "/open/own", "Authorization: Bearer k3")
    (own,) = [r for r in _runs(keyed_group) if r.target == b"/open/own"]
    assert own.header(b"x-team") == b"t2"


async def test_calls_of_a_run_need_no_key(keyed_group):
    """A run fails because its calls have no key, or they lose its team."""
    caller = keyed_group.members["o1"]
    caller.upstream.delay_s = 1.0
    task = asyncio.create_task(
        _call(caller, "/order/1", "Authorization: Bearer k1", attempt_id="p1")
    )
    await group_module.wait_until(lambda: caller.upstream.runs)
    assert (await _call(caller, "/read/1", attempt_id="p1.1")).status == 200
    (nested,) = [r for r in _runs(keyed_group) if r.target == b"/read/1"]
    assert nested.header(b"x-team") == b"t1"
    await task
    # The run has ended. Its identifier no longer vouches for calls, and the
    # refusal is not the fault of the caller.
    late = await _call(caller, "/read/1", attempt_id="p1.2")
    assert late.status == 503
    assert (await _call(caller, "/read/1", attempt_id="p2")).status == 401


async def test_withdrawn_key_is_refused_on_an_open_connection(keyed_group):
    """A kept connection goes on with a key that was withdrawn."""
    member = keyed_group.members["s1"]
    reader, writer = await asyncio.open_connection(
        member.host, member.settings.caller_address.port
    )

    async def status_of(attempt_id):
        writer.write(
            b"GET /read/1 HTTP/1.1\r\nHost: x\r\nX-Deadline: 2000\r\n"
            b"Authorization: Bearer k2\r\nX-Attempt: %b\r\n\r\n" % attempt_id
        )
        head = await reader.readuntil(b"\r\n\r\n")
        parsed = group_module.parse(head)
        await reader.readexactly(int(parsed.headers["content-length"]))
        return parsed.status

    assert await status_of(b"w1") == 200
    keyed_group.publish(*DOCUMENT[:3], "team t1 k1 1", DOCUMENT[4])
    revision = keyed_group.table.version
    nodes = [each.node for each in keyed_group.members.values()]
    await group_module.wait_until(
        lambda: all(node._holder.revision == revision for node in nodes)
    )
    assert await status_of(b"w2") == 401
    writer.close()


async def test_node_without_a_document_does_not_deny_keys():
    """A node that does not know the document yet tells callers to give up."""
    async with group_module.run_group(document=DOCUMENT) as group:
        member = group.members["s1"]
        member.node._holder._table = None
        response = await _call(member, "/read/1", "Authorization: Bearer k9")
        assert response.status == 503


async def test_requests_are_counted_by_team(keyed_group):
    """Nobody can see which team is refused, and why."""
    member = keyed_group.members["o1"]
    await _call(member, "/read/1", "Authorization: Bearer k1")
    for other in ("s1", "s2"):
        keyed_group.members[other].upstream.remaining_sheds = 9
    await _call(member, "/read/1", "Authorization: Bearer k3")
    _, metrics = member.node._render_metrics()
    counter = "medlardoor_team_requests_total"
    assert f'{counter}{{team="t1",detail="answered"}} 1' in metrics
    assert f'{counter}{{team="t2",detail="upstream_shed"}} 1' in metrics


async def test_number_of_counted_teams_is_bounded(keyed_group, monkeypatch):
    """Each team of a large document adds series to the metrics."""
    monkeypatch.setattr(recording, "MAX_COUNTED_TEAMS", 1)
    recorder = recording.Recorder(b"X-Attempt")
    for team in ("t1", "t2", "t3"):
        recorder.record_rejection(
            b"", b"x", b"/", errors.Reason.RATE_LIMITED, team
        )
    lines = [line for line in recorder.render() if 'team="' in line]
    assert len(lines) == 2
    assert lines[0].endswith(" 2")
