"""Lowest mean latency of each kind over a sliding window."""

from collections import abc

from medlardoor.config import settings as settings_module

__all__ = ["LatencyBaselines"]

# Number of buckets in the sliding window; the oldest is dropped as a whole.
_BUCKET_COUNT = 6

# Number of completions in each mean. With few values in each of many means, the
# lowest mean would be far below the typical latency.
_COMPLETIONS_PER_MEAN = 100


class _KindBaseline:
    """Lowest mean latency of one kind of request."""

    def __init__(self):
        self._sum_s = 0.0
        self._count = 0
        self._lowest_by_bucket: list[float | None] = [None]
        self._bucket = 0

    def record(self, latency_s: float, bucket: int) -> None:
        """Records a latency, in seconds, in the bucket of the given number."""
        while (
            self._bucket < bucket
            and len(self._lowest_by_bucket) <= _BUCKET_COUNT
        ):
            self._lowest_by_bucket.append(None)
            self._bucket += 1
        self._bucket = bucket
        known = [v for v in self._lowest_by_bucket if v is not None]
        recent = self._lowest_by_bucket[-_BUCKET_COUNT:]
        if known and all(v is None for v in recent):
            # A kind without requests in the whole window keeps its last value.
            recent[-1] = known[-1]
        self._lowest_by_bucket = recent
        self._sum_s += latency_s
        self._count += 1
        if self._count >= _COMPLETIONS_PER_MEAN:
            self._complete_mean()

    @property
    def value_s(self) -> float:
        """Baseline in seconds; until one mean is complete, the mean so far."""
        known = [v for v in self._lowest_by_bucket if v is not None]
        if known:
            return min(known)
        return self._sum_s / self._count if self._count else 0.0

    def _complete_mean(self) -> None:
        mean = self._sum_s / self._count
        last = self._lowest_by_bucket[-1]
        self._lowest_by_bucket[-1] = mean if last is None else min(last, mean)
        self._sum_s = 0.0
        self._count = 0


class LatencyBaselines:
    """Lowest mean latency of each kind within the baseline window.

    Args:
        settings: Admission settings; `baseline_window_s` is used.
    """

    def __init__(self, settings: settings_module.AdmissionSettings):
        self._bucket_s = settings.baseline_window_s / _BUCKET_COUNT
        self._kinds: dict[str, _KindBaseline] = {}
        self._bucket = 0

    def record(
        self, kind: str, latency_s: float, now: float, is_congested: bool
    ) -> None:
        """Records the latency of a request.

        The window advances only while the upstream is not congested. In a long
        overload, the latency including queueing would otherwise become the
        baseline, and the limit would drift up.

        Args:
            kind: Kind of the request.
            latency_s: Latency of the request, in seconds.
            now: Current time, in seconds.
            is_congested: Whether the limit is in use or the latency is raised.
        """
        if not is_congested:
            self._bucket = max(self._bucket, int(now / self._bucket_s))
        baseline = self._kinds.get(kind)
        if baseline is None:
            baseline = self._kinds[kind] = _KindBaseline()
        baseline.record(latency_s, self._bucket)

    def ratio(self, samples: abc.Iterable[tuple[str, float]]) -> float:
        """Ratio of the latency of requests to the baselines of their kinds.

        Args:
            samples: Kind and latency, in seconds, of finished requests.

        Returns:
            The ratio; 1 without samples.
        """
        total_s = 0.0
        baseline_s = 0.0
        for kind, latency_s in samples:
            total_s += latency_s
            baseline_s += self._kinds[kind].value_s
        return total_s / baseline_s if baseline_s > 0 else 1.0
