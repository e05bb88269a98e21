"""Logging of the limits on concurrent call chains."""

import logbook

from medlardoor import logs

__all__ = ["ChainBoundLog"]

_LOG = logbook.Logger("chains")


class ChainBoundLog:
    """Logs when a limit on the chains of a rank is imposed and removed."""

    def __init__(self):
        self._bounds: dict[int, float] = {}

    def note(self, bounds: dict[int, float]) -> None:
        """Logs the changes since the last call.

        Args:
            bounds: Limit on the concurrent chains of each limited rank.
        """
        for rank in bounds.keys() - self._bounds.keys():
            logs.log_event(
                _LOG,
                logbook.INFO,
                "chains_bounded",
                rank=rank,
                most=round(bounds[rank], 1),
            )
        for rank in self._bounds.keys() - bounds.keys():
            logs.log_event(_LOG, logbook.INFO, "chains_unbounded", rank=rank)
        self._bounds = bounds
