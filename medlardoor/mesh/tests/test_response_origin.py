"""Responses that bear no mark of the upstream, through nodes on loopback."""

import collections

import hypothesis
from hypothesis import strategies
import logbook
import pytest

from medlardoor import errors
from medlardoor.admission import waiting
from medlardoor.mesh import response_origin, run_results, upstream_connection
from medlardoor.mesh.tests import group as group_module

pytestmark = pytest.mark.anyio

REASONS = upstream_connection.BreakReason

PAGE = b"<html>It works!</html>"
NO_LINES = b""
# Lines of a response to the request in progress; %b is its attempt identifier.
ATTEMPT_LINE = b"X-Attempt: %b\r\n"
SEAL_LINE = b"X-Seal: s\r\n"
MARKS = ATTEMPT_LINE + SEAL_LINE
NOT_RUN_LINE = b"X-Not-Run: 1\r\n"
ID_LINE = b"X-Upstream: i-other\r\n"


class _PageUpstream:
    """Makes the upstream of a member run requests and respond with a page."""

    def __init__(self, member, status, lines, body=PAGE):
        self._upstream = member.upstream
        self._response = b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b" % (
            status,
            lines,
            len(body),
            body,
        )
        self.runs = 0
        member.upstream.handle = self._handle

    def _handle(self, request, reply):
        self.runs += 1
        response = self._response
        if b"%b" in response:
            response %= request.header(b"x-attempt")
        for connection in self._upstream.connections:
            connection._transport.write(response)


async def _order(group, status, lines, body=PAGE, method="POST"):
    """Sends an order by way of another node to an upstream with a page."""
    upstream = _PageUpstream(group.members["o1"], status, lines, body)
    response = await group.members["s1"].call("/order/1", method=method)
    return response, upstream.runs


async def _assert_unknown(group, status, lines, body=PAGE):
    """Sends an order; its caller must learn that its outcome is unknown."""
    response, runs = await _order(group, status, lines, body)
    assert response.status == 502
    assert response.headers["medlardoor-outcome"] == "unknown"
    assert PAGE not in response.body
    assert runs == 1


@pytest.mark.parametrize(
    "status", [200, 201, 206, 301, 400, 404, 408, 413, 421, 429, 500, 502, 503]
)
async def test_page_without_marks_is_no_response(group, status):
    """A caller took a page of a faulty server for the response to its order.

    With 200 the order counted as placed, with 503 as not run, with 404 as one
    that must not be sent again.
    """
    with logbook.TestHandler().applicationbound() as log:
        await _assert_unknown(group, status, NO_LINES)
    breaks = group.members["o1"].node._local.breaks
    assert breaks == collections.Counter({REASONS.UNVERIFIED: 1})
    events = collections.Counter(record.message for record in log.records)
    assert events["run_broken"] == 1


@pytest.mark.parametrize("status", [200, 204, 299])
async def test_success_without_seal_is_no_response(group, status):
    """A caller got a success that the upstream had not sealed."""
    body = b"" if status == 204 else PAGE
    await _assert_unknown(group, status, ATTEMPT_LINE, body)


@pytest.mark.parametrize("status", [408, 429, 503])
async def test_failure_of_a_run_is_not_said_to_be_not_run(group, status):
    """A status promised "not run" although the upstream had run the order."""
    await _assert_unknown(group, status, MARKS)


async def test_success_that_denies_the_run_proves_nothing(group):
    """An order was sent again after a 200 that also said "not run"."""
    await _assert_unknown(group, 200, MARKS + NOT_RUN_LINE)


async def test_idempotent_request_is_repeated_after_a_page(group):
    """A page in place of a response failed a request that may run again."""
    pages = _PageUpstream(group.members["s1"], 200, NO_LINES)
    group.members["s2"].upstream.delay_s = 0.01
    response = await group.members["s1"].call("/read/1")
    assert response.status == 200
    assert response.body.startswith(b"i-s2 ran")
    assert pages.runs <= 1


async def test_page_with_421_does_not_discard_the_upstream(group):
    """A page with the status 421 took a sound upstream out of use."""
    member = group.members["o1"]
    handle = member.upstream.handle
    await _order(group, 421, NO_LINES)
    member.upstream.handle = handle
    assert member.node.register.is_usable
    response = await group.members["s1"].call("/order/2", "a2", method="POST")
    assert response.status == 200


async def test_page_tells_nothing_of_the_upstream(group):
    """A page's load, limit and leaving were taken for the upstream's own."""
    lines = b"X-Load: 1,0,3\r\nRate-Limit: 1\r\nLeaving: 1\r\n"
    await _order(group, 500, lines)
    local = group.members["o1"].node._local
    assert group.members["o1"].node.register.is_usable
    assert local.admission_queue.named_limit.rate_per_s is None
    assert local.admission_queue.limit > 3


@pytest.mark.parametrize(
    ("status", "lines"),
    [
        (500, ATTEMPT_LINE),
        (500, SEAL_LINE),
        (504, MARKS),
        (418, ATTEMPT_LINE),
        (304, MARKS),
        (200, MARKS),
        (200, SEAL_LINE),
    ],
)
async def test_response_of_a_sound_upstream_is_passed_on(group, status, lines):
    """A check that asks for more marks than are sent spoils responses."""
    body = b"" if status == 304 else b"own"
    response, _ = await _order(group, status, lines, body)
    assert response.status == status
    assert response.body == body


@pytest.mark.parametrize(
    ("status", "lines"),
    [
        (503, NOT_RUN_LINE),
        (429, NOT_RUN_LINE + ATTEMPT_LINE),
        (400, NOT_RUN_LINE),
        (421, ID_LINE),
        (421, ATTEMPT_LINE),
    ],
)
async def test_rejection_of_a_sound_upstream_means_not_run(
    group, status, lines
):
    """An order that was rejected got 502, so its caller gave it up."""
    response, _ = await _order(group, status, lines, b"")
    assert response.status == 503
    assert response.headers["medlardoor-outcome"] == "not-run"


async def test_sealed_response_to_head_is_passed_on(group):
    """A response without a body was refused for its missing body."""
    response, _ = await _order(group, 200, MARKS, b"", method="HEAD")
    assert response.status == 200


@hypothesis.given(
    status=strategies.integers(200, 599),
    lines=strategies.sets(
        strategies.sampled_from(
            [b"x-attempt", b"x-seal", b"x-not-run", b"x-upstream", b"x-load"]
        )
    ),
)
def test_claims_of_a_response_need_their_marks(status, lines):
    """A response counted as a success or a rejection without its mark."""
    headers = [(line, b"1") for line in lines]
    marks = response_origin.ResponseMarks(group_module.HEADERS)
    if not marks.show_origin(status, headers):
        return
    assert lines - {b"x-load"}
    result = run_results.from_response(
        upstream_connection.UpstreamResponse(status, headers, b""),
        group_module.HEADERS,
        marks,
        waiting.AdmissionQueue(waiting.AdmissionQueueSettings()),
    )
    if result.outcome is errors.Outcome.NOT_RUN:
        assert b"x-not-run" in lines
    if result.outcome is errors.Outcome.ANSWERED:
        assert status not in (408, 429, 503)
        assert b"x-seal" in lines or not 200 <= status < 300
