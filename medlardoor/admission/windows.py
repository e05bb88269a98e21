"""Bound on the chains in progress, from the time that their calls wait.

A chain makes its calls one after the other, and the service that they go to may
be short of capacity. Each call is made only after the response to the previous
one, so the call rate at that service does not show how many chains are in
progress, and refusing a call wastes the work that was done before it. The node
at which chains start bounds their number instead: it admits more of them while
their calls wait less than the objective allows, and fewer once they wait
longer. Calls of a higher rank overtake the queue, so their chains hardly wait
and are not bounded.

References:
    Brakmo and Peterson, "TCP Vegas: End to End Congestion Avoidance on a
    Global Internet", 1995.
"""

__all__ = ["ChainWindow"]

# Share of the duration of a chain that its calls may always wait. A queue this
# short keeps the called service busy between two arrivals.
_MIN_WAIT_SHARE = 0.1

# Share of the slack of a chain that its calls may wait. The slack is the time
# that the chain can lose without missing its objective. With a larger share
# the queue is longer and serves more chains of short calls, but leaves less
# capacity to requests that enter behind them.
_SLACK_WAIT_SHARE = 0.15

# Growth of the bound within the duration of one chain: as a share of the bound
# while calls do not wait at all, and the minimum as a number of chains.
_MAX_GROWTH_SHARE = 0.25
_MIN_GROWTH_CHAINS = 0.5

# Least share of the bound that remains after one reduction.
_MIN_KEPT_SHARE = 0.5

# With one chain in progress, a node whose calls all wait can still observe when
# the waiting ends.
_MIN_SIZE_CHAINS = 1.0

# Weight of the latest chain in the mean duration.
_MEAN_DURATION_WEIGHT = 0.1


class ChainWindow:
    """Bound on the number of requests of one rank that are in progress.

    The bound is set when calls have waited too long, and removed once it has
    grown to the number of slots. It is adapted once in the mean duration of a
    chain, because the effect of the last change cannot be observed earlier.
    """

    def __init__(self):
        self._size: float | None = None
        self._in_progress = 0
        self._peak_in_progress = 0
        self._mean_s = 0.0
        self._ended_count = 0
        self._total_duration_s = 0.0
        self._total_wait_s = 0.0
        self._total_allowed_wait_s = 0.0
        self._adapted_at: float | None = None

    @property
    def size(self) -> float | None:
        """Maximum number of requests in progress; None if not bounded."""
        return self._size

    @property
    def mean_s(self) -> float:
        """Mean duration of a request, in seconds; 0 before the first ends."""
        return self._mean_s

    @property
    def is_open(self) -> bool:
        """Whether one more request may start."""
        return self._size is None or self._in_progress < self._size

    def expected_wait_s(self, ahead: int) -> float:
        """Expected wait for the window to open, in seconds.

        Args:
            ahead: Number of requests that wait ahead of the new one.
        """
        if self.is_open:
            return 0.0
        return (ahead + 1) * self._mean_s / self._size

    def record_start(self) -> None:
        """Records the start of a request."""
        self._in_progress += 1
        self._peak_in_progress = max(self._peak_in_progress, self._in_progress)

    def record_end(
        self,
        duration_s: float,
        wait_s: float,
        objective_s: float,
        slots: int,
        now: float,
    ) -> None:
        """Records the end of a request and adapts the bound when it is due.

        Args:
            duration_s: Duration of the request, in seconds.
            wait_s: Total wait of its calls, in seconds.
            objective_s: Time from its start to its objective, in seconds.
            slots: Number of requests that the upstream may run concurrently.
            now: Current time, in seconds.
        """
        self._in_progress -= 1
        if not self._mean_s:
            self._mean_s = duration_s
        self._mean_s += (duration_s - self._mean_s) * _MEAN_DURATION_WEIGHT
        if self._adapted_at is None:
            self._adapted_at = now - duration_s
        self._ended_count += 1
        self._total_duration_s += duration_s
        wait_s = min(wait_s, duration_s)
        self._total_wait_s += wait_s
        slack_s = objective_s - (duration_s - wait_s)
        self._total_allowed_wait_s += max(
            duration_s * _MIN_WAIT_SHARE, slack_s * _SLACK_WAIT_SHARE
        )
        if now - self._adapted_at >= self._total_duration_s / self._ended_count:
            self._adapt(slots)
            self._adapted_at = now

    def _adapt(self, slots: int) -> None:
        if self._total_wait_s > self._total_allowed_wait_s:
            self._reduce()
        elif self._size is not None:
            growth_share = _MAX_GROWTH_SHARE
            if self._total_allowed_wait_s:
                growth_share *= (
                    1.0 - self._total_wait_s / self._total_allowed_wait_s
                )
            self._size += max(_MIN_GROWTH_CHAINS, self._size * growth_share)
            if self._size >= slots:
                self._size = None
        self._ended_count = 0
        self._total_duration_s = 0.0
        self._total_wait_s = 0.0
        self._total_allowed_wait_s = 0.0
        self._peak_in_progress = self._in_progress

    def _reduce(self) -> None:
        """Lowers the bound, starting from the peak number in progress."""
        size = self._peak_in_progress + 1.0
        if self._size is not None:
            size = min(size, self._size)
        work_s = self._total_duration_s - self._total_wait_s
        kept_share = (
            work_s + self._total_allowed_wait_s
        ) / self._total_duration_s
        self._size = max(
            _MIN_SIZE_CHAINS, size * max(_MIN_KEPT_SHARE, kept_share)
        )
