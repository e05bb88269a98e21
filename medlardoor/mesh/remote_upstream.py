"""What the responses of an upstream beside another node say of it.

The node beside an upstream applies its limit and its leaving. A node of an
earlier build does not, and one that has just started does not know of them,
so the nodes that pass on the responses remember both.
"""

import re

from medlardoor.admission import named_limits
from medlardoor.mesh import http_messages
from medlardoor.mesh import settings as settings_module

__all__ = ["RemoteUpstream"]


class RemoteUpstream:
    """Remembers the limit and the leaving of one upstream.

    Args:
        headers: Names of HTTP headers.
    """

    def __init__(self, headers: settings_module.HeaderNames):
        self._limit_pattern = _header_pattern(headers.rate_limit)
        self._leaving_pattern = _header_pattern(headers.leaving)
        self._limit = named_limits.NamedLimit()
        self._limited_id = ""
        self._leaving_id = ""

    def has_left(self, upstream_id: str) -> bool:
        """Whether a response of the upstream has said that it leaves."""
        return upstream_id != "" and upstream_id == self._leaving_id

    def forget(self, upstream_id: str) -> None:
        """Ends what is known of an upstream that its node no longer uses.

        A later start of it may have the same identifier.

        Args:
            upstream_id: Identifier of the upstream.
        """
        if upstream_id == self._leaving_id:
            self._leaving_id = ""
        if upstream_id == self._limited_id:
            self._limited_id = ""
            self._limit.clear()

    def allows(self, upstream_id: str, now: float) -> bool:
        """Whether this node may send a request to the upstream.

        Args:
            upstream_id: Identifier of the upstream.
            now: Current time, in seconds.
        """
        return upstream_id != self._limited_id or self._limit.allows(now)

    def count_request(self, upstream_id: str, now: float) -> None:
        """Counts a request to the upstream.

        Args:
            upstream_id: Identifier of the upstream.
            now: Current time, in seconds.
        """
        if upstream_id == self._limited_id:
            self._limit.count_request(now)

    def observe(
        self,
        upstream_id: str,
        header_lines: bytes,
        senders: int,
        sent_at: float,
        now: float,
    ) -> None:
        """Applies a response.

        Args:
            upstream_id: Identifier of the upstream.
            header_lines: Header lines of the response, with names in lower
                case.
            senders: Number of nodes among which a limit is divided.
            sent_at: When the request was sent, in seconds.
            now: Current time, in seconds.
        """
        if not upstream_id:
            return
        leaving = self._leaving_pattern.search(header_lines)
        if leaving is not None and leaving[1].strip() == b"1":
            self._leaving_id = upstream_id
        named = self._limit_pattern.search(header_lines)
        rate_per_s = None
        if named is not None:
            rate_per_s = http_messages.parse_decimal(named[1])
            if rate_per_s is None:
                return
            rate_per_s /= senders
        if upstream_id != self._limited_id:
            self._limit.clear()
            self._limited_id = upstream_id
        self._limit.observe(rate_per_s, sent_at, now)


def _header_pattern(name: bytes) -> re.Pattern[bytes]:
    return re.compile(rb"^%b:([^\r]*)\r\n" % re.escape(name.lower()), re.M)
