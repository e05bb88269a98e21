"""Tests of the codecs on arbitrary bytes."""

import hypothesis
from hypothesis import strategies
import result

from medlardoor.calls import context
from medlardoor.node.transport import forwarding
from medlardoor.wire import authentication, codec
from medlardoor.wire.generated.medlardoor_messages import ttypes

KEY = authentication.ClusterKey("key of the tests of the codecs")
STRUCTS = (
    ttypes.Message,
    ttypes.Digest,
    ttypes.MemberRecord,
    ttypes.CrashReport,
    ttypes.QuarantineUpdate,
    ttypes.CallContext,
    ttypes.CallResult,
    ttypes.DocumentTransfer,
)
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300
)

_TEXT = strategies.text(max_size=20)
_CALLS = strategies.builds(
    ttypes.CallContext,
    chain_id=strategies.none() | strategies.binary(max_size=20),
    team=strategies.none() | _TEXT,
    kind=strategies.none() | _TEXT,
    rank=strategies.none() | strategies.integers(-(2**31), 2**31 - 1),
    level=strategies.none() | strategies.integers(-(2**31), 2**31 - 1),
    deadline_ms=strategies.none() | strategies.integers(-(2**31), 2**31 - 1),
    budget=strategies.none() | strategies.integers(-(2**31), 2**31 - 1),
    depth=strategies.none() | strategies.integers(-(2**31), 2**31 - 1),
    document_version=strategies.none()
    | strategies.integers(-(2**63), 2**63 - 1),
    max_wait_ms=strategies.none() | strategies.integers(-(2**31), 2**31 - 1),
)


@SETTINGS
@hypothesis.given(strategies.sampled_from(STRUCTS), strategies.binary())
def test_decode_returns_a_result(struct_type, data):
    """Malformed bytes must give a result, not an exception."""
    decoded = codec.decode(struct_type, data)
    if decoded.is_err():
        assert isinstance(decoded.err(), codec.MalformedMessage)


@SETTINGS
@hypothesis.given(_CALLS, strategies.data())
def test_damaged_struct_returns_a_result(struct, data):
    """A corrupted message must not raise or allocate unbounded memory."""
    encoded = bytearray(codec.encode(struct))
    position = data.draw(strategies.integers(0, len(encoded) - 1))
    encoded[position] = data.draw(strategies.integers(0, 255))
    length = data.draw(strategies.integers(0, len(encoded)))
    for struct_type in STRUCTS:
        for part in (encoded, encoded[:length]):
            decoded = codec.decode(struct_type, bytes(part))
            assert isinstance(decoded, result.Ok | result.Err)


@SETTINGS
@hypothesis.given(strategies.binary(max_size=1_500))
def test_unauthentic_datagram_is_refused(data):
    """A datagram without a valid MAC must not be decoded."""
    assert codec.open_datagram(data, KEY).is_err()


@SETTINGS
@hypothesis.given(strategies.binary(max_size=1_300))
def test_authentic_noise_is_no_exception(data):
    """Random bytes with a valid MAC must not raise in the gossip task."""
    opened = codec.open_datagram(KEY.mac(data) + data, KEY)
    if opened.is_ok():
        assert isinstance(opened.ok(), ttypes.Message)


@SETTINGS
@hypothesis.given(_CALLS, strategies.binary(min_size=1, max_size=3))
def test_header_has_one_form(struct, extra):
    """A modified header value must not be accepted as authentic."""
    value = codec.encode_header(struct, KEY)
    assert codec.decode_header(ttypes.CallContext, value, KEY).is_ok()
    for position in (0, len(value) // 2, len(value)):
        changed = value[:position] + extra + value[position:]
        decoded = codec.decode_header(ttypes.CallContext, changed, KEY)
        assert decoded.is_err()


@SETTINGS
@hypothesis.given(strategies.binary(max_size=3_000))
def test_arbitrary_header_is_refused(value):
    """An arbitrary header value must be rejected without an exception."""
    assert codec.decode_header(ttypes.CallContext, value, KEY).is_err()
    assert forwarding.decode_context_header(value, KEY, 1, 0.0).is_err()


@SETTINGS
@hypothesis.given(_CALLS)
def test_accepted_context_is_within_bounds(struct):
    """Values of an accepted context must be within their bounds."""
    value = codec.encode_header(struct, KEY)
    decoded = forwarding.decode_context_header(value, KEY, 1, 100.0)
    if decoded.is_err():
        return
    call = decoded.ok()
    assert len(call.chain_id) == 16
    assert 0 <= call.budget <= 16
    assert 0 <= call.depth <= context.MAX_DEPTH
    assert 100.0 <= call.deadline <= 3_700.0
    assert 0 <= call.rank < 32
    assert 0 <= call.level < 32 * 128
    assert call.max_wait_s >= 0.0
    assert call.document_version >= 0
