"""HTTP client of the stand-ins: a pool of httpcore connections."""

import collections
import dataclasses
import time

import anyio
import httpcore
import result

from medlardoor import errors

__all__ = ["Answer", "ConnectionPool", "ExchangeFailed", "Message"]

# Below the keep-alive time of uvicorn (5 s), so that the client drops an
# idle connection before the server does.
MAX_IDLE_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A request to send.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers; Content-Length is added.
        body: Whole body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer.

    Attributes:
        status: Status code.
        headers: Headers by name in lower case.
        body: Whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True)
class ExchangeFailed(errors.Failure):
    """A request without a whole answer.

    Attributes:
        sent: Whether any part of the request may have been received.
        detail: Kind of failure, such as ``ReadError``.
    """

    sent: bool
    detail: str

    @property
    def message(self) -> str:
        """One sentence for a log line or an operator."""
        state = "may have been" if self.sent else "was not"
        return f"No answer ({self.detail}); the request {state} sent."


@dataclasses.dataclass(slots=True)
class _Idle:
    connection: httpcore.AsyncHTTPConnection
    since: float


class ConnectionPool:
    """Keep-alive connections by address; the last used is reused first."""

    def __init__(self):
        self._idle = collections.defaultdict(list)

    async def exchange(
        self, address: str, message: Message, timeout_s: float
    ) -> result.Result[Answer, ExchangeFailed]:
        """Sends a request and reads the whole answer.

        Args:
            address: Address ``host:port`` of the server.
            message: Request to send.
            timeout_s: Time limit for the whole exchange, in seconds.
        """
        with anyio.move_on_after(timeout_s):
            return await self._exchange(address, message)
        return result.Err(ExchangeFailed(True, "Timeout"))

    async def aclose(self) -> None:
        """Closes all idle connections."""
        for rows in self._idle.values():
            for idle in rows:
                await idle.connection.aclose()
        self._idle.clear()

    async def _exchange(self, address, message):
        connection = await self._take(address)
        try:
            response = await connection.handle_async_request(
                _request(address, message)
            )
            body = await response.aread()
            await response.aclose()
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            return result.Err(ExchangeFailed(False, type(error).__name__))
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return result.Err(ExchangeFailed(True, type(error).__name__))
        finally:
            await self._give_back(address, connection)
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in response.headers
        }
        return result.Ok(Answer(response.status, headers, body))

    async def _take(self, address):
        rows = self._idle[address]
        while rows:
            idle = rows.pop()
            fresh = time.monotonic() - idle.since < MAX_IDLE_S
            if fresh and not idle.connection.has_expired():
                return idle.connection
            await _close(idle.connection)
        host, port = address.rsplit(":", 1)
        return httpcore.AsyncHTTPConnection(
            origin=httpcore.Origin(b"http", host.encode(), int(port))
        )

    async def _give_back(self, address, connection):
        if connection.is_idle():
            self._idle[address].append(_Idle(connection, time.monotonic()))
            return
        await _close(connection)


async def _close(connection):
    with anyio.CancelScope(shield=True):
        await connection.aclose()


def _request(address, message):
    host, port = address.rsplit(":", 1)
    headers = {"Host": address, **message.headers}
    if message.body or message.method in ("POST", "PUT", "PATCH"):
        headers["Content-Length"] = str(len(message.body))
    return httpcore.Request(
        method=message.method.encode(),
        url=httpcore.URL(
            scheme=b"http",
            host=host.encode(),
            port=int(port),
            target=message.target.encode(),
        ),
        headers=[(k.encode(), v.encode()) for k, v in headers.items()],
        content=message.body or None,
    )
