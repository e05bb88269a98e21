"""Levels of calls and the adaptation of the admission level.

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
    "above",
    "fresh",
    "is_nested",
    "level_of",
    "nested",
]

LEVELS_PER_RANK = 128

# Share of the older counts that is kept at each adaptation: with intervals
# of 100 ms the histogram reflects about the last half second.
_MIN_MEMORY = 0.8

# With few calls in an interval the histogram keeps more, so that it always
# holds about this many. Below a hundred, the random arrivals of one rank
# move the fitting level through the whole rank.
_HISTOGRAM_CALLS = 100.0
_MAX_MEMORY = 0.97

# Largest lowering of the level in one interval. Steps double from 1, so one
# rank is passed in 8 intervals and each further rank in 2.
_MAX_STEP_DOWN = 64

# Intervals that the level rests where a whole rank is admitted.
_BOUNDARY_INTERVALS = 3


def level_of(rank: int, chain_id: bytes) -> int:
    """Level of a call.

    Args:
        rank: Importance rank of its kind.
        chain_id: Identifier of its chain.

    Returns:
        ``rank * 128`` plus a hash of the chain id below 128 that is the same
        in every process.
    """
    digest = hashlib.blake2b(chain_id, digest_size=1).digest()
    return rank * LEVELS_PER_RANK + digest[0] % LEVELS_PER_RANK


def fresh(importance: int, chain_id: bytes) -> int:
    """Level of a request that has cost nothing yet.

    Each importance has two ranks: the lower one for requests that enter, the
    upper one for calls of work that is already running and for requests that
    are known to make no calls.

    Args:
        importance: Importance of its kind; 0 for the least important one.
        chain_id: Identifier of its chain.
    """
    return level_of(2 * importance, chain_id)


def above(importance: int) -> int:
    """Lowest level above those of an importance and of its calls.

    Args:
        importance: Importance of a kind; 0 for the least important one.
    """
    return 2 * (importance + 1) * LEVELS_PER_RANK


def nested(level: int) -> int:
    """Level of the calls that are made for a request of a level."""
    rank, chain = divmod(level, LEVELS_PER_RANK)
    return (rank | 1) * LEVELS_PER_RANK + chain


def is_nested(rank: int) -> bool:
    """Whether a rank is that of calls and not of requests that enter."""
    return rank % 2 == 1


@dataclasses.dataclass(frozen=True, slots=True)
class LevelSettings:
    """How fast the level works off a queue.

    Attributes:
        queue_gain: Share of the difference between the queue and its target
            that is corrected within one interval.
        min_room: A queue, however long, leaves this share of the capacity to
            new calls. With less, one burst of unimportant calls raises the
            level above important ones, although those fit and would pass the
            burst in the queue.
    """

    queue_gain: float = 0.1
    min_room: float = 0.8


class AdmissionLevel:
    """Lowest level that a node admits, from a histogram of recent levels.

    Args:
        settings: How fast it works off a queue.

    Attributes:
        value: Admission level in force; 0 admits everything.
    """

    def __init__(self, settings: LevelSettings = LevelSettings()):  # noqa: B008
        self._settings = settings
        self.value = 0
        self._offered: dict[int, float] = {}
        self._intervals = 0.0
        self._arrived = 0
        self._step = 1
        self._held = 0

    def record(self, level: int) -> None:
        """Counts one offered call.

        Args:
            level: Level of the call.
        """
        self._arrived += 1
        self._offered[level] = self._offered.get(level, 0.0) + 1.0

    def adapt(
        self,
        capacity: float,
        queued_from: abc.Callable[[int], int],
        target: float,
        idle: bool,
    ) -> None:
        """Moves the level; called once in each adaptation interval.

        The level rises only while the queue is longer than its target, and
        falls only while it is not. It falls in growing steps, because the
        calls that it refused before, here or at the entry, return as soon as
        it falls, and their number is not known. If slots are idle it falls at
        once to where the known calls fit.

        Calls pass a queue of lower ranks, so for each rank only the queue of
        this rank and above counts.

        Args:
            capacity: Calls that can start in one interval.
            queued_from: Number of waiting calls of at least the given rank.
            target: Queue length that keeps the upstream busy.
            idle: Whether a good part of the slots is free.
        """
        self._intervals += 1.0
        fitting = self._level_for(capacity, queued_from, target)
        if queued_from(0) > target:
            self._step = 1
            self._held = 0
            self.value = max(self.value, fitting)
        elif idle or fitting < self.value:
            self._lower(fitting, idle)
        self._forget()

    def _lower(self, fitting: int, idle: bool) -> None:
        # At the boundary of a rank, wait until callers and peers have seen
        # that all of it is admitted; a lower rank would otherwise get in
        # while calls of this one are still refused elsewhere.
        boundary = self.value // LEVELS_PER_RANK * LEVELS_PER_RANK
        if self.value == boundary:
            if self._held < _BOUNDARY_INTERVALS:
                self._held += 1
                return
            boundary -= LEVELS_PER_RANK
        self._held = 0
        lowered = self.value - self._step
        # Idle slots prove that more fits, even if the capacity looks smaller
        # because slow calls of the past are still ending.
        fits = min(fitting, lowered) if idle else max(fitting, lowered)
        self.value = max(fits, boundary, 0)
        self._step = min(_MAX_STEP_DOWN, self._step * 2)

    def _level_for(self, capacity, queued_from, target) -> int:
        """Lowest level whose calls at or above it fit into the room."""
        settings = self._settings
        used = 0.0
        rank = -1
        bound = 0.0
        for level in sorted(self._offered, reverse=True):
            if level // LEVELS_PER_RANK != rank:
                rank = level // LEVELS_PER_RANK
                queued = queued_from(rank)
                room = capacity + (target - queued) * settings.queue_gain
                room = max(room, capacity * settings.min_room)
                bound = room * self._intervals
            used += self._offered[level]
            if used > bound:
                return level + 1
        return 0

    def _forget(self) -> None:
        memory = 1.0 - self._arrived / _HISTOGRAM_CALLS
        memory = max(_MIN_MEMORY, min(_MAX_MEMORY, memory))
        self._arrived = 0
        self._intervals *= memory
        kept = {}
        for level, count in self._offered.items():
            count *= memory
            if count > 0.01:
                kept[level] = count
        self._offered = kept
