"""Exchange of the route document between nodes."""

import asyncio
import collections.abc

from medlardoor.mesh import documents, links
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["DocumentExchange"]

# Minimum time between two requests for the document, in seconds, so that it is
# not requested again while a transfer is in progress.
REQUEST_INTERVAL_S = 0.3


class DocumentExchange:
    """Sends the document to nodes with an older one, and requests newer ones.

    A node requests the document by sending its status, which carries its
    revision, on a link that it has dialled.

    Args:
        holder: Holder of the document in force.
        own_status: Returns the current status of this node.
    """

    def __init__(
        self,
        holder: documents.DocumentHolder,
        own_status: collections.abc.Callable[[], ttypes.NodeStatus],
    ):
        self._holder = holder
        self._own_status = own_status
        self._loop = asyncio.get_running_loop()
        self._requested_at = -REQUEST_INTERVAL_S

    def synchronize(
        self,
        link: links.Link,
        status: ttypes.NodeStatus,
        is_transfer_allowed: bool,
    ) -> None:
        """Compares the document of another node with the one in force.

        Args:
            link: Link to the node.
            status: Status of the node.
            is_transfer_allowed: Whether to send a newer document to the node.
                False for periodic statuses: they go to many nodes, all of
                which would send it. The node instead requests the document
                from one node when it learns of a newer revision.
        """
        revision = status.document_revision or 0
        if revision < self._holder.revision:
            if is_transfer_allowed:
                routes = ttypes.RouteTransfer(
                    revision=self._holder.revision, value=self._holder.value
                )
                link.send(ttypes.Frame(routes=routes))
        elif revision > self._holder.revision:
            self._request_document(link)

    def _request_document(self, link: links.Link) -> None:
        now = self._loop.time()
        if now - self._requested_at >= REQUEST_INTERVAL_S:
            self._requested_at = now
            link.send(ttypes.Frame(status=self._own_status()))
