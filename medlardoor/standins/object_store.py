"""Stand-in of the platform's metadata store, for tests and the soak."""

import asyncio
import copy
import dataclasses
import enum
import json
import typing
import urllib.parse

from medlardoor.config import routes
from medlardoor.mesh import handlers

__all__ = ["StandinStore", "StoreCopy", "StoreFault"]

_JSON = b"content-type: application/json\r\n"
_PREFIX = "/objects/"


class StoreFault(enum.Enum):
    """How the store misbehaves.

    `LOST` concerns writes: they take effect and are not answered.
    """

    NONE = "none"
    BUSY = "busy"
    LIMITED = "limited"
    SILENT = "silent"
    LOST = "lost"


@dataclasses.dataclass(slots=True)
class _Entry:
    name: str
    revision: int
    created: int
    spec: typing.Any = None

    def to_json(self) -> dict[str, typing.Any]:
        return {
            "metadata": {
                "name": self.name,
                "revision": self.revision,
                "created": self.created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": self.spec,
            "status": None,
        }


@dataclasses.dataclass(slots=True)
class _Change:
    revision: int
    kind: str
    entry: dict[str, typing.Any]
    deleted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """Content of the store at one moment.

    Attributes:
        revision: Revision of the last change.
        kinds: Objects by kind and name.
    """

    revision: int
    kinds: dict[str, dict[str, _Entry]]


class _Waiting(handlers.RequestHandle):
    """A watch that waits, or a call without an answer."""

    def __init__(self, timer: asyncio.TimerHandle | None = None):
        self.timer = timer
        self.is_done = False

    def cancel(self) -> None:
        self.is_done = True
        if self.timer is not None:
            self.timer.cancel()


class StandinStore(handlers.RequestHandler):
    """Objects by kind and name with one revision, conditions and watches."""

    def __init__(self):
        self.fault = StoreFault.NONE
        self.delay_s = 0.0
        self.calls = 0
        # Calls that may return data that is some seconds old.
        self.stale_calls = 0
        # Era in the header of all answers; None sends no header.
        self.era: int | None = 1
        # Sent instead of the era, as a store that misbehaves does.
        self.era_text: bytes | None = None
        self._revision = 1
        self._kinds: dict[str, dict[str, _Entry]] = {}
        self._history: list[_Change] = []
        self._forgotten = 0
        self._watches: list[tuple[str, int, handlers.Reply, _Waiting]] = []

    @property
    def limits(self) -> routes.ConnectionLimits:
        """Limits of the listener."""
        return routes.ConnectionLimits(idle_timeout_s=60.0)

    @property
    def closes_connections(self) -> bool:
        """Connections are kept."""
        return False

    def put(self, kind: str, name: str, spec: typing.Any) -> int:
        """Writes an object as the operator does.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            spec: Its content.

        Returns:
            The new revision.
        """
        known = self._kinds.setdefault(kind, {})
        self._revision += 1
        created = known[name].created if name in known else self._revision
        known[name] = _Entry(name, self._revision, created, spec)
        self._changed(kind, known[name], deleted=False)
        return self._revision

    def spec(self, kind: str, name: str) -> typing.Any:
        """Content of an object; None without one."""
        entry = self._kinds.get(kind, {}).get(name)
        return None if entry is None else entry.spec

    def forget_history(self) -> None:
        """Drops all history, so that watches have to start again."""
        self._history.clear()
        self._forgotten = self._revision
        self._end_watches(410)

    def copy(self) -> StoreCopy:
        """Copies the content of the store."""
        return StoreCopy(self._revision, copy.deepcopy(self._kinds))

    def restore(self, older: StoreCopy) -> None:
        """Returns from an older copy; all later changes are lost.

        Args:
            older: Content to return to.
        """
        self._end_watches(410)
        self.era = (self.era or 0) + 1
        self._revision = older.revision
        self._kinds = copy.deepcopy(older.kinds)
        self._history.clear()
        self._forgotten = older.revision

    def handle(
        self,
        request: handlers.Request,
        reply: handlers.Reply,
    ) -> handlers.RequestHandle | None:
        """Handles a call, after a delay if one is set."""

        def reply_with_era(response: handlers.Response) -> None:
            headers = response.headers
            text = self.era_text
            if text is None and self.era is not None:
                text = b"%d" % self.era
            if text is not None:
                headers += b"Store-Era: %b\r\n" % text
            reply(dataclasses.replace(response, headers=headers))

        return self._handle_later(request, reply_with_era)

    def _handle_later(
        self,
        request: handlers.Request,
        reply: handlers.Reply,
    ) -> handlers.RequestHandle | None:
        self.calls += 1
        self.stale_calls += b"allowStale=1" in request.target
        if self.delay_s:
            loop = asyncio.get_running_loop()
            waiting = _Waiting()
            waiting.timer = loop.call_later(
                self.delay_s, self._handle, request, reply
            )
            return waiting
        return self._handle(request, reply)

    def _handle(
        self,
        request: handlers.Request,
        reply: handlers.Reply,
    ) -> handlers.RequestHandle | None:
        if self.fault is StoreFault.SILENT:
            return _Waiting()
        if self.fault is StoreFault.BUSY:
            reply(_answer(503))
            return None
        if self.fault is StoreFault.LIMITED:
            reply(_answer(429))
            return None
        url = urllib.parse.urlsplit(request.target.decode())
        if not url.path.startswith(_PREFIX):
            reply(_answer(404))
            return None
        kind, _, name = url.path.removeprefix(_PREFIX).partition("/")
        query = dict(urllib.parse.parse_qsl(url.query))
        if request.method == b"GET":
            if "watch" in query:
                return self._watch(kind, query, reply)
            reply(self._read(kind, name, query))
            return None
        answer = self._write(request, kind, name)
        if self.fault is StoreFault.LOST:
            return _Waiting()
        reply(answer)
        return None

    def _read(
        self, kind: str, name: str, query: dict[str, str]
    ) -> handlers.Response:
        entries = self._kinds.get(kind, {})
        if name:
            entry = entries.get(name)
            return _answer(404) if entry is None else _answer(200, entry)
        names = sorted(n for n in entries if n > query.get("after", ""))
        page = names[:500]
        return _answer(
            200,
            {
                "items": [entries[n].to_json() for n in page],
                "hasMore": len(names) > len(page),
                "currentRev": self._revision,
            },
        )

    def _write(
        self, request: handlers.Request, kind: str, name: str
    ) -> handlers.Response:
        entries = self._kinds.setdefault(kind, {})
        if request.method == b"DELETE":
            entry = entries.pop(name, None)
            if entry is None:
                return _answer(404)
            self._revision += 1
            self._changed(kind, entry, deleted=True)
            return _answer(200, {})
        body = json.loads(request.body)
        metadata = body["metadata"]
        if request.method == b"POST":
            name = metadata["name"]
            if name in entries:
                return _answer(409, entries[name])
        elif name not in entries:
            return _answer(404)
        elif metadata.get("revision", entries[name].revision) != (
            entries[name].revision
        ):
            return _answer(409, entries[name])
        if name not in entries or entries[name].spec != body["spec"]:
            self.put(kind, name, body["spec"])
        return _answer(200, entries[name])

    def _watch(
        self, kind: str, query: dict[str, str], reply: handlers.Reply
    ) -> handlers.RequestHandle | None:
        after = int(query["watch"])
        if not self._forgotten <= after <= self._revision:
            reply(_answer(410))
            return None
        if self._events(kind, after):
            reply(self._watched(kind, after))
            return None
        loop = asyncio.get_running_loop()
        waiting = _Waiting()
        waiting.timer = loop.call_later(
            int(query.get("waitMs", "0")) / 1_000,
            self._end_watch,
            waiting,
            200,
        )
        self._watches.append((kind, after, reply, waiting))
        return waiting

    def _events(self, kind: str, after: int) -> list[dict[str, typing.Any]]:
        return [
            {"object": change.entry, "deleted": change.deleted}
            for change in self._history
            if change.kind == kind and change.revision > after
        ]

    def _watched(self, kind: str, after: int) -> handlers.Response:
        events = self._events(kind, after)
        return _answer(200, {"events": events, "currentRev": self._revision})

    def _changed(self, kind: str, entry: _Entry, *, deleted: bool) -> None:
        change = _Change(self._revision, kind, entry.to_json(), deleted)
        self._history.append(change)
        for watched, _, _, waiting in list(self._watches):
            if watched == kind:
                self._end_watch(waiting, 200)

    def _end_watches(self, status: int) -> None:
        for _, _, _, waiting in list(self._watches):
            self._end_watch(waiting, status)

    def _end_watch(self, waiting: _Waiting, status: int) -> None:
        for watch in self._watches:
            if watch[3] is waiting:
                self._watches.remove(watch)
                break
        else:
            return
        if waiting.is_done or self.fault is StoreFault.SILENT:
            return
        waiting.cancel()
        kind, after, reply, _ = watch
        if status == 200:
            reply(self._watched(kind, after))
        else:
            reply(_answer(status))


def _answer(status: int, content: typing.Any = None):
    if isinstance(content, _Entry):
        content = content.to_json()
    body = json.dumps({} if content is None else content).encode()
    return handlers.Response(status, _JSON, body)
