"""Order of the requests of one connection and of their answers."""

import collections
import collections.abc
import dataclasses

from medlardoor.admission import buffers as buffers_module
from medlardoor.mesh import handlers

__all__ = ["Exchange", "Pipeline"]


@dataclasses.dataclass(slots=True, eq=False)
class Exchange:
    """One request of a connection.

    Attributes:
        request: The request.
        keeps_alive: Whether the client wants to go on using the connection.
        reserved: Bytes that are reserved for the body.
        handle: The request in progress.
        response: The response; None until there is one.
        is_started: Whether the request was passed to the handler.
        overlaps: Whether it may run beside others; None if not asked yet.
    """

    request: handlers.Request
    keeps_alive: bool
    reserved: int = 0
    handle: handlers.RequestHandle | None = None
    response: handlers.Response | None = None
    is_started: bool = False
    overlaps: bool | None = None


class Pipeline:
    """Requests of one connection that are not answered yet, in their order.

    A client may send requests before earlier ones are answered. Those that may
    run more than once run beside each other; any other waits until all before
    it are answered, since it counts as not read if one of these closes the
    connection. Answers are sent in the order of the requests.

    Args:
        handler: Handles the requests.
        buffers: Bytes that are held for bodies.
        answered: Called when the first answer may be ready.
    """

    def __init__(
        self,
        handler: handlers.RequestHandler,
        buffers: buffers_module.BufferBudget,
        answered: collections.abc.Callable[[], None],
    ):
        self._handler = handler
        self._buffers = buffers
        self._answered = answered
        self._exchanges: collections.deque[Exchange] = collections.deque()

    def __len__(self) -> int:
        return len(self._exchanges)

    @property
    def is_running(self) -> bool:
        """Whether a request was passed to the handler and not answered."""
        return any(exchange.is_started for exchange in self._exchanges)

    def add(self, exchange: Exchange) -> None:
        """Adds a complete request behind the others."""
        self._exchanges.append(exchange)

    def start(self) -> None:
        """Passes on the requests that may run now."""
        if len(self._exchanges) == 1:
            # Nothing is behind it, so whether it may overlap does not matter.
            if not self._exchanges[0].is_started:
                self._start(self._exchanges[0])
            return
        for exchange in list(self._exchanges):
            if not exchange.is_started:
                is_first = exchange is self._exchanges[0]
                if not is_first and not self._may_join(exchange):
                    return
                self._start(exchange)
            if exchange.response is None and not self._overlaps(exchange):
                return

    def take_answered(self) -> Exchange | None:
        """Removes and returns the first request if it is answered."""
        if not self._exchanges or self._exchanges[0].response is None:
            return None
        exchange = self._exchanges.popleft()
        self._buffers.release(exchange.reserved)
        return exchange

    def clear(self) -> None:
        """Cancels all requests; those that were not passed on are dropped."""
        exchanges = list(self._exchanges)
        self._exchanges.clear()
        for exchange in exchanges:
            self._buffers.release(exchange.reserved)
            handle = exchange.handle
            if handle is not None:
                exchange.handle = None
                handle.cancel()

    def _may_join(self, exchange: Exchange) -> bool:
        """Whether a request may run beside the ones before it."""
        # A stop ends the connection with an answer; what is behind it counts
        # as not read.
        if self._handler.closes_connections:
            return False
        return self._overlaps(exchange)

    def _overlaps(self, exchange: Exchange) -> bool:
        if exchange.overlaps is None:
            exchange.overlaps = self._handler.may_overlap(exchange.request)
        return exchange.overlaps

    def _start(self, exchange: Exchange) -> None:
        exchange.is_started = True

        def respond(response: handlers.Response) -> None:
            exchange.handle = None
            exchange.response = response
            self._answered()

        handle = self._handler.handle(exchange.request, respond)
        if exchange.response is None:
            exchange.handle = handle
