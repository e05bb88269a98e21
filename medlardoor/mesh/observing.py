"""Handlers of the listeners that callers do not use."""

import collections.abc
import dataclasses

from medlardoor.config import routes
from medlardoor.mesh import handlers

__all__ = ["InternalHandler", "Page", "PageHandler"]

# Longest body of a request that reports or asks for a state, in bytes.
MAX_BODY_BYTES = 65_536

_OK = 200
_NOT_FOUND = 404


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """What a path answers.

    Attributes:
        render: Makes the status and the text.
    """

    render: collections.abc.Callable[[], tuple[int, str]]


class InternalHandler(handlers.RequestHandler):
    """Handler of short requests on kept connections."""

    @property
    def limits(self) -> routes.ConnectionLimits:
        """Limits of the listener."""
        return routes.ConnectionLimits(max_body_bytes=MAX_BODY_BYTES)

    @property
    def closes_connections(self) -> bool:
        """Connections are kept."""
        return False


class PageHandler(InternalHandler):
    """Serves a few pages of text.

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
        """Answers with the page of the path."""
        page = self._pages.get(request.target.partition(b"?")[0])
        status, text = (_NOT_FOUND, "") if page is None else page.render()
        reply(
            handlers.Response(
                status, b"content-type: text/plain\r\n", text.encode()
            )
        )
