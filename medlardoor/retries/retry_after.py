"""Times after which refused callers may return."""

import random

__all__ = ["RetryAfter"]

# Upper bound of Retry-After, as a fraction of the time that the caller has
# left. Callers honour a Retry-After of up to a third of that time.
MAX_FRACTION = 0.3
MIN_BOUND_S = 0.05


class RetryAfter:
    """Draws Retry-After times, so that refused callers return spread out.

    Args:
        generator: Source of random numbers.
    """

    def __init__(self, generator: random.Random):
        self._generator = generator

    def draw_short_s(self) -> float:
        """Returns a short time for a state that ends soon, in seconds."""
        return self._generator.uniform(0.1, 0.4)

    def draw_s(self, remaining_s: float, objective_remaining_s: float) -> float:
        """Returns a time after a refusal by load, in seconds.

        Args:
            remaining_s: Time that the caller has left, in seconds.
            objective_remaining_s: Time until the response-time objective
                passes, in seconds.
        """
        longest_s = max(MIN_BOUND_S, remaining_s * MAX_FRACTION)
        useful_s = max(objective_remaining_s * 0.5, longest_s * 0.5)
        return min(longest_s, self._generator.uniform(0.3, 1.0) * useful_s)
