"""Departures of upstreams that a node has acknowledged."""

import collections.abc
import dataclasses

__all__ = ["MAX_TOLD_DEPARTURES", "Departure", "DepartureList"]

# Departures that are stored and sent to other nodes for a restart of the node.
# An address sees far fewer starts within the delay of a heartbeat.
MAX_TOLD_DEPARTURES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """Announced end of an upstream.

    Attributes:
        upstream_id: Identifier of the upstream.
        born_ms: Its start, in milliseconds of Unix time; 0 if not reported.
    """

    upstream_id: str
    born_ms: int


class DepartureList:
    """The last departed start of each upstream, the latest addition last.

    Starts under one identifier are ordered by their time, so the end of one
    includes those of all earlier ones.

    Args:
        max_count: Number of upstreams; the earliest additions are dropped.
    """

    def __init__(self, max_count: int):
        self._max_count = max_count
        self._born_ms: dict[str, int] = {}

    def __iter__(self) -> collections.abc.Iterator[Departure]:
        return (Departure(*item) for item in self._born_ms.items())

    def add(self, departure: Departure) -> bool:
        """Adds a departure.

        Args:
            departure: The departure.

        Returns:
            Whether it was not included before.
        """
        if self.includes(departure.upstream_id, departure.born_ms):
            return False
        self._born_ms.pop(departure.upstream_id, None)
        self._born_ms[departure.upstream_id] = departure.born_ms
        if len(self._born_ms) > self._max_count:
            del self._born_ms[next(iter(self._born_ms))]
        return True

    def includes(self, upstream_id: str, born_ms: int) -> bool:
        """Whether a start or a later one under its identifier has departed.

        Args:
            upstream_id: Identifier of the upstream.
            born_ms: The start, as in `Departure`.
        """
        known = self._born_ms.get(upstream_id)
        return known is not None and born_ms <= known
