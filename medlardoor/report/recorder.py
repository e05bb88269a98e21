"""Records outcomes of calls on the blackboard."""

from medlardoor import errors
from medlardoor.blackboard import board as board_module
from medlardoor.blackboard import topics
from medlardoor.calls import context
from medlardoor.report import windows

__all__ = ["MAX_KINDS", "OutcomeRecorder"]

# A node sees the few kinds of its service; the bound protects its memory
# against a document with thousands of kinds. An hour of a kind takes 1.2 MB
# at 50 requests a second.
MAX_KINDS = 16
# Refusals after a quiet time of this length are a new run of refusals.
QUIET_S = 60.0
KEEP_REFUSAL_S = 600.0
MAX_REFUSALS = 256

# Ends that the caller brought about; they say nothing about the service.
_CALLER_REASONS = frozenset(
    {
        errors.Reason.CANCELLED,
        errors.Reason.KEY_REQUIRED,
        errors.Reason.KEY_INVALID,
        errors.Reason.KEY_RETIRED,
        errors.Reason.KEY_MISMATCH,
        errors.Reason.INVALID_REQUEST,
        errors.Reason.CREDENTIALS_MISSING,
        errors.Reason.CREDENTIALS_INVALID,
    }
)


class OutcomeRecorder:
    """Writes the topic ``outcomes``.

    Args:
        board: Shared state.
    """

    def __init__(self, board: board_module.Blackboard):
        self._board = board
        self._topic = board.outcomes

    def record(
        self,
        call: context.CallContext,
        outcome: errors.Outcome,
        reason: errors.Reason | None,
        latency_s: float,
        now: float,
    ) -> None:
        """Counts one finished call.

        Args:
            call: The call.
            outcome: What is known about its run.
            reason: Why there is no good answer. An answer of the upstream
                with a 5xx status has the outcome ``ANSWERED`` and the reason
                ``UPSTREAM_FAILED``.
            latency_s: Time from arrival to the end, in seconds.
            now: Current time, in seconds.
        """
        key = (call.kind, outcome.value)
        self._topic.calls[key] = self._topic.calls.get(key, 0) + 1
        if outcome is not errors.Outcome.ANSWERED and reason is not None:
            self._count_refusal(call, outcome, reason, False, now)
        kind_windows = self._windows_for(call.kind, now)
        if kind_windows is None:
            return
        slow = latency_s * 1_000 > kind_windows.objective.latency_ms
        failed = reason is not None and reason not in _CALLER_REASONS
        answered = outcome is errors.Outcome.ANSWERED
        kind_windows.record(
            failed or slow, latency_s if answered else None, now
        )

    def record_trial_refusal(
        self, call: context.CallContext, reason: errors.Reason, now: float
    ) -> None:
        """Counts a call that only the document on trial would refuse."""
        self._count_refusal(call, errors.Outcome.NOT_RUN, reason, True, now)

    def _count_refusal(self, call, outcome, reason, trial, now):
        refusals = self._topic.refusals
        key = (call.kind, reason.value, trial)
        found = refusals.get(key)
        if found is None:
            self._drop_old_refusals(now)
        if found is None or now - found.last_at > QUIET_S:
            found = refusals[key] = topics.RecentRefusal(
                team=call.team,
                kind=call.kind,
                reason=reason.value,
                outcome=outcome.value,
                count=0,
                first_at=now,
                last_at=now,
                trial=trial,
            )
        # One doubtful end is what an operator has to know about.
        if outcome is errors.Outcome.UNKNOWN:
            found.outcome = outcome.value
        found.count += 1
        found.last_at = now

    def _drop_old_refusals(self, now):
        refusals = self._topic.refusals
        for key, found in list(refusals.items()):
            if now - found.last_at > KEEP_REFUSAL_S:
                del refusals[key]
        if len(refusals) >= MAX_REFUSALS:
            del refusals[min(refusals, key=lambda k: refusals[k].last_at)]

    def _windows_for(self, name, now):
        policy = self._board.policy.policy
        kind = policy.kinds.get(name) if policy else None
        if kind is None:
            return None
        histograms = self._topic.histograms
        found = histograms.pop(name, None)
        if found is None or found.objective != kind.objective:
            if len(histograms) >= MAX_KINDS:
                del histograms[next(iter(histograms))]
            found = windows.KindWindows(kind.objective, now)
        # The order of insertion is the order of last use.
        histograms[name] = found
        return found
