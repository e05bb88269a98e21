"""Collects the parts of a body in contiguous memory."""

__all__ = ["BodyBuffer"]


class BodyBuffer:
    """Body that is being received.

    A sender may choose chunks of a few bytes. One object for each of them would
    take many times the memory of their text, which is what budgets count.
    """

    __slots__ = ("_data",)

    def __init__(self):
        # A body that arrives in one part is not copied.
        self._data: bytes | bytearray = b""

    def __len__(self) -> int:
        return len(self._data)

    def append(self, part: bytes) -> None:
        """Adds the next part of the body."""
        if not self._data:
            self._data = part
            return
        if isinstance(self._data, bytes):
            self._data = bytearray(self._data)
        self._data += part

    def take(self) -> bytes:
        """Returns the body and empties the buffer."""
        data, self._data = self._data, b""
        return bytes(data)

    def clear(self) -> None:
        """Discards the body."""
        self._data = b""
