"""Encoding of responses to clients."""

import asyncio

from medlardoor.mesh import handlers, http_messages

__all__ = ["encode_response", "write_response"]

# Size of a body, in bytes, from which on it is not copied behind its head.
UNCOPIED_BYTES = 65_536

_STATUSES_WITHOUT_BODY = (204, 304)


def encode_response(response: handlers.Response, closes: bool) -> bytes:
    """Encodes a response.

    Args:
        response: The response.
        closes: Whether the connection closes after it.
    """
    return _encode_head(response, closes) + response.body


def write_response(
    transport: asyncio.Transport, response: handlers.Response, closes: bool
) -> None:
    """Writes a response to a connection.

    Args:
        transport: The connection.
        response: The response.
        closes: Whether the connection closes after it.
    """
    head = _encode_head(response, closes)
    body = response.body
    if len(body) < UNCOPIED_BYTES:
        transport.write(head + body)
    else:
        transport.write(head)
        transport.write(body)


def _encode_head(response: handlers.Response, closes: bool) -> bytes:
    status = response.status
    parts = [
        b"HTTP/1.1 %d %b\r\n" % (status, http_messages.reason_phrase(status)),
        response.headers,
    ]
    if status not in _STATUSES_WITHOUT_BODY:
        parts.append(b"content-length: %d\r\n" % len(response.body))
    if closes:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)
