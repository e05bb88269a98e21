"""Bounds on what clients make a process hold, over all its connections.

A client that sends heads without end, reads no answers or opens connections
without end stays within the limits of each connection. Only the sum over all
connections shows it.
"""

import collections
import collections.abc
import dataclasses
import enum
import math

__all__ = [
    "ClientSettings",
    "Closing",
    "ConnectionBudget",
    "ConnectionGroup",
    "ClosingReason",
]

# Share of the buffer budget that unfinished heads may use, and the share to
# which they are reduced when it is exceeded. Reducing them in one step keeps
# the cost of the selection small for each byte received.
HEAD_SHARE = 0.125
REDUCED_HEAD_SHARE = 0.1

# Shares of the buffer budget that unsent answers may use: the lower one if
# there are slow readers, the higher one at any time. The rest is for answers
# that are being received.
UNSENT_SHARE = 0.3
MAX_UNSENT_SHARE = 0.6

# A reader is slow if it would take longer for the rest of its answers, in
# seconds. Each long answer is unsent for a moment, whoever reads it, so the
# rate counts only after some time, in seconds.
MAX_READING_TIME_S = 5.0
MIN_OBSERVATION_S = 1.0


class ConnectionGroup(enum.Enum):
    """Listeners whose connections are limited together."""

    CALLERS = "callers"
    INTERNAL = "internal"


class ClosingReason(enum.Enum):
    """Why a connection of a client was refused or closed."""

    HEAD_BYTES = "head_bytes"
    HEAD_LINES = "head_lines"
    HEAD_TIMEOUT = "head_timeout"
    HEADS_OVER_BUDGET = "heads_over_budget"
    SLOW_READER = "slow_reader"
    IDLE_REPLACED = "idle_replaced"
    TOO_MANY_CONNECTIONS = "too_many_connections"


@dataclasses.dataclass(frozen=True, slots=True)
class ClientSettings:
    """Limits on the clients of a process.

    Attributes:
        max_connections: Maximum number of open connections of callers.
        max_internal_connections: The same for the listeners of readiness,
            control and metrics together.
        max_header_lines: Maximum number of header lines of a request. A line
            takes at least 3 bytes, so a head of up to 24,576 bytes has fewer.
    """

    max_connections: int = 2_900
    max_internal_connections: int = 128
    max_header_lines: int = 8_192


@dataclasses.dataclass(frozen=True, slots=True)
class Closing:
    """Decision to refuse or close a connection.

    Attributes:
        connection: The connection.
        reason: Why.
    """

    connection: collections.abc.Hashable
    reason: ClosingReason


@dataclasses.dataclass(slots=True)
class _Head:
    held_bytes: int
    began_at: float

    @property
    def size_class(self) -> int:
        """Power of two above the size: heads of one class are alike."""
        return self.held_bytes.bit_length()


@dataclasses.dataclass(slots=True)
class _Backlog:
    # Bytes held in memory, not yet sent, and sent since the backlog began. A
    # message is held in full until its last byte is sent.
    held_bytes: int
    unsent_bytes: int
    began_at: float
    sent_bytes: int = 0
    # How often its size has grown.
    additions: int = 0

    def rate(self, now: float) -> float:
        """Bytes read a second since the backlog began."""
        age_s = now - self.began_at
        if age_s <= 0:
            return 0.0
        return self.sent_bytes / age_s

    def is_slow(self, now: float) -> bool:
        """Whether the client takes too long for the rest."""
        if now - self.began_at < MIN_OBSERVATION_S:
            return False
        return self.rate(now) * MAX_READING_TIME_S < self.unsent_bytes


class ConnectionBudget:
    """Decides which connections to refuse or close.

    A decision takes effect in this object at once, and the events that follow
    of a connection to be closed are ignored. What is held for it counts until
    `closed` is called, but leads to no further decision. The memory is bounded
    by the limits on connections.

    Args:
        settings: Limits on clients.
        buffer_bytes: Maximum bytes of bodies held in memory.
    """

    def __init__(self, settings: ClientSettings, buffer_bytes: float):
        self._limits = {
            ConnectionGroup.CALLERS: settings.max_connections,
            ConnectionGroup.INTERNAL: settings.max_internal_connections,
        }
        self._buffer_bytes = buffer_bytes
        self._groups: dict[collections.abc.Hashable, ConnectionGroup] = {}
        self._open = dict.fromkeys(ConnectionGroup, 0)
        # Idle connections in the order in which they are replaced: those that
        # wait to be closed, then the longest idle first.
        self._idle: dict[
            ConnectionGroup,
            collections.OrderedDict[collections.abc.Hashable, None],
        ] = {group: collections.OrderedDict() for group in ConnectionGroup}
        self._heads: dict[collections.abc.Hashable, _Head] = {}
        self._head_bytes = 0
        self._backlogs: dict[collections.abc.Hashable, _Backlog] = {}
        self._unsent_held_bytes = 0
        # Bytes held for connections that are to be closed, until they are.
        self._closing: dict[collections.abc.Hashable, int] = {}
        self._closing_bytes = 0

    @property
    def unfinished_heads(self) -> int:
        """Number of connections with an unfinished request head."""
        return len(self._heads)

    @property
    def unfinished_head_bytes(self) -> int:
        """Bytes of all unfinished request heads."""
        return self._head_bytes

    @property
    def unsent_bytes(self) -> int:
        """Bytes held for answers that are not sent in full."""
        return self._unsent_held_bytes + self._closing_bytes

    def open_connections(self, group: ConnectionGroup) -> int:
        """Number of open connections of a group."""
        return self._open[group]

    def opened(
        self, connection: collections.abc.Hashable, group: ConnectionGroup
    ) -> list[Closing]:
        """Counts a new connection, which is idle.

        Returns:
            The idle connection that it replaces, or the new one itself.
        """
        closings = []
        if self._open[group] >= self._limits[group]:
            idle = self._idle[group]
            if not idle:
                return [Closing(connection, ClosingReason.TOO_MANY_CONNECTIONS)]
            oldest = next(iter(idle))
            self._forget(oldest)
            closings = [Closing(oldest, ClosingReason.IDLE_REPLACED)]
        self._groups[connection] = group
        self._open[group] += 1
        self._idle[group][connection] = None
        return closings

    def closed(self, connection: collections.abc.Hashable) -> None:
        """Forgets a connection, whose memory is free."""
        self._closing_bytes -= self._closing.pop(connection, 0)
        self._forget(connection)

    def _forget(self, connection: collections.abc.Hashable) -> None:
        group = self._groups.pop(connection, None)
        if group is None:
            return
        self._open[group] -= 1
        self._idle[group].pop(connection, None)
        self.head_ended(connection)
        self._end_backlog(connection)

    def became_busy(self, connection: collections.abc.Hashable) -> None:
        """Notes that a connection has received data of a request."""
        group = self._groups.get(connection)
        if group is not None:
            self._idle[group].pop(connection, None)

    def became_idle(self, connection: collections.abc.Hashable) -> None:
        """Notes that all requests of a connection have their answers."""
        group = self._groups.get(connection)
        if group is not None:
            idle = self._idle[group]
            idle.pop(connection, None)
            idle[connection] = None

    def awaits_close(self, connection: collections.abc.Hashable) -> None:
        """Notes that all answers were delivered and none will follow."""
        group = self._groups.get(connection)
        if group is not None:
            idle = self._idle[group]
            idle[connection] = None
            idle.move_to_end(connection, last=False)

    def head_received(
        self, connection: collections.abc.Hashable, held_bytes: int, now: float
    ) -> list[Closing]:
        """Counts what is held for an unfinished head.

        Args:
            connection: The connection.
            held_bytes: Bytes held for it now.
            now: Current time, in seconds.

        Returns:
            Connections whose unfinished requests are to be refused: the
            largest heads first, the newest first among those of a size.
        """
        if connection not in self._groups:
            return []
        head = self._heads.get(connection)
        if head is None:
            head = self._heads[connection] = _Head(0, now)
        self._head_bytes += held_bytes - head.held_bytes
        head.held_bytes = held_bytes
        if self._head_bytes <= self._buffer_bytes * HEAD_SHARE:
            return []
        order = sorted(
            self._heads.items(),
            key=lambda item: (item[1].size_class, item[1].began_at),
        )
        closings = []
        while self._head_bytes > self._buffer_bytes * REDUCED_HEAD_SHARE:
            refused, _ = order.pop()
            self.head_ended(refused)
            closings.append(Closing(refused, ClosingReason.HEADS_OVER_BUDGET))
        return closings

    def head_ended(self, connection: collections.abc.Hashable) -> None:
        """Notes that a head is whole or was dropped."""
        head = self._heads.pop(connection, None)
        if head is not None:
            self._head_bytes -= head.held_bytes

    def unsent_changed(
        self,
        connection: collections.abc.Hashable,
        unsent_bytes: int,
        held_bytes: int,
        now: float,
    ) -> list[Closing]:
        """Counts the answers that a client has not read yet.

        Args:
            connection: The connection.
            unsent_bytes: Bytes that wait to be sent on it.
            held_bytes: Size of the answers that they belong to, in bytes.
            now: Current time, in seconds.

        Returns:
            Connections to close, the slowest readers first.
        """
        if connection not in self._groups:
            return []
        if not unsent_bytes:
            self._end_backlog(connection)
            return []
        held_bytes = max(held_bytes, unsent_bytes)
        backlog = self._backlogs.get(connection)
        if backlog is None:
            backlog = _Backlog(0, unsent_bytes - held_bytes, now)
            self._backlogs[connection] = backlog
        added = held_bytes - backlog.held_bytes
        sent_bytes = backlog.unsent_bytes + max(0, added) - unsent_bytes
        backlog.sent_bytes += max(0, sent_bytes)
        backlog.unsent_bytes = unsent_bytes
        backlog.held_bytes = held_bytes
        backlog.additions += added > 0
        self._unsent_held_bytes += added
        return self.check(now) if added > 0 else []

    def check(self, now: float) -> list[Closing]:
        """Returns the slow readers to close; called regularly.

        Args:
            now: Current time, in seconds.
        """
        closings = []
        while self._unsent_held_bytes > self._buffer_bytes * UNSENT_SHARE:
            found = self._slowest_reader(now)
            if found is None:
                break
            held_bytes = self._backlogs[found].held_bytes
            self._closing[found] = held_bytes
            self._closing_bytes += held_bytes
            self._forget(found)
            closings.append(Closing(found, ClosingReason.SLOW_READER))
        return closings

    def _slowest_reader(self, now: float) -> collections.abc.Hashable | None:
        """Returns the connection to close next; None if none has to be."""
        share = MAX_UNSENT_SHARE
        if sum(b.additions for b in self._backlogs.values()) == 1:
            # A single long answer is delivered if nothing else waits.
            share = 1.0
        is_over_limit = self._unsent_held_bytes > self._buffer_bytes * share
        slowest = None
        lowest = (math.inf, 0)
        for connection, backlog in self._backlogs.items():
            if not is_over_limit and not backlog.is_slow(now):
                continue
            order = (backlog.rate(now), -backlog.held_bytes)
            if order < lowest:
                slowest, lowest = connection, order
        return slowest

    def _end_backlog(self, connection: collections.abc.Hashable) -> None:
        backlog = self._backlogs.pop(connection, None)
        if backlog is not None:
            self._unsent_held_bytes -= backlog.held_bytes
