"""Requests that offer to switch to another protocol.

A server that supports no other protocol ignores the offer and serves the
request. The parser ends such a request after its head instead and leaves its
body unread, so it is given the head once more, without the offer.

References:
    RFC 9110, section 7.8 (Upgrade).
"""

import collections.abc

import httptools

__all__ = ["head_without_offer"]


def head_without_offer(
    parser: httptools.HttpRequestParser,
    target: bytes,
    headers: collections.abc.Iterable[tuple[bytes, bytes]],
) -> bytes:
    """Returns the head of a request without its ``Upgrade`` headers.

    Args:
        parser: The parser that has read the head.
        target: Request target.
        headers: Names, in lower case, and values of all headers.
    """
    version = parser.get_http_version().encode()
    lines = [b"%b %b HTTP/%b" % (parser.get_method(), target, version)]
    lines += [
        b"%b: %b" % (name, value)
        for name, value in headers
        if name != b"upgrade"
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n"
