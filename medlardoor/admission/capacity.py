"""Capacity of the local upstream and the queue that keeps it busy."""

from medlardoor.admission import service_times

__all__ = ["Capacity"]

# Part of the allowed wait that the queue is kept below. The rest absorbs
# bursts shorter than the adaptation of the level.
_TARGET_SHARE = 0.2
_MAX_TARGET_WAIT_S = 0.1

# Share of the slots, and of the longest wait, that the queue may reach when
# the service time is long.
_TARGET_SLOTS_SHARE = 0.2
_LONGEST_SHARE = 0.5

# Weight of the newest interval in the mean rate of completions.
_RATE_WEIGHT = 0.1

# Below this share of the slots in use, the level is too high.
_IDLE_SHARE = 0.8

# The rate of completions is the capacity only after all slots have been in
# use for this many service times; before, it is the rate of earlier starts.
_SATURATED_TIMES = 2.0


class Capacity:
    """Rate at which the upstream can start calls.

    Args:
        times: Recent service times.
    """

    def __init__(self, times: service_times.ServiceTimes):
        self._times = times
        self._completions = 0
        self._limit = 0
        self._measured: float | None = None
        self._saturated_at = 0.0

    def completed(self) -> None:
        """Counts one completed call."""
        self._completions += 1

    def update(
        self, limit: int, queued: int, elapsed_s: float, now: float
    ) -> None:
        """Closes one adaptation interval.

        Args:
            limit: Concurrency limit in force.
            queued: Calls that wait.
            elapsed_s: Length of the interval, in seconds.
            now: Current time, in seconds.
        """
        rate = self._completions / elapsed_s
        self._completions = 0
        self._limit = limit
        mean_s = self._times.mean_s
        if not queued or not mean_s:
            self._saturated_at = now
            self._measured = None
            return
        if now - self._saturated_at < mean_s * _SATURATED_TIMES:
            return
        if self._measured is None:
            self._measured = limit / mean_s
        self._measured += (rate - self._measured) * _RATE_WEIGHT

    @property
    def rate(self) -> float | None:
        """Calls that can start in a second; None if it is not known yet."""
        if self._measured is not None:
            return self._measured
        mean_s = self._times.mean_s
        return self._limit / mean_s if mean_s else None

    def target_queue(self, max_wait_s: float) -> float:
        """Queue length that bridges random gaps between arrivals.

        A share of the slots does that whatever the service time is; a short
        fixed wait would be less than one call if the upstream is slow.

        Args:
            max_wait_s: Longest wait that calls allow, in seconds.
        """
        rate = self.rate or 0.0
        wait_s = min(_MAX_TARGET_WAIT_S, max_wait_s * _TARGET_SHARE)
        bridging = self._limit * _TARGET_SLOTS_SHARE
        longest = rate * max_wait_s * _LONGEST_SHARE
        return max(rate * wait_s, min(bridging, longest))

    def is_idle(self, in_flight: int) -> bool:
        """Whether a good part of the slots is free.

        Args:
            in_flight: Calls that run.
        """
        return in_flight < self._limit * _IDLE_SHARE
