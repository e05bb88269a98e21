"""Bitmap of used keys, kept until the keys expire."""

__all__ = ["UsedKeys"]

KEYS_PER_CHUNK = 4_096


class UsedKeys:
    """Bitmap of the sequence numbers of used keys."""

    def __init__(self):
        self._chunks: dict[int, bytearray] = {}
        self._first_retained = 0

    def __contains__(self, sequence: int) -> bool:
        chunk = self._chunks.get(sequence // KEYS_PER_CHUNK)
        if chunk is None:
            return False
        offset = sequence % KEYS_PER_CHUNK
        return bool(chunk[offset >> 3] & (1 << (offset & 7)))

    def add(self, sequence: int) -> None:
        """Marks a key as used."""
        number, offset = divmod(sequence, KEYS_PER_CHUNK)
        if number not in self._chunks:
            self._chunks[number] = bytearray(KEYS_PER_CHUNK // 8)
        self._chunks[number][offset >> 3] |= 1 << (offset & 7)

    def drop_through(self, sequence: int) -> None:
        """Frees the chunks whose keys have all expired.

        Args:
            sequence: Highest sequence number that has expired.
        """
        first_retained = (sequence + 1) // KEYS_PER_CHUNK
        for number in range(self._first_retained, first_retained):
            self._chunks.pop(number, None)
        self._first_retained = first_retained
