"""Token bucket whose limit changes while it is in use."""

import collections
import math

__all__ = ["TokenBucket"]


class TokenBucket:
    """Bounds the tokens taken in any window to rate x window + capacity.

    A bucket starts empty, so a process that was started again does not repeat
    a burst. Tokens that were lent but may be spent later count as if they were
    still in the bucket, until they expire.
    """

    def __init__(self):
        self._rate_per_s = 0.0
        self._rate_until = math.inf
        self._capacity = 0.0
        self._tokens = 0.0
        # Tokens added since the rate was last zero, including dropped ones.
        self._added = 0.0
        self._updated_at: float | None = None
        # Expiry time and number of the tokens that were lent for later use.
        self._held: collections.deque[tuple[float, int]] = collections.deque()
        self._held_count = 0

    def set_limit(
        self,
        rate_per_s: float,
        capacity: float,
        now: float,
        valid_until: float = math.inf,
    ) -> None:
        """Changes the limit; tokens above the new capacity are dropped.

        Args:
            rate_per_s: Tokens added per second.
            capacity: Maximum number of tokens, with those lent for later use.
            now: Current time, in seconds.
            valid_until: When the rate ends, in seconds, unless it is set again.
        """
        self._refill(now)
        if not self._rate_per_s:
            self._added = 0.0
        self._rate_per_s = rate_per_s
        self._rate_until = valid_until
        self._capacity = capacity
        self._clamp()

    def holds(self, now: float, reserve: float = 0.0) -> bool:
        """Whether a token is available above the reserve.

        Args:
            now: Current time, in seconds.
            reserve: Number of tokens that must remain.
        """
        self._refill(now)
        return self._tokens >= 1.0 + reserve

    def take(self, now: float, reserve: float = 0.0) -> bool:
        """Takes one token if more than the reserve is left.

        Args:
            now: Current time, in seconds.
            reserve: Number of tokens that must remain.
        """
        if not self.holds(now, reserve):
            return False
        self._tokens -= 1.0
        return True

    def take_for_later(self, count: int, hold_s: float, now: float) -> int:
        """Takes tokens that are spent within a time or expire.

        At most half of the tokens are taken.

        Args:
            count: Number of tokens wanted.
            hold_s: Time until they expire, in seconds.
            now: Current time, in seconds.

        Returns:
            Number of tokens taken.
        """
        self._refill(now)
        taken = min(count, int(self._tokens / 2))
        if taken <= 0:
            return 0
        self._tokens -= taken
        self._held.append((now + hold_s, taken))
        self._held_count += taken
        return taken

    def give_back(self, count: int, now: float) -> None:
        """Returns tokens that were taken and not spent."""
        self._refill(now)
        self._tokens += count
        self._clamp()

    def wait_s(self, reserve: float = 0.0) -> float | None:
        """Time until a token is available after the last call, in seconds.

        Args:
            reserve: Number of tokens that must remain.

        Returns:
            The time; None if the bucket never holds enough tokens.
        """
        wanted = 1.0 + reserve
        if not self._rate_per_s or wanted > self._capacity:
            return None
        return max(0.0, wanted - self._tokens) / self._rate_per_s

    def is_starting(self, reserve: float = 0.0) -> bool:
        """Whether no token could have been taken since the bucket started.

        Args:
            reserve: Number of tokens that must remain.
        """
        return self._added < 1.0 + reserve

    def _refill(self, now: float) -> None:
        if self._updated_at is None:
            self._updated_at = now
        while self._held and self._held[0][0] <= now:
            expires_at, count = self._held.popleft()
            self._add_tokens(expires_at)
            self._held_count -= count
        self._add_tokens(now)

    def _add_tokens(self, until: float) -> None:
        elapsed_s = max(0.0, min(until, self._rate_until) - self._updated_at)
        self._updated_at = max(until, self._updated_at)
        added = elapsed_s * self._rate_per_s
        self._added += added
        self._tokens += added
        self._clamp()

    def _clamp(self) -> None:
        room = max(0.0, self._capacity - self._held_count)
        self._tokens = min(self._tokens, room)
