"""Request handlers of the internal listeners, such as readiness and metrics."""

import abc
import collections.abc

from medlardoor.config import routes
from medlardoor.mesh import handlers

__all__ = ["InternalHandler", "Page", "PageHandler", "TextPage"]

# Limit on the body of a request to an internal listener.
MAX_BODY_BYTES = 65_536

_OK = 200
_NOT_FOUND = 404


class Page(abc.ABC):
    """Page at one path."""

    @property
    @abc.abstractmethod
    def content_type(self) -> bytes:
        """Value of the header ``Content-Type``."""

    @abc.abstractmethod
    def render(self, query: bytes) -> tuple[int, str]:
        """Returns the HTTP status and the content.

        Args:
            query: Part of the request target after the question mark.
        """


class TextPage(Page):
    """Page of text without parameters.

    Args:
        render_text: Returns the HTTP status and the text.
    """

    def __init__(
        self, render_text: collections.abc.Callable[[], tuple[int, str]]
    ):
        self._render_text = render_text

    @property
    def content_type(self) -> bytes:
        """Plain text."""
        return b"text/plain"

    def render(self, query: bytes) -> tuple[int, str]:
        """Returns the HTTP status and the text; the query is ignored."""
        return self._render_text()


class InternalHandler(handlers.RequestHandler):
    """Base class for handlers of short requests on persistent connections."""

    @property
    def limits(self) -> routes.ConnectionLimits:
        """Connection limits of the listener."""
        return routes.ConnectionLimits(max_body_bytes=MAX_BODY_BYTES)

    @property
    def closes_connections(self) -> bool:
        """False: connections stay open."""
        return False

    @property
    def is_internal(self) -> bool:
        """True: the listener serves the platform."""
        return True


class PageHandler(InternalHandler):
    """Serves a few pages.

    Args:
        pages: Pages by path.
    """

    def __init__(self, pages: dict[bytes, Page]):
        self._pages = pages

    def handle(
        self,
        request: handlers.Request,
        reply: handlers.Reply,
    ) -> None:
        """Responds with the page at the path, or with 404."""
        path, _, query = request.target.partition(b"?")
        page = self._pages.get(path)
        status, text, content_type = _NOT_FOUND, "", b"text/plain"
        if page is not None:
            status, text = page.render(query)
            content_type = page.content_type
        header = b"content-type: %b\r\n" % content_type
        reply(handlers.Response(status, header, text.encode()))
