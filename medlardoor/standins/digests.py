"""Digests by which stand-ins recognise the answer to their own request."""

import dataclasses
import hashlib
import json
import math
import urllib.parse

__all__ = [
    "RequestIdentity",
    "body_digest",
    "format_timeout",
    "padding_of",
    "parse_timeout",
    "verify_answer",
]

_UNITS_S = {"H": 3600.0, "M": 60.0, "S": 1.0, "m": 1e-3, "u": 1e-6, "n": 1e-9}
# The grpc-timeout header allows at most 8 digits.
_MAX_TIMEOUT_MS = 99_999_999


@dataclasses.dataclass(frozen=True, slots=True)
class RequestIdentity:
    """What a request is recognised by.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        request_id: Value of X-Request-ID.
        body_sha256: Hexadecimal SHA-256 of the body.
    """

    method: str
    target: str
    request_id: str
    body_sha256: str

    @property
    def digest(self) -> str:
        """Hexadecimal digest over all fields."""
        text = "\n".join(dataclasses.astuple(self))
        return hashlib.sha256(text.encode()).hexdigest()


def body_digest(body: bytes) -> str:
    """Hexadecimal SHA-256 of a body."""
    return hashlib.sha256(body).hexdigest()


def verify_answer(identity: RequestIdentity, body: bytes, size: int) -> bool:
    """Whether a body is the whole answer to a request.

    Args:
        identity: Request that was sent.
        body: Body of the answer.
        size: Bytes of padding that were asked for.
    """
    try:
        answer = json.loads(body)
    except ValueError:
        return False
    if not isinstance(answer, dict):
        return False
    whole = len(answer.get("padding", "")) == size
    return whole and answer.get("digest") == identity.digest


def padding_of(target: str) -> int:
    """Bytes of padding that a target asks for by ``size``."""
    query = urllib.parse.urlsplit(target).query
    size = urllib.parse.parse_qs(query).get("size", ["0"])[0]
    return int(size) if size.isdecimal() else 0


def parse_timeout(text: str) -> float | None:
    """Seconds stated by a grpc-timeout header; None if it is not valid."""
    digits, unit = text[:-1], text[-1:]
    if unit not in _UNITS_S or not digits.isdecimal() or len(digits) > 8:
        return None
    return int(digits) * _UNITS_S[unit]


def format_timeout(seconds: float) -> str:
    """A grpc-timeout header in whole milliseconds, at least 1."""
    milliseconds = max(1, math.floor(seconds * 1_000))
    return f"{min(milliseconds, _MAX_TIMEOUT_MS)}m"
