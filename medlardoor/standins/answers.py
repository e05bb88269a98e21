"""ASGI messages of the upstream stand-in; not part of the system."""

import collections.abc
import json
import typing

from medlardoor.standins import children

__all__ = [
    "Disconnected",
    "decode_headers",
    "read_body",
    "read_whole_body",
    "send_child_failure",
    "send_json",
    "send_padded",
    "send_problem",
    "send_shed",
    "target_of",
]

Receive = collections.abc.Callable[[], typing.Awaitable[dict[str, typing.Any]]]
Send = collections.abc.Callable[[dict[str, typing.Any]], typing.Awaitable[None]]

PADDING_CHUNK_BYTES = 65_536
_JSON = (b"content-type", b"application/json")
_PROBLEM = (b"content-type", b"application/problem+json")


class Disconnected(Exception):  # noqa: N818
    """The connection was closed before the whole body was received."""


def decode_headers(scope: dict[str, typing.Any]) -> dict[str, str]:
    """Headers of a request by name in lower case."""
    return {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in scope["headers"]
    }


def target_of(scope: dict[str, typing.Any]) -> str:
    """Path and query of a request as they were sent."""
    path = scope["raw_path"].decode("latin-1")
    query = scope["query_string"].decode("latin-1")
    return f"{path}?{query}" if query else path


async def read_body(receive: Receive) -> typing.AsyncIterator[bytes]:
    """Yields the chunks of a body.

    Raises:
        Disconnected: The connection was closed before the end.
    """
    more = True
    while more:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise Disconnected
        yield message.get("body", b"")
        more = message.get("more_body", False)


async def read_whole_body(receive: Receive) -> bytes:
    """Reads a small body.

    Raises:
        Disconnected: The connection was closed before the end.
    """
    return b"".join([chunk async for chunk in read_body(receive)])


async def send_json(
    send: Send,
    status: int,
    value: typing.Any,
    headers: tuple[tuple[bytes, bytes], ...] = (_JSON,),
) -> None:
    """Sends a JSON answer."""
    body = json.dumps(value).encode()
    length = (b"content-length", str(len(body)).encode())
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*headers, length],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def send_problem(
    send: Send,
    status: int,
    detail: str,
    headers: tuple[tuple[bytes, bytes], ...] = (),
    **fields: str,
) -> None:
    """Sends a problem document."""
    problem = {
        "type": "about:blank",
        "title": "Stand-in error",
        "status": status,
        "detail": detail,
        **fields,
    }
    await send_json(send, status, problem, (_PROBLEM, *headers))


async def send_shed(send: Send) -> None:
    """Refuses a request that was not run."""
    await send_problem(
        send,
        503,
        "The upstream stand-in has no capacity; the request was not run.",
        ((b"medlardoor-outcome", b"not-run"), (b"retry-after", b"1")),
        outcome="not-run",
        reason="upstream_shed",
    )


async def send_child_failure(send: Send, failure: children.ChildFailed) -> None:
    """Fails a request whose child call failed.

    Outcome and reason are those of the child: the request itself has run.
    """
    await send_problem(
        send,
        502,
        failure.message,
        child_service=failure.service,
        child_status=str(failure.status),
        child_outcome=failure.outcome,
        child_reason=failure.reason,
    )


async def send_padded(send: Send, head: str, padding: int) -> None:
    """Sends a JSON object with a padding string of the given length."""
    opening = f'{head[:-1]}, "padding": "'.encode()
    length = len(opening) + padding + 2
    await send(
        {
            "type": "http.response.start",
            "status": 200,
            "headers": [_JSON, (b"content-length", str(length).encode())],
        }
    )
    await send(
        {
            "type": "http.response.body",
            "body": opening,
            "more_body": True,
        }
    )
    left = padding
    while left > 0:
        chunk = b"x" * min(left, PADDING_CHUNK_BYTES)
        left -= len(chunk)
        await send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )
    await send({"type": "http.response.body", "body": b'"}'})
