"""Frames on a byte stream: a four-byte length and an encoded struct."""

import struct

import result

from medlardoor.wire import codec
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["FrameReader", "encode_frame"]

# Allows for the longest list: the addresses of a large group of nodes.
MAX_ELEMENTS = 4_096

_LENGTH = struct.Struct(">I")


def encode_frame(frame: ttypes.Frame) -> bytes:
    """Encodes a frame and prepends its length."""
    data = codec.encode(frame)
    return _LENGTH.pack(len(data)) + data


class FrameReader:
    """Splits a byte stream into frames.

    Args:
        max_bytes: Maximum size of an encoded frame, without its length.
    """

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._buffer = bytearray()
        self._decoder = codec.Decoder(max_bytes, MAX_ELEMENTS)

    def feed(
        self, data: bytes
    ) -> result.Result[list[ttypes.Frame], codec.MalformedMessage]:
        """Adds received bytes and returns the frames that they complete.

        Args:
            data: Bytes that follow those of the previous call.

        Returns:
            The complete frames in order, or `MalformedMessage`.
        """
        buffer = self._buffer
        buffer += data
        frames = []
        start = 0
        while len(buffer) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer, start)
            if length > self._max_bytes:
                detail = (
                    f"expected a frame of at most {self._max_bytes} bytes,"
                    f" got a length of {length}"
                )
                return result.Err(codec.MalformedMessage(detail))
            end = start + _LENGTH.size + length
            if len(buffer) < end:
                break
            encoded = bytes(buffer[start + _LENGTH.size : end])
            decoded = self._decoder.decode(ttypes.Frame, encoded)
            if decoded.is_err():
                return decoded
            frames.append(decoded.ok_value)
            start = end
        del buffer[:start]
        return result.Ok(frames)
