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

# Completions in one window at least. With fewer, the mean of service times
# that vary as much as their mean is off by more than a quarter.
_MIN_SAMPLES = 20

# Newest completions that are compared, which bounds the time of one tick.
_MAX_SAMPLES = 500

# Length of a window at least, as a multiple of the mean latency.
_MIN_LATENCIES = 2.0

# The limit grows while the mean latency is below this multiple of the
# baseline. Above it the upstream queues by itself, and more concurrency adds
# latency but no throughput.
_GROWTH_RATIO = 1.3

# A limit counts as in use when this share of it was reached in the window.
_IN_USE_SHARE = 0.9

# Room above the work that the upstream does at a time.
_HEADROOM = 1.1

# Room above the proven concurrency, as a multiple of its square root. The
# proven value is a mean, and random arrivals vary by about its root: so many
# requests were running in the same windows at times.
_PROVEN_SPREAD = 1.5


class ConcurrencyLimit(abc.ABC):
    """How many requests may run on the local upstream at a time."""

    @abc.abstractmethod
    def limit(self, now: float) -> int:
        """Current limit.

        Args:
            now: Current time, in seconds.
        """

    @abc.abstractmethod
    def started(self, in_flight: int, now: float) -> None:
        """Notes the concurrency after a request was started."""

    @abc.abstractmethod
    def finished(
        self, kind: str, latency_s: float, ok: bool, shed: bool, now: float
    ) -> None:
        """Notes the end of one request.

        Args:
            kind: Kind of the request.
            latency_s: Time on the upstream without the time in outgoing
                calls, in seconds.
            ok: Whether the upstream answered.
            shed: Whether the upstream refused it because of its load.
            now: Current time, in seconds.
        """

    @abc.abstractmethod
    def tick(self, now: float) -> None:
        """Adapts the limit; called in each adaptation interval."""

    @abc.abstractmethod
    def restart(self, now: float) -> None:
        """Begins the cold ramp of a restarted upstream."""

    @abc.abstractmethod
    def warmth_percent(self, now: float) -> int:
        """100 when the upstream is fully ramped up."""


class AdaptiveLimit(ConcurrencyLimit):
    """Lower of the reported slots and a limit from latency.

    The latency of each kind is compared with the lowest that this kind had,
    so that a change in the mix of kinds does not look like overload. High
    latency has two causes that call for opposite reactions. If the upstream
    queues by itself, the limit has to fall; if it is slow by itself, a lower
    limit would only lose throughput. The concurrency that was seen without
    queueing within the baseline window tells them apart: a limit above it is
    lowered towards it, and latency that stays high there is the upstream's
    own. It then counts as normal until it falls.

    Args:
        settings: Settings of admission.
        board: Blackboard; `load` and `policy` are read.
    """

    def __init__(
        self,
        settings: settings_module.AdmissionSettings,
        board: board_module.Blackboard,
    ):
        self._settings = settings
        self._board = board
        self._adaptive = math.inf
        self._baselines = baselines.LatencyBaselines(settings)
        self._slowdown = 1.0
        self._restore: float | None = None
        self._congested = False
        self._proven = proven.ProvenConcurrency(settings)
        self._restarted_at = -math.inf
        self._proven_at = -math.inf
        self._open_window(-math.inf)

    def limit(self, now: float) -> int:
        """Current limit; at least the `min_limit` of the settings.

        Args:
            now: Current time, in seconds.
        """
        floor = self._settings.min_limit
        full = min(self._adaptive, self._ceiling())
        full *= self.warmth_percent(now) / 100.0
        if self._is_stale(now):
            full *= self._settings.stale_share
        return max(floor, int(full))

    def started(self, in_flight: int, now: float) -> None:
        """Notes the concurrency after a request was started."""
        self._peak = max(self._peak, in_flight)

    def finished(
        self, kind: str, latency_s: float, ok: bool, shed: bool, now: float
    ) -> None:
        """Notes the end of one request; see `ConcurrencyLimit`."""
        if shed:
            self._shed = True
            return
        if not ok:
            return
        began_at = now - latency_s
        if self._report_is_old(began_at) or latency_s <= REPORT_MAX_AGE_S:
            # A quick answer, or one to a request that was dispatched on
            # distrust, is the successful probe that section 2.6 asks for. An
            # answer that took longer may have waited while this node paused.
            self._proven_at = now
        self._baselines.record(kind, latency_s, now, self._congested)
        self._held_s += latency_s
        self._ended += 1
        if began_at >= self._window_at:
            self._samples.append((kind, latency_s))

    def tick(self, now: float) -> None:
        """Closes the window when it holds enough requests, and adapts."""
        if math.isinf(self._adaptive):
            self._adaptive = self._ceiling()
        if self._shed:
            self._shrink()
            self._open_window(now)
            return
        if len(self._samples) < _MIN_SAMPLES:
            return
        ratio = self._baselines.ratio(self._samples) / self._slowdown
        if not self._is_conclusive(ratio, now):
            return
        if self.warmth_percent(now) == 100:
            self._adapt(ratio, now)
        self._open_window(now)

    def restart(self, now: float) -> None:
        """Begins the cold ramp of a restarted upstream."""
        self._restarted_at = now
        self._restore = None
        self._open_window(now)

    def warmth_percent(self, now: float) -> int:
        """100 when the upstream is fully ramped up."""
        age = now - self._restarted_at
        ramp_s = self._policy().ramp_s
        if age >= ramp_s:
            return 100
        cold = self._settings.cold_share
        # Upstreams warm up with the requests that they run, so the ramp is
        # steeper at first, when few of them would hold a linear ramp back.
        share = cold + (1.0 - cold) * math.sqrt(max(0.0, age) / ramp_s)
        return int(100 * share)

    def _adapt(self, ratio: float, now: float) -> None:
        if ratio < 1.0:
            # The upstream is faster again than what was taken as normal.
            self._slowdown = max(1.0, self._slowdown * ratio)
        in_use = self._peak >= self.limit(now) * _IN_USE_SHARE
        self._congested = in_use or ratio >= _GROWTH_RATIO
        if ratio < _GROWTH_RATIO:
            worked = self._completed_concurrency(now) / max(1.0, ratio)
            self._proven.record(worked, now)
            self._restore = None
            if in_use:
                self._grow()
            return
        is_high = ratio > self._settings.latency_factor
        proven_mean = self._proven.highest
        spread = _PROVEN_SPREAD * math.sqrt(proven_mean)
        bound = (proven_mean + spread) * _HEADROOM
        # Below the limit, with few requests at a time, a ratio of 1.3 is
        # within the noise of service times.
        if self._peak > bound + 1 and (in_use or is_high):
            self._lower(ratio, bound)
        elif is_high:
            self._accept_slowness(ratio)

    def _is_conclusive(self, ratio: float, now: float) -> bool:
        """Whether the window can be judged.

        Only requests that both begin and end in the window are compared. In
        a window as short as one latency these are the fast ones: a low ratio
        means nothing yet, while a high one is even higher in truth.
        """
        if ratio > self._settings.latency_factor:
            return True
        mean_s = self._held_s / self._ended
        return now - self._window_at >= _MIN_LATENCIES * mean_s

    def _completed_concurrency(self, now: float) -> float:
        """Mean concurrency of the requests of the window.

        The present concurrency proves nothing: while the load rises, the
        requests that wait in the upstream have not shown their latency yet.
        Requests from before the window do not count, and those that began
        within the last latency have not ended, so the window is shorter for
        this purpose.
        """
        held_s = sum(latency_s for _, latency_s in self._samples)
        mean_s = held_s / len(self._samples)
        elapsed_s = max(mean_s, now - self._window_at - mean_s)
        return min(float(self._peak), held_s / elapsed_s)

    def _grow(self) -> None:
        grown = self._adaptive + max(1.0, math.sqrt(self._adaptive))
        # Beyond the reported slots nothing can be learned about the upstream.
        bound = max(self._adaptive, self._ceiling())
        self._adaptive = min(grown, bound)

    def _lower(self, ratio: float, bound: float) -> None:
        # Little's law: of the concurrency, one part in `ratio` is work and
        # the rest is queueing.
        busy = self._peak / ratio * _HEADROOM
        if self._restore is None:
            self._restore = self._adaptive
        floor = max(busy, bound, float(self._settings.min_limit))
        self._adaptive = min(self._adaptive, floor)

    def _accept_slowness(self, ratio: float) -> None:
        self._slowdown *= ratio
        if self._restore is not None:
            self._adaptive = max(self._adaptive, self._restore)
            self._restore = None

    def _shrink(self) -> None:
        reached = min(self._adaptive, self._ceiling())
        if self._peak:
            reached = min(reached, self._peak)
        floor = self._settings.min_limit
        shrunk = reached * self._settings.shrink_factor
        self._adaptive = max(float(floor), shrunk)

    def _open_window(self, now: float) -> None:
        # Requests that began before the last change still show its effect
        # and are not counted in the new window.
        self._window_at = now
        self._samples: collections.deque = collections.deque(
            maxlen=_MAX_SAMPLES
        )
        self._peak = 0
        self._held_s = 0.0
        self._ended = 0
        self._shed = False

    def _policy(self) -> policy_module.ServicePolicy:
        policy = self._board.policy.policy
        if policy is None:
            return policy_module.ServicePolicy()
        return policy.service(self._board.service)

    def _ceiling(self) -> float:
        reported = self._board.load.reported_slots
        if reported is None:
            return float(self._policy().slots)
        return float(max(reported, 0))

    def _report_is_old(self, at: float) -> bool:
        report_at = self._board.load.report_at
        return report_at is not None and at - report_at > REPORT_MAX_AGE_S

    def _is_stale(self, now: float) -> bool:
        if self._board.load.upstream_state is topics.UpstreamState.DOWN:
            return True
        if not self._report_is_old(now):
            return False
        return now - self._proven_at > REPORT_MAX_AGE_S
