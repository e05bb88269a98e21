"""Stand-in of the platform: the object API of the design page, section 3.5.

It is a test double, not the platform: state is in memory and faults are
injected through ``POST /standin/faults``.
"""

import asyncio
import base64
import dataclasses
import json
import socket
import sys
import typing
import urllib.parse

import anyio
import pydantic
import uvicorn
from uvicorn.protocols.http import h11_impl

from medlardoor.store import client, memory

__all__ = ["Faults", "PlatformApp", "serve"]

_OBJECTS = "/v1/objects"
_MAX_WAIT_S = 60.0
_BACKLOG = 2_048
_STOP_TIMEOUT_S = 1


class Faults(pydantic.BaseModel):
    """Body of ``POST /standin/faults``."""

    model_config = pydantic.ConfigDict(extra="forbid")

    mode: memory.FaultMode
    delay_ms: int = pydantic.Field(default=0, ge=0)


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: bytes = b""
    version: int | None = None
    content_type: bytes = b"application/octet-stream"


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    method: str
    path: str
    query: dict[str, str]
    headers: dict[bytes, bytes]
    body: bytes

    @property
    def key(self) -> str:
        """Name of the object."""
        return self.path.removeprefix(_OBJECTS + "/")


class _BrokenConnection(Exception):  # noqa: N818
    """Ends a call by closing the connection without an answer."""


class PlatformApp:
    """ASGI application of the object API and its fault injection."""

    def __init__(self):
        self._table = memory.ObjectTable()
        self._calls = memory.StoreCalls()
        self._faults = Faults(mode=memory.FaultMode.UP)

    async def __call__(self, scope, receive, send) -> None:
        """Serves one HTTP request."""
        if scope["type"] != "http":
            return
        try:
            request = await _read_request(scope, receive)
            answer = await self._answer(request)
        except _BrokenConnection:
            _break_connection(scope)
            return
        await _send_answer(send, answer)

    async def _answer(self, request: _Request) -> _Answer:
        if request.path == "/standin/counters":
            return self._counters()
        if request.path == "/standin/faults" and request.method == "POST":
            return self._set_faults(request)
        if request.path == _OBJECTS and request.method == "GET":
            return await self._list(request)
        if not request.path.startswith(_OBJECTS + "/"):
            return _Answer(404)
        if request.method == "PUT":
            return await self._update(request)
        if request.method == "DELETE":
            return await self._delete(request)
        if request.method != "GET":
            return _Answer(405)
        if "watch" in request.query:
            return await self._watch(request)
        return await self._read(request)

    def _counters(self) -> _Answer:
        counts = dataclasses.asdict(self._calls)
        counts["total"] = self._calls.total
        counts["version"] = self._table.version
        return _json_answer(counts)

    def _set_faults(self, request: _Request) -> _Answer:
        try:
            self._faults = Faults.model_validate_json(request.body)
        except pydantic.ValidationError as error:
            return _Answer(400, error.json().encode())
        # Waiting watches must notice that the platform went down.
        self._table.wake_all()
        return _json_answer(self._faults.model_dump(mode="json"))

    async def _read(self, request: _Request) -> _Answer:
        self._calls.reads += 1
        await self._apply_faults()
        found = self._table.read(request.key)
        return _Answer(404) if found is None else _object_answer(found)

    async def _delete(self, request: _Request) -> _Answer:
        self._calls.updates += 1
        await self._apply_faults()
        self._table.delete(request.key)
        return _Answer(200)

    async def _list(self, request: _Request) -> _Answer:
        self._calls.lists += 1
        await self._apply_faults()
        rows = [
            {
                "key": found.key,
                "version": found.version,
                "value": base64.b64encode(found.value).decode(),
            }
            for found in self._table.list(request.query.get("prefix", ""))
        ]
        return _json_answer({"objects": rows})

    async def _update(self, request: _Request) -> _Answer:
        self._calls.updates += 1
        await self._apply_faults()
        if len(request.body) > client.MAX_VALUE_BYTES:
            return _Answer(413)
        expected = _expected_version(request)
        if expected is None:
            return _Answer(428)
        changed = self._table.update(request.key, request.body, expected)
        if changed.is_err():
            self._calls.conflicts += 1
        if self._faults.mode is memory.FaultMode.LOSE_ANSWERS:
            raise _BrokenConnection
        if changed.is_err():
            return _Answer(412)
        version = changed.ok_value
        return dataclasses.replace(
            _json_answer({"version": version}), version=version
        )

    async def _watch(self, request: _Request) -> _Answer:
        self._calls.watches += 1
        await self._apply_faults()
        try:
            after = int(request.query["watch"])
            wait_s = float(request.query.get("wait_s", "30"))
        except ValueError:
            return _Answer(400)
        with anyio.move_on_after(min(wait_s, _MAX_WAIT_S)):
            while True:
                if self._faults.mode is memory.FaultMode.DOWN:
                    raise _BrokenConnection
                found = self._table.newer(request.key, after)
                if found is not None:
                    return _object_answer(found)
                await self._table.wait_for_change(request.key)
        return _Answer(304)

    async def _apply_faults(self) -> None:
        if self._faults.mode is memory.FaultMode.SLOW:
            await anyio.sleep(self._faults.delay_ms / 1_000)
        if self._faults.mode is memory.FaultMode.DOWN:
            raise _BrokenConnection


class _BreakableProtocol(h11_impl.H11Protocol):
    """Gives the application its transport, to close it without an answer.

    ASGI has no message for that: an application that returns early makes the
    server send status 500.
    """

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(transport)
        self.app_state = {**self.app_state, "transport": transport}


def _break_connection(scope) -> None:
    transport = scope["state"]["transport"]
    protocol = transport.get_protocol()
    protocol.cycle.disconnected = True
    transport.abort()


async def _read_request(scope, receive) -> _Request:
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise _BrokenConnection
        if len(body) <= client.MAX_VALUE_BYTES:
            body += message.get("body", b"")
        if not message.get("more_body", False):
            break
    query = urllib.parse.parse_qsl(scope["query_string"].decode())
    return _Request(
        scope["method"],
        scope["path"],
        dict(query),
        dict(scope["headers"]),
        bytes(body),
    )


def _expected_version(request: _Request) -> int | None:
    """Version of the condition, 0 for "must not exist", None if missing."""
    if request.headers.get(b"if-none-match") == b"*":
        return 0
    tag = request.headers.get(b"if-match", b"").strip(b'"')
    return int(tag) if tag.isdigit() and int(tag) > 0 else None


def _object_answer(found: client.StoredObject) -> _Answer:
    return _Answer(200, found.value, found.version)


def _json_answer(value: dict[str, typing.Any]) -> _Answer:
    return _Answer(
        200, json.dumps(value).encode(), content_type=b"application/json"
    )


async def _send_answer(send, answer: _Answer) -> None:
    headers = [(b"content-type", answer.content_type)]
    if answer.status != 304:
        headers.append((b"content-length", b"%d" % len(answer.body)))
    if answer.version is not None:
        headers.append((b"etag", b'"%d"' % answer.version))
    await send(
        {
            "type": "http.response.start",
            "status": answer.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": answer.body})


def serve(host: str, port: int) -> None:
    """Runs the stand-in until SIGTERM or SIGINT.

    Prints one JSON line with the address once connections are accepted.

    Args:
        host: IP address to listen on.
        port: TCP port; 0 lets the kernel choose.
    """
    listener = socket.create_server((host, port), backlog=_BACKLOG)
    address = listener.getsockname()
    line = {"event": "listening", "host": address[0], "port": address[1]}
    sys.stdout.write(json.dumps(line) + "\n")
    sys.stdout.flush()
    config = uvicorn.Config(
        PlatformApp(),
        http=_BreakableProtocol,
        lifespan="off",
        log_level="warning",
        access_log=False,
        timeout_graceful_shutdown=_STOP_TIMEOUT_S,
    )
    uvicorn.Server(config).run(sockets=[listener])
