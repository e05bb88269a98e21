"""Bounded waiting for a slot of the local upstream, by level.

The load that this answers: a service whose slots are all busy gets urgent and
cheap calls of work that is already running elsewhere, and expensive requests
of low priority. The former must not wait behind the latter, and a request that
would wait too long to be useful is refused at once, while its caller can still
go elsewhere. Work that needs several such calls is of no use if one of them is
refused, so the admission level refuses requests that have cost nothing yet, and
the number of chains in progress is bounded where they start.
"""

import collections
import dataclasses
import enum
import itertools
import typing

from medlardoor.admission import capacity, levels, service_times, windows

__all__ = ["Decision", "Ticket", "WaitingRoom", "WaitingSettings"]

# Share of the time left that counts once the objective has passed.
LATE_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingSettings:
    """Bounds of waiting.

    Attributes:
        goal_share: Longest wait of rank 0, as a share of the time until the
            response-time objective passes. A caller that is refused within an
            eighth of it can still be served elsewhere. Requests of other ranks
            wait longer if they can still end within their objective.
        deadline_share: Longest wait of all others, as a share of the time
            left. They are served next, and refusing a call of work that is
            already running wastes that work.
        max_waiting: Requests that may wait.
        usable_share: Share of the slots that is used. Upstreams turn slow
            when nearly all of their slots are busy.
        interval_s: Pause between two adaptations of the admission level.
        max_wait_s: Wait that the admission level keeps the queue below.
        level: How fast the admission level works off a queue. Each call comes
            when the former one was answered, so calls in a queue stand for
            many more to come, and new chains are kept out until it is short.
    """

    goal_share: float = 0.12
    deadline_share: float = 0.6
    max_waiting: int = 2_000
    usable_share: float = 0.945
    interval_s: float = 0.1
    max_wait_s: float = 0.25
    level: levels.LevelSettings = levels.LevelSettings(
        queue_gain=0.4, min_room=0.2
    )


class Decision(enum.Enum):
    """What happens to an offered request."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A request that wants a slot.

    Attributes:
        level: Importance; see `levels.level_of`. Higher ranks go first.
        deadline: When the caller stops waiting, in seconds.
        goal_by: When the response-time objective passes, in seconds.
        payload: What the owner of the room attaches.
        nested: Whether a run in progress makes the request. Its work is lost
            with this call, so the admission level does not apply to it.
        calls_waited_s: How long the calls of its run have waited, in seconds;
            kept by the owner of the room.
        leave_by: When the ticket stops waiting; set by the room.
        waiting: Whether the ticket is in the room; set by the room.
        offered_at: When the request came; set by the room.
        started_at: When the request got its slot; set by the room.
    """

    level: int
    deadline: float
    goal_by: float
    payload: typing.Any = None
    nested: bool = False
    calls_waited_s: float = 0.0
    leave_by: float = 0.0
    waiting: bool = False
    offered_at: float = 0.0
    started_at: float = 0.0

    @property
    def rank(self) -> int:
        """Rank of the level."""
        return self.level // levels.LEVELS_PER_RANK


class WaitingRoom:
    """Decides which requests start, wait or are refused.

    Args:
        settings: Bounds of waiting.
    """

    def __init__(self, settings: WaitingSettings):
        self._settings = settings
        self._queues: dict[int, collections.deque[Ticket]] = {}
        self._limit = 0
        self._running = 0
        self._waiting = 0
        self._times = service_times.ServiceTimes()
        self._capacity = capacity.Capacity(self._times)
        self._level = levels.AdmissionLevel(settings.level)
        # Requests that are not nested, by rank.
        self._windows: dict[int, windows.ChainWindow] = collections.defaultdict(
            windows.ChainWindow
        )
        self._adapted_at: float | None = None

    @property
    def limit(self) -> int:
        """Requests that may run at the same time."""
        return self._limit

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return self._running

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return self._waiting

    @property
    def level(self) -> int:
        """Admission level: requests below it are refused."""
        return self._level.value

    @property
    def bounds(self) -> dict[int, float]:
        """Chains that may be in progress, by rank, where they are bounded."""
        return {
            rank: window.size
            for rank, window in self._windows.items()
            if window.size is not None and not levels.is_nested(rank)
        }

    def set_slots(self, slots: int) -> None:
        """Sets the limit from the slots of the upstream."""
        if slots <= 0:
            self._limit = 0
            return
        self._limit = max(1, int(slots * self._settings.usable_share))

    def offer(self, ticket: Ticket, now: float) -> Decision:
        """Decides about a new request.

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
        if self._is_free(ticket) and not self._ahead(ticket.rank):
            self._start(ticket, now)
            return Decision.START
        if self._limit == 0 or self._waiting >= self._settings.max_waiting:
            return Decision.REFUSE
        patience = self._patience(ticket, now)
        if patience <= 0 or self._expected_wait(ticket) > patience:
            return Decision.REFUSE
        ticket.leave_by = now + patience
        ticket.waiting = True
        queue = self._queues.setdefault(ticket.rank, collections.deque())
        queue.append(ticket)
        self._waiting += 1
        return Decision.WAIT

    def end(self, ticket: Ticket, now: float, answered: bool) -> None:
        """Notes that a running request has ended.

        Args:
            ticket: The request.
            now: Current time, in seconds.
            answered: Whether the upstream gave an answer.
        """
        self._running -= 1
        if not ticket.nested:
            self._windows[ticket.rank].ended(
                now - ticket.started_at,
                ticket.calls_waited_s,
                ticket.goal_by - ticket.started_at,
                self._limit,
                now,
            )
        self._capacity.completed()
        if answered:
            self._times.record("", now - ticket.started_at, now)

    def tick(self, now: float) -> None:
        """Adapts the admission level if it is time.

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
        self._capacity.update(self._limit, self._ahead(0), elapsed_s, now)
        rate = self._capacity.rate
        if rate is None:
            return
        self._level.adapt(
            rate * elapsed_s,
            self._ahead,
            self._capacity.target_queue(settings.max_wait_s),
            self._capacity.is_idle(self._running),
        )

    def start_next(self, now: float) -> Ticket | None:
        """Takes the next request that may start, or None.

        Args:
            now: Current time, in seconds.
        """
        if self._running >= self._limit or not self._waiting:
            return None
        for rank in sorted(self._queues, reverse=True):
            queue = self._queues[rank]
            while queue:
                if not queue[0].waiting:
                    queue.popleft()
                    continue
                if queue[0].leave_by <= now:
                    # `expire` reports it to its owner.
                    break
                if not self._is_free(queue[0]):
                    break
                ticket = queue.popleft()
                self._remove(ticket)
                self._start(ticket, now)
                return ticket
        return None

    def withdraw(self, ticket: Ticket) -> None:
        """Removes a request that waits."""
        if ticket.waiting:
            self._remove(ticket)

    def expire(self, now: float) -> list[Ticket]:
        """Removes and returns the requests that have waited too long."""
        expired = []
        for queue in self._queues.values():
            for ticket in queue:
                if ticket.waiting and ticket.leave_by <= now:
                    self._remove(ticket)
                    expired.append(ticket)
            while queue and not queue[0].waiting:
                queue.popleft()
        return expired

    def clear(self) -> list[Ticket]:
        """Removes and returns all requests that wait."""
        tickets = [
            ticket
            for ticket in itertools.chain(*self._queues.values())
            if ticket.waiting
        ]
        for ticket in tickets:
            self._remove(ticket)
        self._queues.clear()
        return tickets

    def _expected_wait(self, ticket: Ticket) -> float:
        """Expected wait of a new request, in seconds."""
        if self._is_bounded(ticket):
            ahead = len(self._queues.get(ticket.rank, ()))
            return self._windows[ticket.rank].expected_wait(ahead)
        rate = self._capacity.rate
        if not rate or self._running < self._limit:
            return 0.0
        return (self._ahead(ticket.rank) + 1) / rate

    def _ahead(self, rank: int) -> int:
        """Requests of at least a rank that wait for a slot.

        Those that wait for their window to open leave the slots to others.
        """
        if not self._waiting:
            return 0
        return sum(
            len(queue)
            for other, queue in self._queues.items()
            if other >= rank and self._may_start(other)
        )

    def _may_start(self, rank: int) -> bool:
        """Whether the window of a rank is open; nested calls have none."""
        return levels.is_nested(rank) or self._windows[rank].is_open

    def _is_bounded(self, ticket: Ticket) -> bool:
        """Whether a request has to wait for its window to open."""
        return not ticket.nested and not self._may_start(ticket.rank)

    def _is_free(self, ticket: Ticket) -> bool:
        """Whether there is a slot that a request may take."""
        if self._running >= self._limit:
            return False
        return ticket.nested or self._may_start(ticket.rank)

    def _patience(self, ticket: Ticket, now: float) -> float:
        settings = self._settings
        left = ticket.deadline - now
        longest = left * settings.deadline_share
        if ticket.nested:
            return longest
        goal_left = max(ticket.goal_by - now, 0.0)
        # After the objective has passed an answer still has some value.
        late = left * LATE_SHARE
        if ticket.rank > 0:
            mean_s = self._windows[ticket.rank].mean_s
            return min(longest, max(goal_left - mean_s, late))
        return min(left, max(goal_left, late)) * settings.goal_share

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.started_at = now
        self._running += 1
        if not ticket.nested:
            self._windows[ticket.rank].started()

    def _remove(self, ticket: Ticket) -> None:
        ticket.waiting = False
        self._waiting -= 1
