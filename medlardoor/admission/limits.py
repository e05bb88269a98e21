"""Concurrency limit of the local upstream."""

import abc
import collections
import math

from medlardoor.admission import baselines, proven
from medlardoor.blackboard import board as board_module
from medlardoor.blackboard import topics
from medlardoor.config import policy as policy_module
from medlardoor.config import settings as settings_module

__all__ = ["REPORT_MAX_AGE_S", "AdaptiveLimit", "ConcurrencyLimit"]

# Reports older than this are not trusted (design, section 2.6).
REPORT_MAX_AGE_S = 2.0

# Least number of completions in a window. With fewer, the mean of service times
# whose standard deviation equals their mean is off by more than a quarter.
_MIN_WINDOW_COMPLETIONS = 20

# Number of latest completions that are compared. It bounds the time of a tick.
_MAX_WINDOW_SAMPLES = 500

# Least length of a window, as a multiple of the mean latency.
_MIN_WINDOW_LATENCIES = 2.0

# The limit grows while the mean latency is below this multiple of the
# baseline. Above it, requests queue inside the upstream, and more concurrency
# adds latency but no throughput.
_GROWTH_LATENCY_RATIO = 1.3

# The limit counts as in use if the concurrency in the window reached this share
# of it.
_IN_USE_LIMIT_SHARE = 0.9

# Headroom above the concurrency that the upstream sustains without queueing.
_HEADROOM_FACTOR = 1.1

# Margin above the proven concurrency, as a multiple of its square root. The
# proven concurrency is a mean, and with random arrivals the concurrency varies
# by about the square root of the mean, so the peaks in the same windows were
# about this far above it.
_PROVEN_MARGIN_FACTOR = 1.5


class ConcurrencyLimit(abc.ABC):
    """Limit on the number of concurrent requests of the local upstream."""

    @abc.abstractmethod
    def limit(self, now: float) -> int:
        """Current limit.

        Args:
            now: Current time, in seconds.
        """

    @abc.abstractmethod
    def record_start(self, in_flight: int, now: float) -> None:
        """Records the concurrency after the start of a request."""

    @abc.abstractmethod
    def record_end(
        self,
        kind: str,
        latency_s: float,
        is_answered: bool,
        shed: bool,
        now: float,
    ) -> None:
        """Records the end of a request.

        Args:
            kind: Kind of the request.
            latency_s: Time on the upstream without the time in outgoing
                calls, in seconds.
            is_answered: Whether the upstream responded.
            shed: Whether the upstream refused it because of its load.
            now: Current time, in seconds.
        """

    @abc.abstractmethod
    def tick(self, now: float) -> None:
        """Adapts the limit; called in each adaptation interval."""

    @abc.abstractmethod
    def restart(self, now: float) -> None:
        """Starts the ramp-up of a restarted upstream."""

    @abc.abstractmethod
    def warmth_percent(self, now: float) -> int:
        """Progress of the ramp-up in percent; 100 when it is complete."""


class AdaptiveLimit(ConcurrencyLimit):
    """The lower of the reported slots and a limit derived from latency.

    The latency of each kind is compared with the baseline of this kind, so
    that a change in the mix of kinds does not look like overload. High latency
    has two causes that require opposite reactions. If requests queue inside
    the upstream, the limit has to fall. If the upstream itself is slow, a lower
    limit would only reduce throughput. The proven concurrency, the highest
    without queueing within the baseline window, distinguishes them: a limit
    above it is lowered towards it, and latency that stays high there is
    attributed to the upstream itself. Such latency then counts as normal until
    it falls.

    Args:
        settings: Admission settings.
        board: Blackboard; `load` and `policy` are read.
    """

    def __init__(
        self,
        settings: settings_module.AdmissionSettings,
        board: board_module.Blackboard,
    ):
        self._settings = settings
        self._board = board
        self._adaptive_limit = math.inf
        self._baselines = baselines.LatencyBaselines(settings)
        self._accepted_slowdown = 1.0
        self._limit_before_lowering: float | None = None
        self._is_congested = False
        self._proven = proven.ProvenConcurrency(settings)
        self._restarted_at = -math.inf
        self._probe_succeeded_at = -math.inf
        self._start_window(-math.inf)

    def limit(self, now: float) -> int:
        """Current limit; at least the `min_limit` of the settings.

        Args:
            now: Current time, in seconds.
        """
        floor = self._settings.min_limit
        limit = min(self._adaptive_limit, self._slot_count())
        limit *= self.warmth_percent(now) / 100.0
        if self._is_unconfirmed(now):
            limit *= self._settings.stale_share
        return max(floor, int(limit))

    def record_start(self, in_flight: int, now: float) -> None:
        """Records the concurrency after the start of a request."""
        self._peak_in_flight = max(self._peak_in_flight, in_flight)

    def record_end(
        self,
        kind: str,
        latency_s: float,
        is_answered: bool,
        shed: bool,
        now: float,
    ) -> None:
        """Records the end of a request; see `ConcurrencyLimit`."""
        if shed:
            self._has_shed = True
            return
        if not is_answered:
            return
        began_at = now - latency_s
        if self._is_report_old(began_at) or latency_s <= REPORT_MAX_AGE_S:
            # Successful probe (design, section 2.6): a fast response, or one
            # to a request that was sent when the report was already too old.
            # A slower response may have waited while this node was paused.
            self._probe_succeeded_at = now
        self._baselines.record(kind, latency_s, now, self._is_congested)
        self._total_latency_s += latency_s
        self._completions += 1
        if began_at >= self._window_began_at:
            self._samples.append((kind, latency_s))

    def tick(self, now: float) -> None:
        """Lowers the limit after a shed request or adapts it to the latency.

        It is adapted once the window holds enough completions.
        """
        if math.isinf(self._adaptive_limit):
            self._adaptive_limit = self._slot_count()
        if self._has_shed:
            self._lower_after_shed()
            self._start_window(now)
            return
        if len(self._samples) < _MIN_WINDOW_COMPLETIONS:
            return
        ratio = self._baselines.ratio(self._samples) / self._accepted_slowdown
        if not self._is_conclusive(ratio, now):
            return
        if self.warmth_percent(now) == 100:
            self._adapt(ratio, now)
        self._start_window(now)

    def restart(self, now: float) -> None:
        """Starts the ramp-up of a restarted upstream."""
        self._restarted_at = now
        self._limit_before_lowering = None
        self._start_window(now)

    def warmth_percent(self, now: float) -> int:
        """Progress of the ramp-up in percent; 100 when it is complete."""
        age = now - self._restarted_at
        ramp_s = self._policy().ramp_s
        if age >= ramp_s:
            return 100
        cold = self._settings.cold_share
        # Upstreams warm up by executing requests. A linear ramp would start
        # with few requests and delay the warm-up, so the ramp is steeper at
        # first.
        share = cold + (1.0 - cold) * math.sqrt(max(0.0, age) / ramp_s)
        return int(100 * share)

    def _adapt(self, ratio: float, now: float) -> None:
        if ratio < 1.0:
            # The upstream is faster than the latency accepted as normal.
            self._accepted_slowdown = max(1.0, self._accepted_slowdown * ratio)
        in_use = self._peak_in_flight >= self.limit(now) * _IN_USE_LIMIT_SHARE
        self._is_congested = in_use or ratio >= _GROWTH_LATENCY_RATIO
        if ratio < _GROWTH_LATENCY_RATIO:
            sustained = self._completed_concurrency(now) / max(1.0, ratio)
            self._proven.record(sustained, now)
            self._limit_before_lowering = None
            if in_use:
                self._raise_limit()
            return
        is_high = ratio > self._settings.latency_factor
        proven_concurrency = self._proven.highest
        margin = _PROVEN_MARGIN_FACTOR * math.sqrt(proven_concurrency)
        bound = (proven_concurrency + margin) * _HEADROOM_FACTOR
        # While the limit is not in use and few requests run concurrently, a
        # ratio of 1.3 is within the noise of service times.
        if self._peak_in_flight > bound + 1 and (in_use or is_high):
            self._lower_towards(ratio, bound)
        elif is_high:
            self._accept_slowdown(ratio)

    def _is_conclusive(self, ratio: float, now: float) -> bool:
        """Whether the latency ratio of the window is reliable.

        Only requests that both begin and end in the window are compared. In a
        window as short as one latency these are the fast requests, so a low
        ratio is not reliable, while the true value of a high ratio is even
        higher.
        """
        if ratio > self._settings.latency_factor:
            return True
        mean_s = self._total_latency_s / self._completions
        return now - self._window_began_at >= _MIN_WINDOW_LATENCIES * mean_s

    def _completed_concurrency(self, now: float) -> float:
        """Mean concurrency of the requests completed in the window.

        The current concurrency is not used: while the load rises, requests
        that queue inside the upstream have not contributed their latency yet.
        Requests that began before the window are not counted, and those that
        began within the last mean latency have not ended, so the mean latency
        is subtracted from the length of the window.
        """
        total_latency_s = sum(latency_s for _, latency_s in self._samples)
        mean_s = total_latency_s / len(self._samples)
        elapsed_s = max(mean_s, now - self._window_began_at - mean_s)
        return min(float(self._peak_in_flight), total_latency_s / elapsed_s)

    def _raise_limit(self) -> None:
        raised = self._adaptive_limit + max(
            1.0, math.sqrt(self._adaptive_limit)
        )
        # The limit in force never exceeds the reported slots, so the upstream's
        # behaviour with more requests cannot be observed.
        bound = max(self._adaptive_limit, self._slot_count())
        self._adaptive_limit = min(raised, bound)

    def _lower_towards(self, ratio: float, bound: float) -> None:
        # By Little's law, 1 / ratio of the concurrency is work and the rest is
        # queueing.
        executing = self._peak_in_flight / ratio * _HEADROOM_FACTOR
        if self._limit_before_lowering is None:
            self._limit_before_lowering = self._adaptive_limit
        floor = max(executing, bound, float(self._settings.min_limit))
        self._adaptive_limit = min(self._adaptive_limit, floor)

    def _accept_slowdown(self, ratio: float) -> None:
        self._accepted_slowdown *= ratio
        if self._limit_before_lowering is not None:
            self._adaptive_limit = max(
                self._adaptive_limit, self._limit_before_lowering
            )
            self._limit_before_lowering = None

    def _lower_after_shed(self) -> None:
        reached = min(self._adaptive_limit, self._slot_count())
        if self._peak_in_flight:
            reached = min(reached, self._peak_in_flight)
        floor = self._settings.min_limit
        lowered = reached * self._settings.shrink_factor
        self._adaptive_limit = max(float(floor), lowered)

    def _start_window(self, now: float) -> None:
        # Requests that began before the last change show the effect of the
        # previous limit, so the new window does not count them.
        self._window_began_at = now
        self._samples: collections.deque = collections.deque(
            maxlen=_MAX_WINDOW_SAMPLES
        )
        self._peak_in_flight = 0
        self._total_latency_s = 0.0
        self._completions = 0
        self._has_shed = False

    def _policy(self) -> policy_module.ServicePolicy:
        policy = self._board.policy.policy
        if policy is None:
            return policy_module.ServicePolicy()
        return policy.service(self._board.service)

    def _slot_count(self) -> float:
        """Reported slots, or the slots of the policy if none are reported."""
        reported = self._board.load.reported_slots
        if reported is None:
            return float(self._policy().slots)
        return float(max(reported, 0))

    def _is_report_old(self, at: float) -> bool:
        report_at = self._board.load.report_at
        return report_at is not None and at - report_at > REPORT_MAX_AGE_S

    def _is_unconfirmed(self, now: float) -> bool:
        """Whether the upstream is down, or its report and probe are too old.

        Without any report, the upstream is only unconfirmed while it is down.
        """
        if self._board.load.upstream_state is topics.UpstreamState.DOWN:
            return True
        if not self._is_report_old(now):
            return False
        return now - self._probe_succeeded_at > REPORT_MAX_AGE_S
