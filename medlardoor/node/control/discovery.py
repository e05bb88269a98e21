"""Finds the members of called services in the platform directory."""

import typing

import anyio
import logbook

from medlardoor import logs
from medlardoor.blackboard import board as board_module
from medlardoor.membership import directory, gossip, messages
from medlardoor.store import client

__all__ = ["Discovery"]

POLL_INTERVAL_S = 0.02
REREAD_INTERVAL_S = 1.0

_LOG = logbook.Logger("medlardoor.discovery")


class Discovery:
    """Reads directories of called services and subscribes to their members.

    Args:
        board: Shared state of the node.
        controller: Gossip controller that holds the subscriptions.
        store: Client of the platform.
        send: Sends gossip digests.
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
        self._called_services: set[str] = set()

    async def discover(self, service: str) -> None:
        """Waits until a member of the service is known.

        The caller limits the wait. Concurrent calls for a service share the
        reads of its directory.
        """
        self._called_services.add(service)
        while not self._board.membership.services.get(service):
            now = anyio.current_time()
            read_at = self._read_at.get(service)
            if read_at is None or now - read_at >= REREAD_INTERVAL_S:
                self._read_at[service] = now
                await self._read_directory(service)
            else:
                await anyio.sleep(POLL_INTERVAL_S)

    async def run(self) -> None:
        """Rereads directories of services without a live member."""
        while True:
            await anyio.sleep(REREAD_INTERVAL_S)
            now = anyio.current_time()
            for service in sorted(self._called_services):
                if self._controller.needs_directory_read(service, now):
                    await self._read_directory(service)

    async def _read_directory(self, service: str) -> None:
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
