"""Bounded queue for the slots of the local upstream, ordered by rank.

A service whose slots are all busy receives urgent, cheap calls of work that is
already running on other instances, and expensive requests of low priority.
The urgent calls must not queue behind the expensive requests. A request that
would wait too long to be useful is refused at once, while its caller can still
send it to another instance. Work that needs several calls is wasted if one of
them is refused, so the admission level refuses only requests for which no work
has been done yet, and the number of chains in progress is bounded where they
start.
"""

import collections
import dataclasses
import enum
import itertools
import typing

from medlardoor.admission import (
    capacity,
    levels,
    named_limits,
    service_times,
    windows,
)

__all__ = ["Decision", "Ticket", "AdmissionQueue", "AdmissionQueueSettings"]

# Least time that counts as left until the objective, as a share of the time
# until the deadline. It applies when the objective is near or has passed.
MIN_OBJECTIVE_LEFT_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionQueueSettings:
    """Bounds on the queue and on the wait in it.

    Attributes:
        objective_share: Longest wait of rank 0, as a share of the time until
            the response-time objective. A caller that is refused within an
            eighth of this time can still be served by another instance.
            Requests of higher ranks may wait longer if they can still finish
            within their objective.
        deadline_share: Longest wait of requests of higher ranks, as a share of
            the time until the deadline. They are served before rank 0, and
            refusing a call of work that is already running wastes that work.
        max_waiting: Maximum number of waiting requests.
        usable_share: Share of the slots that is used. Upstreams become slow
            when nearly all of their slots are busy.
        interval_s: Interval between two adaptations of the admission level, in
            seconds.
        max_wait_s: Longest wait, in seconds, from which the target length of
            the queue is derived; see `capacity.Capacity.target_queue`.
        level: How fast the admission level shortens a queue. The calls of a
            chain are made one after the other, so each queued call stands for
            more to come, and new chains are refused until the queue is short.
    """

    objective_share: float = 0.12
    deadline_share: float = 0.6
    max_waiting: int = 2_000
    usable_share: float = 0.945
    interval_s: float = 0.1
    max_wait_s: float = 0.25
    level: levels.LevelSettings = levels.LevelSettings(
        queue_gain=0.4, min_capacity_share=0.2
    )


class Decision(enum.Enum):
    """Decision on a new request."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A request for a slot.

    All times are in seconds of the local clock. The queue sets the last four
    attributes.

    Attributes:
        level: Importance; see `levels.level_of`. Higher ranks start first.
        deadline: When the caller stops waiting.
        objective_deadline: When the response-time objective passes.
        payload: Object that the owner of the queue attaches.
        nested: Whether the request was made by a run in progress. Refusing it
            would waste the work of that run, so the admission level does not
            apply.
        nested_wait_s: Total wait of the calls that its run has made, in
            seconds; updated by the owner of the queue.
        wait_deadline: When the request expires if it is still waiting.
        is_waiting: Whether the request is in the queue.
        offered_at: When the request arrived.
        started_at: When the request was given a slot.
    """

    level: int
    deadline: float
    objective_deadline: float
    payload: typing.Any = None
    nested: bool = False
    nested_wait_s: float = 0.0
    wait_deadline: float = 0.0
    is_waiting: bool = False
    offered_at: float = 0.0
    started_at: float = 0.0

    @property
    def rank(self) -> int:
        """Rank of the level."""
        return self.level // levels.LEVELS_PER_RANK


class AdmissionQueue:
    """Decides which requests start, wait or are refused.

    Args:
        settings: Bounds on the queue and on the wait in it.
    """

    def __init__(self, settings: AdmissionQueueSettings):
        self._settings = settings
        self._queues: dict[int, collections.deque[Ticket]] = {}
        self._limit = 0
        self._running = 0
        self._waiting = 0
        self._service_times = service_times.ServiceTimes()
        self._capacity = capacity.Capacity(self._service_times)
        self._level = levels.AdmissionLevel(settings.level)
        # Windows of the requests that are not nested, by rank.
        self._windows: dict[int, windows.ChainWindow] = collections.defaultdict(
            windows.ChainWindow
        )
        self._adapted_at: float | None = None
        self._named_limit = named_limits.NamedLimit()

    @property
    def named_limit(self) -> named_limits.NamedLimit:
        """Limit on the request rate that the upstream names."""
        return self._named_limit

    @property
    def limit(self) -> int:
        """Number of requests that other nodes can expect to run here."""
        if self._named_limit.rate_per_s is None:
            return self._limit
        return self._named_limit.bound_concurrency(
            self._limit, self._service_times.mean_s or 0.0
        )

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return self._running

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return self._waiting

    @property
    def level(self) -> int:
        """Admission level; only nested requests are admitted below it."""
        return self._level.value

    @property
    def bounds(self) -> dict[int, float]:
        """Maximum number of chains in progress, for each bounded rank."""
        return {
            rank: window.size
            for rank, window in self._windows.items()
            if window.size is not None and not levels.is_nested_rank(rank)
        }

    def set_slots(self, slots: int) -> None:
        """Sets the limit from the number of slots of the upstream."""
        if slots <= 0:
            self._limit = 0
            return
        self._limit = max(1, int(slots * self._settings.usable_share))

    def offer(self, ticket: Ticket, now: float) -> Decision:
        """Decides whether a new request starts, waits or is refused.

        Args:
            ticket: The request.
            now: Current time, in seconds.
        """
        ticket.offered_at = now
        if now >= ticket.deadline:
            return Decision.REFUSE
        self._level.record(ticket.level)
        if not ticket.nested and ticket.level < self._level.value:
            return Decision.REFUSE
        if self._can_start(ticket, now) and not self._count_eligible(
            ticket.rank
        ):
            self._start(ticket, now)
            return Decision.START
        if self._limit == 0 or self._waiting >= self._settings.max_waiting:
            return Decision.REFUSE
        max_wait_s = self._max_wait_s(ticket, now)
        if max_wait_s <= 0 or self._expected_wait_s(ticket, now) > max_wait_s:
            return Decision.REFUSE
        ticket.wait_deadline = now + max_wait_s
        ticket.is_waiting = True
        queue = self._queues.setdefault(ticket.rank, collections.deque())
        queue.append(ticket)
        self._waiting += 1
        return Decision.WAIT

    def end(self, ticket: Ticket, now: float, answered: bool) -> None:
        """Frees the slot of a request that has ended.

        Args:
            ticket: The request.
            now: Current time, in seconds.
            answered: Whether the upstream responded.
        """
        self._running -= 1
        if not ticket.nested:
            self._windows[ticket.rank].record_end(
                now - ticket.started_at,
                ticket.nested_wait_s,
                ticket.objective_deadline - ticket.started_at,
                self._limit,
                now,
            )
        self._capacity.record_completion()
        if answered:
            self._service_times.record("", now - ticket.started_at, now)

    def tick(self, now: float) -> None:
        """Adapts the admission level when its interval has elapsed.

        Args:
            now: Current time, in seconds.
        """
        settings = self._settings
        if self._adapted_at is None:
            self._adapted_at = now
        elapsed_s = now - self._adapted_at
        if elapsed_s < settings.interval_s * 0.9:
            return
        self._adapted_at = now
        self._capacity.update(
            self._limit, self._count_eligible(0), elapsed_s, now
        )
        rate = self._named_limit.bound_rate(self._capacity.rate)
        if rate is None:
            return
        self._level.adapt(
            rate * elapsed_s,
            self._count_eligible,
            self._capacity.target_queue(rate, settings.max_wait_s),
            self._capacity.is_idle(self._running)
            and self._named_limit.allows(now),
        )

    def start_next(self, now: float) -> Ticket | None:
        """Gives a slot to the next waiting request.

        Args:
            now: Current time, in seconds.

        Returns:
            The request; None if no request may start.
        """
        if self._running >= self._limit or not self._waiting:
            return None
        if not self._named_limit.allows(now):
            return None
        for rank in sorted(self._queues, reverse=True):
            queue = self._queues[rank]
            while queue:
                if not queue[0].is_waiting:
                    queue.popleft()
                    continue
                if queue[0].wait_deadline <= now:
                    # Left in the queue for `expire` to return.
                    break
                if not self._can_start(queue[0], now):
                    break
                ticket = queue.popleft()
                self._remove(ticket)
                self._start(ticket, now)
                return ticket
        return None

    def withdraw(self, ticket: Ticket) -> None:
        """Removes a request from the queue if it is waiting."""
        if ticket.is_waiting:
            self._remove(ticket)

    def expire(self, now: float) -> list[Ticket]:
        """Removes and returns the waiting requests that have expired."""
        expired = []
        for queue in self._queues.values():
            for ticket in queue:
                if ticket.is_waiting and ticket.wait_deadline <= now:
                    self._remove(ticket)
                    expired.append(ticket)
            while queue and not queue[0].is_waiting:
                queue.popleft()
        return expired

    def clear(self) -> list[Ticket]:
        """Removes and returns all waiting requests."""
        tickets = [
            ticket
            for ticket in itertools.chain(*self._queues.values())
            if ticket.is_waiting
        ]
        for ticket in tickets:
            self._remove(ticket)
        self._queues.clear()
        return tickets

    def _expected_wait_s(self, ticket: Ticket, now: float) -> float:
        """Expected wait of a new request, in seconds."""
        if self._waits_for_window(ticket):
            ahead = len(self._queues.get(ticket.rank, ()))
            return self._windows[ticket.rank].expected_wait_s(ahead)
        rate = self._named_limit.bound_rate(self._capacity.rate)
        has_slot = self._running < self._limit
        if not rate or (has_slot and self._named_limit.allows(now)):
            return 0.0
        return (self._count_eligible(ticket.rank) + 1) / rate

    def _count_eligible(self, rank: int) -> int:
        """Number of requests of at least a rank that wait for a slot.

        Requests whose window is closed do not compete for slots, so they are
        not counted. Withdrawn requests count until they reach the head of their
        queue.
        """
        if not self._waiting:
            return 0
        return sum(
            len(queue)
            for queued_rank, queue in self._queues.items()
            if queued_rank >= rank and self._is_window_open(queued_rank)
        )

    def _is_window_open(self, rank: int) -> bool:
        """Whether the window of a rank is open; nested ranks have none."""
        return levels.is_nested_rank(rank) or self._windows[rank].is_open

    def _waits_for_window(self, ticket: Ticket) -> bool:
        """Whether a request can only start after its window opens."""
        return not ticket.nested and not self._is_window_open(ticket.rank)

    def _can_start(self, ticket: Ticket, now: float) -> bool:
        """Whether the slots, limit and window allow a request to start."""
        if self._running >= self._limit or not self._named_limit.allows(now):
            return False
        return ticket.nested or self._is_window_open(ticket.rank)

    def _max_wait_s(self, ticket: Ticket, now: float) -> float:
        """Longest time that a new request may wait, in seconds."""
        settings = self._settings
        time_left_s = ticket.deadline - now
        max_wait_s = time_left_s * settings.deadline_share
        if ticket.nested:
            return max_wait_s
        objective_left_s = max(ticket.objective_deadline - now, 0.0)
        # A response after the objective still has some value.
        min_objective_left_s = time_left_s * MIN_OBJECTIVE_LEFT_SHARE
        if ticket.rank > 0:
            mean_s = self._windows[ticket.rank].mean_s
            return min(
                max_wait_s, max(objective_left_s - mean_s, min_objective_left_s)
            )
        return (
            min(time_left_s, max(objective_left_s, min_objective_left_s))
            * settings.objective_share
        )

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.started_at = now
        self._running += 1
        self._named_limit.count_request(now)
        if not ticket.nested:
            self._windows[ticket.rank].record_start()

    def _remove(self, ticket: Ticket) -> None:
        ticket.is_waiting = False
        self._waiting -= 1
