"""Frames on a byte stream: a four-byte length and an encoded struct."""

import abc
import dataclasses
import struct
import sys

import result
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from medlardoor.wire import codec
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = [
    "DroppedFrame",
    "FrameAdmission",
    "FrameReader",
    "encode_frame",
]

# Allows for the longest list: the addresses of a large group of nodes.
MAX_ELEMENTS = 4_096

_LENGTH = struct.Struct(">I")

# Bytes at the beginning of a frame that name its kind and the call.
_IDENTIFYING_BYTES = 16

# Numbers of the fields of `Frame`.
_CALL_FIELD = 1
_ANSWER_FIELD = 2

# Number of the field of calls and answers that has the identifier.
_ID_FIELD = 1


@dataclasses.dataclass(frozen=True, slots=True)
class DroppedFrame:
    """A call or an answer that was not received for lack of buffer space.

    Attributes:
        call_id: Identifier of the call on its link.
        is_answer: Whether it is the answer to the call.
        size: Size of the frame, in bytes.
    """

    call_id: int
    is_answer: bool
    size: int


class FrameAdmission(abc.ABC):
    """Decides whether large frames are received."""

    @property
    @abc.abstractmethod
    def counted_bytes(self) -> int:
        """Size in bytes from which on calls and answers are decided on."""

    @abc.abstractmethod
    def try_receive(self, size: int, is_answer: bool) -> bool:
        """Reserves space for a large call or answer.

        Args:
            size: Size of the frame, in bytes.
            is_answer: Whether it is an answer.

        Returns:
            Whether the space was reserved.
        """

    @abc.abstractmethod
    def release_received(self, size: int) -> None:
        """Releases the space of a frame.

        Args:
            size: Size of the frame, in bytes.
        """


def encode_frame(frame: ttypes.Frame) -> bytes:
    """Encodes a frame and prepends its length."""
    data = codec.encode(frame)
    return _LENGTH.pack(len(data)) + data


class FrameReader:
    """Splits a byte stream into frames.

    Args:
        max_bytes: Maximum size of an encoded frame, without its length.
        admission: Decides on large calls and answers; None to receive all.
    """

    def __init__(self, max_bytes: int, admission: FrameAdmission | None = None):
        self._max_bytes = max_bytes
        self._admission = admission
        self._counted_bytes = (
            sys.maxsize if admission is None else admission.counted_bytes
        )
        self._buffer = bytearray()
        self._decoder = codec.Decoder(max_bytes, MAX_ELEMENTS)
        # Space reserved for the frame that is being received, in bytes.
        self._reserved_bytes = 0
        # Whether the frame that is being received needs no further decision.
        self._is_admitted = False
        # Bytes of a dropped frame that are still to arrive.
        self._dropped_bytes = 0

    def feed(
        self, data: bytes
    ) -> result.Result[
        list[ttypes.Frame | DroppedFrame], codec.MalformedMessage
    ]:
        """Adds received bytes and returns the frames that they complete.

        Args:
            data: Bytes that follow those of the previous call.

        Returns:
            The complete frames in order, or `MalformedMessage`. A frame that
            is dropped is reported as soon as that is decided.
        """
        if self._dropped_bytes:
            dropped_bytes = min(self._dropped_bytes, len(data))
            self._dropped_bytes -= dropped_bytes
            data = data[dropped_bytes:]
        buffer = self._buffer
        buffer += data
        found = []
        start = 0
        while len(buffer) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer, start)
            if length > self._max_bytes:
                detail = (
                    f"expected a frame of at most {self._max_bytes} bytes,"
                    f" got a length of {length}"
                )
                return result.Err(codec.MalformedMessage(detail))
            start_of_data = start + _LENGTH.size
            end = start_of_data + length
            is_large = length >= self._counted_bytes
            if is_large and not self._is_admitted:
                beginning = bytes(
                    buffer[start_of_data : start_of_data + _IDENTIFYING_BYTES]
                )
                if len(beginning) < _IDENTIFYING_BYTES:
                    break
                dropped = self._admit(beginning, length)
                if dropped is not None:
                    found.append(dropped)
                    start = min(end, len(buffer))
                    self._dropped_bytes = end - start
                    continue
            if len(buffer) < end:
                break
            with memoryview(buffer)[start_of_data:end] as part:
                encoded = bytes(part)
            if is_large:
                # Frees the received bytes before the frame is copied once more.
                del buffer[:end]
                end = 0
            decoded = self._decoder.decode(ttypes.Frame, encoded)
            if decoded.is_err():
                return decoded
            found.append(decoded.ok_value)
            if is_large:
                self._end_frame()
            start = end
        del buffer[:start]
        return result.Ok(found)

    def close(self) -> None:
        """Drops an unfinished frame, after the stream has ended."""
        self._buffer.clear()
        self._dropped_bytes = 0
        self._end_frame()

    def _admit(self, beginning: bytes, size: int) -> DroppedFrame | None:
        """Decides on a large frame; returns it if it is to be dropped."""
        call = _identify(beginning, size)
        if call is not None:
            if not self._admission.try_receive(size, call.is_answer):
                return call
            self._reserved_bytes = size
        self._is_admitted = True
        return None

    def _end_frame(self) -> None:
        """Releases the space of the frame that was being received."""
        self._is_admitted = False
        if self._reserved_bytes:
            self._admission.release_received(self._reserved_bytes)
            self._reserved_bytes = 0


def _identify(beginning: bytes, size: int) -> DroppedFrame | None:
    """Reads which call a frame belongs to; None for another kind of frame."""
    protocol = TCompactProtocol.TCompactProtocol(
        TTransport.TMemoryBuffer(beginning)
    )
    try:
        protocol.readStructBegin()
        _, _, kind = protocol.readFieldBegin()
        if kind not in (_CALL_FIELD, _ANSWER_FIELD):
            return None
        protocol.readStructBegin()
        _, _, first = protocol.readFieldBegin()
        if first != _ID_FIELD:
            return None
        return DroppedFrame(protocol.readI32(), kind == _ANSWER_FIELD, size)
    except Exception:  # noqa: BLE001
        # The decoder raises many types for malformed input. It reads the whole
        # frame later and reports the fault.
        return None
