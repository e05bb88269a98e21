"""Bound on the share of repeated sends to a service, over sliding windows.

The load that this answers: all upstreams of a service refuse or fail a part of
their calls, and a chain of several calls is lost with the first of them that is
not repeated. Spread over all chains the repeats would be enough for none, so
the more urgent ones come first.
"""

import dataclasses
import math

__all__ = ["RetryShare", "RetryShareSettings"]

_BUCKETS = 10

# Share of the repeats of a window that can be spent at once. The rest comes
# evenly, so that a fault that lasts as long as the window is met at its end,
# too.
_BURST_SHARE = 0.35

# The room for a chain grows with this power of its urgency, so that most of it
# belongs to the most urgent ones and their repeats do not swing.
_URGENCY_POWER = 6

# A chain whose call was repeated so short a time ago goes on being repeated, in
# seconds: what was spent on it would be lost otherwise.
_CHAIN_MEMORY_S = 1.0
_MAX_CHAINS = 256

# Weight of the newest send in the success rate of the service.
_WEIGHT = 0.05

# Below this success rate a chain of a few calls is rather lost than not if its
# calls are not repeated.
_LOSSY_SUCCESS = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class RetryShareSettings:
    """Bound on the repeated sends to one service by all nodes together.

    Attributes:
        window_s: Length of the sliding window, in seconds.
        ratio: Repeated sends allowed for each first send, of requests whose
            runs make calls. A repeated run makes its calls once more, and
            these count as repeats of the services below.
        last_ratio: Repeated sends allowed for each first send of requests
            whose runs make no calls, together with all other repeats.
        slack: Repeated sends allowed beside, by all nodes together.
    """

    window_s: float = 10.0
    ratio: float = 0.1
    last_ratio: float = 0.1
    slack: float = 20.0


class RetryShare:
    """Repeated sends of one node to one service.

    Each node keeps to the ratio of its own first sends and to its part of the
    slack, so the bound holds for the sum over all nodes without any message.

    Args:
        settings: Bound of the service.
    """

    def __init__(self, settings: RetryShareSettings):
        self._settings = settings
        self._bucket_s = settings.window_s / _BUCKETS
        # Two windows: the busier one counts, as a fault that ends chains early
        # leaves few first sends.
        self._firsts = [0] * (2 * _BUCKETS)
        # One more bucket than the window: a partly elapsed bucket at its start
        # still counts.
        self._repeats = [0] * (_BUCKETS + 1)
        self._with_calls = [0] * (_BUCKETS + 1)
        self._current = 0
        self._spent = 0.0
        # When a call of a chain was last repeated, in seconds.
        self._chains: dict[int, float] = {}
        self._spent_at = 0.0
        self._success = 1.0

    @property
    def is_lossy(self) -> bool:
        """Whether chains are lost for want of repeats."""
        return self._success < _LOSSY_SUCCESS

    def count_first(self, now: float) -> None:
        """Counts a first send."""
        self._advance(now)
        self._firsts[self._current % len(self._firsts)] += 1

    def count_nested(self, now: float) -> None:
        """Counts the first send of a call made by a run that is a repeat."""
        self._advance(now)
        self._repeats[self._current % len(self._repeats)] += 1

    def note_result(self, good: bool) -> None:
        """Notes whether the upstream ran a send as it should."""
        self._success += _WEIGHT * (float(good) - self._success)

    def try_repeat(
        self,
        nodes: int,
        now: float,
        urgency: float = 1.0,
        chain: int = 0,
        makes_calls: bool = True,
    ) -> bool:
        """Takes one repeated send if the bound allows it.

        Args:
            nodes: Number of nodes that share the slack.
            now: Current time, in seconds.
            urgency: Importance of the chain, from 0 to 1.
            chain: Identifies the chain; 0 if it is not known.
            makes_calls: Whether the run may make calls.
        """
        settings = self._settings
        self._advance(now)
        slack = settings.slack / max(1, nodes)
        firsts = self._count_firsts()
        allowed = settings.last_ratio * firsts + slack
        if sum(self._repeats) + 1 > allowed:
            return False
        if makes_calls:
            with_calls = settings.ratio * firsts + slack
            if sum(self._with_calls) + 1 > with_calls:
                return False
        self._regain(allowed, now)
        burst = max(1.0, slack, allowed * _BURST_SHARE)
        room = burst - 1.0
        if not self._is_begun(chain, now):
            room = min(room, urgency**_URGENCY_POWER * burst)
        if self._spent > room:
            return False
        self._spent += 1.0
        self._note_chain(chain, now)
        self._repeats[self._current % len(self._repeats)] += 1
        if makes_calls:
            self._with_calls[self._current % len(self._with_calls)] += 1
        return True

    def least_urgency(self, nodes: int, now: float) -> float:
        """Importance from which on a chain may repeat its calls.

        Args:
            nodes: Number of nodes that share the slack.
            now: Current time, in seconds.

        Returns:
            A number from 0 to 1; 1 if nothing may be repeated.
        """
        settings = self._settings
        self._advance(now)
        slack = settings.slack / max(1, nodes)
        allowed = settings.last_ratio * self._count_firsts() + slack
        if sum(self._repeats) + 1 > allowed:
            return 1.0
        self._regain(allowed, now)
        burst = max(1.0, slack, allowed * _BURST_SHARE)
        return min(1.0, self._spent / burst) ** (1 / _URGENCY_POWER)

    def _is_begun(self, chain: int, now: float) -> bool:
        """Whether a call of the chain was repeated lately."""
        repeated_at = self._chains.get(chain)
        return repeated_at is not None and now - repeated_at < _CHAIN_MEMORY_S

    def _note_chain(self, chain: int, now: float) -> None:
        if not chain:
            return
        self._chains.pop(chain, None)
        self._chains[chain] = now
        if len(self._chains) > _MAX_CHAINS:
            del self._chains[next(iter(self._chains))]

    def _count_firsts(self) -> int:
        """First sends in the busier one of the last two windows."""
        size = len(self._firsts)
        newest = [
            self._firsts[(self._current - age) % size]
            for age in range(_BUCKETS)
        ]
        return max(sum(newest), sum(self._firsts) - sum(newest))

    def _regain(self, allowed: float, now: float) -> None:
        """Gives back what may be spent again, evenly over the window."""
        elapsed_s = now - self._spent_at
        self._spent_at = now
        regained = allowed * elapsed_s / self._settings.window_s
        self._spent = max(0.0, self._spent - regained)

    def _advance(self, now: float) -> None:
        """Empties the buckets whose time has passed."""
        number = math.floor(now / self._bucket_s)
        steps = number - self._current
        if steps <= 0:
            return
        for counts in (self._firsts, self._repeats, self._with_calls):
            for step in range(1, min(steps, len(counts)) + 1):
                counts[(self._current + step) % len(counts)] = 0
        self._current = number
