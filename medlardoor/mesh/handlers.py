"""Interface between server connections and the handlers of requests."""

import abc
import collections.abc
import dataclasses
import http

from medlardoor.config import routes as routes_module

__all__ = ["Reply", "Request", "RequestHandle", "RequestHandler", "Response"]

Reply = collections.abc.Callable[["Response"], None]


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A complete request.

    Attributes:
        method: HTTP method.
        target: Path and query.
        host: Value of the ``Host`` header.
        headers: Names, in lower case, and values of the other headers.
        body: Complete body.
        received_at: When the last byte was received, in seconds of the event
            loop's clock.
    """

    method: bytes
    target: bytes
    host: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    received_at: float

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of a header; None if the request lacks it.

        Args:
            name: Name of the header, in lower case.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return None


@dataclasses.dataclass(slots=True, eq=False)
class Response:
    """A complete response.

    Attributes:
        status: HTTP status.
        headers: Encoded header lines without the connection headers.
        body: Complete body.
        close: Whether the connection closes after the response.
    """

    status: int
    headers: bytes = b""
    body: bytes = b""
    close: bool = False


class RequestHandle(abc.ABC):
    """A request in progress."""

    __slots__ = ()

    @abc.abstractmethod
    def cancel(self) -> None:
        """Cancels the request of a disconnected client; no reply follows."""


class RequestHandler(abc.ABC):
    """Handles the requests of a listener."""

    @property
    @abc.abstractmethod
    def limits(self) -> routes_module.ConnectionLimits:
        """Connection limits in force."""

    @property
    @abc.abstractmethod
    def closes_connections(self) -> bool:
        """Whether each connection closes after its next response."""

    @property
    def is_internal(self) -> bool:
        """Whether the listener serves the platform and not callers."""
        return False

    def may_run_concurrently(self, request: Request) -> bool:
        """Whether a request may run concurrently with others of its connection.

        Args:
            request: The request.
        """
        return False

    def body_level(self, host: bytes, target: bytes) -> int:
        """Returns the admission level of a request before its body is read.

        Args:
            host: Value of the ``Host`` header.
            target: Path and query.
        """
        return 0

    def refuse_body(self, host: bytes, target: bytes) -> Response:
        """Returns the refusal of a request whose body exceeds the buffer space.

        Args:
            host: Value of the ``Host`` header.
            target: Path and query.
        """
        return Response(http.HTTPStatus.SERVICE_UNAVAILABLE)

    @abc.abstractmethod
    def handle(self, request: Request, reply: Reply) -> RequestHandle | None:
        """Handles a request.

        Args:
            request: The request.
            reply: Called once with the response, possibly before this method
                returns.

        Returns:
            A handle to cancel the request; None if the reply was already sent.
        """
