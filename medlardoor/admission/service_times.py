"""Recent service time of each kind of request."""

import dataclasses
import math

__all__ = ["ServiceTimes"]

# Time constant of the moving means. With a fixed weight for each value, a slow
# phase would affect the mean for long when there are few requests per second.
_TIME_CONSTANT_S = 1.0

# Largest weight of one value, so that a mean always covers several values.
_MAX_VALUE_WEIGHT = 0.15

# Without completions the estimate halves in each such period. Otherwise a slow
# phase could leave an estimate above every deadline: no request would start, so
# no completion would correct the estimate.
_IDLE_HALF_LIFE_S = 1.0


@dataclasses.dataclass(slots=True)
class _Estimate:
    mean_s: float
    updated_at: float


class ServiceTimes:
    """Moving mean latency of completed requests, for each kind and overall."""

    def __init__(self):
        self._kinds: dict[str, _Estimate] = {}
        self._mean_s: float | None = None
        self._updated_at = 0.0

    @property
    def mean_s(self) -> float | None:
        """Mean over all kinds, in seconds; None before any completion."""
        return self._mean_s

    def record(self, kind: str, latency_s: float, now: float) -> None:
        """Records the latency of a completed request.

        Args:
            kind: Kind of the request.
            latency_s: Latency of the request, in seconds.
            now: Current time, in seconds.
        """
        if self._mean_s is None:
            self._mean_s = latency_s
            self._updated_at = now
        weight = _value_weight(now - self._updated_at)
        self._mean_s += (latency_s - self._mean_s) * weight
        self._updated_at = now
        estimate = self._kinds.get(kind)
        if estimate is None:
            self._kinds[kind] = _Estimate(latency_s, now)
            return
        mean_s = self.expected_s(kind, now)
        weight = _value_weight(now - estimate.updated_at)
        estimate.mean_s = mean_s + (latency_s - mean_s) * weight
        estimate.updated_at = now

    def expected_s(self, kind: str, now: float) -> float:
        """Expected service time of a kind, in seconds.

        Args:
            kind: Kind of the request.
            now: Current time, in seconds.

        Returns:
            The estimate; 0 if no request of the kind has completed.
        """
        estimate = self._kinds.get(kind)
        if estimate is None:
            return 0.0
        idle_s = now - estimate.updated_at - _IDLE_HALF_LIFE_S
        if idle_s <= 0:
            return estimate.mean_s
        return estimate.mean_s * 0.5 ** (idle_s / _IDLE_HALF_LIFE_S)


def _value_weight(elapsed_s: float) -> float:
    return min(_MAX_VALUE_WEIGHT, -math.expm1(-elapsed_s / _TIME_CONSTANT_S))
