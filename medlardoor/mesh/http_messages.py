"""Parts of HTTP/1.1 messages that callers and upstreams share."""

import http

from medlardoor.calls import exchange

__all__ = [
    "CONNECTION_HEADERS",
    "encode_lines",
    "encode_request",
    "keep_alive_s",
    "phrase",
    "slots_of",
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


def encode_request(
    method: bytes, target: bytes, lines: bytes, body: bytes
) -> bytes:
    """Encodes a request.

    Args:
        method: HTTP method.
        target: Path and query.
        lines: Header lines, each with its line end; the length among them.
        body: Complete body.
    """
    return b"%b %b HTTP/1.1\r\n%b\r\n%b" % (method, target, lines, body)


def keep_alive_s(value: bytes) -> float | None:
    """Timeout of a ``Keep-Alive`` header, in seconds; None without one."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None


def slots_of(load: bytes) -> int:
    """Slots in an upstream's report of its load; 0 if it is not valid.

    Args:
        load: Running requests, waiting requests and slots, with commas.
    """
    try:
        _, _, slots = (int(part) for part in load.split(b","))
    except ValueError:
        return 0
    return slots
