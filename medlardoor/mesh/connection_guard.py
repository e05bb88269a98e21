"""Applies the bounds on clients to the connections of a process."""

import abc
import asyncio
import collections
import math
import sys

import logbook

from medlardoor import logs
from medlardoor.admission import buffers as buffers_module
from medlardoor.admission import connection_budget

__all__ = ["ConnectionGuard", "GuardedConnection"]

_LOG = logbook.Logger("connections")

# At most one line for each reason in this time, in seconds.
LOG_INTERVAL_S = 10.0


class GuardedConnection(abc.ABC):
    """A connection of a client that may be refused or closed."""

    @abc.abstractmethod
    def end(self, reason: connection_budget.ClosingReason) -> None:
        """Refuses what is unfinished on the connection, or closes it."""


class ConnectionGuard:
    """Passes events of connections to the budget and applies its decisions.

    Args:
        settings: Limits on clients; None for none.
        buffers: Budget for the bytes held in memory; None for no limit.
    """

    def __init__(
        self,
        settings: connection_budget.ClientSettings | None = None,
        buffers: buffers_module.BufferBudget | None = None,
    ):
        self._buffers = buffers or buffers_module.BufferBudget(sys.maxsize)
        # Bytes of unfinished heads and unsent answers in the buffer budget.
        self._reserved_bytes = 0
        self._settings = settings or connection_budget.ClientSettings(
            max_connections=2**31, max_internal_connections=2**31
        )
        self._budget = connection_budget.ConnectionBudget(
            self._settings, self._buffers.limit_bytes
        )
        self._closings: collections.Counter[connection_budget.ClosingReason] = (
            collections.Counter()
        )
        # Time of the last line for each reason, and the count that it gave.
        self._logged: dict[
            connection_budget.ClosingReason, tuple[float, int]
        ] = {}

    @property
    def max_header_lines(self) -> int:
        """Maximum number of header lines of a request."""
        return self._settings.max_header_lines

    @property
    def budget(self) -> connection_budget.ConnectionBudget:
        """What is counted over all connections."""
        return self._budget

    @property
    def closings(
        self,
    ) -> collections.Counter[connection_budget.ClosingReason]:
        """Number of refused or closed connections by reason."""
        return self._closings

    def opened(self, connection: GuardedConnection, is_internal: bool) -> None:
        """Counts a new connection."""
        group = connection_budget.ConnectionGroup.CALLERS
        if is_internal:
            group = connection_budget.ConnectionGroup.INTERNAL
        self._apply(self._budget.opened(connection, group))

    def closed(self, connection: GuardedConnection) -> None:
        """Forgets a connection."""
        self._budget.closed(connection)
        self._reserve()

    def became_busy(self, connection: GuardedConnection) -> None:
        """Notes that a request begins."""
        self._budget.became_busy(connection)

    def became_idle(self, connection: GuardedConnection) -> None:
        """Notes that no request is left."""
        self._budget.became_idle(connection)

    def awaits_close(self, connection: GuardedConnection) -> None:
        """Notes that only the client's end is missing on a connection."""
        self._budget.awaits_close(connection)

    def head_ended(self, connection: GuardedConnection) -> None:
        """Notes that a head is whole or was dropped."""
        self._budget.head_ended(connection)
        self._reserve()

    def head_received(
        self, connection: GuardedConnection, held_bytes: int
    ) -> None:
        """Counts what is held for an unfinished head, in bytes."""
        now = asyncio.get_running_loop().time()
        self._apply(self._budget.head_received(connection, held_bytes, now))

    def unsent_changed(
        self, connection: GuardedConnection, unsent_bytes: int, held_bytes: int
    ) -> None:
        """Counts the bytes that wait to be sent.

        Args:
            connection: The connection.
            unsent_bytes: Bytes that wait.
            held_bytes: Size of the answers that they belong to, in bytes.
        """
        now = asyncio.get_running_loop().time()
        self._apply(
            self._budget.unsent_changed(
                connection, unsent_bytes, held_bytes, now
            )
        )

    def check(self, now: float) -> None:
        """Closes slow readers; called regularly.

        Args:
            now: Current time, in seconds.
        """
        self._apply(self._budget.check(now))

    def count(self, reason: connection_budget.ClosingReason) -> None:
        """Counts a refused or closed connection, and logs it at times."""
        self._closings[reason] += 1
        total = self._closings[reason]
        now = asyncio.get_running_loop().time()
        logged_at, logged_total = self._logged.get(reason, (-math.inf, 0))
        if now - logged_at < LOG_INTERVAL_S:
            return
        self._logged[reason] = (now, total)
        logs.log_event(
            _LOG,
            logbook.WARNING,
            "client_ended",
            reason=reason.value,
            count=total - logged_total,
            unfinished_heads=self._budget.unfinished_heads,
            unfinished_head_bytes=self._budget.unfinished_head_bytes,
            unsent_bytes=self._budget.unsent_bytes,
        )

    def _apply(self, closings: list[connection_budget.Closing]) -> None:
        self._reserve()
        for closing in closings:
            self.count(closing.reason)
            closing.connection.end(closing.reason)

    def _reserve(self) -> None:
        """Brings the buffer budget up to date."""
        held_bytes = (
            self._budget.unfinished_head_bytes + self._budget.unsent_bytes
        )
        self._buffers.reserve_unchecked(held_bytes - self._reserved_bytes)
        self._reserved_bytes = held_bytes
