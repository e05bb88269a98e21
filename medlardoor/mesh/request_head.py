"""The head of one request while it is received."""

__all__ = ["RequestHead"]


class RequestHead:
    """Request target and headers, as the parser finds them.

    Until the head is whole, `pack` joins the lines found so far in one buffer:
    an object for each short line takes many times the memory of its text.

    Args:
        max_lines: Maximum number of header lines without ``Host``.

    Attributes:
        url: Request target received so far.
        expects_continue: Whether the client waits for 100 Continue.
        is_too_long: Whether there were more lines than the maximum.
    """

    __slots__ = (
        "_headers",
        "_host",
        "_host_lines",
        "_max_lines",
        "_packed",
        "_packed_lines",
        "_room",
        "expects_continue",
        "is_too_long",
        "url",
    )

    def __init__(self, max_lines: int):
        self._max_lines = max_lines
        self.reset()

    @property
    def lines(self) -> int:
        """Number of header lines without ``Host``."""
        return len(self._headers) + self._packed_lines

    @property
    def host(self) -> bytes:
        """Value of the first ``Host`` header; empty without one."""
        return self._host

    @property
    def has_one_host(self) -> bool:
        """Whether there is exactly one ``Host`` header."""
        return self._host_lines == 1

    @property
    def headers(self) -> list[tuple[bytes, bytes]]:
        """Names, in lower case, and values of the other headers."""
        if self._packed_lines:
            self._unpack()
        return self._headers

    @property
    def all_headers(self) -> list[tuple[bytes, bytes]]:
        """The headers, with one for each ``Host`` line."""
        return [(b"host", self._host)] * self._host_lines + self.headers

    def reset(self) -> None:
        """Discards everything, for the next request."""
        self.url = b""
        self.expects_continue = False
        self._headers: list[tuple[bytes, bytes]] = []
        self._host = b""
        self._host_lines = 0
        # Lines end with LF, and names with a colon; neither is part of what
        # the parser reports there.
        self._packed: bytearray | None = None
        self._packed_lines = 0
        # Lines that may still be added to the unpacked ones.
        self._room = self._max_lines
        self.is_too_long = False

    def add(self, name: bytes, value: bytes) -> None:
        """Appends a header, unless there are too many."""
        lower = name.lower()
        if lower == b"host":
            if not self._host_lines:
                self._host = value
            self._host_lines += 1
            return
        if lower == b"expect":
            self.expects_continue = value.lower() == b"100-continue"
        if len(self._headers) >= self._room:
            self.is_too_long = True
            return
        self._headers.append((lower, value))

    def pack(self) -> None:
        """Replaces the objects of the lines found so far by their text."""
        if not self._headers:
            return
        if self._packed is None:
            self._packed = bytearray()
        self._packed += b"".join(
            [b"%b:%b\n" % header for header in self._headers]
        )
        self._packed_lines += len(self._headers)
        self._room -= len(self._headers)
        self._headers = []

    def _unpack(self) -> None:
        lines = bytes(self._packed).split(b"\n")
        lines.pop()
        found = []
        for line in lines:
            name, _, value = line.partition(b":")
            found.append((name, value))
        self._headers = found + self._headers
        self._packed = None
        self._packed_lines = 0
