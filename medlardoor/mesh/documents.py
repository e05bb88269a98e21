"""Adoption of the route document; a newer version replaces an older one."""

import abc
import collections
import collections.abc
import dataclasses

import logbook
import result

from medlardoor import errors, logs
from medlardoor.config import routes as routes_module
from medlardoor.store import versions

__all__ = [
    "DocumentDecoder",
    "DocumentHolder",
    "DocumentVersion",
]

_LOG = logbook.Logger("documents")


# Number of stored versions that are remembered as not to be adopted: those of
# the store and of a few nodes that lag behind or hold an invalid document.
MAX_DISMISSED_VERSIONS = 16


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class DocumentVersion:
    """Version of a document; documents of all sources are ordered by it.

    The number of the operator comes first: once the store has returned from an
    older copy, the place of a document in the store does not show which one the
    operator wrote later. The place decides between equal numbers.

    Attributes:
        number: Version number that the operator gave the document.
        stored: Version of the stored object; see `store.versions`.
    """

    number: int = 0
    stored: int = 0


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

    Documents from the store and from other nodes are ordered by
    `DocumentVersion`; an older one is never adopted.

    Args:
        decoder: Decodes and validates documents.
    """

    def __init__(self, decoder: DocumentDecoder):
        self._decoder = decoder
        self._table: routes_module.RouteTable | None = None
        self._version = DocumentVersion()
        # Stored versions that were invalid or older than the one in force.
        self._dismissed: collections.deque[int] = collections.deque(
            maxlen=MAX_DISMISSED_VERSIONS
        )
        self._value = b""
        self._listeners: list[collections.abc.Callable[[], None]] = []

    @property
    def table(self) -> routes_module.RouteTable | None:
        """Routes in force; None before the first document."""
        return self._table

    @property
    def version(self) -> DocumentVersion:
        """Version in force."""
        return self._version

    @property
    def revision(self) -> int:
        """Revision of the stored object in force; 0 before the first."""
        return versions.revision_of(self._version.stored)

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

    def has_dismissed(self, stored_version: int) -> bool:
        """Whether the document of a stored version need not be offered.

        Args:
            stored_version: Version of the stored object.
        """
        return stored_version in self._dismissed

    def offer(self, stored_version: int, value: bytes, source: str) -> bool:
        """Adopts a document if it is newer and valid.

        Args:
            stored_version: Version of the stored object.
            value: Its value.
            source: Origin of the document, for logs.

        Returns:
            Whether it was adopted.
        """
        if (
            stored_version == self._version.stored
            or stored_version in self._dismissed
        ):
            return False
        decoded = self._decoder.decode(value)
        if decoded.is_err():
            self._dismissed.append(stored_version)
            self._log(
                logbook.ERROR,
                "document_rejected",
                stored_version,
                source,
                detail=decoded.err_value.message[:500],
            )
            return False
        document = decoded.ok_value
        version = DocumentVersion(document.version, stored_version)
        value = self._decoder.without_secrets(value)
        if value == self._value:
            # The same document at another place, such as after a return.
            self._version = max(self._version, version)
            return False
        if self._table is not None and version < self._version:
            self._dismissed.append(stored_version)
            self._log(
                logbook.WARNING,
                "document_outdated",
                stored_version,
                source,
                version=document.version,
                in_force=self._version.number,
            )
            return False
        self._adopt(document, version, value, source)
        return True

    def _adopt(
        self,
        document: routes_module.RouteDocument,
        version: DocumentVersion,
        value: bytes,
        source: str,
    ) -> None:
        self._table = routes_module.RouteTable(document)
        self._version = version
        self._value = value
        self._log(
            logbook.INFO,
            "document_adopted",
            version.stored,
            source,
            version=document.version,
            routes=len(document.routes),
            teams=len(document.teams or ()),
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

    def _log(
        self,
        level: int,
        event: str,
        stored_version: int,
        source: str,
        **fields: object,
    ) -> None:
        """Logs what became of a document offered."""
        logs.log_event(
            _LOG,
            level,
            event,
            era=versions.era_of(stored_version),
            revision=versions.revision_of(stored_version),
            source=source,
            **fields,
        )
