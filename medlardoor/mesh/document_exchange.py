"""Exchange of the document of routes between nodes."""

import asyncio
import collections.abc

from medlardoor.mesh import documents, links
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["DocumentExchange"]

# The document is asked for once in this time while it is under way, in seconds.
ASK_INTERVAL_S = 0.3


class DocumentExchange:
    """Sends the document to nodes that are behind, and asks those ahead.

    A node asks by sending its own status on a link that it has dialled.

    Args:
        holder: Document in force.
        own_status: Makes the own status.
    """

    def __init__(
        self,
        holder: documents.DocumentHolder,
        own_status: collections.abc.Callable[[], ttypes.NodeStatus],
    ):
        self._holder = holder
        self._own_status = own_status
        self._loop = asyncio.get_running_loop()
        self._asked_at = -ASK_INTERVAL_S

    def compare(
        self, link: links.Link, status: ttypes.NodeStatus, is_question: bool
    ) -> None:
        """Follows the document that another node has.

        Args:
            link: Link to the node.
            status: What the node says.
            is_question: Whether the node gets a newer document in answer. The
                regular statuses go to many nodes, and all of them would send
                it; the node asks one when it hears of it.
        """
        revision = status.document_revision or 0
        if revision < self._holder.revision:
            if is_question:
                routes = ttypes.RouteTransfer(
                    revision=self._holder.revision, value=self._holder.value
                )
                link.send(ttypes.Frame(routes=routes))
        elif revision > self._holder.revision:
            self._ask(link)

    def _ask(self, link: links.Link) -> None:
        now = self._loop.time()
        if now - self._asked_at >= ASK_INTERVAL_S:
            self._asked_at = now
            link.send(ttypes.Frame(status=self._own_status()))
