"""Bound on the share of retries in the traffic of one node."""

__all__ = ["BURST", "FIRST_ATTEMPTS_PER_RETRY", "RetryThrottle"]

# Retries are at most 10 % of first attempts.
FIRST_ATTEMPTS_PER_RETRY = 10

# Retries that are possible after a quiet time or at the start.
BURST = 10


class RetryThrottle:
    """Token bucket that is filled by first attempts.

    It has no clock: a node without first attempts has nothing to retry. The
    tokens are counted in tenths as integers, so that no rounding error adds
    up over a long run.
    """

    def __init__(self):
        self._tenths = BURST * FIRST_ATTEMPTS_PER_RETRY

    def record_first_attempt(self) -> None:
        """Adds a tenth of a retry, up to the burst."""
        full = BURST * FIRST_ATTEMPTS_PER_RETRY
        self._tenths = min(full, self._tenths + 1)

    def try_retry(self) -> bool:
        """Takes one retry.

        Returns:
            Whether the retry is within the bound.
        """
        if self._tenths < FIRST_ATTEMPTS_PER_RETRY:
            return False
        self._tenths -= FIRST_ATTEMPTS_PER_RETRY
        return True
