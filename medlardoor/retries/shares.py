"""Bound on the share of retries to a service over sliding windows.

When all upstreams of a service refuse or fail part of their calls, a chain of
several calls is lost with the first failed call that is not retried. Spread
over all chains, the allowed retries would not complete any of them, so the
more urgent chains are retried first.
"""

import dataclasses
import math

__all__ = ["RetryShare", "RetryShareSettings"]

_WINDOW_BUCKETS = 10

# Share of the retries of a window that can be spent at once. The rest becomes
# available evenly, so that retries are left at the end of a fault that lasts
# as long as the window.
_BURST_SHARE = 0.35

# A chain may use the share `urgency ** exponent` of the burst. Most of the
# burst is thus reserved for the most urgent chains, which keeps their rate of
# retries steady.
_URGENCY_EXPONENT = 6

# A chain that was retried within this time may use the whole burst: otherwise
# the retries already spent on it would be lost.
_CHAIN_RETENTION_S = 1.0
_MAX_CHAINS = 256

# Weight of the latest result in the success rate of the service.
_SMOOTHING_FACTOR = 0.05

# Below this success rate a chain of a few calls without retries is more likely
# to be lost than to complete.
_LOSSY_SUCCESS_RATE = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class RetryShareSettings:
    """Bound on the retries to one service by all nodes together.

    Attributes:
        window_s: Length of the sliding window, in seconds.
        ratio: Retries allowed per first attempt, for requests whose runs make
            calls. A retried run makes its calls once more, and these count as
            retries at the called services.
        total_ratio: All retries allowed per first attempt, including those of
            requests whose runs make no calls.
        slack: Additional retries allowed in a window, for all nodes together.
    """

    window_s: float = 10.0
    ratio: float = 0.1
    total_ratio: float = 0.1
    slack: float = 20.0


class RetryShare:
    """Retries of one node to one service.

    Each node keeps to the ratio of its own first attempts and to its part of
    the slack, so the bound holds for the sum over all nodes without exchanging
    messages.

    Args:
        settings: Bound of the service.
    """

    def __init__(self, settings: RetryShareSettings):
        self._settings = settings
        self._bucket_s = settings.window_s / _WINDOW_BUCKETS
        # Two windows, of which the busier one counts: during a fault that ends
        # chains early there are few first attempts.
        self._first_attempts = [0] * (2 * _WINDOW_BUCKETS)
        # One more bucket than the window, because the oldest bucket is only
        # partly outside the window.
        self._retries = [0] * (_WINDOW_BUCKETS + 1)
        self._retries_with_calls = [0] * (_WINDOW_BUCKETS + 1)
        self._current_bucket = 0
        self._burst_used = 0.0
        # Time of the last retry by chain, in seconds.
        self._chain_retried_at: dict[int, float] = {}
        self._burst_updated_at = 0.0
        self._success_rate = 1.0

    @property
    def is_lossy(self) -> bool:
        """Whether chains are lost because their calls are not retried."""
        return self._success_rate < _LOSSY_SUCCESS_RATE

    def count_first_attempt(self, now: float) -> None:
        """Counts a first attempt."""
        self._advance_buckets(now)
        self._first_attempts[
            self._current_bucket % len(self._first_attempts)
        ] += 1

    def count_call_of_retried_run(self, now: float) -> None:
        """Counts the first attempt of a call by a retried run as a retry."""
        self._advance_buckets(now)
        self._retries[self._current_bucket % len(self._retries)] += 1

    def record_result(self, is_success: bool) -> None:
        """Updates the success rate with the result of an attempt."""
        self._success_rate += _SMOOTHING_FACTOR * (
            float(is_success) - self._success_rate
        )

    def try_retry(
        self,
        nodes: int,
        now: float,
        urgency: float = 1.0,
        chain: int = 0,
        makes_calls: bool = True,
    ) -> bool:
        """Takes one retry if the bound allows it.

        Args:
            nodes: Number of nodes that share the slack.
            now: Current time, in seconds.
            urgency: Importance of the chain, from 0 to 1.
            chain: Identifier of the chain; 0 if unknown.
            makes_calls: Whether the run may make calls.

        Returns:
            Whether the retry is allowed.
        """
        settings = self._settings
        self._advance_buckets(now)
        slack = settings.slack / max(1, nodes)
        first_attempts = self._count_first_attempts()
        max_retries = settings.total_ratio * first_attempts + slack
        if sum(self._retries) + 1 > max_retries:
            return False
        if makes_calls:
            max_retries_with_calls = settings.ratio * first_attempts + slack
            if sum(self._retries_with_calls) + 1 > max_retries_with_calls:
                return False
        self._refill_burst(max_retries, now)
        burst = max(1.0, slack, max_retries * _BURST_SHARE)
        max_burst_used = burst - 1.0
        if not self._was_retried_recently(chain, now):
            max_burst_used = min(
                max_burst_used, urgency**_URGENCY_EXPONENT * burst
            )
        if self._burst_used > max_burst_used:
            return False
        self._burst_used += 1.0
        self._record_chain_retry(chain, now)
        self._retries[self._current_bucket % len(self._retries)] += 1
        if makes_calls:
            self._retries_with_calls[
                self._current_bucket % len(self._retries_with_calls)
            ] += 1
        return True

    def min_retry_urgency(self, nodes: int, now: float) -> float:
        """Minimum importance of a chain whose calls may be retried.

        Args:
            nodes: Number of nodes that share the slack.
            now: Current time, in seconds.

        Returns:
            A number from 0 to 1; 1 if no retry is allowed.
        """
        settings = self._settings
        self._advance_buckets(now)
        slack = settings.slack / max(1, nodes)
        max_retries = (
            settings.total_ratio * self._count_first_attempts() + slack
        )
        if sum(self._retries) + 1 > max_retries:
            return 1.0
        self._refill_burst(max_retries, now)
        burst = max(1.0, slack, max_retries * _BURST_SHARE)
        return min(1.0, self._burst_used / burst) ** (1 / _URGENCY_EXPONENT)

    def _was_retried_recently(self, chain: int, now: float) -> bool:
        """Whether a call of the chain was retried within the retention time."""
        retried_at = self._chain_retried_at.get(chain)
        return retried_at is not None and now - retried_at < _CHAIN_RETENTION_S

    def _record_chain_retry(self, chain: int, now: float) -> None:
        if not chain:
            return
        self._chain_retried_at.pop(chain, None)
        self._chain_retried_at[chain] = now
        if len(self._chain_retried_at) > _MAX_CHAINS:
            del self._chain_retried_at[next(iter(self._chain_retried_at))]

    def _count_first_attempts(self) -> int:
        """First attempts in the busier one of the last two windows."""
        size = len(self._first_attempts)
        newest_counts = [
            self._first_attempts[(self._current_bucket - age) % size]
            for age in range(_WINDOW_BUCKETS)
        ]
        return max(
            sum(newest_counts), sum(self._first_attempts) - sum(newest_counts)
        )

    def _refill_burst(self, max_retries: float, now: float) -> None:
        """Releases used burst capacity at an even rate over the window."""
        elapsed_s = now - self._burst_updated_at
        self._burst_updated_at = now
        refilled = max_retries * elapsed_s / self._settings.window_s
        self._burst_used = max(0.0, self._burst_used - refilled)

    def _advance_buckets(self, now: float) -> None:
        """Moves on to the bucket of `now` and clears the reused buckets."""
        newest_bucket = math.floor(now / self._bucket_s)
        elapsed_buckets = newest_bucket - self._current_bucket
        if elapsed_buckets <= 0:
            return
        for counts in (
            self._first_attempts,
            self._retries,
            self._retries_with_calls,
        ):
            for step in range(1, min(elapsed_buckets, len(counts)) + 1):
                counts[(self._current_bucket + step) % len(counts)] = 0
        self._current_bucket = newest_bucket
