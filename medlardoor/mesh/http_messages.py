"""Parts of HTTP/1.1 messages that callers and upstreams share."""

import http

from medlardoor.calls import exchange

__all__ = [
    "CONNECTION_HEADERS",
    "encode_lines",
    "keep_alive_s",
    "phrase",
]


# Headers that concern only one connection (RFC 9110, section 7.6.1), and the
# length, which is set anew with each message.
CONNECTION_HEADERS = exchange.HOP_HEADERS | {b"content-length", b"expect"}

_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}


def phrase(status: int) -> bytes:
    """Reason phrase of a status."""
    return _PHRASES.get(status, b"Unknown")


def encode_lines(headers: list[tuple[bytes, bytes]]) -> bytes:
    """Encodes header lines, each with its line end."""
    return b"".join([b"%b: %b\r\n" % header for header in headers])


def keep_alive_s(value: bytes) -> float | None:
    """Timeout of a ``Keep-Alive`` header, in seconds; None without one."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None
