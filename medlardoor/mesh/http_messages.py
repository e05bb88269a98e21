"""Encoding and parsing of HTTP/1.1 messages for callers and upstreams."""

import http
import math
import re

from medlardoor.calls import exchange
from medlardoor.wire import ranges

__all__ = [
    "CONNECTION_HEADERS",
    "encode_header_lines",
    "encode_request",
    "parse_decimal",
    "parse_keep_alive_s",
    "reason_phrase",
    "parse_load_slots",
    "parse_milliseconds",
]


# Headers of a single connection (RFC 9110, section 7.6.1), which are not
# forwarded, and Content-Length, which is set for each message.
CONNECTION_HEADERS = exchange.HOP_HEADERS | {b"content-length", b"expect"}

# A decimal number without a sign or an exponent, of bounded length.
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")

# A decimal number that can be converted to a float without loss or error.
_MILLISECONDS = re.compile(rb"[0-9]{1,15}")

_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}


def reason_phrase(status: int) -> bytes:
    """Returns the reason phrase of an HTTP status."""
    return _PHRASES.get(status, b"Unknown")


def encode_header_lines(headers: list[tuple[bytes, bytes]]) -> bytes:
    """Encodes header lines, each with its line end."""
    return b"".join([b"%b: %b\r\n" % header for header in headers])


def encode_request(
    method: bytes, target: bytes, lines: bytes, body: bytes
) -> bytes:
    """Encodes a request.

    Args:
        method: HTTP method.
        target: Path and query.
        lines: Header lines, each with its line end, including Content-Length if
            the request needs one.
        body: Complete body.
    """
    return b"%b %b HTTP/1.1\r\n%b\r\n%b" % (method, target, lines, body)


def parse_keep_alive_s(value: bytes) -> float | None:
    """Returns the timeout of a ``Keep-Alive`` header, in seconds, if any."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None


def parse_decimal(value: bytes) -> float | None:
    """Returns a non-negative decimal number; None if it is invalid."""
    if _DECIMAL.fullmatch(value.strip()) is None:
        return None
    return float(value)


def parse_milliseconds(value: bytes) -> float:
    """Returns a time in milliseconds as seconds.

    Args:
        value: Decimal digits.

    Returns:
        The time; infinity if the digits are invalid or too many for a clock.
    """
    if _MILLISECONDS.fullmatch(value.strip()) is None:
        return math.inf
    return int(value) / 1_000


def parse_load_slots(load: bytes) -> int:
    """Returns the number of slots in an upstream's load report.

    Args:
        load: Numbers of running requests, waiting requests and slots, separated
            by commas.

    Returns:
        The number of slots; 0 if the report is invalid or out of range.
    """
    try:
        _, _, slots = (int(part) for part in load.split(b","))
    except ValueError:
        return 0
    return slots if slots <= ranges.MAX_COUNT else 0
