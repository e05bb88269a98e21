"""Logging of the limit that the local upstream names."""

import logbook

from medlardoor import logs

__all__ = ["LimitLog"]

_LOG = logbook.Logger("upstream")

# Relative change of the limit from which on it is logged again.
MIN_LOGGED_CHANGE = 0.2


class LimitLog:
    """Logs when a limit begins, ends or changes considerably."""

    def __init__(self):
        self._rate_per_s: float | None = None

    def note(self, upstream_id: str, rate_per_s: float | None) -> None:
        """Logs the change since the last call.

        Args:
            upstream_id: Identifier of the upstream.
            rate_per_s: Its limit, in requests per second; None without one.
        """
        last = self._rate_per_s
        if rate_per_s is None:
            if last is not None:
                self._rate_per_s = None
                logs.log_event(
                    _LOG,
                    logbook.WARNING,
                    "upstream_limit_ended",
                    upstream_id=upstream_id,
                )
            return
        if last is None or abs(rate_per_s - last) > MIN_LOGGED_CHANGE * last:
            self._rate_per_s = rate_per_s
            logs.log_event(
                _LOG,
                logbook.WARNING,
                "upstream_limit_named",
                upstream_id=upstream_id,
                rate_per_s=round(rate_per_s, 2),
            )
