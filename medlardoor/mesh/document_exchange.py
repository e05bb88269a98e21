"""Exchange of the route document between nodes."""

import asyncio
import collections.abc

import logbook

from medlardoor import logs
from medlardoor.mesh import documents, links
from medlardoor.store import versions
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["DocumentExchange"]

_LOG = logbook.Logger("documents")

# Minimum time between two requests for the document, in seconds, so that it is
# not requested again while a transfer is in progress.
REQUEST_INTERVAL_S = 0.3


class DocumentExchange:
    """Sends the document to nodes with an older one, and requests newer ones.

    A node requests the document by sending its status, which carries its
    version, on a link that it has dialled.

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
                from one node when it learns of a newer version.
        """
        own = self._holder.version
        stored = status.document_stored
        if stored is None:
            # A node of an earlier build sends only the revision.
            stored = status.document_revision or 0
            era = versions.era_of(own.stored)
            theirs = documents.DocumentVersion(
                own.number, versions.compose(era, stored)
            )
        else:
            theirs = documents.DocumentVersion(
                status.document_number or 0, stored
            )
        if theirs < own:
            if is_transfer_allowed:
                routes = ttypes.RouteTransfer(
                    revision=self._holder.revision,
                    value=self._holder.value,
                    stored=own.stored,
                )
                link.send(ttypes.Frame(routes=routes))
        elif theirs > own and not self._holder.has_dismissed(stored):
            self._request_document(link)

    def receive(self, transfer: ttypes.RouteTransfer) -> None:
        """Offers a document from another node to the holder.

        Args:
            transfer: Message with the document.
        """
        stored = transfer.stored
        if stored is None:
            stored = transfer.revision or 0
        if not versions.is_valid(stored):
            logs.log_event(
                _LOG,
                logbook.WARNING,
                "document_transfer_invalid",
                stored=stored,
            )
            return
        self._holder.offer(stored, transfer.value or b"", "node")

    def _request_document(self, link: links.Link) -> None:
        now = self._loop.time()
        if now - self._requested_at >= REQUEST_INTERVAL_S:
            self._requested_at = now
            link.send(ttypes.Frame(status=self._own_status()))
