"""Interface between the links of a node and its other parts."""

import abc

from medlardoor.mesh import links
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["FleetEvents"]


class FleetEvents(abc.ABC):
    """Receives what the exchange of messages means for the rest of the node."""

    @abc.abstractmethod
    def message_received(
        self, link: links.Link, sender: str | None, frame: ttypes.Frame
    ) -> None:
        """Called with a message that is not about calls, status or documents.

        Args:
            link: Link of the message.
            sender: Node at the other end if this node has dialled the link.
            frame: The message.
        """

    @abc.abstractmethod
    def tick(self) -> None:
        """Called several times a second."""

    @abc.abstractmethod
    def link_opened(self, link: links.Link) -> None:
        """Called when a link has opened, before any call is sent on it.

        Args:
            link: The link. The process at its other end may have just started.
        """

    @abc.abstractmethod
    def link_closed(self, link: links.Link, dialled: str | None) -> None:
        """Called when a link has closed.

        Args:
            link: The link.
            dialled: Node at the other end if this node has dialled the link.
        """

    @abc.abstractmethod
    def restore_departure(self, upstream_id: str, born_ms: int) -> None:
        """Called when an earlier process has acknowledged a departure.

        Args:
            upstream_id: Identifier of the upstream that departed.
            born_ms: Start of the upstream, in milliseconds of Unix time.
        """
