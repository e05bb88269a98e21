"""Links between nodes: framed messages over one TCP connection.

All calls from one node to another share the connection that the calling node
has opened. The event loop combines the writes of one iteration, so frames need
no batching here.
"""

import abc
import asyncio
import collections
import socket

import logbook

from medlardoor import lingering, logs
from medlardoor.admission import link_budget
from medlardoor.mesh import settings as settings_module
from medlardoor.wire import frames
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["Link", "LinkEvents"]

_LOG = logbook.Logger("links")

# The kernel closes a connection if sent data is not acknowledged within this
# time, in milliseconds. This also detects a dead peer that sends no reset.
_TCP_USER_TIMEOUT_MS = 3_000


class LinkEvents(abc.ABC):
    """Receives the events of links."""

    @abc.abstractmethod
    def link_opened(self, link: "Link") -> None:
        """Called when the connection has been established."""

    @abc.abstractmethod
    def frame_received(self, link: "Link", frame: ttypes.Frame) -> None:
        """Called with each message received."""

    @abc.abstractmethod
    def frame_dropped(self, link: "Link", frame: frames.DroppedFrame) -> None:
        """Called for a call or an answer for which there was no space."""

    @abc.abstractmethod
    def link_closed(self, link: "Link") -> None:
        """Called when the connection has ended."""


class _Admission(frames.FrameAdmission):
    """Counts large frames that arrive in the buffer budget."""

    def __init__(self, budget: link_budget.LinkBudget):
        self._budget = budget

    @property
    def counted_bytes(self) -> int:
        """Size from which on frames are counted; see `FrameAdmission`."""
        return link_budget.COUNTED_BYTES

    def try_receive(self, size: int, is_answer: bool) -> bool:
        """Reserves space for a frame; see `FrameAdmission`."""
        if is_answer:
            return self._budget.try_receive_answer(size)
        return self._budget.try_receive_call(size)

    def release_received(self, size: int) -> None:
        """Releases the space of a frame; see `FrameAdmission`."""
        self._budget.release_received(size)


class Link(asyncio.Protocol):
    """One connection between two nodes.

    Args:
        events: Receives the events of the link.
        settings: Limits of links.
        budget: Counts large frames in the buffer budget.
        dialled_address: Address that this node has dialled; None if the other
            node has opened the connection.
    """

    def __init__(
        self,
        events: LinkEvents,
        settings: settings_module.LinkSettings,
        budget: link_budget.LinkBudget,
        dialled_address: settings_module.Address | None = None,
    ):
        self._events = events
        self._settings = settings
        self._budget = budget
        self._dialled_address = dialled_address
        self._reader = frames.FrameReader(
            settings.max_frame_bytes, _Admission(budget)
        )
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._last_received_at = self._loop.time()
        self._written_bytes = 0
        # Large frames that the kernel has not taken: the number of bytes
        # written up to their end, and their size. The transport keeps a frame
        # until its last byte is sent.
        self._unsent: collections.deque[tuple[int, int]] = collections.deque()
        self._unsent_bytes = 0
        # Bytes that the kernel has taken, and when it last took some.
        self._sent_bytes = 0
        self._progress_at = 0.0

    @property
    def dialled_address(self) -> settings_module.Address | None:
        """Address that this node has dialled; None on an inbound link."""
        return self._dialled_address

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent."""
        return self._transport is not None

    @property
    def last_received_at(self) -> float:
        """Time at which data was last received, in seconds."""
        return self._last_received_at

    @property
    def is_congested(self) -> bool:
        """Whether unsent data exceeds the limit; true on a closed link."""
        transport = self._transport
        if transport is None:
            return True
        unsent = transport.get_write_buffer_size()
        return unsent > self._settings.max_unsent_bytes

    @property
    def has_undelivered_data(self) -> bool:
        """Whether the other node has not acknowledged all that was sent."""
        transport = self._transport
        return transport is not None and bool(
            lingering.undelivered_bytes(transport)
        )

    def may_send(self, size: int) -> bool:
        """Whether the buffer budget allows a frame.

        Args:
            size: Size of the body in the frame, in bytes.
        """
        still_s = self._loop.time() - self._progress_at
        return self._budget.may_send(size, self._unsent_bytes, still_s)

    def release_sent(self) -> None:
        """Releases the frames that the kernel has taken; called regularly."""
        if not self._unsent:
            return
        sent_bytes = self._written_bytes
        if self._transport is not None:
            sent_bytes -= self._transport.get_write_buffer_size()
        if sent_bytes > self._sent_bytes:
            self._sent_bytes = sent_bytes
            self._progress_at = self._loop.time()
        while self._unsent and self._unsent[0][0] <= sent_bytes:
            _, size = self._unsent.popleft()
            self._unsent_bytes -= size
            self._budget.release_unsent(size)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Configures the socket and reports the open link."""
        self._transport = transport
        self._last_received_at = self._loop.time()
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                _TCP_USER_TIMEOUT_MS,
            )
        self._events.link_opened(self)

    def data_received(self, data: bytes) -> None:
        """Decodes received data and passes on the messages."""
        self._last_received_at = self._loop.time()
        received = self._reader.feed(data)
        if received.is_err():
            logs.log_event(
                _LOG,
                logbook.WARNING,
                "link_malformed",
                detail=received.err_value.message,
            )
            self.abort()
            return
        for frame in received.ok_value:
            self._handle(frame)

    def _handle(self, frame: ttypes.Frame | frames.DroppedFrame) -> None:
        """Passes on a message; an exception does not close the link."""
        try:
            if isinstance(frame, frames.DroppedFrame):
                self._events.frame_dropped(self, frame)
            else:
                self._events.frame_received(self, frame)
        except Exception as error:  # noqa: BLE001
            logs.log_exception(_LOG, "frame_failed", error)

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the end of the connection."""
        self._transport = None
        self.release_sent()
        self._reader.close()
        self._events.link_closed(self)

    def send(self, frame: ttypes.Frame) -> bool:
        """Sends a frame.

        Returns:
            False if the connection is closed and nothing will be sent.
        """
        if self._transport is None:
            return False
        data = frames.encode_frame(frame)
        self._transport.write(data)
        size = len(data)
        self._written_bytes += size
        if size >= link_budget.COUNTED_BYTES:
            if not self._unsent:
                self._sent_bytes = self._written_bytes - size
                self._progress_at = self._loop.time()
            self._unsent.append((self._written_bytes, size))
            self._unsent_bytes += size
            self._budget.add_unsent(size)
            # What the kernel has not taken in this iteration waits.
            self._loop.call_soon(self.release_sent)
        return True

    def abort(self) -> None:
        """Closes the connection at once."""
        if self._transport is not None:
            self._transport.abort()
