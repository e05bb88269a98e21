"""Encoding and authentication of size-limited messages between nodes."""

import base64
import binascii
import dataclasses

import result
from thrift.protocol import TCompactProtocol, fastbinary
from thrift.transport import TTransport

from medlardoor import errors
from medlardoor.wire import authentication
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = [
    "Decoder",
    "MAX_DATAGRAM_BYTES",
    "MAX_HEADER_BYTES",
    "MalformedMessage",
    "decode",
    "decode_header",
    "encode",
    "encode_header",
    "open_datagram",
    "seal_datagram",
]

MAX_DATAGRAM_BYTES = 1_400
MAX_HEADER_BYTES = 2_048
MAX_ELEMENTS = 256
MAX_STRING_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True)
class MalformedMessage(errors.Failure):
    """Bytes that are not a valid message from a node.

    Attributes:
        detail: Reason why the bytes are not valid.
    """

    detail: str

    @property
    def message(self) -> str:
        """One sentence for a log line or an operator."""
        return f"Malformed message: {self.detail}"


def encode(struct) -> bytes:
    """Encodes a thrift struct with the compact protocol.

    The accelerated encoder is called directly, because creating a protocol
    object takes twice as long as the encoding itself.
    """
    kind = type(struct)
    return fastbinary.encode_compact(struct, [kind, kind.thrift_spec])


_NO_DATA = TTransport.TMemoryBuffer()


class Decoder:
    """Decodes structs and limits the lengths of the values in them.

    All structs share one protocol object, because creating one takes longer
    than decoding a struct.

    Args:
        max_string_bytes: Maximum length of a string or binary value.
        max_elements: Maximum number of elements of a list, set or map.
    """

    def __init__(self, max_string_bytes: int, max_elements: int):
        factory = TCompactProtocol.TCompactProtocolAcceleratedFactory(
            string_length_limit=max_string_bytes,
            container_length_limit=max_elements,
        )
        self._protocol = factory.getProtocol(TTransport.TMemoryBuffer())

    def decode(self, struct_type: type, data: bytes) -> result.Result:
        """Decodes a thrift struct.

        Args:
            struct_type: Generated class to decode into.
            data: Encoded bytes, already limited in size.

        Returns:
            The struct, or `MalformedMessage`.
        """
        struct = struct_type()
        self._protocol.trans = TTransport.TMemoryBuffer(data)
        try:
            struct.read(self._protocol)
        except Exception as error:  # noqa: BLE001
            # The decoder raises many built-in types for malformed input, such
            # as EOFError, struct.error, UnicodeDecodeError and
            # RecursionError.
            return result.Err(MalformedMessage(type(error).__name__))
        finally:
            # The protocol would keep the data until the next struct.
            self._protocol.trans = _NO_DATA
        return result.Ok(struct)


_DECODER = Decoder(MAX_STRING_BYTES, MAX_ELEMENTS)


def decode(struct_type: type, data: bytes) -> result.Result:
    """Decodes a thrift struct with the limits of datagrams and headers.

    Args:
        struct_type: Generated class to decode into.
        data: Encoded bytes, already authenticated and limited in size.

    Returns:
        The struct, or `MalformedMessage`.
    """
    return _DECODER.decode(struct_type, data)


def seal_datagram(
    message: ttypes.Message, key: authentication.ClusterKey
) -> bytes:
    """Encodes a message and prepends its MAC."""
    data = encode(message)
    return key.mac(data) + data


def open_datagram(
    data: bytes, key: authentication.ClusterKey
) -> result.Result[ttypes.Message, MalformedMessage]:
    """Checks the size and the MAC of a datagram and decodes it."""
    if len(data) > MAX_DATAGRAM_BYTES:
        detail = (
            f"expected a datagram of at most {MAX_DATAGRAM_BYTES} bytes,"
            f" got {len(data)}"
        )
        return result.Err(MalformedMessage(detail))
    mac = data[: authentication.MAC_BYTES]
    body = data[authentication.MAC_BYTES :]
    if not key.verify(body, mac):
        return result.Err(MalformedMessage("datagram has the wrong MAC"))
    return decode(ttypes.Message, body)


def encode_header(struct, key: authentication.ClusterKey) -> bytes:
    """Encodes a struct as header value ``<base64url>.<base64url MAC>``."""
    data = encode(struct)
    return (
        base64.urlsafe_b64encode(data)
        + b"."
        + base64.urlsafe_b64encode(key.mac(data))
    )


def decode_header(
    struct_type: type, value: bytes, key: authentication.ClusterKey
) -> result.Result:
    """Checks and decodes a header value encoded by `encode_header`."""
    if len(value) > MAX_HEADER_BYTES:
        detail = (
            f"expected a header value of at most {MAX_HEADER_BYTES} bytes,"
            f" got {len(value)}"
        )
        return result.Err(MalformedMessage(detail))
    body, _, mac = value.partition(b".")
    try:
        # Each message has only one valid encoding. Without validation, the
        # decoder would skip characters outside the alphabet.
        data = base64.b64decode(body, altchars=b"-_", validate=True)
        code = base64.b64decode(mac, altchars=b"-_", validate=True)
    except binascii.Error:
        return result.Err(MalformedMessage("header value is not base64url"))
    if base64.urlsafe_b64encode(data) + b"." + base64.urlsafe_b64encode(
        code
    ) != bytes(value):
        return result.Err(MalformedMessage("header value is not canonical"))
    if not key.verify(data, code):
        return result.Err(MalformedMessage("header value has the wrong MAC"))
    return decode(struct_type, data)
