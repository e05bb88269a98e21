"""Limit on the request rate that an upstream names in its responses."""

import math

from medlardoor.teams import buckets

__all__ = ["NamedLimit"]


# Time for which unused requests are kept, in seconds. It bridges the gaps
# between two checks of the queue.
BURST_S = 0.25

# Lowest rate that is applied. Without any request no response could show that
# the limit has ended.
MIN_RATE_PER_S = 0.25


class NamedLimit:
    """Requests per second that an upstream in need takes from all callers.

    The upstream names its limit in each response for as long as it holds. The
    node beside the upstream is its only sender, so it applies the limit to the
    requests of all nodes.
    """

    def __init__(self):
        self._rate_per_s: float | None = None
        self._named_at = 0.0
        self._bucket = buckets.TokenBucket()

    @property
    def rate_per_s(self) -> float | None:
        """The limit, in requests per second; None if there is none."""
        return self._rate_per_s

    def observe(
        self, rate_per_s: float | None, sent_at: float, now: float
    ) -> None:
        """Applies a response of the upstream.

        A response that names no limit ends the limit, unless it may have been
        overtaken by one that names it.

        Args:
            rate_per_s: Limit that the response names; None if it names none.
            sent_at: When the request was sent, in seconds.
            now: Current time, in seconds.
        """
        if rate_per_s is not None:
            self._named_at = now
            if rate_per_s != self._rate_per_s:
                self._rate_per_s = rate_per_s
                applied = max(MIN_RATE_PER_S, rate_per_s)
                self._bucket.set_limit(
                    applied, max(1.0, applied * BURST_S), now
                )
        elif sent_at > self._named_at:
            self.clear()

    def allows(self, now: float) -> bool:
        """Whether a request may be sent now.

        Args:
            now: Current time, in seconds.
        """
        return self._rate_per_s is None or self._bucket.holds(now)

    def count_request(self, now: float) -> None:
        """Counts a request that is sent.

        Args:
            now: Current time, in seconds.
        """
        if self._rate_per_s is not None:
            self._bucket.take(now)

    def bound_rate(self, rate_per_s: float | None) -> float | None:
        """Returns a rate of the upstream, bounded by the limit.

        Args:
            rate_per_s: Requests per second; None if unknown.
        """
        if self._rate_per_s is None:
            return rate_per_s
        applied = max(MIN_RATE_PER_S, self._rate_per_s)
        return applied if rate_per_s is None else min(rate_per_s, applied)

    def bound_concurrency(self, slots: int, service_time_s: float) -> int:
        """Returns the number of requests in progress at the limit.

        Args:
            slots: Requests that the upstream can run concurrently.
            service_time_s: Mean time that a request takes, in seconds.
        """
        if self._rate_per_s is None:
            return slots
        # Little's law; other nodes choose upstreams by this number.
        busy = math.ceil(self._rate_per_s * service_time_s)
        return min(slots, max(1, busy))

    def clear(self) -> None:
        """Ends the limit, because another upstream has taken over."""
        self._rate_per_s = None
