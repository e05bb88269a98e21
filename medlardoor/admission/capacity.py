"""Capacity of the local upstream and the queue length that keeps it busy."""

from medlardoor.admission import service_times

__all__ = ["Capacity"]

# Share of the allowed wait that the target queue may take. The rest absorbs
# bursts that are too short for the level to adapt to.
_TARGET_WAIT_SHARE = 0.2
_MAX_TARGET_WAIT_S = 0.1

# With long service times the target queue is the first share of the slots, as
# long as its wait is at most the second share of the wait that calls allow.
_TARGET_SLOTS_SHARE = 0.2
_MAX_TARGET_WAIT_SHARE = 0.5

# Weight of the latest interval in the mean completion rate.
_RATE_WEIGHT = 0.1

# With less than this share of the slots in use, the level is too high.
_IDLE_SLOTS_SHARE = 0.8

# The completion rate equals the capacity only after all slots have been in use
# for this many service times. Before, it reflects the rate of earlier starts.
_MIN_SATURATED_SERVICE_TIMES = 2.0


class Capacity:
    """Estimate of the rate at which the upstream can start calls.

    Args:
        times: Recent service times.
    """

    def __init__(self, times: service_times.ServiceTimes):
        self._service_times = times
        self._completions = 0
        self._limit = 0
        self._measured_rate: float | None = None
        self._saturated_since = 0.0

    def record_completion(self) -> None:
        """Counts one completed call."""
        self._completions += 1

    def update(
        self, limit: int, queued: int, elapsed_s: float, now: float
    ) -> None:
        """Ends an adaptation interval and updates the estimate.

        Args:
            limit: Concurrency limit in force.
            queued: Number of calls in the queue.
            elapsed_s: Length of the interval, in seconds.
            now: Current time, in seconds.
        """
        rate = self._completions / elapsed_s
        self._completions = 0
        self._limit = limit
        mean_s = self._service_times.mean_s
        if not queued or not mean_s:
            self._saturated_since = now
            self._measured_rate = None
            return
        if now - self._saturated_since < mean_s * _MIN_SATURATED_SERVICE_TIMES:
            return
        if self._measured_rate is None:
            self._measured_rate = limit / mean_s
        self._measured_rate += (rate - self._measured_rate) * _RATE_WEIGHT

    @property
    def rate(self) -> float | None:
        """Calls that can start per second; None before any completion."""
        if self._measured_rate is not None:
            return self._measured_rate
        mean_s = self._service_times.mean_s
        return self._limit / mean_s if mean_s else None

    def target_queue(self, rate: float, max_wait_s: float) -> float:
        """Queue length that bridges random gaps between arrivals.

        A share of the slots suffices for any service time. A queue sized for
        a short fixed wait would hold less than one call if the upstream is
        slow.

        Args:
            rate: Calls that can start per second.
            max_wait_s: Longest wait that calls allow, in seconds.
        """
        wait_s = min(_MAX_TARGET_WAIT_S, max_wait_s * _TARGET_WAIT_SHARE)
        slots_queue = self._limit * _TARGET_SLOTS_SHARE
        max_queue = rate * max_wait_s * _MAX_TARGET_WAIT_SHARE
        return max(rate * wait_s, min(slots_queue, max_queue))

    def is_idle(self, in_flight: int) -> bool:
        """Whether enough slots are free to admit more calls.

        Args:
            in_flight: Number of running calls.
        """
        return in_flight < self._limit * _IDLE_SLOTS_SHARE
