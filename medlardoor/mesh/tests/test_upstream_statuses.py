"""Responses of an upstream whose status is not valid."""

import collections

import logbook
import pytest

from medlardoor.mesh import upstream_connection

pytestmark = pytest.mark.anyio

REASONS = upstream_connection.BreakReason
MAX_INTERIM = 8


class _RawUpstream:
    """Makes the upstream of a member respond with given bytes."""

    def __init__(self, member, data):
        self._upstream = member.upstream
        self._data = data
        self.runs = 0
        member.upstream.handle = self._handle

    def _handle(self, request, reply):
        self.runs += 1
        attempt_id = request.header(b"x-attempt")
        for connection in self._upstream.connections:
            connection._transport.write(self._data % attempt_id)


def _response(status):
    return (
        b"HTTP/1.1 %b Odd\r\nX-Attempt: %%b\r\nX-Seal: s\r\n"
        b"Content-Length: 0\r\nConnection: close\r\n\r\n" % status
    )


@pytest.mark.parametrize(
    "data",
    [
        _response(b"000"),
        _response(b"042"),
        _response(b"099"),
        _response(b"600"),
        _response(b"999"),
        _response(b"1000"),
        _response(b"-1"),
        _response(b"20"),
        _response(b"2x0"),
        b"HTTP/1.1 101 Switching\r\nX-Attempt: %b\r\n\r\n",
        b"HTTP/1.1 101 Switching\r\nX-Attempt: %b\r\nUpgrade: h2c\r\n"
        b"Connection: upgrade\r\n\r\nraw",
        b"HTTP/1.1 102 Processing\r\nX-Attempt: %b\r\n\r\n"
        + b"HTTP/1.1 102 Processing\r\n\r\n" * MAX_INTERIM,
    ],
    ids=lambda data: data[9:13].decode(),
)
async def test_invalid_status_fails_the_request_at_once(group, data):
    """The caller waits for its whole time, or gets a status that is none."""
    member = group.members["o1"]
    upstream = _RawUpstream(member, data)
    with logbook.TestHandler().applicationbound() as log:
        response = await member.call("/order/1", method="POST")
    assert response.status == 502
    assert response.headers["medlardoor-outcome"] == "unknown"
    assert upstream.runs == 1
    breaks = member.node._local.breaks
    assert sum(breaks.values()) == 1
    assert set(breaks) <= {
        REASONS.INVALID_STATUS,
        REASONS.MALFORMED,
        REASONS.TOO_MANY_INTERIM_ANSWERS,
    }
    events = collections.Counter(record.message for record in log.records)
    assert events["run_broken"] == 1


async def test_valid_interim_and_unusual_statuses_pass(group):
    """A valid response is refused with those that are none."""
    member = group.members["o1"]
    for status in (b"299", b"418", b"599"):
        data = b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + _response(status)
        _RawUpstream(member, data)
        response = await member.call(
            "/order/1", f"a-{status.decode()}", method="POST"
        )
        assert response.status == int(status)
