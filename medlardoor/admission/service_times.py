"""Recent service time of each kind."""

import dataclasses
import math

__all__ = ["ServiceTimes"]

# Time constant of the moving means. They cannot follow single values: with
# few requests a second, a fixed weight would remember a slow phase for long.
_MEMORY_S = 1.0

# Weight of one value at most, so that a mean always holds several.
_MAX_WEIGHT = 0.15

# Without completions the estimate halves in this time. A slow phase would
# otherwise leave an estimate above every deadline: nothing would start, and
# nothing would correct it.
_HALF_LIFE_S = 1.0


@dataclasses.dataclass(slots=True)
class _Estimate:
    mean_s: float
    updated_at: float


class ServiceTimes:
    """Moving means of the latency of completed requests."""

    def __init__(self):
        self._kinds: dict[str, _Estimate] = {}
        self._mean_s: float | None = None
        self._recorded_at = 0.0

    @property
    def mean_s(self) -> float | None:
        """Mean over all kinds, in seconds; None before any completion."""
        return self._mean_s

    def record(self, kind: str, latency_s: float, now: float) -> None:
        """Adds the latency of one completed request.

        Args:
            kind: Kind of the request.
            latency_s: Its latency, in seconds.
            now: Current time, in seconds.
        """
        if self._mean_s is None:
            self._mean_s = latency_s
            self._recorded_at = now
        weight = _weight(now - self._recorded_at)
        self._mean_s += (latency_s - self._mean_s) * weight
        self._recorded_at = now
        estimate = self._kinds.get(kind)
        if estimate is None:
            self._kinds[kind] = _Estimate(latency_s, now)
            return
        mean_s = self.expected(kind, now)
        weight = _weight(now - estimate.updated_at)
        estimate.mean_s = mean_s + (latency_s - mean_s) * weight
        estimate.updated_at = now

    def expected(self, kind: str, now: float) -> float:
        """Time that a run of a kind is expected to take, in seconds.

        Args:
            kind: Kind of the request.
            now: Current time, in seconds.
        """
        estimate = self._kinds.get(kind)
        if estimate is None:
            return 0.0
        idle_s = now - estimate.updated_at - _HALF_LIFE_S
        if idle_s <= 0:
            return estimate.mean_s
        return estimate.mean_s * 0.5 ** (idle_s / _HALF_LIFE_S)


def _weight(elapsed_s: float) -> float:
    return min(_MAX_WEIGHT, -math.expm1(-elapsed_s / _MEMORY_S))
