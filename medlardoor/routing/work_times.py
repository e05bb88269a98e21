"""Work time of each service, at the usual speed of its upstreams."""

import dataclasses
import math

__all__ = ["WorkTimes"]

# Services that are remembered; the least recently used one is dropped. A fleet
# has some hundred services, and a node calls a few of them.
MAX_SERVICES = 1_024

# Upstreams of a service that are remembered; likewise.
MAX_UPSTREAMS = 256

# Weight of the latest response in the average of an upstream.
SMOOTHING_FACTOR = 0.1

# An upstream without a response for this time no longer counts, in seconds: it
# may be gone, and the work of the service may have changed.
MAX_AGE_S = 60.0

# The time of a service is recomputed after this time, in seconds.
REFRESH_INTERVAL_S = 0.1


@dataclasses.dataclass(slots=True)
class _Upstream:
    """Moving average of an upstream.

    Attributes:
        usual_s: Work time at the usual speed, in seconds.
        updated_at: Time of the last response, in seconds.
    """

    usual_s: float
    updated_at: float


class _Service:
    """Median of the averages of the upstreams of a service.

    An upstream that reports a wrong speed has a wrong average. It would raise
    or lower a mean for all upstreams of the service, but not the median.
    """

    def __init__(self):
        self.usual_s = 0.0
        self._refreshed_at = -math.inf
        self._upstreams: dict[str, _Upstream] = {}

    def record(self, instance: str, usual_s: float, now: float) -> None:
        upstream = self._upstreams.pop(instance, None)
        if upstream is None:
            upstream = _Upstream(usual_s, now)
        # The least recently used upstream is the first one.
        self._upstreams[instance] = upstream
        if len(self._upstreams) > MAX_UPSTREAMS:
            del self._upstreams[next(iter(self._upstreams))]
        upstream.usual_s += SMOOTHING_FACTOR * (usual_s - upstream.usual_s)
        upstream.updated_at = now
        if now - self._refreshed_at >= REFRESH_INTERVAL_S:
            self._refresh(now)

    def _refresh(self, now: float) -> None:
        self._refreshed_at = now
        times = sorted(
            upstream.usual_s
            for upstream in self._upstreams.values()
            if now - upstream.updated_at < MAX_AGE_S
        )
        self.usual_s = times[(len(times) - 1) // 2]


class WorkTimes:
    """Work times by service, as this node has observed them."""

    def __init__(self):
        self._services: dict[str, _Service] = {}

    def record(
        self, service: str, instance: str, usual_s: float, now: float
    ) -> None:
        """Records a response.

        Args:
            service: Name of the service.
            instance: Name of the instance of the upstream.
            usual_s: Time from sending to the response, divided by the
                processing time as a multiple of the usual, in seconds.
            now: Current time, in seconds.
        """
        times = self._services.pop(service, None) or _Service()
        self._services[service] = times
        if len(self._services) > MAX_SERVICES:
            del self._services[next(iter(self._services))]
        times.record(instance, usual_s, now)

    def usual_s(self, service: str) -> float:
        """Returns the work time of a service; 0 without responses.

        Args:
            service: Name of the service.
        """
        times = self._services.get(service)
        return 0.0 if times is None else times.usual_s
