"""Records outcomes of calls on the blackboard."""

from medlardoor import errors
from medlardoor.blackboard import board as board_module
from medlardoor.node import context

__all__ = ["OutcomeRecorder"]


class OutcomeRecorder:
    """Writes the topic ``outcomes``.

    Args:
        board: Shared state.
    """

    def __init__(self, board: board_module.Blackboard):
        self._topic = board.outcomes

    def record(
        self,
        call: context.CallContext,
        outcome: errors.Outcome,
        reason: errors.Reason | None,
        latency_s: float,
        now: float,
    ) -> None:
        """Counts one finished call."""
        key = (call.kind, outcome.value)
        self._topic.calls[key] = self._topic.calls.get(key, 0) + 1

    def record_trial_refusal(
        self, call: context.CallContext, reason: errors.Reason, now: float
    ) -> None:
        """Counts a call that only the document on trial would refuse."""
