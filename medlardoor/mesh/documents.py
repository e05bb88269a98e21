"""Adoption of the document of routes: newer replaces older, never back."""

import abc
import collections.abc
import random

import anyio
import logbook
import result

from medlardoor import errors, logs
from medlardoor.config import routes as routes_module
from medlardoor.store import client

__all__ = ["DocumentDecoder", "DocumentHolder", "DocumentWatch"]

_LOG = logbook.Logger("documents")

# A waiting watch counts as one call. A longer wait saves calls; a shorter one
# bounds how long a connection that went silent hides a change.
WATCH_S = 4.0

# Pause after a failed call, in seconds; it doubles up to the longest one.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0

# How often a node that leaves watching to others checks that they still do, in
# seconds.
REST_S = 0.3

# Such a node still reads the document once in this time, in seconds: nine
# thousand of them make 160 calls a second, of the 2,000 that the store serves.
SAFETY_READ_S = 60.0


class DocumentDecoder(abc.ABC):
    """Decodes the document as it is stored."""

    @abc.abstractmethod
    def decode(
        self, value: bytes
    ) -> result.Result[routes_module.RouteDocument, errors.InvalidInput]:
        """Decodes and validates a document.

        Args:
            value: Value of the stored object.
        """


class DocumentHolder:
    """Holds the document in force.

    The version that the store gives to each change orders all documents, no
    matter whether they arrive from the store or from another node.

    Args:
        decoder: Decodes documents.
    """

    def __init__(self, decoder: DocumentDecoder):
        self._decoder = decoder
        self._table: routes_module.RouteTable | None = None
        self._revision = 0
        self._rejected = 0
        self._value = b""
        self._listeners: list[collections.abc.Callable[[], None]] = []

    @property
    def table(self) -> routes_module.RouteTable | None:
        """Routes in force; None until a document is known."""
        return self._table

    @property
    def revision(self) -> int:
        """Version of the stored object in force; 0 without one."""
        return self._revision

    @property
    def value(self) -> bytes:
        """Value of the stored object in force."""
        return self._value

    @property
    def limits(self) -> routes_module.ConnectionLimits:
        """Limits of callers' connections in force."""
        if self._table is None:
            return routes_module.ConnectionLimits()
        return self._table.document.limits

    def listen(self, listener: collections.abc.Callable[[], None]) -> None:
        """Calls a listener after each adoption."""
        self._listeners.append(listener)

    def offer(self, revision: int, value: bytes, source: str) -> bool:
        """Adopts a document if it is newer and valid.

        Args:
            revision: Version of the stored object.
            value: Its value.
            source: Where it came from, for logs.

        Returns:
            Whether it was adopted.
        """
        if revision <= max(self._revision, self._rejected):
            return False
        decoded = self._decoder.decode(value)
        if decoded.is_err():
            self._rejected = revision
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
        self._value = value
        logs.log_event(
            _LOG,
            logbook.INFO,
            "document_adopted",
            revision=revision,
            version=document.version,
            routes=len(document.routes),
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


class DocumentWatch:
    """Follows the stored document.

    Args:
        store: The platform's store.
        key: Key of the document.
        holder: Adopts what is read.
        is_covered: Whether enough other nodes watch.
        generator: Source of the jitter of pauses.
    """

    def __init__(
        self,
        store: client.ObjectStore,
        key: str,
        holder: DocumentHolder,
        is_covered: collections.abc.Callable[[], bool],
        generator: random.Random,
    ):
        self._store = store
        self._key = key
        self._holder = holder
        self._is_covered = is_covered
        self._is_watching = False
        self._generator = generator
        self._is_reachable: bool | None = None

    @property
    def is_watching(self) -> bool:
        """Whether the store tells this node of new documents."""
        return self._is_watching

    async def run(self) -> None:
        """Reads the document and waits for changes, for ever."""
        pause_s = FIRST_PAUSE_S
        version = 0
        while True:
            if version == 0:
                read = await self._store.read(self._key)
            else:
                if await self._rest():
                    version = 0
                    continue
                version = max(version, self._holder.revision)
                read = await self._store.watch(self._key, version, WATCH_S)
            self._is_watching = read.is_ok()
            if read.is_err():
                self._note(False, read.err_value.message)
                version = 0
                await anyio.sleep(pause_s * self._generator.uniform(0.7, 1.3))
                pause_s = min(LONGEST_PAUSE_S, pause_s * 2)
                continue
            self._note(True, "")
            pause_s = FIRST_PAUSE_S
            stored = read.ok_value
            if stored is not None:
                version = max(version, stored.version)
                self._holder.offer(stored.version, stored.value, "store")
            elif version == 0:
                # There is no document yet.
                await anyio.sleep(LONGEST_PAUSE_S)

    async def _rest(self) -> bool:
        """Waits while others watch.

        Returns:
            Whether the document is to be read although they do.
        """
        if not self._is_covered():
            return False
        self._is_watching = False
        self._log_watch("watch_paused")
        rested_s = 0.0
        limit_s = SAFETY_READ_S * self._generator.uniform(0.7, 1.3)
        while self._is_covered():
            if rested_s >= limit_s:
                return True
            await anyio.sleep(REST_S)
            rested_s += REST_S
        self._log_watch("watch_resumed")
        return False

    def _log_watch(self, event: str) -> None:
        revision = self._holder.revision
        logs.log_event(_LOG, logbook.INFO, event, revision=revision)

    def _note(self, is_reachable: bool, detail: str) -> None:
        if is_reachable is self._is_reachable:
            return
        self._is_reachable = is_reachable
        event = "store_regained" if is_reachable else "store_lost"
        logs.log_event(_LOG, logbook.WARNING, event, detail=detail)
