"""Finds the members of called services through their directory."""

import typing

import anyio
import logbook

from medlardoor import logs
from medlardoor.blackboard import board as board_module
from medlardoor.membership import directory, gossip, messages
from medlardoor.store import client

__all__ = ["Discovery"]

POLL_S = 0.02
REREAD_INTERVAL_S = 1.0

_LOG = logbook.Logger("medlardoor.discovery")


class Discovery:
    """Reads the directory of a service once and subscribes to its members.

    Args:
        board: Shared state.
        controller: Gossip decisions.
        store: Client of the platform.
        send: Sends digests.
    """

    def __init__(
        self,
        board: board_module.Blackboard,
        controller: gossip.GossipController,
        store: client.ObjectStore,
        send: typing.Callable[[list[messages.Send]], typing.Awaitable[None]],
    ):
        self._board = board
        self._controller = controller
        self._store = store
        self._send = send
        self._read_at: dict[str, float] = {}
        self._followed: set[str] = set()

    async def discover(self, service: str) -> None:
        """Waits until a member of the service is known.

        The caller bounds the wait. Concurrent calls share one read.
        """
        self._followed.add(service)
        while not self._board.membership.services.get(service):
            now = anyio.current_time()
            read_at = self._read_at.get(service)
            if read_at is None or now - read_at >= REREAD_INTERVAL_S:
                self._read_at[service] = now
                await self._read(service)
            else:
                await anyio.sleep(POLL_S)

    async def run(self) -> None:
        """Rereads directories of services that no member answers for."""
        while True:
            await anyio.sleep(REREAD_INTERVAL_S)
            now = anyio.current_time()
            for service in sorted(self._followed):
                if self._controller.needs_directory_read(service, now):
                    await self._read(service)

    async def _read(self, service: str) -> None:
        found = await directory.read_directory(self._store, service)
        if found.is_err():
            logs.log_event(
                _LOG,
                logbook.WARNING,
                "directory_not_read",
                service=service,
                detail=found.err().message,
            )
            return
        if found.ok() is None:
            return
        sends = self._controller.subscribe(
            service, found.ok().seeds(), anyio.current_time()
        )
        await self._send(sends)
