"""Reading of the requests of one connection of a client."""

import abc
import asyncio
import http

import httptools

from medlardoor import protocol_offers
from medlardoor.admission import body_buffer
from medlardoor.admission import buffers as buffers_module
from medlardoor.mesh import handlers, http_messages, pipeline, request_head

__all__ = ["ReaderEvents", "RequestReader"]

BAD_REQUEST = http.HTTPStatus.BAD_REQUEST.value
BODY_TOO_LARGE = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE.value

# Bytes that are parsed at once outside of a body. The limits on heads and on
# pipelined requests are checked between these parts, and one read may bring
# 256 KB.
PART_BYTES = 4_096


class ReaderEvents(abc.ABC):
    """Receives what a reader finds in the data of a connection."""

    @property
    @abc.abstractmethod
    def takes_requests(self) -> bool:
        """Whether another request may be read."""

    @abc.abstractmethod
    def request_began(self) -> None:
        """Called when a request begins in the data of the one before it."""

    @abc.abstractmethod
    def head_received(self) -> None:
        """Called when the head of a request is whole."""

    @abc.abstractmethod
    def request_received(self, exchange: pipeline.Exchange) -> None:
        """Called with each complete request."""

    @abc.abstractmethod
    def head_exceeded(self, has_many_lines: bool) -> None:
        """Called once if a head exceeds a limit.

        Args:
            has_many_lines: Whether it has too many lines, not bytes.
        """

    @abc.abstractmethod
    def reject(self, status: int) -> None:
        """Called once with the error status of an invalid request.

        Args:
            status: HTTP status.
        """

    @abc.abstractmethod
    def request_refused(self, refusal: handlers.Response) -> None:
        """Called once if the buffer budget has no space for a request."""


class RequestReader:
    """Parses the data of a connection and collects requests.

    After a request that was rejected or refused, and after `stop`, all further
    data is ignored.

    Args:
        handler: Handles the requests.
        buffers: Limit on the bytes held for bodies.
        max_header_lines: Maximum number of header lines of a request.
        events: Receives what is found.
    """

    def __init__(
        self,
        handler: handlers.RequestHandler,
        buffers: buffers_module.BufferBudget,
        max_header_lines: int,
        events: ReaderEvents,
    ):
        self._handler = handler
        self._buffers = buffers
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._head = request_head.RequestHead(max_header_lines)
        self._body = body_buffer.BodyBuffer()
        # Buffer space reserved for the body and for header lines, in bytes.
        self._reserved_bytes = 0
        self._reserved_line_bytes = 0
        # Admission level of the request, once it was looked up: a body without
        # a length reserves space for each part.
        self._level: int | None = None
        # Received data that waits until another request may be read.
        self._unread = b""
        # Bytes of heads, trailers and chunk extensions, which the parser
        # collects, since the last complete head or part of a body.
        self._head_bytes = 0
        self._is_in_head = True
        self._is_parsing = False
        self._is_stopped = False

    @property
    def is_stopped(self) -> bool:
        """Whether all further data is ignored."""
        return self._is_stopped

    @property
    def is_in_head(self) -> bool:
        """Whether the head of the next request is not whole yet."""
        return self._is_in_head

    @property
    def is_parsing(self) -> bool:
        """Whether data is being parsed by a caller of this method."""
        return self._is_parsing

    @property
    def has_unread(self) -> bool:
        """Whether received data is still to be parsed."""
        return bool(self._unread)

    @property
    def held_bytes(self) -> int:
        """Bytes of an unfinished head and of data that waits."""
        return self._head_bytes + len(self._unread)

    def receive(self, data: bytes) -> None:
        """Parses data as far as requests may be read."""
        if len(data) <= PART_BYTES and not self._unread:
            self._parse(data)
        else:
            self._unread = self._unread + data if self._unread else data
            self.read_on()

    def read_on(self) -> None:
        """Parses data that has waited."""
        data = memoryview(self._unread)
        position = 0
        while position < len(data) and not self._is_stopped:
            if not self._events.takes_requests:
                break
            size = PART_BYTES
            if not self._is_in_head:
                # The rest of a body of known length is not cut.
                size = max(size, self._reserved_bytes - len(self._body))
            self._parse(data[position : position + size])
            position += size
        # After a refusal nothing is kept.
        self._unread = b"" if self._is_stopped else bytes(data[position:])

    def pack(self) -> None:
        """Keeps an unfinished head without an object for each line."""
        self._head.pack()

    def take_expectation(self) -> bool:
        """Whether 100 Continue is to be sent now; true once for a request."""
        if self._is_in_head or not self._head.expects_continue:
            return False
        self._head.expects_continue = False
        return True

    def stop(self) -> None:
        """Drops what is unfinished and ignores further data."""
        self._is_stopped = True
        self._unread = b""
        self._head.reset()
        self._body.clear()
        self._buffers.release(self._reserved_bytes + self._reserved_line_bytes)
        self._reserved_bytes = 0
        self._reserved_line_bytes = 0

    def on_message_begin(self) -> None:
        """Resets the state for a new request; called by the parser."""
        self._head.reset()
        self._body.clear()
        self._level = None
        self._is_in_head = True
        self._events.request_began()

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self._head.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; trailers are dropped."""
        if self._is_in_head:
            self._head.add(name, value)

    def on_headers_complete(self) -> None:
        """Reserves buffer space for the request, or refuses it."""
        self._is_in_head = False
        self._head_bytes = 0
        if self._is_stopped:
            return
        head = self._head
        if head.is_too_long:
            self._events.head_exceeded(has_many_lines=True)
            return
        if self._parser.should_upgrade():
            # The head is parsed once more, without the offer.
            self._is_in_head = True
            if self._parser.get_method() == b"CONNECT":
                self._events.reject(BAD_REQUEST)
            return
        if head.lines > http_messages.MIN_COUNTED_LINES:
            size = head.lines * http_messages.LINE_BYTES
            if not self._try_reserve(size):
                return
            self._reserved_line_bytes = size
        for name, value in head.headers:
            if name == b"content-length":
                size = int(value)
                if size > self._handler.limits.max_body_bytes:
                    self._events.reject(BODY_TOO_LARGE)
                    return
                if not self._try_reserve(size):
                    return
                self._reserved_bytes += size
        self._events.head_received()

    def on_body(self, body: bytes) -> None:
        """Stores a part of the body."""
        self._head_bytes = 0
        if self._is_stopped:
            return
        body_bytes = len(self._body) + len(body)
        if body_bytes > self._handler.limits.max_body_bytes:
            self._events.reject(BODY_TOO_LARGE)
            return
        missing_bytes = body_bytes - self._reserved_bytes
        if missing_bytes > 0:
            if not self._try_reserve(missing_bytes):
                return
            self._reserved_bytes += missing_bytes
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Passes on a complete request."""
        if self._is_stopped or self._parser.should_upgrade():
            return
        head = self._head
        has_host = head.has_one_host
        self._is_in_head = True
        if not has_host and self._parser.get_http_version() != "1.0":
            self._events.reject(BAD_REQUEST)
            return
        request = handlers.Request(
            self._parser.get_method(),
            head.url,
            head.host if has_host else b"",
            head.headers,
            self._body.take(),
            self._loop.time(),
        )
        exchange = pipeline.Exchange(
            request,
            self._parser.should_keep_alive(),
            self._reserved_bytes + self._reserved_line_bytes,
        )
        self._reserved_bytes = 0
        self._reserved_line_bytes = 0
        self._head_bytes = 0
        self._is_stopped = not exchange.keeps_alive
        self._events.request_received(exchange)

    def _parse(self, data: bytes | memoryview) -> None:
        self._head_bytes += len(data)
        self._is_parsing = True
        try:
            self._feed(data)
        except httptools.HttpParserError:
            if not self._is_stopped:
                self._events.reject(BAD_REQUEST)
            return
        finally:
            self._is_parsing = False
        if self._is_stopped:
            return
        if self._head_bytes > self._handler.limits.max_head_bytes:
            self._events.head_exceeded(has_many_lines=False)
        elif self._head.is_too_long:
            self._events.head_exceeded(has_many_lines=True)

    def _feed(self, data: bytes | memoryview) -> None:
        """Parses data; offers of other protocols are ignored."""
        while True:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                if self._is_stopped:
                    return
                (parsed_bytes,) = offer.args
                data = data[parsed_bytes:]
            head = protocol_offers.head_without_offer(
                self._parser, self._head.url, self._head.all_headers
            )
            self._parser = httptools.HttpRequestParser(self)
            self._parser.feed_data(head)

    def _try_reserve(self, size: int) -> bool:
        """Reserves buffer space, or refuses the request.

        Args:
            size: Size of the space, in bytes.

        Returns:
            Whether the space was reserved.
        """
        host, url = self._head.host, self._head.url
        if self._level is None:
            self._level = self._handler.body_level(host, url)
        if self._buffers.try_reserve_request(size, self._level):
            return True
        refusal = self._handler.refuse_body(host, url)
        self.stop()
        self._events.request_refused(refusal)
        return False
