"""Finds out whether the upstream has terminated when a connection breaks."""

import asyncio
import collections.abc

from medlardoor.mesh import upstream_connection, upstream_pool

__all__ = ["CrashProbe"]

# Times after a connection broke at which the upstream is checked, in seconds.
# The first one lets the other connections end; the second one finds an upstream
# that still accepted connections then. Both are within the time in which a
# crash is attributed to the request (`crashes.CRASH_WINDOW_S`).
CHECK_DELAYS_S = (0.02, 0.3)

_CLOSED_BY_UPSTREAM = (
    upstream_connection.BreakReason.CLOSED,
    upstream_connection.BreakReason.RESET,
)


class CrashProbe:
    """Opens a connection to the upstream if no other one shows that it runs.

    Without it, a crash is noticed by the next request or announcement only.
    While there is little traffic these come too late to attribute the crash,
    and the request that caused it is never quarantined.

    Args:
        pool: Connections to the upstream.
        is_in_doubt: Returns whether the upstream should be running, and no
            exchange in progress shows that it is.
        failed: Called with the name of the error, and whether the upstream
            refused or reset the connection.
    """

    def __init__(
        self,
        pool: upstream_pool.UpstreamPool,
        is_in_doubt: collections.abc.Callable[[], bool],
        failed: collections.abc.Callable[[str, bool], None],
    ):
        self._pool = pool
        self._is_in_doubt = is_in_doubt
        self._failed = failed
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task | None = None

    def exchange_broken(self, reason: upstream_connection.BreakReason) -> None:
        """Schedules the checks after an exchange without a response.

        Args:
            reason: Why there is no response. Nothing is checked if this node
                has closed the connection.
        """
        if reason in _CLOSED_BY_UPSTREAM:
            for delay_s in CHECK_DELAYS_S:
                self._loop.call_later(delay_s, self._check)

    def _check(self) -> None:
        if (
            self._task is None
            and not self._pool.has_open
            and self._is_in_doubt()
        ):
            self._task = self._loop.create_task(self._connect())

    async def _connect(self) -> None:
        try:
            await self._pool.connect(self._connected, self._failed)
        finally:
            self._task = None

    def _connected(
        self, connection: upstream_connection.UpstreamConnection
    ) -> None:
        self._pool.return_connection(connection, self._loop.time())
