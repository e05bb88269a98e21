"""Tests of frames on a byte stream."""

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
