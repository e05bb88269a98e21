"""A node on fake transports under the mock clock of trio."""

from collections import abc as collections_abc
import functools
import json
import typing

import anyio
import anyio.lowlevel
import result
import trio.testing

from medlardoor import errors
from medlardoor.blackboard import topics
from medlardoor.calls import context, exchange
from medlardoor.config import settings as settings_module
from medlardoor.node import apps, assembly
from medlardoor.node.serving import calls, listeners
from medlardoor.node.tests import system as system_module
from medlardoor.node.transport import forwarding, transport
from medlardoor.retries import budget as budget_module
from medlardoor.store import memory

__all__ = [
    "Caller",
    "FakeResponse",
    "FakeTransport",
    "Node",
    "PlainResponse",
    "answer",
    "document_object",
    "lost",
    "run",
    "test",
]

SETTINGS = settings_module.NodeSettings(
    environment="test",
    service="order",
    instance="order-1",
    failure_domain="a",
    cluster_key=system_module.CLUSTER_KEY,
    upstream=settings_module.UpstreamSettings(port=9, report_max_age_s=1e9),
)

Handler = typing.Callable[
    [transport.Address, transport.OutgoingRequest], typing.Awaitable
]


def run(test: typing.Callable) -> None:
    """Runs a test with a node; the clock jumps when all tasks wait."""

    async def body():
        async with anyio.create_task_group() as tasks:
            with anyio.fail_after(3_000):
                await test(Node(tasks))
            tasks.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(body, backend="trio", backend_options={"clock": clock})


class FakeResponse(transport.Response):
    """Response defined by a test.

    Args:
        status: HTTP status.
        headers: Headers.
        body: Body after the prefix `part-`; None truncates the response after
            the prefix.
        pause_s: Delay between the prefix and the body, in seconds.
    """

    def __init__(self, status=200, headers=(), body=b"ok", pause_s=0.0):
        self._status = status
        self._headers = list(headers)
        self._body = body
        self._pause_s = pause_s

    @property
    def status(self) -> int:
        return self._status

    @property
    def headers(self) -> exchange.Headers:
        return self._headers

    async def chunks(self) -> collections_abc.AsyncIterator[bytes]:
        yield b"part-"
        await anyio.sleep(self._pause_s)
        if self._body is None:
            raise exchange.TruncatedAnswer("cut")
        yield self._body

    async def aclose(self) -> None:
        await anyio.lowlevel.checkpoint()


class FakeTransport(transport.Transport):
    """Reads the body of each request and calls the handler of the test."""

    def __init__(self, handler: Handler):
        self.handler = handler
        self.sent: list[transport.Address] = []
        self.report: dict | None = {"slots": 64, "start_id": "s1"}

    async def send(self, address, request, connect_timeout_s):
        if request.target == b"/load":
            if self.report is None:
                return lost(dispatched=False)
            text = json.dumps(self.report).encode()
            return result.Ok(PlainResponse(body=text))
        self.sent.append(address)
        if not isinstance(request.body, bytes):
            async for _ in request.body:
                pass
        return await self.handler(address, request)

    async def aclose(self):
        pass


class PlainResponse(FakeResponse):
    """Response with exactly the given body."""

    async def chunks(self):
        yield self._body


class _Connections:
    def __init__(self):
        self.store = memory.MemoryObjectStore()
        self.nodes = FakeTransport(answer())
        self.upstream = FakeTransport(answer())


def answer(delay_s: float = 0.0, **response: typing.Any) -> Handler:
    """Returns a handler that responds after a delay."""

    async def handle(address, request):
        await anyio.sleep(delay_s)
        return result.Ok(FakeResponse(**response))

    return handle


def lost(dispatched: bool) -> result.Err:
    """Result of a send that got no response."""
    return result.Err(
        transport.TransportFailure(dispatched, not dispatched, "test")
    )


# The listener passes long bodies to the application in parts of this size.
BODY_PART_BYTES = 65_536


class Caller:
    """Sends one request to an ASGI application and keeps the response."""

    def __init__(self, app, method="GET", target="/stock", body=b"", **headers):
        self._app = app
        names = {"host": "order", **headers}
        if body:
            names["content-length"] = str(len(body))
        self._scope = {
            "type": "http",
            "method": method,
            "path": target,
            "raw_path": target.encode(),
            "query_string": b"",
            "headers": [
                (name.replace("_", "-").encode(), value.encode())
                for name, value in names.items()
            ],
            "client": ("127.0.0.1", 5),
        }
        self._messages = [
            {
                "type": "http.request",
                "body": body[start : start + BODY_PART_BYTES],
                "more_body": start + BODY_PART_BYTES < len(body),
            }
            for start in range(0, max(1, len(body)), BODY_PART_BYTES)
        ]
        self._left = anyio.Event()
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.cut = False

    @property
    def outcome(self) -> str:
        return self.headers.get("medlardoor-outcome", "")

    @property
    def reason(self) -> str:
        return json.loads(self.body)["reason"]

    def leave(self) -> None:
        """Disconnects the caller."""
        self._left.set()

    async def run(self) -> "Caller":
        """Sends the request and waits for the response."""
        try:
            await self._app(self._scope, self._receive, self._send)
        except exchange.TruncatedAnswer:
            self.cut = True
        return self

    async def _receive(self):
        if self._messages:
            return self._messages.pop(0)
        await self._left.wait()
        return {"type": "http.disconnect"}

    async def _send(self, message):
        await anyio.lowlevel.checkpoint()
        if message["type"] == "http.response.start":
            assert not self.status, "two answers"
            self.status = message["status"]
            for name, value in message["headers"]:
                self.headers[name.decode()] = value.decode()
            return
        self.body += message.get("body", b"")
        self.complete = not message.get("more_body", False)


class Node:
    """All parts of a node with a document and a serving upstream."""

    def __init__(self, tasks):
        self.connections = _Connections()
        self._sockets = listeners.Listeners(SETTINGS)
        self.parts = assembly.build(
            SETTINGS, 1, self._sockets, self.connections, tasks
        )
        for listener in self._sockets.http_listeners():
            listener._socket.close()
        self._sockets.gossip.close()
        self.tasks = tasks
        self.upstream = self.connections.upstream
        self.nodes = self.connections.nodes
        self.board = self.parts.board
        self.apps = apps.NodeApps(self.parts, lambda: None)
        now = anyio.current_time()
        self.parts.adoption.offer(1, document_object(), now)
        assert self.board.policy.version == 1
        load = self.board.load
        load.upstream_state = topics.UpstreamState.SERVING
        load.start_id = "s1"
        load.reported_slots = 64
        load.report_at = now
        tasks.start_soon(self._tick)

    def caller(self, *arguments, **headers) -> Caller:
        """Returns a request to the caller listener."""
        return Caller(self.apps.caller, *arguments, **headers)

    def order(self, key="", body=b"{}") -> Caller:
        """Returns an order with the given key, or else with a new key."""
        key = key or self.issue_key()
        return self.caller("POST", "/orders", body, idempotency_key=key)

    def issue_key(self) -> str:
        """Issues an idempotency key of this node."""
        return self.parts.keys.issue(1, anyio.current_time())[0]

    def add_member(self, service="order", **changes) -> topics.Member:
        """Adds another node, of this node's service or of a called one."""
        membership = self.board.membership
        members = membership.members
        if service != "order":
            members = membership.services.setdefault(service, {})
        number = len(members) + 2
        values = {
            "instance": f"{service}-{number}",
            "service": service,
            "incarnation": 1,
            "process_id": f"p{number}",
            "state": topics.MemberState.SERVING,
            "host": "127.0.0.1",
            "peer_port": number,
            "slots": 64,
            "heard_at": anyio.current_time(),
        } | changes
        member = topics.Member(**values)
        members[member.instance] = member
        return member

    def open_call(self, **changes) -> calls.ActiveCall:
        """Opens a call that runs on the upstream."""
        values = {
            "chain_id": b"c" * 16,
            "call_id": self.parts.registry.new_call_id(),
            "team": "sales",
            "kind": "stock_check",
            "rank": 0,
            "level": 5,
            "deadline": anyio.current_time() + 20.0,
            "budget": 3,
        } | changes
        call = context.CallContext(**values)
        active = calls.ActiveCall(
            call, budget_module.RetryBudget(values["budget"])
        )
        self.parts.registry.open(active)
        return active

    def child(self, active, method="GET", target="/stock") -> Caller:
        """Returns an outgoing call of the upstream to service inventory."""
        return Caller(
            self.apps.egress,
            method,
            target,
            b"{}" if method == "POST" else b"",
            host="inventory",
            medlardoor_call=active.token,
        )

    def report(
        self,
        outcome=errors.Outcome.ANSWERED,
        reason="",
        unspent=0,
        **response,
    ) -> FakeResponse:
        """Returns a response of another node."""
        value = forwarding.encode_result_header(
            context.CallResult(outcome.value, reason, unspent),
            self.parts.cluster_key,
        )
        headers = [(forwarding.RESULT_HEADER, value)]
        return FakeResponse(headers=headers, **response)

    def refuse(self, outcome, reason="overload", unspent=0) -> Handler:
        """Returns a handler of a node that refuses."""

        async def handle(address, request):
            await anyio.sleep(0.001)
            return result.Ok(self.report(outcome, reason, unspent))

        return handle

    async def run_all(self, *callers: Caller) -> None:
        """Runs requests concurrently."""
        async with anyio.create_task_group() as tasks:
            for caller in callers:
                tasks.start_soon(caller.run)

    def start(self, caller: Caller) -> None:
        """Runs a request in the background."""
        self.tasks.start_soon(caller.run)

    async def _tick(self):
        while True:
            self.parts.gate.tick()
            await anyio.sleep(0.1)


def document_object(**changes: typing.Any) -> bytes:
    """Encodes the platform object with the document of the tests."""
    text = json.dumps(system_module.DOCUMENT | changes)
    value = {"enforced": text, "trial": None, "author": "t", "note": ""}
    return json.dumps(value).encode()


def test(function: typing.Callable) -> typing.Callable:
    """Makes a pytest test from a coroutine function with a node argument."""

    @functools.wraps(function)
    def wrapper():
        run(function)

    # Pytest would treat the argument of the coroutine as a fixture.
    del wrapper.__wrapped__
    return wrapper
