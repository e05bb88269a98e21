"""Stand-in of a network connection that breaks; not part of the system."""

import anyio
import anyio.abc

__all__ = ["Relay"]

HOST = "127.0.0.1"


class Relay:
    """Relays TCP connections to one target until it is cut.

    Args:
        port: Port of the target on the loopback address.
    """

    def __init__(self, port: int):
        self._target = port
        self._cut = False
        self._scopes: set[anyio.CancelScope] = set()

    def set_cut(self, cut: bool) -> None:
        """Breaks all connections and refuses new ones, or heals."""
        self._cut = cut
        for scope in list(self._scopes) if cut else []:
            scope.cancel()

    async def handle(self, near: anyio.abc.SocketStream) -> None:
        """Relays one connection."""
        async with near:
            if self._cut:
                return
            try:
                far = await anyio.connect_tcp(HOST, self._target)
            except OSError:
                return
            async with far, anyio.create_task_group() as group:
                self._scopes.add(group.cancel_scope)
                group.start_soon(_copy, near, far, group.cancel_scope)
                group.start_soon(_copy, far, near, group.cancel_scope)
            self._scopes.discard(group.cancel_scope)


async def _copy(
    source: anyio.abc.SocketStream,
    target: anyio.abc.SocketStream,
    scope: anyio.CancelScope,
) -> None:
    try:
        async for data in source:
            await target.send(data)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        pass
    scope.cancel()
