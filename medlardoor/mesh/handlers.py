"""Requests of callers, their responses, and what handles them."""

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
        headers: Other headers, names in lower case.
        body: Complete body.
        received_at: When the request was complete, in seconds.
    """

    method: bytes
    target: bytes
    host: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    received_at: float

    def header(self, name: bytes) -> bytes | None:
        """Value of a header; None without one.

        Args:
            name: Name in lower case.
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
        headers: Encoded header lines without those of one connection.
        body: Complete body.
        close: Whether the connection ends with it.
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
        """The client has gone; no reply is expected."""


class RequestHandler(abc.ABC):
    """Handles the requests of a listener."""

    @property
    @abc.abstractmethod
    def limits(self) -> routes_module.ConnectionLimits:
        """Limits in force."""

    @property
    @abc.abstractmethod
    def closes_connections(self) -> bool:
        """Whether connections end after the next response."""

    def may_overlap(self, request: Request) -> bool:
        """Whether a request may run beside others of its connection.

        Args:
            request: The request.
        """
        return False

    def body_level(self, host: bytes, target: bytes) -> int:
        """Importance of a request whose body is about to be read.

        Args:
            host: Value of the ``Host`` header.
            target: Path and query.
        """
        return 0

    def refuse_body(self, host: bytes, target: bytes) -> Response:
        """Refuses a request whose body there is no room for.

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
            reply: To be called once, perhaps before this returns.

        Returns:
            The request in progress, or None if it was answered.
        """
