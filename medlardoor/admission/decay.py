"""Rates of arrivals, estimated from exponentially decayed sums.

The sums are kept with weights that grow instead of values that decay, so an
arrival changes only its own sums, and sums of sums are exact at any time.

References:
    Cormode et al., "Forward Decay: A Practical Time Decay Model for Streaming
    Systems", 2009.
"""

import dataclasses
import math

__all__ = ["RateClock", "Weights"]

# Half-lives of the two estimates of a demand, in seconds. At one node, most
# teams send less than one request a second, so the fast estimate of their
# demand is noise; it is used as far as it differs from the slow one by more
# than its own random variation explains.
_FAST_HALF_LIFE_S = 1.0
_SLOW_HALF_LIFE_S = 8.0
_FAST_MEAN_S = _FAST_HALF_LIFE_S / math.log(2)
_SLOW_MEAN_S = _SLOW_HALF_LIFE_S / math.log(2)

# A difference of 2 standard deviations counts half. The variance of a decayed
# rate is half of that of a count over its mean age.
_NOISE_WEIGHT = 2.0**2 / (2 * _FAST_MEAN_S)

# Least time that a rate refers to after the start, in seconds.
_MIN_SPAN_S = 0.5

# The weights of arrivals grow exponentially and are scaled back after this
# time, in seconds, long before they exceed the range of a float.
_REBASE_S = 300.0


@dataclasses.dataclass(slots=True, eq=False)
class Weights:
    """Decayed sums of arrivals, as forward-decayed weights.

    Attributes:
        fast: Sum that decays with the fast half-life.
        slow: Sum that decays with the slow half-life.
    """

    fast: float = 0.0
    slow: float = 0.0

    def scale(self, fast_factor: float, slow_factor: float) -> None:
        """Multiplies the sums."""
        self.fast *= fast_factor
        self.slow *= slow_factor


class RateClock:
    """Weight of an arrival at the current time, for both half-lives."""

    def __init__(self, now: float):
        self._origin = now
        # Weights at the start, which decline with each rebase.
        self._start = Weights(1.0, 1.0)
        self.unit = Weights(1.0, 1.0)
        # Divisors that turn sums of weights into rates per second.
        self.fast_span = self.slow_span = _MIN_SPAN_S

    def needs_rebase(self, now: float) -> bool:
        """Whether the weights have become large."""
        return now - self._origin > _REBASE_S

    def advance(self, now: float) -> None:
        """Sets the weights to those of a time, in seconds."""
        elapsed_s = now - self._origin
        unit = self.unit
        unit.fast = 2.0 ** (elapsed_s / _FAST_HALF_LIFE_S)
        unit.slow = 2.0 ** (elapsed_s / _SLOW_HALF_LIFE_S)
        self.fast_span = max(
            _FAST_MEAN_S * (unit.fast - self._start.fast),
            _MIN_SPAN_S * unit.fast,
        )
        self.slow_span = max(
            _SLOW_MEAN_S * (unit.slow - self._start.slow),
            _MIN_SPAN_S * unit.slow,
        )

    def rebase(self, now: float) -> tuple[float, float]:
        """Makes the weights of a time the unit.

        Returns:
            Factors by which all sums have to be multiplied.
        """
        elapsed_s = now - self._origin
        factors = (
            0.5 ** (elapsed_s / _FAST_HALF_LIFE_S),
            0.5 ** (elapsed_s / _SLOW_HALF_LIFE_S),
        )
        self._start.scale(*factors)
        self._origin = now
        return factors

    def rate(self, sums: Weights, cost_s: float) -> float:
        """Estimates a demand, in seconds of slot time per second.

        Args:
            sums: Decayed sums of the arrivals.
            cost_s: Slot time of one request, in seconds.
        """
        slow = sums.slow / self.slow_span
        change = sums.fast / self.fast_span - slow
        squared = change * change
        noise = _NOISE_WEIGHT * (slow + 1.0 / _FAST_MEAN_S)
        return (slow + change * squared / (squared + noise)) * cost_s
