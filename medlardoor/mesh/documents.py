"""Adoption of the route document; a newer revision replaces an older one."""

import abc
import collections.abc

import logbook
import result

from medlardoor import errors, logs
from medlardoor.config import routes as routes_module

__all__ = [
    "DocumentDecoder",
    "DocumentHolder",
]

_LOG = logbook.Logger("documents")


class DocumentDecoder(abc.ABC):
    """Decodes the stored form of the document."""

    @abc.abstractmethod
    def decode(
        self, value: bytes
    ) -> result.Result[routes_module.RouteDocument, errors.InvalidInput]:
        """Decodes and validates a document.

        Args:
            value: Value of the stored object.

        Returns:
            The document, or the reason why it is invalid.
        """

    def without_secrets(self, value: bytes) -> bytes:
        """Returns a valid document in a form that may be sent to other nodes.

        Args:
            value: Value of the stored object. By default it has no secrets.
        """
        return value


class DocumentHolder:
    """Holds the document in force.

    Documents from the store and from other nodes are ordered by the version
    that the store assigns to each change.

    Args:
        decoder: Decodes and validates documents.
    """

    def __init__(self, decoder: DocumentDecoder):
        self._decoder = decoder
        self._table: routes_module.RouteTable | None = None
        self._revision = 0
        self._rejected_revision = 0
        self._ignored_revision = 0
        self._value = b""
        self._listeners: list[collections.abc.Callable[[], None]] = []

    @property
    def table(self) -> routes_module.RouteTable | None:
        """Routes in force; None before the first document."""
        return self._table

    @property
    def revision(self) -> int:
        """Version of the stored object in force; 0 before the first."""
        return self._revision

    @property
    def value(self) -> bytes:
        """Value in force, in a form that may be sent to other nodes."""
        return self._value

    @property
    def limits(self) -> routes_module.ConnectionLimits:
        """Limits in force for the connections of callers."""
        if self._table is None:
            return routes_module.ConnectionLimits()
        return self._table.document.limits

    def listen(self, listener: collections.abc.Callable[[], None]) -> None:
        """Registers a function to call after each adoption."""
        self._listeners.append(listener)

    def offer(self, revision: int, value: bytes, source: str) -> bool:
        """Adopts a document if it is newer and valid.

        Args:
            revision: Version of the stored object.
            value: Its value.
            source: Origin of the document, for logs.

        Returns:
            Whether it was adopted.
        """
        if revision <= max(self._revision, self._rejected_revision):
            self._log_ignored(revision, source)
            return False
        decoded = self._decoder.decode(value)
        if decoded.is_err():
            self._rejected_revision = revision
            logs.log_event(
                _LOG,
                logbook.ERROR,
                "document_rejected",
                revision=revision,
                source=source,
                detail=decoded.err_value.message[:500],
            )
            return False
        document = decoded.ok_value
        self._table = routes_module.RouteTable(document)
        self._revision = revision
        self._value = self._decoder.without_secrets(value)
        logs.log_event(
            _LOG,
            logbook.INFO,
            "document_adopted",
            revision=revision,
            version=document.version,
            routes=len(document.routes),
            teams=len(document.teams or ()),
            source=source,
        )
        if document.unknown_kinds:
            logs.log_event(
                _LOG,
                logbook.WARNING,
                "route_kinds_unknown",
                version=document.version,
                kinds=[kind[:32] for kind in document.unknown_kinds[:8]],
            )
        for listener in self._listeners:
            listener()
        return True

    def _log_ignored(self, revision: int, source: str) -> None:
        """Logs a document that is not newer, once for each revision."""
        if revision in (self._revision, self._ignored_revision):
            return
        self._ignored_revision = revision
        logs.log_event(
            _LOG,
            logbook.INFO,
            "document_ignored",
            revision=revision,
            in_force=self._revision,
            source=source,
        )
