"""Decision whether a call that failed is sent again."""

from collections import abc
import dataclasses
import random

from medlardoor import errors
from medlardoor.blackboard import topics
from medlardoor.calls import context
from medlardoor.retries import budget as budget_module
from medlardoor.retries import throttle as throttle_module

__all__ = ["GiveUp", "Retry", "RetryPolicy"]

# Refusals that another node may not share. All others concern the request
# itself and would be repeated everywhere.
_LOCAL_REASONS = frozenset(
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

# A retry for these reasons only helps at a node with a lower level.
_LOAD_REASONS = frozenset(
    {
        errors.Reason.OVERLOAD,
        errors.Reason.QUEUE_TIMEOUT,
        errors.Reason.UPSTREAM_SHED,
    }
)

# Spread of the delay before a retry after an unknown outcome, so that calls
# that failed together do not return together.
_MAX_DELAY_S = 0.02

# A retry with less time left than this cannot be answered in time: two
# network passes and the shortest service times are longer.
_MIN_TIME_LEFT_S = 0.005


@dataclasses.dataclass(frozen=True)
class Retry:
    """The call is sent again, to one of the alternatives.

    Attributes:
        delay_s: Time to wait before, in seconds.
    """

    delay_s: float


@dataclasses.dataclass(frozen=True)
class GiveUp:
    """The call ends with a refusal.

    Attributes:
        refusal: The refusal to return, with the unspent budget filled in.
    """

    refusal: errors.Refusal


class RetryPolicy:
    """Decides on retries of one node.

    Args:
        throttle: Bound on the share of retries of this node.
        generator: Source of the spread of delays.
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
        """Decides whether to send a call again.

        On `Retry` one retry has been spent from the budget; the caller does
        not spend it a second time.

        Args:
            call: The call that failed.
            refusal: How it failed.
            budget: Budget of the call at this node.
            alternatives: Usable members that the call was not sent to yet.
            now: Current time, in seconds.
            expected_s: Time that a run is expected to take, in seconds.

        Returns:
            `Retry`, or `GiveUp` with the refusal to return.
        """
        if not self._may_help(call, refusal, alternatives):
            return self._give_up(refusal, budget)
        delay_s = self._delay(refusal)
        needed_s = delay_s + max(expected_s, _MIN_TIME_LEFT_S)
        if now + needed_s > call.deadline:
            return self._give_up(refusal, budget)
        if budget.remaining == 0:
            return self._give_up(refusal, budget)
        if not self._within_throttle(refusal):
            return self._give_up(refusal, budget)
        budget.spend()
        return Retry(delay_s)

    def _may_help(self, call, refusal, alternatives) -> bool:
        if refusal.reason not in _LOCAL_REASONS:
            return False
        if refusal.outcome is errors.Outcome.ANSWERED:
            return False
        unknown = refusal.outcome is errors.Outcome.UNKNOWN
        if unknown and not call.idempotent:
            return False
        if refusal.reason in _LOAD_REASONS:
            return any(m.level <= call.level for m in alternatives)
        return len(alternatives) > 0

    def _within_throttle(self, refusal) -> bool:
        # A refused connection cost no upstream anything, and when a failure
        # domain is lost there are more of them than the throttle allows. The
        # budget of the chain still bounds them.
        never_sent = refusal.outcome is errors.Outcome.NOT_RUN
        if never_sent and refusal.reason is errors.Reason.NODE_UNREACHABLE:
            return True
        return self._throttle.try_retry()

    def _delay(self, refusal) -> float:
        if refusal.outcome is errors.Outcome.NOT_RUN:
            return 0.0
        return self._generator.uniform(0.0, _MAX_DELAY_S)

    def _give_up(self, refusal, budget) -> GiveUp:
        return GiveUp(
            dataclasses.replace(refusal, unspent_budget=budget.remaining)
        )
