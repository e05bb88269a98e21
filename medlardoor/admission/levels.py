"""Levels of calls and adaptation of the admission level.

References:
    Zhou et al., "Overload Control for Scaling WeChat Microservices", 2018
    (DAGOR).
"""

from collections import abc
import dataclasses
import hashlib

__all__ = [
    "LEVELS_PER_RANK",
    "AdmissionLevel",
    "LevelSettings",
    "entry_level",
    "importance_of",
    "is_nested_rank",
    "level_above",
    "level_of",
    "nested_level",
    "numbered_level",
    "share_of",
]

LEVELS_PER_RANK = 128

# Size of the hash of a chain that `share_of` derives a share from.
_SHARE_BYTES = 4

# Least share of the histogram that is kept at each adaptation. With intervals
# of 100 ms the histogram then reflects about the last half second.
_MIN_RETENTION = 0.8

# After an interval with few calls more of the histogram is kept, so that it
# always holds about this many calls. With fewer than 100, random variation in
# the arrivals of one rank moves the fitting level across the whole rank.
_MIN_HISTOGRAM_CALLS = 100.0
_MAX_RETENTION = 0.97

# Largest decrease of the level in one interval. The steps double from 1, so the
# first rank takes 8 intervals and each further rank takes 2, plus the hold at
# each boundary.
_MAX_LEVEL_DECREASE = 64

# Number of intervals that the level stays at a rank boundary.
_BOUNDARY_HOLD_INTERVALS = 3


def level_of(rank: int, chain_id: bytes) -> int:
    """Level of a call.

    Args:
        rank: Rank of the call.
        chain_id: Identifier of its chain.

    Returns:
        ``rank * 128`` plus a hash of the chain id from 0 to 127, which is the
        same in every process.
    """
    digest = hashlib.blake2b(chain_id, digest_size=1).digest()
    return rank * LEVELS_PER_RANK + digest[0] % LEVELS_PER_RANK


def share_of(chain_id: bytes) -> float:
    """Hash of a chain id above 0 and up to 1, the same in every process."""
    digest = hashlib.blake2b(chain_id, digest_size=_SHARE_BYTES).digest()
    return (int.from_bytes(digest) + 1) / 256**_SHARE_BYTES


def entry_level(importance: int, chain_id: bytes) -> int:
    """Level of a request for which no work has been done yet.

    Each importance has two ranks: the lower one for requests that enter the
    graph, and the upper one for nested calls and for requests that are known
    to make no calls.

    Args:
        importance: Importance of its kind; 0 is the least important.
        chain_id: Identifier of its chain.
    """
    return level_of(2 * importance, chain_id)


def numbered_level(importance: int, number: int) -> int:
    """Level of a request that enters, with a given number inside the rank.

    Args:
        importance: Importance of its kind; 0 is the least important.
        number: Number from 0 to 127; see `fairness.FairLevels`.
    """
    return 2 * importance * LEVELS_PER_RANK + number


def importance_of(level: int) -> int:
    """Importance of a request or call of the given level."""
    return level // (2 * LEVELS_PER_RANK)


def level_above(importance: int) -> int:
    """Lowest level above both ranks of an importance.

    Args:
        importance: Importance of a kind; 0 is the least important.
    """
    return 2 * (importance + 1) * LEVELS_PER_RANK


def nested_level(level: int) -> int:
    """Level of the nested calls that a request of the given level makes."""
    rank, chain = divmod(level, LEVELS_PER_RANK)
    return (rank | 1) * LEVELS_PER_RANK + chain


def is_nested_rank(rank: int) -> bool:
    """Whether a rank is used for nested calls rather than new requests."""
    return rank % 2 == 1


@dataclasses.dataclass(frozen=True, slots=True)
class LevelSettings:
    """How fast the admission level shortens a queue.

    Attributes:
        queue_gain: Share of the difference between the queue and its target
            that is corrected within one interval.
        min_capacity_share: Share of the capacity that is left to new calls
            however long the queue is. With a smaller share, one burst of
            unimportant calls raises the level above important calls, although
            these fit and would overtake the burst in the queue.
    """

    queue_gain: float = 0.1
    min_capacity_share: float = 0.8


class AdmissionLevel:
    """Lowest level that a node admits, from a histogram of recent levels.

    Args:
        settings: How fast the level shortens a queue.

    Attributes:
        value: Admission level in force; 0 admits all calls.
    """

    def __init__(self, settings: LevelSettings = LevelSettings()):  # noqa: B008
        self._settings = settings
        self.value = 0
        self._histogram: dict[int, float] = {}
        self._histogram_intervals = 0.0
        self._interval_calls = 0
        self._decrease = 1
        self._held_intervals = 0

    def record(self, level: int) -> None:
        """Counts one offered call.

        Args:
            level: Level of the call.
        """
        self._interval_calls += 1
        self._histogram[level] = self._histogram.get(level, 0.0) + 1.0

    def adapt(
        self,
        capacity: float,
        queued_from_rank: abc.Callable[[int], int],
        target_queue: float,
        is_idle: bool,
    ) -> None:
        """Adapts the level; called once in each adaptation interval.

        The level rises only while the queue is longer than its target, and
        falls only while it is not. It falls in growing steps, because an
        unknown number of calls that were refused before, by this node or where
        they enter the graph, return as soon as it falls. If slots are idle, it
        falls at least as far as the level at which the recorded calls fit, but
        stops at each rank boundary.

        Calls overtake queued calls of lower ranks, so for each rank only queued
        calls of this rank and above are counted.

        Args:
            capacity: Number of calls that can start in one interval.
            queued_from_rank: Returns the number of queued calls of at least a
                rank.
            target_queue: Queue length that keeps the upstream busy.
            is_idle: Whether enough slots are free to admit more calls.
        """
        self._histogram_intervals += 1.0
        fitting = self._fitting_level(capacity, queued_from_rank, target_queue)
        if queued_from_rank(0) > target_queue:
            self._decrease = 1
            self._held_intervals = 0
            self.value = max(self.value, fitting)
        elif is_idle or fitting < self.value:
            self._lower(fitting, is_idle)
        self._decay_histogram()

    def _lower(self, fitting: int, is_idle: bool) -> None:
        # The level stays at a rank boundary until callers and peers have been
        # informed that the whole rank is admitted. Otherwise calls of a lower
        # rank would be admitted while calls of this rank are still refused
        # elsewhere.
        boundary = self.value // LEVELS_PER_RANK * LEVELS_PER_RANK
        if self.value == boundary:
            if self._held_intervals < _BOUNDARY_HOLD_INTERVALS:
                self._held_intervals += 1
                return
            boundary -= LEVELS_PER_RANK
        self._held_intervals = 0
        lowered = self.value - self._decrease
        # Idle slots show that more calls fit, even if earlier slow calls that
        # are still finishing make the measured capacity look smaller.
        lowered_to = min(fitting, lowered) if is_idle else max(fitting, lowered)
        self.value = max(lowered_to, boundary, 0)
        self._decrease = min(_MAX_LEVEL_DECREASE, self._decrease * 2)

    def _fitting_level(self, capacity, queued_from_rank, target_queue) -> int:
        """Lowest level such that all calls at or above it fit the capacity."""
        settings = self._settings
        call_count = 0.0
        rank = -1
        max_call_count = 0.0
        for level in sorted(self._histogram, reverse=True):
            if level // LEVELS_PER_RANK != rank:
                rank = level // LEVELS_PER_RANK
                queued = queued_from_rank(rank)
                available = (
                    capacity + (target_queue - queued) * settings.queue_gain
                )
                available = max(
                    available, capacity * settings.min_capacity_share
                )
                max_call_count = available * self._histogram_intervals
            call_count += self._histogram[level]
            if call_count > max_call_count:
                return level + 1
        return 0

    def _decay_histogram(self) -> None:
        retention = 1.0 - self._interval_calls / _MIN_HISTOGRAM_CALLS
        retention = max(_MIN_RETENTION, min(_MAX_RETENTION, retention))
        self._interval_calls = 0
        self._histogram_intervals *= retention
        kept = {}
        for level, count in self._histogram.items():
            count *= retention
            if count > 0.01:
                kept[level] = count
        self._histogram = kept
