"""Admission of calls to the local upstream."""

import dataclasses
import random

from medlardoor import errors
from medlardoor.admission import (
    capacity,
    levels,
    limits,
    queueing,
    refusals,
    service_times,
)
from medlardoor.blackboard import board as board_module
from medlardoor.blackboard import topics
from medlardoor.calls import context
from medlardoor.config import policy as policy_module
from medlardoor.config import settings as settings_module

__all__ = [
    "AdmissionController",
    "Admitted",
    "Completion",
    "Drop",
    "Queued",
    "Refused",
    "Start",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The call holds a slot and starts now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The call waits; `Start` or `Drop` follows."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The call is not run here.

    Attributes:
        refusal: Why.
    """

    refusal: errors.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """A queued call holds a slot and starts now.

    Attributes:
        call_id: The call.
    """

    call_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """A queued call is not run here.

    Attributes:
        call_id: The call.
        refusal: Why.
    """

    call_id: int
    refusal: errors.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """How a run on the upstream ended.

    Attributes:
        latency_s: Time from start to end, in seconds.
        outcome: What is known about the run.
        shed: Whether the upstream refused the request, or the connection,
            because of its own load; not if a call below was refused.
        called_s: Part of the latency in which the upstream waited for its
            outgoing calls, in seconds. Without it, a slow service below
            looks like overload of this upstream.
    """

    latency_s: float
    outcome: errors.Outcome
    shed: bool = False
    called_s: float = 0.0


class AdmissionController:
    """Writes the topic `limits`.

    Args:
        settings: Settings of admission.
        board: Blackboard.
        generator: Source of the spread of retry hints.
        limit: Concurrency limit; an `AdaptiveLimit` if None.
    """

    def __init__(
        self,
        settings: settings_module.AdmissionSettings,
        board: board_module.Blackboard,
        generator: random.Random,
        limit: limits.ConcurrencyLimit | None = None,
    ):
        self._settings = settings
        self._board = board
        self._limit = limit or limits.AdaptiveLimit(settings, board)
        self._level = levels.AdmissionLevel()
        self._queue = queueing.PriorityQueue()
        self._times = service_times.ServiceTimes()
        self._floor = refusals.RefusedRanks(board)
        self._hints = refusals.RetryHints(generator)
        self._running: dict[int, context.CallContext] = {}
        self._drops: list[Drop] = []
        self._adapted_at: float | None = None
        self._capacity = capacity.Capacity(self._times)
        self._max_wait_s = 1.0

    def offer(
        self, call: context.CallContext, now: float
    ) -> Admitted | Queued | Refused:
        """Decides on a new call.

        A call of the marginal rank that is below the admission level still
        runs if a slot is free and nothing waits, because refusing it would
        help nobody. Lower ranks do not, and the floor that peers' refusals
        set holds even then. A call still queues if something of a lower rank
        waits, because that has to be refused before it.

        Args:
            call: The call; its id is unique in this node.
            now: Current time, in seconds.
        """
        self._level.record(call.level)
        self._max_wait_s += (call.max_wait_s - self._max_wait_s) * 0.01
        if now + self._times.expected(call.kind, now) > call.deadline:
            return self._refuse(call, errors.Reason.DEADLINE_EXCEEDED)
        room = len(self._running) < self._limit.limit(now)
        if room and not self._queue and call.level >= self._marginal_level:
            self._run(call, now)
            self._publish_counts()
            return Admitted()
        lowest = self._queue.lowest_rank
        outranks = lowest is not None and lowest < call.rank
        if call.level < self._required_level(call) and not outranks:
            return self._refuse(call, errors.Reason.OVERLOAD)
        return self._enqueue(call, now)

    def cancel(self, call_id: int, now: float) -> list[Start | Drop]:
        """Ends a call whose caller has gone, queued or running.

        Args:
            call_id: The call; an unknown one is ignored.
            now: Current time, in seconds.

        Returns:
            What to do with other calls.
        """
        self._queue.cancel(call_id)
        self._running.pop(call_id, None)
        return self._fill(now)

    def finish(
        self, call_id: int, completion: Completion, now: float
    ) -> list[Start | Drop]:
        """Frees the slot of a call.

        Args:
            call_id: The call; one that was cancelled before is ignored.
            completion: How its run ended.
            now: Current time, in seconds.

        Returns:
            What to do with other calls.
        """
        call = self._running.pop(call_id, None)
        if call is not None:
            self._learn(call, completion, now)
        return self._fill(now)

    def tick(self, now: float) -> list[Start | Drop]:
        """Adapts level and limit, and drops calls that are late.

        Args:
            now: Current time, in seconds.

        Returns:
            What to do with queued calls.
        """
        if self._adapted_at is None:
            self._adapted_at = now
        self._limit.tick(now)
        elapsed_s = now - self._adapted_at
        if elapsed_s >= self._settings.interval_s * 0.9:
            self._adapted_at = now
            self._adapt(elapsed_s, now)
        self._floor.update(now)
        self._publish(now)
        expected = self._times.expected
        for entry in self._queue.expire(now, lambda kind: expected(kind, now)):
            self._drop_late(entry, now)
        return self._fill(now)

    def report_handoff_failed(self, rank: int, now: float) -> None:
        """Notes that a call was refused after peers refused it too.

        Args:
            rank: Rank of the call.
            now: Current time, in seconds.
        """
        self._floor.refuse(rank, now)
        self._publish(now)

    def restart_upstream(self, now: float) -> None:
        """Begins the cold ramp; runs of the old process have ended.

        Args:
            now: Current time, in seconds.
        """
        self._limit.restart(now)
        self._publish(now)

    def _policy(self) -> policy_module.ServicePolicy:
        policy = self._board.policy.policy
        if policy is None:
            return policy_module.ServicePolicy()
        return policy.service(self._board.service)

    @property
    def _effective_level(self) -> int:
        return max(self._level.value, self._floor.level)

    def _required_level(self, call: context.CallContext) -> int:
        """Level that a call needs to queue.

        Work was already done for a call from inside the graph, so in the
        marginal rank it goes before new chains. Their number is limited
        where they enter, by the path level.
        """
        if call.depth > 0:
            return self._marginal_level
        return self._effective_level

    @property
    def _marginal_level(self) -> int:
        """Lowest level of the rank that is admitted in part."""
        marginal = self._level.value // levels.LEVELS_PER_RANK
        return max(marginal * levels.LEVELS_PER_RANK, self._floor.level)

    def _enqueue(self, call, now) -> Queued | Refused:
        self._queue.push(call, now)
        if len(self._queue) > self._policy().max_queue:
            evicted = self._queue.evict()
            if evicted.call.call_id == call.call_id:
                return self._refuse(call, errors.Reason.OVERLOAD)
            self._drop(evicted.call, errors.Reason.OVERLOAD)
        self._publish_counts()
        return Queued()

    def _run(self, call, now) -> None:
        self._running[call.call_id] = call
        self._limit.started(len(self._running), now)

    def _learn(self, call, completion, now) -> None:
        ok = completion.outcome is errors.Outcome.ANSWERED
        self._capacity.completed()
        if ok and not completion.shed:
            self._times.record(call.kind, completion.latency_s, now)
        own_s = max(0.0, completion.latency_s - completion.called_s)
        self._limit.finished(call.kind, own_s, ok, completion.shed, now)

    def _fill(self, now) -> list[Start | Drop]:
        actions: list[Start | Drop] = []
        limit = self._limit.limit(now)
        while self._queue and len(self._running) < limit:
            entry = self._queue.pop()
            service_s = self._times.expected(entry.call.kind, now)
            if not entry.can_start(now, service_s):
                self._drop_late(entry, now)
                continue
            self._run(entry.call, now)
            actions.append(Start(entry.call.call_id))
        actions += self._drops
        self._drops = []
        self._publish_counts()
        return actions

    def _adapt(self, elapsed_s: float, now: float) -> None:
        limit = self._limit.limit(now)
        queued = len(self._queue)
        self._capacity.update(limit, queued, elapsed_s, now)
        rate = self._capacity.rate
        if rate is None:
            return
        self._level.adapt(
            rate * self._settings.interval_s,
            self._queue.count_from,
            self._capacity.target_queue(self._max_wait_s),
            self._capacity.is_idle(len(self._running)),
        )
        self._hints.update(queued, rate, self._max_wait_s)

    def _refuse(self, call, reason) -> Refused:
        return Refused(self.refusal(call, reason))

    def path_level(self, now: float) -> int:
        """Level to report to callers of this service.

        A call that is refused here is forwarded to a peer with a lower level,
        and members above the level of a call are not selected. So callers
        are told the lowest level of the service and not the one of this
        node, but never less than the floor from refusals.

        Args:
            now: Current time, in seconds.
        """
        lowest = self._level.value
        rank = lowest // levels.LEVELS_PER_RANK
        for member in self._board.membership.members.values():
            if member.state is not topics.MemberState.SERVING:
                continue
            if now - member.heard_at > refusals.RECORD_MAX_AGE_S:
                continue
            # Only changes by a full rank are pushed: within the same rank
            # the level in a record may be a second old.
            if member.level // levels.LEVELS_PER_RANK < rank:
                lowest = min(lowest, member.level)
        return max(lowest, self._floor.level)

    def refusal(
        self,
        call: context.CallContext,
        reason: errors.Reason = errors.Reason.OVERLOAD,
    ) -> errors.Refusal:
        """Refusal of a call that was not run, with a hint when to return.

        Args:
            call: The call.
            reason: Why it is refused.
        """
        return errors.Refusal(
            errors.Outcome.NOT_RUN,
            reason,
            retry_after_ms=self._hints.retry_after_ms(reason),
            unspent_budget=call.budget,
        )

    def _drop_late(self, entry, now) -> None:
        service_s = self._times.expected(entry.call.kind, now)
        reason = errors.Reason.QUEUE_TIMEOUT
        if now + service_s > entry.call.deadline:
            reason = errors.Reason.DEADLINE_EXCEEDED
        self._drop(entry.call, reason)

    def _drop(self, call, reason) -> None:
        self._drops.append(Drop(call.call_id, self.refusal(call, reason)))

    def _publish(self, now: float) -> None:
        topic = self._board.limits
        topic.limit = self._limit.limit(now)
        topic.level = self._level.value
        topic.effective_level = self._effective_level
        topic.refused_rank = self._floor.own_rank(now)
        topic.warmth_percent = self._limit.warmth_percent(now)
        self._publish_counts()

    def _publish_counts(self) -> None:
        topic = self._board.limits
        topic.in_flight = len(self._running)
        topic.queued = len(self._queue)
