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
    """The call has been given a slot and starts now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The call waits in the queue; a `Start` or `Drop` follows."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The call is refused by this node and was not executed.

    Attributes:
        refusal: Reason and retry hint for the caller.
    """

    refusal: errors.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """A queued call has been given a slot and starts now.

    Attributes:
        call_id: Identifier of the call.
    """

    call_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """A queued call was removed from the queue and is not executed.

    Attributes:
        call_id: Identifier of the call.
        refusal: Reason and retry hint for the caller.
    """

    call_id: int
    refusal: errors.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """Result of executing a call on the upstream.

    Attributes:
        latency_s: Time from the start to the end of the execution, in seconds.
        outcome: Whether the upstream responded, did not run the call, or this
            is unknown.
        shed: Whether the upstream refused the request or the connection
            because of its own load. False if only an outgoing call of the
            upstream was refused.
        child_wait_s: Part of the latency in which the upstream waited for its
            outgoing calls, in seconds. The concurrency limit excludes it, as a
            slow callee would otherwise look like overload of this upstream.
    """

    latency_s: float
    outcome: errors.Outcome
    shed: bool = False
    child_wait_s: float = 0.0


class AdmissionController:
    """Admits, queues or refuses calls to the local upstream.

    Publishes its state in the topic `limits`.

    Args:
        settings: Admission settings.
        board: Blackboard.
        generator: Random generator for the jitter of retry hints.
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
        self._service_times = service_times.ServiceTimes()
        self._refusal_floor = refusals.RefusalFloor(board)
        self._retry_hints = refusals.RetryHints(generator)
        self._running: dict[int, context.CallContext] = {}
        self._pending_drops: list[Drop] = []
        self._adapted_at: float | None = None
        self._capacity = capacity.Capacity(self._service_times)
        self._avg_max_wait_s = 1.0

    def offer(
        self, call: context.CallContext, now: float
    ) -> Admitted | Queued | Refused:
        """Decides whether a new call starts, queues or is refused.

        A call that cannot meet its deadline is refused. The marginal rank is
        the rank that the admission level splits. A call of this rank starts
        even below the level if a slot is free and the queue is empty, because
        refusing it would not help any other call. Calls of lower ranks and
        calls below the floor set by refusals are refused even then. While a
        call of a lower rank is queued, a call queues whatever its level,
        because the lower rank has to be refused first.

        Args:
            call: The call; its id is unique in this node.
            now: Current time, in seconds.

        Returns:
            The decision. A `Queued` call is started or dropped by an action
            that a later method returns.
        """
        self._level.record(call.level)
        self._avg_max_wait_s += (call.max_wait_s - self._avg_max_wait_s) * 0.01
        if now + self._service_times.expected_s(call.kind, now) > call.deadline:
            return self._refuse(call, errors.Reason.DEADLINE_EXCEEDED)
        has_slot = len(self._running) < self._limit.limit(now)
        if has_slot and not self._queue and call.level >= self._marginal_level:
            self._start_call(call, now)
            self._publish_counts()
            return Admitted()
        lowest = self._queue.lowest_rank
        outranks_queued = lowest is not None and lowest < call.rank
        if call.level < self._required_level(call) and not outranks_queued:
            return self._refuse(call, errors.Reason.OVERLOAD)
        return self._enqueue(call, now)

    def cancel(self, call_id: int, now: float) -> list[Start | Drop]:
        """Removes a queued or running call whose caller disconnected.

        Args:
            call_id: Identifier of the call; ignored if unknown.
            now: Current time, in seconds.

        Returns:
            Actions for other calls.
        """
        self._queue.cancel(call_id)
        self._running.pop(call_id, None)
        return self._start_queued(now)

    def finish(
        self, call_id: int, completion: Completion, now: float
    ) -> list[Start | Drop]:
        """Frees the slot of a finished call and records its latency.

        Args:
            call_id: Identifier of the call; ignored if it was cancelled.
            completion: Result of its execution.
            now: Current time, in seconds.

        Returns:
            Actions for other calls.
        """
        call = self._running.pop(call_id, None)
        if call is not None:
            self._record_completion(call, completion, now)
        return self._start_queued(now)

    def tick(self, now: float) -> list[Start | Drop]:
        """Adapts level and limit, and drops queued calls that have expired.

        Args:
            now: Current time, in seconds.

        Returns:
            Actions for queued calls.
        """
        if self._adapted_at is None:
            self._adapted_at = now
        self._limit.tick(now)
        elapsed_s = now - self._adapted_at
        if elapsed_s >= self._settings.interval_s * 0.9:
            self._adapted_at = now
            self._adapt_level(elapsed_s, now)
        self._refusal_floor.update(now)
        self._publish(now)
        expected_s = self._service_times.expected_s
        for entry in self._queue.expire(
            now, lambda kind: expected_s(kind, now)
        ):
            self._drop_expired(entry, now)
        return self._start_queued(now)

    def record_failed_forwarding(self, rank: int, now: float) -> None:
        """Records that this node and the peers it tried refused a call.

        Args:
            rank: Rank of the call.
            now: Current time, in seconds.
        """
        self._refusal_floor.record_refusal(rank, now)
        self._publish(now)

    def restart_upstream(self, now: float) -> None:
        """Starts the ramp-up of a restarted upstream.

        The executions in the previous process have ended with it.

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
        return max(self._level.value, self._refusal_floor.level)

    def _required_level(self, call: context.CallContext) -> int:
        """Lowest level at which a call may queue.

        Work has already been done for a call from inside the graph, so within
        the marginal rank it takes precedence over new chains. The path level
        limits the number of chains where they enter the graph.
        """
        if call.depth > 0:
            return self._marginal_level
        return self._effective_level

    @property
    def _marginal_level(self) -> int:
        """Lowest level of the marginal rank, or the floor if it is higher."""
        marginal = self._level.value // levels.LEVELS_PER_RANK
        return max(marginal * levels.LEVELS_PER_RANK, self._refusal_floor.level)

    def _enqueue(self, call, now) -> Queued | Refused:
        self._queue.push(call, now)
        if len(self._queue) > self._policy().max_queue:
            evicted = self._queue.evict()
            if evicted.call.call_id == call.call_id:
                return self._refuse(call, errors.Reason.OVERLOAD)
            self._drop(evicted.call, errors.Reason.OVERLOAD)
        self._publish_counts()
        return Queued()

    def _start_call(self, call, now) -> None:
        self._running[call.call_id] = call
        self._limit.record_start(len(self._running), now)

    def _record_completion(self, call, completion, now) -> None:
        is_answered = completion.outcome is errors.Outcome.ANSWERED
        self._capacity.record_completion()
        if is_answered and not completion.shed:
            self._service_times.record(call.kind, completion.latency_s, now)
        own_s = max(0.0, completion.latency_s - completion.child_wait_s)
        self._limit.record_end(
            call.kind, own_s, is_answered, completion.shed, now
        )

    def _start_queued(self, now) -> list[Start | Drop]:
        actions: list[Start | Drop] = []
        limit = self._limit.limit(now)
        while self._queue and len(self._running) < limit:
            entry = self._queue.pop()
            service_s = self._service_times.expected_s(entry.call.kind, now)
            if not entry.can_start(now, service_s):
                self._drop_expired(entry, now)
                continue
            self._start_call(entry.call, now)
            actions.append(Start(entry.call.call_id))
        actions += self._pending_drops
        self._pending_drops = []
        self._publish_counts()
        return actions

    def _adapt_level(self, elapsed_s: float, now: float) -> None:
        limit = self._limit.limit(now)
        queued = len(self._queue)
        self._capacity.update(limit, queued, elapsed_s, now)
        rate = self._capacity.rate
        if rate is None:
            return
        self._level.adapt(
            rate * self._settings.interval_s,
            self._queue.count_from_rank,
            self._capacity.target_queue(rate, self._avg_max_wait_s),
            self._capacity.is_idle(len(self._running)),
        )
        self._retry_hints.update(queued, rate, self._avg_max_wait_s)

    def _refuse(self, call, reason) -> Refused:
        return Refused(self.refusal(call, reason))

    def path_level(self, now: float) -> int:
        """Admission level to report to callers of this service.

        A call that this node refuses is forwarded to a peer with a lower level,
        and members whose level is above that of a call are not selected.
        Callers therefore receive the lowest level of the serving members, not
        that of this node, but at least the floor set by refusals.

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
            # Members push only level changes of at least a full rank at once,
            # so a level within the same rank may be a second old.
            if member.level // levels.LEVELS_PER_RANK < rank:
                lowest = min(lowest, member.level)
        return max(lowest, self._refusal_floor.level)

    def refusal(
        self,
        call: context.CallContext,
        reason: errors.Reason = errors.Reason.OVERLOAD,
    ) -> errors.Refusal:
        """Builds the refusal of a call that was not executed.

        Args:
            call: The call.
            reason: Reason for the refusal.

        Returns:
            The refusal, with a hint when the caller may retry.
        """
        return errors.Refusal(
            errors.Outcome.NOT_RUN,
            reason,
            retry_after_ms=self._retry_hints.retry_after_ms(reason),
            unspent_budget=call.budget,
        )

    def _drop_expired(self, entry, now) -> None:
        service_s = self._service_times.expected_s(entry.call.kind, now)
        reason = errors.Reason.QUEUE_TIMEOUT
        if now + service_s > entry.call.deadline:
            reason = errors.Reason.DEADLINE_EXCEEDED
        self._drop(entry.call, reason)

    def _drop(self, call, reason) -> None:
        self._pending_drops.append(
            Drop(call.call_id, self.refusal(call, reason))
        )

    def _publish(self, now: float) -> None:
        topic = self._board.limits
        topic.limit = self._limit.limit(now)
        topic.level = self._level.value
        topic.effective_level = self._effective_level
        topic.refused_rank = self._refusal_floor.highest_local_rank(now)
        topic.warmth_percent = self._limit.warmth_percent(now)
        self._publish_counts()

    def _publish_counts(self) -> None:
        topic = self._board.limits
        topic.in_flight = len(self._running)
        topic.queued = len(self._queue)
