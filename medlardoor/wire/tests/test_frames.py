"""Tests of frames on a byte stream."""

import pytest

from medlardoor.wire import frames
from medlardoor.wire.generated.medlardoor_messages import ttypes


def _cancel(number):
    return ttypes.Frame(cancel=ttypes.RunCancel(id=number))


def test_frames_survive_any_cut():
    """A frame that arrives in two reads must stay complete."""
    data = b"".join(frames.encode_frame(_cancel(n)) for n in range(5))
    for cut in range(len(data)):
        reader = frames.FrameReader(1_000)
        found = (
            reader.feed(data[:cut]).unwrap() + reader.feed(data[cut:]).unwrap()
        )
        assert [frame.cancel.id for frame in found] == list(range(5))


def test_too_long_frame_is_refused():
    """A wrong frame length must not exhaust the memory."""
    reader = frames.FrameReader(1_000)
    assert reader.feed(b"\xff\xff\xff\xff").is_err()


def test_bytes_that_are_no_struct_are_refused():
    """Data of another protocol must give an error, not an exception."""
    reader = frames.FrameReader(1_000_000)
    assert reader.feed(b"\x00\x00\x00\x04\xff\xff\xff\xff").is_err()


def test_large_body_passes():
    """Bodies above the datagram limit must fit into a frame."""
    call = ttypes.RunCall(id=1, body=b"x" * 3_000_000)
    data = frames.encode_frame(ttypes.Frame(call=call))
    found = frames.FrameReader(4_000_000).feed(data).unwrap()
    assert len(found[0].call.body) == 3_000_000


class _Admission(frames.FrameAdmission):
    """Receives large frames up to a limit."""

    counted_bytes = 1_000

    def __init__(self, limit_bytes):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def try_receive(self, size, is_answer):
        if self.used_bytes + size > self.limit_bytes:
            return False
        self.used_bytes += size
        return True

    def release_received(self, size):
        self.used_bytes -= size


def _stream():
    """Returns small and large frames of each kind, encoded."""
    body = b"x" * 2_000
    return [
        frames.encode_frame(frame)
        for frame in (
            _cancel(1),
            ttypes.Frame(call=ttypes.RunCall(id=-2, body=body)),
            ttypes.Frame(routes=ttypes.RouteTransfer(revision=3, value=body)),
            ttypes.Frame(answer=ttypes.RunAnswer(id=300, body=body)),
            _cancel(4),
        )
    ]


@pytest.mark.parametrize("limit_bytes", [0, 10_000], ids=["dropped", "taken"])
def test_large_frames_are_counted_or_dropped_at_any_cut(limit_bytes):
    """A dropped frame must not change how the frames behind it are read."""
    data = b"".join(_stream())
    for cut in range(0, len(data), 7):
        admission = _Admission(limit_bytes)
        reader = frames.FrameReader(10_000, admission)
        found = (
            reader.feed(data[:cut]).unwrap() + reader.feed(data[cut:]).unwrap()
        )
        assert len(found) == 5
        assert found[0].cancel.id == 1
        assert found[2].routes.revision == 3
        assert found[4].cancel.id == 4
        if limit_bytes:
            assert (found[1].call.id, found[3].answer.id) == (-2, 300)
        else:
            call, answer = found[1], found[3]
            assert (call.call_id, call.is_answer) == (-2, False)
            assert (answer.call_id, answer.is_answer) == (300, True)
            assert call.size > 2_000
        assert admission.used_bytes == 0


def test_space_of_an_unfinished_frame_is_released():
    """A link that breaks in the middle of a frame must not keep its space."""
    admission = _Admission(10_000)
    reader = frames.FrameReader(10_000, admission)
    reader.feed(_stream()[1][:-1]).unwrap()
    assert admission.used_bytes > 2_000
    reader.close()
    assert admission.used_bytes == 0


def test_dropped_frame_is_not_held():
    """The bytes of a dropped frame would take the memory all the same."""
    data = frames.encode_frame(
        ttypes.Frame(call=ttypes.RunCall(id=1, body=b"x" * 9_000))
    )
    reader = frames.FrameReader(10_000, _Admission(0))
    (dropped,) = reader.feed(data[:100]).unwrap()
    assert dropped.call_id == 1
    assert reader.feed(data[100:-1]).unwrap() == []
    assert not reader._buffer
