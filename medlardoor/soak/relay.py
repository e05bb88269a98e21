"""Loopback relay that delays, resets, cuts one way or silences connections."""

import asyncio
import enum
import socket
import struct

__all__ = ["Relay", "RelayFault"]

# SO_LINGER with time 0: closing resets the connection.
_RESET = struct.pack("ii", 1, 0)

DELAY_S = 0.15


class RelayFault(enum.Enum):
    """What happens to bytes and connections.

    `DEAF` drops what the connecting side sends, `MUTE` what it is sent.
    """

    NONE = "none"
    DELAY = "delay"
    DEAF = "deaf"
    MUTE = "mute"
    SILENT = "silent"
    REFUSE = "refuse"


class Relay:
    """Listens at one address and forwards to another one.

    Args:
        target: Host and port to forward to.
    """

    def __init__(self, target: tuple[str, int]):
        self._target = target
        self._pairs: set[tuple[_Side, _Side]] = set()
        self._server: asyncio.Server | None = None
        self.fault = RelayFault.NONE

    async def listen(self, host: str, port: int) -> None:
        """Opens the listener."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Near(self), host, port
        )

    def close(self) -> None:
        """Closes the listener and all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Resets all connections."""
        for near, far in list(self._pairs):
            near.reset()
            far.reset()

    def silence(self) -> None:
        """Drops all further bytes on the open connections; new ones work."""
        for near, far in self._pairs:
            near.ends_late()
            far.ends_late()

    async def connect(self, near: "_Side") -> None:
        """Opens the second half of a connection."""
        if self.fault is RelayFault.REFUSE:
            near.reset()
            return
        try:
            _, far = await asyncio.get_running_loop().create_connection(
                lambda: _Side(self), *self._target
            )
        except OSError:
            near.reset()
            return
        near.join(far)
        far.join(near)
        self._pairs.add((near, far))
        far.drops, near.drops = RelayFault.MUTE, RelayFault.DEAF
        near.flush()

    def ended(self, side: "_Side") -> None:
        """Forgets a connection of which one half has ended."""
        self._pairs = {pair for pair in self._pairs if side not in pair}


class _Side(asyncio.Protocol):
    """One half of a relayed connection."""

    def __init__(self, relay: Relay):
        self._relay = relay
        self._other: _Side | None = None
        self._transport: asyncio.Transport | None = None
        self._early: list[bytes] = []
        self.drops = RelayFault.DEAF

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def join(self, other: "_Side") -> None:
        self._other = other

    def flush(self) -> None:
        early, self._early = self._early, []
        for data in early:
            self.data_received(data)

    def data_received(self, data: bytes) -> None:
        if self._other is None:
            self._early.append(data)
            return
        fault = self._relay.fault
        if fault in (self.drops, RelayFault.SILENT):
            # What is lost in a stream breaks it, so the rest is lost as well.
            self._other.ends_late()
            return
        if fault is RelayFault.DELAY:
            loop = asyncio.get_running_loop()
            loop.call_later(DELAY_S, self._other.write, data)
        else:
            self._other.write(data)

    def write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def ends_late(self) -> None:
        """Drops all that follows: a stream with a gap is of no use."""
        self.write = _ignore

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._relay.ended(self)
        if self._other is not None:
            if exc is None:
                self._other.close()
            else:
                self._other.reset()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def reset(self) -> None:
        transport = self._transport
        if transport is None:
            return
        sock: socket.socket = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        transport.abort()


class _Near(_Side):
    """The half that somebody has opened."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._relay.connect(self))


def _ignore(data: bytes) -> None:
    """Takes the place of a write whose bytes are lost."""
