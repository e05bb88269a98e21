"""Log of the bounds on chains in progress."""

import logbook

from medlardoor import logs

__all__ = ["ChainBoundLog"]

_LOG = logbook.Logger("chains")


class ChainBoundLog:
    """Logs when chains of a rank begin to be bounded and when that ends."""

    def __init__(self):
        self._bounds: dict[int, float] = {}

    def note(self, bounds: dict[int, float]) -> None:
        """Compares the bounds in force with the former ones.

        Args:
            bounds: Chains that may be in progress, by rank.
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
