"""Decision whether a failed call is retried."""

from collections import abc
import dataclasses
import random

from medlardoor import errors
from medlardoor.blackboard import topics
from medlardoor.calls import context
from medlardoor.retries import budget as budget_module
from medlardoor.retries import throttle as throttle_module

__all__ = ["GiveUp", "Retry", "RetryPolicy"]

# Reasons that depend on the node: another node may accept the call. All other
# reasons concern the request itself and apply at every node.
_RETRYABLE_REASONS = frozenset(
    {
        errors.Reason.OVERLOAD,
        errors.Reason.QUEUE_TIMEOUT,
        errors.Reason.UPSTREAM_UNAVAILABLE,
        errors.Reason.UPSTREAM_FAILED,
        errors.Reason.UPSTREAM_SHED,
        errors.Reason.NODE_UNREACHABLE,
        errors.Reason.NO_CONFIGURATION,
        errors.Reason.ISOLATED,
        errors.Reason.LEAVING,
    }
)

# After these reasons only a node with a low enough admission level may accept
# a retry.
_OVERLOAD_REASONS = frozenset(
    {
        errors.Reason.OVERLOAD,
        errors.Reason.QUEUE_TIMEOUT,
        errors.Reason.UPSTREAM_SHED,
    }
)

# Maximum random delay of a retry of a call that may have run, so that calls
# that failed together are not retried together.
_MAX_RETRY_JITTER_S = 0.02

# Two network passes and the shortest service times take longer than this, so a
# retry with less time left cannot be answered in time.
_MIN_TIME_LEFT_S = 0.005


@dataclasses.dataclass(frozen=True)
class Retry:
    """The call is retried at one of the alternatives.

    Attributes:
        delay_s: Delay before the retry, in seconds.
    """

    delay_s: float


@dataclasses.dataclass(frozen=True)
class GiveUp:
    """The call ends with a refusal.

    Attributes:
        refusal: Refusal to return, with the unspent budget filled in.
    """

    refusal: errors.Refusal


class RetryPolicy:
    """Decides on the retries of one node.

    Args:
        throttle: Bound on the share of retries of this node.
        generator: Source of the random delays.
    """

    def __init__(
        self,
        throttle: throttle_module.RetryThrottle,
        generator: random.Random,
    ):
        self._throttle = throttle
        self._generator = generator

    def decide(
        self,
        call: context.CallContext,
        refusal: errors.Refusal,
        budget: budget_module.RetryBudget,
        alternatives: abc.Sequence[topics.Member],
        now: float,
        expected_s: float = _MIN_TIME_LEFT_S,
    ) -> Retry | GiveUp:
        """Decides whether to retry a call.

        When this returns `Retry`, one retry is already spent from the budget;
        the caller must not spend it again.

        Args:
            call: Context of the failed call.
            refusal: Outcome and reason of the failure.
            budget: Retry budget of the call at this node.
            alternatives: Usable members that the call was not sent to yet.
            now: Current time, in seconds.
            expected_s: Expected duration of a run, in seconds.

        Returns:
            `Retry`, or `GiveUp` with the refusal to return.
        """
        if not self._is_retryable(call, refusal, alternatives):
            return self._give_up(refusal, budget)
        delay_s = self._retry_delay_s(refusal)
        needed_s = delay_s + max(expected_s, _MIN_TIME_LEFT_S)
        if now + needed_s > call.deadline:
            return self._give_up(refusal, budget)
        if budget.remaining == 0:
            return self._give_up(refusal, budget)
        if not self._passes_throttle(refusal):
            return self._give_up(refusal, budget)
        budget.spend()
        return Retry(delay_s)

    def _is_retryable(self, call, refusal, alternatives) -> bool:
        if refusal.reason not in _RETRYABLE_REASONS:
            return False
        if refusal.outcome is errors.Outcome.ANSWERED:
            return False
        is_unknown = refusal.outcome is errors.Outcome.UNKNOWN
        if is_unknown and not call.idempotent:
            return False
        if refusal.reason in _OVERLOAD_REASONS:
            return any(m.level <= call.level for m in alternatives)
        return len(alternatives) > 0

    def _passes_throttle(self, refusal) -> bool:
        # A refused connection puts no load on an upstream, and the loss of a
        # failure domain causes more of them than the throttle allows. The
        # budget of the chain still bounds these retries.
        is_not_run = refusal.outcome is errors.Outcome.NOT_RUN
        if is_not_run and refusal.reason is errors.Reason.NODE_UNREACHABLE:
            return True
        return self._throttle.try_retry()

    def _retry_delay_s(self, refusal) -> float:
        if refusal.outcome is errors.Outcome.NOT_RUN:
            return 0.0
        return self._generator.uniform(0.0, _MAX_RETRY_JITTER_S)

    def _give_up(self, refusal, budget) -> GiveUp:
        return GiveUp(
            dataclasses.replace(refusal, unspent_budget=budget.remaining)
        )
