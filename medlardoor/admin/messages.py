"""Requests and replies of the administration API as ASGI messages."""

import collections.abc
import dataclasses
import json
import typing
import urllib.parse

import result

from medlardoor import errors

__all__ = ["Reply", "Request", "json_reply", "problem_reply"]

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"
HTML_TYPE = "text/html; charset=utf-8"
# The page has its script and style inline and talks only to its own node.
_PAGE_POLICY = (
    "default-src 'none'; script-src 'unsafe-inline'; "
    "style-src 'unsafe-inline'; connect-src 'self'; frame-ancestors 'none'"
)
_SECURITY_HEADERS = (
    (b"cache-control", b"no-store"),
    (b"x-content-type-options", b"nosniff"),
    (b"content-security-policy", _PAGE_POLICY.encode()),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An answer.

    Attributes:
        status: Status code.
        body: Content.
        content_type: Value of Content-Type.
    """

    status: int
    body: bytes
    content_type: str = JSON_TYPE

    async def send(
        self, send: collections.abc.Callable[..., typing.Awaitable[None]]
    ) -> None:
        """Sends the answer."""
        headers = [
            (b"content-type", self.content_type.encode()),
            (b"content-length", str(len(self.body)).encode()),
            *_SECURITY_HEADERS,
        ]
        await send(
            {
                "type": "http.response.start",
                "status": self.status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": self.body})


def json_reply(status: int, value: object) -> Reply:
    """Gives an answer with JSON."""
    return Reply(status, json.dumps(value).encode())


def problem_reply(
    status: int, title: str, detail: str, **fields: object
) -> Reply:
    """Gives a problem document (RFC 9457)."""
    problem = {
        "type": "about:blank",
        "title": title,
        "status": status,
        "detail": detail,
        **fields,
    }
    return Reply(status, json.dumps(problem).encode(), PROBLEM_TYPE)


class Request:
    """A request with its body read on demand.

    Args:
        scope: ASGI scope.
        receive: ASGI receive function.
    """

    def __init__(
        self,
        scope: dict[str, typing.Any],
        receive: collections.abc.Callable[..., typing.Awaitable[dict]],
    ):
        self.method = scope["method"]
        self.path = scope["path"]
        self._query = urllib.parse.parse_qs(
            scope["query_string"].decode("latin-1")
        )
        self.peer_host = (scope.get("client") or ("",))[0]
        self._headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        self._receive = receive

    def header(self, name: str) -> str:
        """Value of a header, or the empty string."""
        return self._headers.get(name, "")

    def query(self, name: str) -> str:
        """Value of a query parameter, or the empty string."""
        return self._query.get(name, [""])[0]

    async def text(
        self, max_bytes: int
    ) -> result.Result[str, errors.InvalidInput]:
        """Reads the body as UTF-8.

        Args:
            max_bytes: Greatest size that is read.
        """
        body = b""
        more = True
        while more:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                return self._invalid("a whole body")
            body += message.get("body", b"")
            more = message.get("more_body", False)
            if len(body) > max_bytes:
                return self._invalid(f"at most {max_bytes} bytes")
        try:
            return result.Ok(body.decode())
        except UnicodeDecodeError:
            return self._invalid("text in UTF-8")

    def _invalid(self, expected):
        fault = errors.Fault("$", 0, expected)
        return result.Err(errors.InvalidInput(self.path, (fault,)))
