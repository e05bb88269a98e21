"""Lookup of the longest prefix of a path."""

import typing

__all__ = ["PrefixTree"]

_Value = typing.TypeVar("_Value")


class _Node:
    __slots__ = ("children", "value")

    def __init__(self):
        self.children: dict[bytes, _Node] = {}
        self.value: typing.Any = None


class PrefixTree(typing.Generic[_Value]):
    """Values by prefixes of whole path segments.

    A lookup descends by one segment at a time and ends where no prefix goes
    on, so its time is linear in the part of the path that prefixes share with
    it, and in its next segment.
    """

    def __init__(self):
        self._root = _Node()

    def add(self, prefix: bytes, value: _Value) -> None:
        """Sets the value of a prefix.

        Args:
            prefix: Prefix that begins and ends with a slash.
            value: The value.
        """
        node = self._root
        # The first and the last part are empty.
        for segment in prefix.split(b"/")[1:-1]:
            node = node.children.setdefault(segment, _Node())
        node.value = value

    def find(self, path: bytes) -> _Value | None:
        """Returns the value of the longest prefix; None without one.

        Args:
            path: Path of a request, without a query.
        """
        if not path.startswith(b"/"):
            return None
        node = self._root
        found = node.value
        start = 1
        while node.children:
            end = path.find(b"/", start)
            if end < 0:
                break
            node = node.children.get(path[start:end])
            if node is None:
                break
            if node.value is not None:
                found = node.value
            start = end + 1
        return found
