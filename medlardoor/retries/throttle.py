"""Bound on the share of retries in the traffic of one node."""

__all__ = ["BURST", "FIRST_ATTEMPTS_PER_RETRY", "RetryThrottle"]

# Retries are at most 10 % of the first attempts.
FIRST_ATTEMPTS_PER_RETRY = 10

# Retries available at the start and after a period without retries.
BURST = 10


class RetryThrottle:
    """Token bucket that first attempts refill.

    It needs no clock: a node without first attempts has nothing to retry.
    Tokens are counted in integer tenths, so that rounding errors do not
    accumulate.
    """

    def __init__(self):
        self._token_tenths = BURST * FIRST_ATTEMPTS_PER_RETRY

    def record_first_attempt(self) -> None:
        """Adds a tenth of a token, up to the burst."""
        full = BURST * FIRST_ATTEMPTS_PER_RETRY
        self._token_tenths = min(full, self._token_tenths + 1)

    def try_retry(self) -> bool:
        """Takes one token for a retry.

        Returns:
            Whether the retry is allowed.
        """
        if self._token_tenths < FIRST_ATTEMPTS_PER_RETRY:
            return False
        self._token_tenths -= FIRST_ATTEMPTS_PER_RETRY
        return True
