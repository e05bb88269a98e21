"""Concurrency limit of the local upstream."""

import abc
import collections
import math

from medlardoor.admission import baselines
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

# The limit grows while the mean latency is below this multiple of the
# baseline. Above it the upstream queues by itself, and more concurrency adds
# latency but no throughput.
_GROWTH_RATIO = 1.3

# A limit counts as in use when this share of it was reached in the window.
_IN_USE_SHARE = 0.9

# Part of the limit that is taken away before the effect is judged, and the
# fall of the latency ratio that shows that the upstream was queueing. If
# queueing causes the latency, both fall by the same share.
_PROBE_SHARE = 0.75
_PROBE_RATIO = 0.87


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
            latency_s: Time from start to end, in seconds.
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
    so that a change in the mix of kinds does not look like overload. When the
    latency stays high although the limit was lowered, the upstream is slow by
    itself: the limit is restored and the higher latency becomes the normal
    one until it falls.

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
        self._probe: tuple[float, float] | None = None
        self._restarted_at = -math.inf
        self._proven_at = -math.inf
        self._in_flight = 0
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
        self._in_flight = in_flight
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
        if self._report_is_old(began_at):
            # The request was dispatched on distrust and came back: it is the
            # successful probe that section 2.6 asks for.
            self._proven_at = now
        self._baselines.record(kind, latency_s, now)
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
        in_use = self._peak >= self.limit(now) * _IN_USE_SHARE
        if self.warmth_percent(now) == 100:
            self._adapt(ratio, in_use)
        self._open_window(now)

    def restart(self, now: float) -> None:
        """Begins the cold ramp of a restarted upstream."""
        self._restarted_at = now
        self._probe = None
        self._open_window(now)

    def warmth_percent(self, now: float) -> int:
        """100 when the upstream is fully ramped up."""
        age = now - self._restarted_at
        ramp_s = self._policy().ramp_s
        if age >= ramp_s:
            return 100
        cold = self._settings.cold_share
        share = cold + (1.0 - cold) * max(0.0, age) / ramp_s
        return int(100 * share)

    def _adapt(self, ratio: float, in_use: bool) -> None:
        if ratio < 1.0:
            # The upstream is faster again than what was taken as normal.
            self._slowdown = max(1.0, self._slowdown * ratio)
        if not in_use:
            self._probe = None
            return
        if ratio > self._settings.latency_factor:
            self._shrink()
            self._judge_probe(ratio)
            return
        self._probe = None
        if ratio < _GROWTH_RATIO:
            self._grow()
            return
        # Little's law: the concurrency without queueing is the concurrency
        # divided by the ratio. The limit approaches it, with room to see
        # whether the upstream can run more.
        busy = self._peak / ratio * 1.1
        step_down = self._adaptive * self._settings.shrink_factor
        self._adaptive = min(self._adaptive, max(busy, step_down))

    def _grow(self) -> None:
        grown = self._adaptive + max(1.0, math.sqrt(self._adaptive))
        # Beyond the reported slots nothing can be learned about the upstream.
        bound = max(self._adaptive, self._ceiling())
        self._adaptive = min(grown, bound)

    def _judge_probe(self, ratio: float) -> None:
        if self._probe is None:
            self._probe = (self._adaptive / self._settings.shrink_factor, ratio)
            return
        before, before_ratio = self._probe
        if self._adaptive > before * _PROBE_SHARE:
            return
        self._probe = None
        if ratio > before_ratio * _PROBE_RATIO:
            self._slowdown *= ratio
            self._adaptive = before

    def _shrink(self) -> None:
        reached = min(self._adaptive, self._ceiling())
        floor = self._settings.min_limit
        shrunk = reached * self._settings.shrink_factor
        self._adaptive = max(float(floor), shrunk)

    def _open_window(self, now: float) -> None:
        # Requests that began before the last change still show its effect
        # and are not counted in the new window.
        self._window_at = now
        self._samples: collections.deque = collections.deque(maxlen=2_000)
        self._peak = self._in_flight
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
