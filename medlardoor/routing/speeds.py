"""Estimate of the current processing time of an upstream.

An upstream reports its processing time in percent of the usual. The figure
changes several times a second. Some changes last, because another program on
the instance has started or ended; others are noise that the next report takes
back. Successive changes in the same direction show a lasting change, those in
opposite directions show noise, and the ratio determines how fast the average
follows the reports.
"""

import dataclasses
import math

from medlardoor.wire import ranges

__all__ = ["MAX_AGE_S", "SpeedEstimate", "SpeedSettings"]

# The processing time is unknown when the last report, or the last status with
# an estimate, is this old. In seconds.
MAX_AGE_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class SpeedSettings:
    """Parameters of the estimate.

    Attributes:
        sample_interval_s: Minimum time between two reports that are used, in
            seconds. Responses that end together report nearly the same figure
            and would hide how it changes.
        change_half_life_s: Half-life of the averages of noise and of the rate
            of change, in seconds. With 1 s, figures that change four times a
            second without noise were taken for noise by chance.
        max_half_life_s: Longest half-life of the estimate, in seconds; used
            while no change lasts.
        decay_after_s: Age of the last report from which the estimate decays
            towards the usual processing time, in seconds. It is unknown at
            `MAX_AGE_S`.
    """

    sample_interval_s: float = 0.05
    change_half_life_s: float = 4.0
    max_half_life_s: float = 1.0
    decay_after_s: float = 1.0


class SpeedEstimate:
    """Moving average of reported processing times with a derived half-life.

    The half-life is that of the Kalman filter of a random walk observed with
    noise: ln 2 x sqrt(noise variance x report interval / rate of change). Only
    a fixed number of sums is kept.

    Args:
        settings: Parameters of the estimate.
    """

    def __init__(self, settings: SpeedSettings):
        self._settings = settings
        self._reported_at = -math.inf
        self._sampled_at = -math.inf
        self._sample_percent = 0.0
        self._average_percent = 0.0
        # Difference and distance in time of the last two samples.
        self._change_percent = 0.0
        self._interval_s = 0.0
        # Sums over pairs of successive changes, with weights that decay:
        # number of pairs, their time in seconds, and the variances of noise
        # and of lasting change, in percent squared.
        self._weight_sum = 0.0
        self._time_sum_s = 0.0
        self._noise_sum = 0.0
        self._lasting_sum = 0.0

    @property
    def half_life_s(self) -> float:
        """Half-life of the average, in seconds; 0 if it follows each report."""
        if self._noise_sum <= 0.0:
            return 0.0
        if self._lasting_sum <= 0.0:
            return self._settings.max_half_life_s
        # A pair of changes covers two report intervals.
        ratio = self._noise_sum / (2 * self._lasting_sum)
        pair_s = self._time_sum_s / self._weight_sum
        half_life_s = math.log(2) * pair_s * math.sqrt(ratio)
        return min(self._settings.max_half_life_s, half_life_s)

    def observe(self, time_percent: int, now: float) -> None:
        """Records a report; one older than the last report has no effect.

        Args:
            time_percent: Processing time in percent of the usual.
            now: When the upstream sent the report, in seconds.
        """
        if now < self._reported_at or not ranges.is_time_percent(time_percent):
            return
        is_known = now - self._reported_at < MAX_AGE_S
        self._reported_at = now
        if not is_known:
            self._restart(time_percent, now)
        elif now - self._sampled_at >= self._settings.sample_interval_s:
            self._add_sample(time_percent, now)

    def time_factor(self, now: float) -> float | None:
        """Returns the processing time as a multiple of the usual.

        Args:
            now: Current time, in seconds.

        Returns:
            The factor; None if it is unknown.
        """
        age_s = now - self._reported_at
        if age_s >= MAX_AGE_S:
            return None
        factor = self._average_percent / 100
        decay_after_s = self._settings.decay_after_s
        if age_s <= decay_after_s:
            return factor
        left = (MAX_AGE_S - age_s) / (MAX_AGE_S - decay_after_s)
        return 1 + (factor - 1) * left

    def time_percent(self, now: float) -> int:
        """Returns the estimate as carried in messages.

        Args:
            now: Current time, in seconds.

        Returns:
            The processing time in percent of the usual; 0 if it is unknown.
        """
        factor = self.time_factor(now)
        return 0 if factor is None else max(1, round(factor * 100))

    def _restart(self, time_percent: int, now: float) -> None:
        """Starts from a single report."""
        self._sampled_at = now
        self._sample_percent = self._average_percent = float(time_percent)
        self._change_percent = self._interval_s = 0.0
        self._weight_sum = self._time_sum_s = 0.0
        self._noise_sum = self._lasting_sum = 0.0

    def _add_sample(self, time_percent: int, now: float) -> None:
        interval_s = now - self._sampled_at
        change = time_percent - self._sample_percent
        if self._interval_s > 0.0:
            self._add_pair(change, interval_s)
        self._sampled_at = now
        self._sample_percent = float(time_percent)
        self._change_percent = change
        self._interval_s = interval_s
        half_life_s = self.half_life_s
        weight = 1.0
        if half_life_s > 0.0:
            weight = 1 - 0.5 ** (interval_s / half_life_s)
        self._average_percent += weight * (time_percent - self._average_percent)

    def _add_pair(self, change: float, interval_s: float) -> None:
        """Adds the last two changes to the sums.

        With noise of variance r and a random walk whose variance grows by q
        per second, the product of two successive changes has the mean -r, and
        their squares have the sum 2 x 2r + q x time.
        """
        keep = 0.5 ** (interval_s / self._settings.change_half_life_s)
        product = change * self._change_percent
        squares = change**2 + self._change_percent**2
        pair_s = interval_s + self._interval_s
        self._weight_sum = keep * self._weight_sum + 1
        self._time_sum_s = keep * self._time_sum_s + pair_s
        self._noise_sum = keep * self._noise_sum - product
        self._lasting_sum = keep * self._lasting_sum + squares + 4 * product
