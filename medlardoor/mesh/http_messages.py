"""Encoding and parsing of HTTP/1.1 messages for callers and upstreams."""

import collections.abc
import dataclasses
import http
import math
import re

from medlardoor.calls import exchange
from medlardoor.wire import ranges

__all__ = [
    "CONNECTION_HEADERS",
    "LINE_BYTES",
    "MIN_COUNTED_LINES",
    "LoadReport",
    "encode_header_lines",
    "encode_request",
    "parse_decimal",
    "parse_keep_alive_s",
    "reason_phrase",
    "parse_load_report",
    "parse_load_reports",
    "parse_milliseconds",
]


# Headers of a single connection (RFC 9110, section 7.6.1), which are not
# forwarded, and Content-Length, which is set for each message.
CONNECTION_HEADERS = exchange.HOP_HEADERS | {b"content-length", b"expect"}

# Header lines from which on their objects count in the buffer budget, and the
# bytes that one takes: a tuple and two strings. Fewer lines take less than the
# connection itself.
MIN_COUNTED_LINES = 32
LINE_BYTES = 200

# A decimal number without a sign or an exponent, of bounded length.
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")

# A decimal number that can be converted to a float without loss or error.
_MILLISECONDS = re.compile(rb"[0-9]{1,15}")

# A count, with optional white space around it. More digits than these are
# above `ranges.MAX_COUNT`.
_COUNT = re.compile(rb"[ \t]*([0-9]{1,10})[ \t]*")

_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What an upstream reports of its load in a response.

    Attributes:
        running: Number of running requests.
        waiting: Number of waiting requests.
        slots: Number of requests that run at the same time.
        time_percent: Current processing time in percent of the usual; None if
            the upstream does not report it.
    """

    running: int
    waiting: int
    slots: int
    time_percent: int | None = None


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


def parse_load_report(value: bytes) -> LoadReport | None:
    """Returns an upstream's load report; None if it is invalid.

    A fourth number that is invalid or out of range is dropped, so that the
    number of slots stays known.

    Args:
        value: Numbers of running requests, waiting requests and slots, and the
            processing time in percent of the usual, which may be absent;
            separated by commas.
    """
    parts = value.split(b",")
    if not 3 <= len(parts) <= 4:
        return None
    counts = [_parse_count(part) for part in parts[:3]]
    if None in counts:
        return None
    time_percent = _parse_count(parts[3]) if len(parts) == 4 else None
    if not ranges.is_time_percent(time_percent):
        time_percent = None
    return LoadReport(*counts, time_percent)


def parse_load_reports(
    values: collections.abc.Sequence[bytes],
) -> LoadReport | None:
    """Returns the load report of a response; None if there is no valid one.

    Args:
        values: Values of all load headers of the response. Of different values
            it is unknown which is right, so none is used.
    """
    if len({value.strip() for value in values}) != 1:
        return None
    return parse_load_report(values[0])


def _parse_count(part: bytes) -> int | None:
    match = _COUNT.fullmatch(part)
    if match is None:
        return None
    count = int(match[1])
    return count if count <= ranges.MAX_COUNT else None
