"""Pool of connections to the local upstream."""

import asyncio
import collections.abc

import anyio

from medlardoor.admission import buffers as buffers_module
from medlardoor.mesh import response_origin, upstream_connection
from medlardoor.mesh import settings as settings_module

__all__ = ["UpstreamPool"]


class UpstreamPool:
    """Keeps idle connections and reuses the most recently used one first.

    Args:
        settings: Limits of connections.
        address: Address of the upstream.
        marks: Tells whether the upstream itself generated a response.
        buffers: Budget for the bytes of bodies held in memory.
    """

    def __init__(
        self,
        settings: settings_module.UpstreamSettings,
        address: settings_module.Address,
        marks: response_origin.ResponseMarks,
        buffers: buffers_module.BufferBudget,
    ):
        self._settings = settings
        self._address = address
        self._marks = marks
        self._buffers = buffers
        self._idle: list[upstream_connection.UpstreamConnection] = []
        self._opened = 0

    @property
    def opened(self) -> int:
        """Number of connection attempts since the start."""
        return self._opened

    @property
    def has_open(self) -> bool:
        """Whether an idle connection is open, so that the upstream runs."""
        return any(connection.is_open for connection in self._idle)

    def acquire(
        self, attempt_id: bytes, idempotent: bool, now: float
    ) -> upstream_connection.UpstreamConnection | None:
        """Returns an idle connection; None if a new one is needed.

        Args:
            attempt_id: Attempt identifier of the request. Connections on which
                the attempt was rejected before are left out.
            idempotent: Whether the request may be sent again if the upstream
                closes the connection as the request is sent.
            now: Current time, in seconds.
        """
        settings = self._settings
        max_idle_s = settings.max_idle_s
        if not idempotent:
            max_idle_s = min(max_idle_s, settings.max_idle_not_idempotent_s)
        for index in reversed(range(len(self._idle))):
            connection = self._idle[index]
            if not connection.is_usable(settings.max_idle_s, now):
                del self._idle[index]
                connection.abort()
            elif not connection.is_usable(max_idle_s, now):
                # All others have been idle for longer.
                return None
            elif not connection.has_rejected(attempt_id):
                del self._idle[index]
                return connection
        return None

    def return_connection(
        self, connection: upstream_connection.UpstreamConnection, now: float
    ) -> None:
        """Stores an idle connection, or closes it if it is not reusable."""
        if connection.is_usable(self._settings.max_idle_s, now):
            self._idle.append(connection)
        else:
            connection.abort()

    async def connect(
        self,
        connected: collections.abc.Callable[
            [upstream_connection.UpstreamConnection], None
        ],
        failed: collections.abc.Callable[[str, bool], None],
    ) -> None:
        """Opens a connection and reports the outcome.

        Args:
            connected: Called with the connection.
            failed: Called with the name of the error, and whether the upstream
                refused or reset the connection.
        """
        self._opened += 1
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(self._settings.connect_timeout_s):
                _, connection = await loop.create_connection(
                    self._make_connection,
                    self._address.host,
                    self._address.port,
                )
        except (OSError, TimeoutError) as error:
            is_refused = isinstance(error, ConnectionError)
            failed(type(error).__name__, is_refused)
            return
        if connection.is_open:
            connected(connection)
        else:
            # The upstream has accepted and reset the connection.
            failed(ConnectionResetError.__name__, False)

    def close_idle(self) -> None:
        """Closes all idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def close_expired(self, now: float) -> None:
        """Closes the connections that have exceeded their idle time."""
        kept = []
        for connection in self._idle:
            if connection.is_usable(self._settings.max_idle_s, now):
                kept.append(connection)
            else:
                connection.abort()
        self._idle = kept

    def _make_connection(self) -> upstream_connection.UpstreamConnection:
        return upstream_connection.UpstreamConnection(
            self._settings, self._marks, self._buffers
        )
