"""Load and response times of one service in one failure domain."""

import collections.abc
import dataclasses
import math

from medlardoor.routing import placement

__all__ = ["DomainLoad", "ResponseTimes"]

# Number of the latest responses that the mean response time reflects. Those
# of one service vary by about half of their mean, so the mean of 50 is off by
# less than 15 % (two standard errors).
_MEAN_COUNT = 50

# Number of responses from which the delay to a domain is derived.
_MIN_DELAY_COUNT = 30

# Part of the mean by which the means of two domains differ by chance.
_TIME_NOISE_SHARE = 0.15


@dataclasses.dataclass(slots=True)
class ResponseTimes:
    """Mean response time of a failure domain, without waiting for slots.

    Attributes:
        count: Number of responses, up to the number that the mean reflects.
        mean_s: Mean, in seconds.
    """

    count: int = 0
    mean_s: float = 0.0

    def record(self, time_s: float) -> None:
        """Adds a response.

        Args:
            time_s: Its time without waiting, in seconds.
        """
        self.count = min(self.count + 1, _MEAN_COUNT)
        self.mean_s += (time_s - self.mean_s) / self.count

    def delay_from(self, own: "ResponseTimes") -> float:
        """Returns the one-way delay to the domain.

        Args:
            own: Response times of the domain from which it is measured.

        Returns:
            The delay in seconds; 0 if it is not known or not above the noise.
        """
        if min(self.count, own.count) < _MIN_DELAY_COUNT:
            return 0.0
        difference_s = self.mean_s - own.mean_s
        return difference_s / 2 if self._exceeds_noise(own) else 0.0

    def _exceeds_noise(self, own: "ResponseTimes") -> bool:
        return self.mean_s > own.mean_s * (1.0 + _TIME_NOISE_SHARE)


@dataclasses.dataclass(slots=True)
class DomainLoad:
    """Averages over the upstreams of a failure domain.

    Attributes:
        limit: Slots of the healthy upstreams with a recent report. Those of
            cold upstreams count less.
        running: Average number of these slots that are busy.
        waiting: Average number of requests that wait for them.
        slot_time_s: Mean time for which a request holds a slot, in seconds;
            set by `DomainSplit`.
        round_trip_s: Delay to the domain and back, in seconds; set by
            `DomainSplit`.
    """

    limit: float = 0.0
    running: float = 0.0
    waiting: float = 0.0
    slot_time_s: float = placement.DEFAULT_RESPONSE_TIME_S
    round_trip_s: float = 0.0

    @property
    def wait_s(self) -> float:
        """Expected wait for a slot, in seconds; infinite without slots."""
        if not self.limit:
            return math.inf
        return self.waiting * self.slot_time_s / self.limit

    def offered(self, drain_s: float) -> float:
        """Slots that the arriving and the waiting requests keep busy.

        Args:
            drain_s: Time in which the waiting ones are to be worked off, in
                seconds.
        """
        return self.running + self.waiting * self.slot_time_s / drain_s

    def spare(self, busy_share: float) -> float:
        """Slots missing to a share of busy slots; negative above it.

        Args:
            busy_share: The share.
        """
        return busy_share * self.limit - self.running - self.waiting

    def update(
        self,
        candidates: collections.abc.Iterable[placement.Candidate],
        max_age_s: float,
        weight: float,
        now: float,
    ) -> None:
        """Updates the averages.

        Capacity that is gone is removed at once.

        Args:
            candidates: Healthy upstreams of the domain.
            max_age_s: Age of a report above which it does not count, in
                seconds.
            weight: Weight of the present load, from 0 to 1.
            now: Current time, in seconds.
        """
        limit = running = waiting = 0.0
        for candidate in candidates:
            age_s = now - candidate.level_updated_at
            if age_s > max_age_s:
                continue
            slots = float(candidate.limit)
            if now < candidate.cold_until:
                slots /= placement.COLD_FACTOR
            busy = candidate.busy
            if candidate.level and age_s <= placement.Placement.LEVEL_MAX_AGE_S:
                # An upstream that refuses requests is full.
                busy = max(busy, slots)
            limit += slots
            running += min(busy, slots)
            waiting += max(0.0, busy - slots)
        if not self.limit:
            weight = 1.0
        self.running = min(self.running, limit)
        self.running += weight * (running - self.running)
        self.waiting += weight * (waiting - self.waiting)
        self.limit = limit
