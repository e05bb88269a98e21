"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import json
import typing
import urllib.parse

import http_server

__all__ = ["VALUE_BYTES", "Store"]

# Largest object, as `platform.platform.valueBytes` of the settings says.
VALUE_BYTES = 1_048_576

# Objects in one answer to a list.
PAGE = 500


class Store:
    """Keeps objects in memory; every answer is up to date."""

    def __init__(self):
        self._objects: dict[tuple[str, str], dict[str, typing.Any]] = {}
        self._events: list[tuple[int, str, dict[str, typing.Any], bool]] = []
        self._revision = 1
        self._changed = asyncio.Event()

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return self._revision

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Serves an address."""
        return await http_server.serve(host, port, self._handle)

    def write(self, kind: str, name: str, spec: typing.Any) -> int:
        """Writes an object for the operator; returns the new revision.

        Raises:
            ValueError: The object is larger than the platform stores.
        """
        found = self._objects.get((kind, name))
        item = {
            "metadata": {
                "name": name,
                "revision": self._revision + 1,
                "created": found["metadata"]["created"] if found else 1,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        size = len(_encode(item))
        if size > VALUE_BYTES:
            raise ValueError(f"object has {size} bytes, at most {VALUE_BYTES}")
        self._revision += 1
        self._objects[kind, name] = item
        self._record(kind, item, False)
        return self._revision

    def size_of(self, kind: str, name: str) -> int:
        """Size of an object, in bytes."""
        return len(_encode(self._objects[kind, name]))

    def _record(
        self, kind: str, item: dict[str, typing.Any], deleted: bool
    ) -> None:
        self._events.append((self._revision, kind, item, deleted))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(
        self, request: http_server.Request
    ) -> http_server.Response:
        path, _, query_text = request.target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        parts = path.strip("/").split("/")
        if parts[0] != "objects" or len(parts) not in (2, 3):
            return _answer(404, {})
        kind = parts[1]
        name = urllib.parse.unquote(parts[2]) if len(parts) == 3 else ""
        if request.method == "GET" and name:
            found = self._objects.get((kind, name))
            return _answer(200, found) if found else _answer(404, {})
        if request.method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if request.method == "GET":
            return self._list(kind, query.get("after", ""))
        if request.method == "DELETE":
            return self._delete(kind, name)
        return self._put(request, kind, name)

    def _list(self, kind: str, after: str) -> http_server.Response:
        names = sorted(n for k, n in self._objects if k == kind and n > after)
        items = [self._objects[kind, n] for n in names[:PAGE]]
        answer = {
            "items": items,
            "hasMore": len(names) > PAGE,
            "currentRev": self._revision,
        }
        return _answer(200, answer)

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> http_server.Response:
        after = int(query["watch"])
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(query.get("waitMs", "0")) / 1_000
        while True:
            changed = self._changed
            events = [
                {"object": item, "deleted": deleted}
                for revision, of_kind, item, deleted in self._events
                if of_kind == kind and revision > after
            ]
            left_s = ends_at - loop.time()
            if events or left_s <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue
        return _answer(200, {"events": events, "currentRev": self._revision})

    def _put(
        self, request: http_server.Request, kind: str, name: str
    ) -> http_server.Response:
        body = json.loads(request.body)
        metadata = body["metadata"]
        is_new = request.method == "POST"
        name = name or metadata["name"]
        found = self._objects.get((kind, name))
        if is_new and found is not None:
            return _answer(409, found)
        if not is_new and found is None:
            return _answer(404, {})
        expected = metadata.get("revision")
        if not is_new and expected not in (
            None,
            found["metadata"]["revision"],
        ):
            return _answer(409, found)
        if found is None or found["spec"] != body["spec"]:
            self.write(kind, name, body["spec"])
        return _answer(200, self._objects[kind, name])

    def _delete(self, kind: str, name: str) -> http_server.Response:
        found = self._objects.pop((kind, name), None)
        if found is None:
            return _answer(404, {})
        self._revision += 1
        self._record(kind, found, True)
        return _answer(200, found)


def _encode(content: typing.Any) -> bytes:
    return json.dumps(content, separators=(",", ":")).encode()


def _answer(status: int, content: typing.Any) -> http_server.Response:
    headers = [("Content-Type", "application/json")]
    return http_server.Response(status, _encode(content), headers)
