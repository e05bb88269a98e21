"""HTTP pipelining: the order of requests and responses of a connection."""

import collections
import collections.abc
import dataclasses

from medlardoor.admission import buffers as buffers_module
from medlardoor.mesh import handlers

__all__ = ["Exchange", "Pipeline"]


@dataclasses.dataclass(slots=True, eq=False)
class Exchange:
    """One request of a connection and its response.

    Attributes:
        request: The request.
        keeps_alive: Whether the client wants to keep the connection open.
        reserved_bytes: Buffer space reserved for the body and header lines of
            the request, and for a response that waits for earlier ones, in
            bytes.
        handle: Handle of the request in progress; None if it is not running.
        response: The response; None until it is available.
        is_started: Whether the request was passed to the handler.
        may_run_concurrently: What the handler's method of this name returned;
            None if it was not called yet.
    """

    request: handlers.Request
    keeps_alive: bool
    reserved_bytes: int = 0
    handle: handlers.RequestHandle | None = None
    response: handlers.Response | None = None
    is_started: bool = False
    may_run_concurrently: bool | None = None


class Pipeline:
    """Queue of the requests of one connection that have no response yet.

    A client may send a request before the earlier ones have their responses.
    Idempotent requests run concurrently. Any other request waits for the
    responses of all requests before it: if one of these closes the connection,
    the client may assume that the request was not read and send it again.
    Responses are sent in the order of the requests.

    Args:
        handler: Handles the requests.
        buffers: Limit on the bytes held for bodies.
        on_response: Called whenever a response becomes available.
    """

    def __init__(
        self,
        handler: handlers.RequestHandler,
        buffers: buffers_module.BufferBudget,
        on_response: collections.abc.Callable[[], None],
    ):
        self._handler = handler
        self._buffers = buffers
        self._on_response = on_response
        self._exchanges: collections.deque[Exchange] = collections.deque()

    def __len__(self) -> int:
        return len(self._exchanges)

    @property
    def is_running(self) -> bool:
        """Whether a request was passed to the handler and is still queued."""
        return any(exchange.is_started for exchange in self._exchanges)

    def add(self, exchange: Exchange) -> None:
        """Appends a complete request."""
        self._exchanges.append(exchange)

    def start(self) -> None:
        """Passes the requests that may run now to the handler."""
        if len(self._exchanges) == 1:
            # A single request needs no check whether it may run concurrently.
            if not self._exchanges[0].is_started:
                self._start(self._exchanges[0])
            return
        for exchange in list(self._exchanges):
            if not exchange.is_started:
                is_first = exchange is self._exchanges[0]
                if not is_first and not self._may_start_early(exchange):
                    return
                self._start(exchange)
            if exchange.response is None and not self._may_run_concurrently(
                exchange
            ):
                return

    def pop_answered(self) -> Exchange | None:
        """Removes and returns the first request if it has a response.

        Returns:
            The request; None if the first one has no response yet.
        """
        if not self._exchanges or self._exchanges[0].response is None:
            return None
        exchange = self._exchanges.popleft()
        self._buffers.release(exchange.reserved_bytes)
        return exchange

    def clear(self) -> None:
        """Cancels the requests in progress and drops all others."""
        exchanges = list(self._exchanges)
        self._exchanges.clear()
        for exchange in exchanges:
            self._buffers.release(exchange.reserved_bytes)
            handle = exchange.handle
            if handle is not None:
                exchange.handle = None
                handle.cancel()

    def _may_start_early(self, exchange: Exchange) -> bool:
        """Whether a request may run concurrently with those before it."""
        # During a stop the connection closes after the next response, and the
        # requests behind it count as not read.
        if self._handler.closes_connections:
            return False
        return self._may_run_concurrently(exchange)

    def _may_run_concurrently(self, exchange: Exchange) -> bool:
        if exchange.may_run_concurrently is None:
            exchange.may_run_concurrently = self._handler.may_run_concurrently(
                exchange.request
            )
        return exchange.may_run_concurrently

    def _start(self, exchange: Exchange) -> None:
        exchange.is_started = True

        def respond(response: handlers.Response) -> None:
            exchange.handle = None
            exchange.response = response
            if self._exchanges and exchange is not self._exchanges[0]:
                # It is held until the earlier responses are sent.
                size = len(response.body)
                self._buffers.reserve_unchecked(size)
                exchange.reserved_bytes += size
            self._on_response()

        handle = self._handler.handle(exchange.request, respond)
        if exchange.response is None:
            exchange.handle = handle
