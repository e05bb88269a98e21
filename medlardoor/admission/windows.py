"""Number of chains that a node has in progress, by how long their calls wait.

The load that this answers: requests whose runs make calls, one after the other,
to a service that is short of room. Each call comes only after the former one
was answered, so the rate of calls there does not show how many chains are in
progress, and refusing a call loses the work that was done before. The node at
which a chain starts bounds their number instead: it lets more of them start
while their calls wait less than their objective allows, and fewer when the
waiting shows that there are too many. Calls of a higher rank pass the queue, so
their chains hardly wait and are not bounded.

References:
    Brakmo and Peterson, "TCP Vegas: End to End Congestion Avoidance on a
    Global Internet", 1995.
"""

__all__ = ["ChainWindow"]

# Share of the time of a chain that its calls may wait in any case. So short a
# queue keeps the called service busy between two arrivals.
_WAIT_SHARE = 0.1

# Share of the time that a chain could lose without missing its objective, that
# its calls may wait. The longer queue of a larger share serves more chains of
# short calls, but leaves less room to requests that enter behind them.
_SLACK_SHARE = 0.15

# Growth in the time of one chain while its calls do not wait at all.
_GROWTH = 0.25
_LEAST_GROWTH = 0.5

# Largest cut in the time of one chain.
_MOST_CUT = 0.5

# A node whose calls all wait still sees with one chain when that ends.
_LEAST_SIZE = 1.0

# Weight of the newest chain in the mean time.
_MEAN_WEIGHT = 0.1


class ChainWindow:
    """Bound on the requests of one rank that are in progress.

    There is no bound before calls have waited for long, and none again once it
    has grown to all slots. It is adapted once in the time that a chain takes:
    earlier, the effect of the last change is not seen.
    """

    def __init__(self):
        self._size: float | None = None
        self._running = 0
        self._peak = 0
        self._mean_s = 0.0
        self._ended = 0
        self._time_s = 0.0
        self._waited_s = 0.0
        self._allowed_s = 0.0
        self._adapted_at: float | None = None

    @property
    def size(self) -> float | None:
        """Requests that may be in progress; None without a bound."""
        return self._size

    @property
    def mean_s(self) -> float:
        """Mean time of a request, in seconds; 0 before the first one."""
        return self._mean_s

    @property
    def is_open(self) -> bool:
        """Whether one more request may start."""
        return self._size is None or self._running < self._size

    def expected_wait(self, ahead: int) -> float:
        """Expected wait for the window to open, in seconds.

        Args:
            ahead: Requests that wait before.
        """
        if self.is_open:
            return 0.0
        return (ahead + 1) * self._mean_s / self._size

    def started(self) -> None:
        """Notes that a request has started."""
        self._running += 1
        self._peak = max(self._peak, self._running)

    def ended(
        self,
        time_s: float,
        waited_s: float,
        goal_s: float,
        slots: int,
        now: float,
    ) -> None:
        """Notes that a request has ended.

        Args:
            time_s: How long it took, in seconds.
            waited_s: How long its calls have waited, in seconds.
            goal_s: Time from its start to its objective, in seconds.
            slots: Requests that the upstream runs at the same time.
            now: Current time, in seconds.
        """
        self._running -= 1
        if not self._mean_s:
            self._mean_s = time_s
        self._mean_s += (time_s - self._mean_s) * _MEAN_WEIGHT
        if self._adapted_at is None:
            self._adapted_at = now - time_s
        self._ended += 1
        self._time_s += time_s
        waited_s = min(waited_s, time_s)
        self._waited_s += waited_s
        slack_s = goal_s - (time_s - waited_s)
        self._allowed_s += max(time_s * _WAIT_SHARE, slack_s * _SLACK_SHARE)
        if now - self._adapted_at >= self._time_s / self._ended:
            self._adapt(slots)
            self._adapted_at = now

    def _adapt(self, slots: int) -> None:
        if self._waited_s > self._allowed_s:
            self._cut()
        elif self._size is not None:
            growth = _GROWTH
            if self._allowed_s:
                growth *= 1.0 - self._waited_s / self._allowed_s
            self._size += max(_LEAST_GROWTH, self._size * growth)
            if self._size >= slots:
                self._size = None
        self._ended = 0
        self._time_s = 0.0
        self._waited_s = 0.0
        self._allowed_s = 0.0
        self._peak = self._running

    def _cut(self) -> None:
        """Lowers the bound from what was in progress."""
        size = self._peak + 1.0
        if self._size is not None:
            size = min(size, self._size)
        work_s = self._time_s - self._waited_s
        kept = (work_s + self._allowed_s) / self._time_s
        self._size = max(_LEAST_SIZE, size * max(_MOST_CUT, kept))
