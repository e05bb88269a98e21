"""Limit on the request rate that an upstream names in its responses."""

__all__ = ["NamedLimit"]


class NamedLimit:
    """Requests per second that an upstream in need takes from all callers.

    The upstream names its limit in each response for as long as it holds.
    """

    def __init__(self):
        self._rate_per_s: float | None = None
        self._named_at = 0.0

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
            self._rate_per_s = rate_per_s
            self._named_at = now
        elif sent_at > self._named_at:
            self.clear()

    def clear(self) -> None:
        """Ends the limit, because another upstream has taken over."""
        self._rate_per_s = None
