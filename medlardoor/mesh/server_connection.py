"""Server side of HTTP/1.1 connections, without streaming of bodies."""

import asyncio
import http
import sys

import logbook

from medlardoor import lingering, logs
from medlardoor.admission import buffers as buffers_module
from medlardoor.admission import connection_budget
from medlardoor.mesh import (
    connection_guard,
    handlers,
    pipeline,
    request_reader,
    responses,
)

__all__ = ["ServerConnection"]

_LOG = logbook.Logger("connections")

ClosingReason = connection_budget.ClosingReason

# Number of requests without a response at which reading from the connection
# pauses.
MAX_PIPELINED_REQUESTS = 8


class ServerConnection(
    asyncio.Protocol,
    connection_guard.GuardedConnection,
    request_reader.ReaderEvents,
):
    """One connection of a client.

    Args:
        handler: Handles the requests.
        connections: Set of open connections; this one is added to it.
        buffers: Limit on the bytes held for bodies and unsent responses; None
            for no limit.
        guard: Bounds over all connections; None for none.
    """

    def __init__(
        self,
        handler: handlers.RequestHandler,
        connections: set["ServerConnection"],
        buffers: buffers_module.BufferBudget | None = None,
        guard: connection_guard.ConnectionGuard | None = None,
    ):
        self._handler = handler
        self._connections = connections
        self._buffers = buffers or buffers_module.BufferBudget(sys.maxsize)
        self._guard = guard or connection_guard.ConnectionGuard(
            buffers=self._buffers
        )
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._pipeline = pipeline.Pipeline(handler, self._buffers, self._flush)
        self._reader = request_reader.RequestReader(
            handler, self._buffers, self._guard.max_header_lines, self
        )
        self._has_counted_head = False
        self._is_starting = False
        self._is_paused = False
        self._is_write_paused = False
        # Response to a rejected request, sent after earlier responses.
        self._last_response: handlers.Response | None = None
        # When the first byte of an unfinished request arrived, in seconds.
        self._request_began_at: float | None = None
        self._progress_at = self._loop.time()
        self._unsent_bytes = 0
        # Size of the responses that the unsent bytes belong to.
        self._held_bytes = 0
        # The close in progress, during which all received data is dropped.
        self._lingering: lingering.LingeringClose | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or waiting for its response."""
        return not len(self._pipeline) and self._request_began_at is None

    @property
    def has_unread_responses(self) -> bool:
        """Whether the client may not have received all of a response yet."""
        if self._transport is None:
            return False
        is_lingering = self._lingering is not None
        return is_lingering or self._transport.get_write_buffer_size() > 0

    @property
    def _is_ending(self) -> bool:
        """Whether nothing more may be sent on the connection."""
        if self._transport is None or self._lingering is not None:
            return True
        return self._transport.is_closing()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport of the new connection."""
        self._transport = transport
        self._connections.add(self)
        self._guard.opened(self, self._handler.is_internal)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the requests in progress."""
        self._transport = None
        self._connections.discard(self)
        if self._unsent_bytes:
            # The transport drops unsent responses after this call.
            self._loop.call_soon(self._guard.closed, self)
        else:
            self._guard.closed(self)
        self._reader.stop()
        self._pipeline.clear()

    def pause_writing(self) -> None:
        """Stops reading from a client that does not read its responses."""
        self._is_write_paused = True
        self._count_unsent()
        self._update_reading()

    def resume_writing(self) -> None:
        """Reads again once the client has read its responses."""
        self._is_write_paused = False
        self._count_unsent()
        self._read_on()

    def end(self, reason: ClosingReason) -> None:
        """Refuses the unfinished request, or aborts the connection.

        Args:
            reason: Why.
        """
        if reason is ClosingReason.HEADS_OVER_BUDGET:
            # The head may be within the limits of one request, and has not
            # been passed on: the client may send it again.
            self.reject(http.HTTPStatus.SERVICE_UNAVAILABLE)
            return
        # Another connection needs the descriptor or the memory now.
        self.abort()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._reader.is_stopped:
            return
        self._progress_at = self._loop.time()
        self.request_began()
        self._reader.receive(data)
        self._after_parsing()

    @property
    def takes_requests(self) -> bool:
        """Whether another request may be read; see `ReaderEvents`."""
        return len(self._pipeline) < MAX_PIPELINED_REQUESTS

    def request_began(self) -> None:
        """Notes the start of a request; see `ReaderEvents`."""
        if self._request_began_at is None:
            self._request_began_at = self._progress_at
            self._guard.became_busy(self)

    def head_received(self) -> None:
        """Sends 100 Continue if it is due; see `ReaderEvents`."""
        self._send_continue()

    def request_received(self, exchange: pipeline.Exchange) -> None:
        """Queues a complete request; see `ReaderEvents`."""
        self._pipeline.add(exchange)
        self._request_began_at = None
        self._start()

    def head_exceeded(self, has_many_lines: bool) -> None:
        """Rejects a head over a limit; see `ReaderEvents`."""
        reason = ClosingReason.HEAD_BYTES
        if has_many_lines:
            reason = ClosingReason.HEAD_LINES
        self._guard.count(reason)
        self.reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def reject(self, status: int) -> None:
        """Sends an error status and closes; see `ReaderEvents`."""
        self._reader.stop()
        self._end_with(handlers.Response(status))

    def request_refused(self, refusal: handlers.Response) -> None:
        """Sends a refusal and closes; see `ReaderEvents`."""
        self._end_with(refusal)

    def _end_with(self, response: handlers.Response) -> None:
        """Sends a response after those of earlier requests, and closes."""
        self._guard.head_ended(self)
        if self._is_ending:
            return
        if len(self._pipeline):
            # If an earlier response closes the connection, the request of this
            # one counts as not read.
            self._last_response = response
            return
        self._transport.write(responses.encode_response(response, closes=True))
        self._close()

    def _after_parsing(self) -> None:
        """Counts what is held, and pauses reading if it must."""
        reader = self._reader
        is_unfinished = reader.has_unread or (
            self._request_began_at is not None and reader.is_in_head
        )
        if is_unfinished and not reader.is_stopped:
            reader.pack()
            self._has_counted_head = True
            self._guard.head_received(self, reader.held_bytes)
        elif self._has_counted_head:
            self._has_counted_head = False
            self._guard.head_ended(self)
        if not reader.is_stopped:
            self._update_reading()

    def check_timeouts(self, now: float) -> None:
        """Ends the connection if a time limit has passed; called regularly.

        Args:
            now: Current time, in seconds.
        """
        transport = self._transport
        if transport is None:
            return
        limits = self._handler.limits
        unsent_bytes = transport.get_write_buffer_size()
        if unsent_bytes:
            if unsent_bytes != self._unsent_bytes:
                self._update_unsent_bytes(unsent_bytes)
                self._progress_at = now
            elif now - self._progress_at > limits.idle_timeout_s:
                transport.abort()
            return
        self._update_unsent_bytes(0)
        if self._lingering is not None:
            self._lingering.check(limits.idle_timeout_s, now)
            if self._lingering.is_delivered:
                self._guard.awaits_close(self)
            return
        if len(self._pipeline) or transport.is_closing():
            return
        if self._request_began_at is not None:
            is_late = now - self._progress_at > limits.idle_timeout_s
            if self._reader.is_in_head:
                is_late = now - self._request_began_at > limits.head_timeout_s
            if is_late:
                if self._reader.is_in_head:
                    self._guard.count(ClosingReason.HEAD_TIMEOUT)
                self.reject(http.HTTPStatus.REQUEST_TIMEOUT)
        elif now - self._progress_at > limits.idle_timeout_s:
            self._close()

    def close_if_idle(self) -> None:
        """Closes the connection if it is idle."""
        if self.is_idle:
            self._close()

    def abort(self) -> None:
        """Closes the connection at once; unsent data is dropped."""
        self._reader.stop()
        if self._transport is not None:
            self._transport.abort()

    def _close(self) -> None:
        """Ends sending; the client may still send and read until it closes."""
        self._reader.stop()
        if self._is_ending:
            return
        transport = self._transport
        if self._is_paused:
            # Unread data would reset the connection when it is closed.
            self._is_paused = False
            transport.resume_reading()
        self._lingering = lingering.LingeringClose(transport, self._loop.time())

    def _start(self) -> None:
        """Passes the requests that may run now to the handler."""
        if self._is_ending or not len(self._pipeline):
            return
        self._is_starting = True
        try:
            self._pipeline.start()
        except Exception as error:  # noqa: BLE001
            self._abort_after_error(error)
            return
        finally:
            self._is_starting = False
        self._flush()

    def _flush(self) -> None:
        """Sends the available responses, in the order of the requests."""
        if self._is_starting or self._is_ending:
            return
        while (exchange := self._pipeline.pop_answered()) is not None:
            self._progress_at = self._loop.time()
            transport = self._transport
            response = exchange.response
            # During a stop, the responses of running requests are still sent.
            is_last = not self._pipeline.is_running
            closes = (
                response.close
                or not exchange.keeps_alive
                or (is_last and self._handler.closes_connections)
            )
            if not self._unsent_bytes:
                self._held_bytes = 0
            self._held_bytes += len(response.body)
            responses.write_response(transport, response, closes)
            if len(response.body) >= responses.UNCOPIED_BYTES:
                # What the kernel has not taken in this iteration waits.
                self._loop.call_soon(self._count_unsent)
            if self._is_write_paused:
                self._count_unsent()
                if transport.is_closing():
                    # Closed as the slowest reader.
                    self._pipeline.clear()
                    return
            if closes:
                self._close()
                self._pipeline.clear()
                return
            if len(self._pipeline):
                self._loop.call_soon(self._start)
        if not len(self._pipeline):
            if self._last_response is not None:
                self._end_with(self._last_response)
                return
            self._send_continue()
            if self._request_began_at is None:
                self._guard.became_idle(self)
            else:
                # The client may have waited for the responses.
                self._request_began_at = self._loop.time()
        if self._is_paused:
            self._read_on()

    def _read_on(self) -> None:
        """Parses and reads further data, if reading has paused."""
        if self._reader.is_parsing or self._transport is None:
            return
        if self._reader.has_unread and not self._is_write_paused:
            self._loop.call_soon(self._parse_unread)
        else:
            self._update_reading()

    def _parse_unread(self) -> None:
        if self._transport is None or self._reader.is_stopped:
            return
        if self._reader.has_unread and not self._is_write_paused:
            self.request_began()
            self._reader.read_on()
        self._after_parsing()

    def _update_reading(self) -> None:
        """Reads from the connection unless the client has to read first."""
        must_pause = (
            self._is_write_paused
            or self._reader.has_unread
            or not self.takes_requests
        )
        if must_pause is self._is_paused or self._is_ending:
            return
        self._is_paused = must_pause
        if must_pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _send_continue(self) -> None:
        """Sends 100 Continue if the client waits for it."""
        if not len(self._pipeline) and self._reader.take_expectation():
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _update_unsent_bytes(self, unsent_bytes: int) -> None:
        """Counts the unsent bytes of responses in the buffer budget."""
        if unsent_bytes != self._unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self._guard.unsent_changed(self, unsent_bytes, self._held_bytes)

    def _count_unsent(self) -> None:
        if self._transport is not None:
            self._update_unsent_bytes(self._transport.get_write_buffer_size())

    def _abort_after_error(self, error: Exception) -> None:
        """Aborts the connection after an unexpected exception of the handler.

        The request may have been sent to an upstream or not: no status is true.
        """
        logs.log_exception(_LOG, "handler_failed", error)
        self.abort()
