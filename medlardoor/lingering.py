"""Closing of connections on which the other side may still send.

A socket that is closed with unread data, or that receives data afterwards,
resets its connection. The kernel then drops what it has not delivered: the end
of a response is lost although it was written. A connection is therefore closed
in two steps: the sending side ends first, and the socket is closed once the
other side has ended too, or some time after it has received everything.

References:
    RFC 9112, section 9.6 (tear-down).
"""

import asyncio
import fcntl
import struct
import termios
import typing

__all__ = ["LingeringClose", "LingeringTransport", "undelivered_bytes"]

# How long a connection stays open after everything on it was delivered, in
# seconds. The other side has this time to learn of the end and to close.
LINGER_S = 2.0


def undelivered_bytes(transport: asyncio.Transport) -> int:
    """Bytes written to a connection that the other side has not acknowledged.

    Args:
        transport: The connection.

    Returns:
        The bytes in the buffers of the transport and of the kernel, with one
        for an unacknowledged end. A kernel that does not tell its part counts
        as 0.
    """
    unsent_bytes = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return unsent_bytes
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return unsent_bytes
    return unsent_bytes + struct.unpack("i", answer)[0]


class LingeringClose:
    """Ends the sending side of a connection, and closes it later.

    The owner goes on to read and drops the data. A transport closes by itself
    when the other side ends.

    Args:
        transport: The connection.
        now: Current time, in seconds.
    """

    __slots__ = ("_progress_at", "_transport", "_undelivered_bytes")

    def __init__(self, transport: asyncio.Transport, now: float):
        self._transport = transport
        self._undelivered_bytes = 0
        self._progress_at = now
        try:
            transport.write_eof()
        except OSError:
            # The other side has reset the connection.
            transport.abort()

    @property
    def is_delivered(self) -> bool:
        """Whether the last check found that everything was delivered."""
        return self._undelivered_bytes == 0

    def check(self, idle_timeout_s: float, now: float) -> None:
        """Closes the connection if its time is over; called regularly.

        Args:
            idle_timeout_s: Time without progress of the delivery after which
                the connection is aborted, in seconds.
            now: Current time, in seconds.
        """
        transport = self._transport
        if transport.is_closing():
            return
        undelivered = undelivered_bytes(transport)
        if undelivered != self._undelivered_bytes:
            self._undelivered_bytes = undelivered
            self._progress_at = now
        elif undelivered and now - self._progress_at > idle_timeout_s:
            transport.abort()
        elif not undelivered and now - self._progress_at >= LINGER_S:
            transport.close()


class LingeringTransport(asyncio.Transport):
    """Transport that closes in two steps, for protocols of libraries.

    `close` ends the sending side. The protocol has to drop what it receives
    then, and its owner has to call `check` regularly.

    Args:
        transport: The connection.
    """

    def __init__(self, transport: asyncio.Transport):
        super().__init__()
        self._transport = transport
        self._loop = asyncio.get_running_loop()
        self._lingering: LingeringClose | None = None

    @property
    def is_lingering(self) -> bool:
        """Whether the sending side has ended."""
        return self._lingering is not None

    @property
    def awaits_close(self) -> bool:
        """Whether everything was delivered and only the end is awaited."""
        return self.is_lingering and not undelivered_bytes(self._transport)

    def check(self, idle_timeout_s: float, now: float) -> None:
        """Closes the connection if its time is over; see `LingeringClose`."""
        if self._lingering is not None:
            self._lingering.check(idle_timeout_s, now)

    def close(self) -> None:
        """Ends the sending side, after what was written."""
        if self.is_closing():
            return
        # Unread data would reset the connection when it is closed.
        self._transport.resume_reading()
        self._lingering = LingeringClose(self._transport, self._loop.time())

    def is_closing(self) -> bool:
        """Whether nothing more can be written."""
        return self.is_lingering or self._transport.is_closing()

    def abort(self) -> None:
        """Closes the connection at once; unsent data is dropped."""
        self._transport.abort()

    def write(self, data: bytes) -> None:
        """Writes data, unless the sending side has ended."""
        if not self.is_lingering:
            self._transport.write(data)

    def pause_reading(self) -> None:
        """Pauses reading, unless the sending side has ended."""
        if not self.is_lingering:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resumes reading."""
        self._transport.resume_reading()

    def get_extra_info(
        self, name: str, default: typing.Any = None
    ) -> typing.Any:
        """Returns information about the connection."""
        return self._transport.get_extra_info(name, default)

    def get_write_buffer_size(self) -> int:
        """Returns the number of bytes that the kernel has not taken."""
        return self._transport.get_write_buffer_size()
