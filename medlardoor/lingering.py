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

__all__ = ["LingeringClose", "undelivered_bytes"]

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
