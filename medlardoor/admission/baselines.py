"""Lowest latency of each kind over a sliding time."""

from collections import abc

from medlardoor.config import settings as settings_module

__all__ = ["LatencyBaselines"]

# Buckets of the sliding time; the oldest is dropped as a whole.
_BUCKETS = 6

# Completions that one mean is taken over. The lowest of many means of few
# values would be far below the typical latency.
_MEAN_OF = 100


class _KindBaseline:
    """Lowest mean latency of one kind."""

    def __init__(self):
        self._sum_s = 0.0
        self._count = 0
        self._lowest: list[float | None] = [None]
        self._bucket = 0

    def record(self, latency_s: float, bucket: int) -> None:
        """Adds one latency, in seconds, at the given bucket of time."""
        while self._bucket < bucket and len(self._lowest) <= _BUCKETS:
            self._lowest.append(None)
            self._bucket += 1
        self._bucket = bucket
        known = [v for v in self._lowest if v is not None]
        recent = self._lowest[-_BUCKETS:]
        if known and all(v is None for v in recent):
            # A kind that was not seen for long keeps its last value.
            recent[-1] = known[-1]
        self._lowest = recent
        self._sum_s += latency_s
        self._count += 1
        if self._count >= _MEAN_OF:
            self._close()

    @property
    def value_s(self) -> float:
        """Baseline in seconds; the mean so far until one mean is complete."""
        known = [v for v in self._lowest if v is not None]
        if known:
            return min(known)
        return self._sum_s / self._count if self._count else 0.0

    def _close(self) -> None:
        mean = self._sum_s / self._count
        last = self._lowest[-1]
        self._lowest[-1] = mean if last is None else min(last, mean)
        self._sum_s = 0.0
        self._count = 0


class LatencyBaselines:
    """Lowest mean latency of each kind within the baseline window.

    Args:
        settings: Settings of admission; `baseline_window_s` is used.
    """

    def __init__(self, settings: settings_module.AdmissionSettings):
        self._bucket_s = settings.baseline_window_s / _BUCKETS
        self._kinds: dict[str, _KindBaseline] = {}
        self._bucket = 0

    def record(
        self, kind: str, latency_s: float, now: float, congested: bool
    ) -> None:
        """Adds the latency of one request.

        Time passes for the window only while the upstream is not congested:
        in a long overload, the latency with queueing would otherwise become
        the baseline, and the limit would drift up.

        Args:
            kind: Kind of the request.
            latency_s: Its latency, in seconds.
            now: Current time, in seconds.
            congested: Whether the limit is in use or the latency is raised.
        """
        if not congested:
            self._bucket = max(self._bucket, int(now / self._bucket_s))
        baseline = self._kinds.get(kind)
        if baseline is None:
            baseline = self._kinds[kind] = _KindBaseline()
        baseline.record(latency_s, self._bucket)

    def ratio(self, samples: abc.Iterable[tuple[str, float]]) -> float:
        """Mean latency as a multiple of the baselines.

        Args:
            samples: Kind and latency, in seconds, of finished requests.

        Returns:
            The multiple; 1 if there is nothing to compare.
        """
        total_s = 0.0
        normal_s = 0.0
        for kind, latency_s in samples:
            total_s += latency_s
            normal_s += self._kinds[kind].value_s
        return total_s / normal_s if normal_s > 0 else 1.0
