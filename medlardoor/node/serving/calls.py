"""Calls in flight on the local upstream, identified by call tokens."""

import dataclasses
import secrets

from medlardoor import errors
from medlardoor.calls import context
from medlardoor.retries import budget as budget_module

__all__ = ["ActiveCall", "CallRegistry"]

TOKEN_BYTES = 12


@dataclasses.dataclass(slots=True)
class ActiveCall:
    """One call that runs or may run on the local upstream.

    Attributes:
        call: Context of the call.
        budget: Remaining retries of the call and its child calls.
        token: Opaque token that the upstream copies to its outgoing calls.
        may_have_run_child: Whether a child call was run or may have been run.
        path_level: Highest admission level reported for child calls.
        children: Number of child calls in progress, of unknown outcome.
        child_wait_s: Time in which at least one child call was in progress.
        child_wait_since: Start of the current period with child calls, in
            seconds.
    """

    call: context.CallContext
    budget: budget_module.RetryBudget
    token: str = ""
    may_have_run_child: bool = False
    path_level: int = 0
    children: int = 0
    child_wait_s: float = 0.0
    child_wait_since: float = 0.0

    @property
    def may_have_children(self) -> bool:
        """Whether a child call was run, may have been run or may yet run."""
        return self.may_have_run_child or self.children > 0

    def begin_child(self, now: float) -> None:
        """Records the start of a child call."""
        if self.children == 0:
            self.child_wait_since = now
        self.children += 1

    def end_child(self, outcome: errors.Outcome, now: float) -> None:
        """Records the end and the outcome of a child call."""
        self.children -= 1
        if self.children == 0:
            self.child_wait_s += now - self.child_wait_since
        if outcome is not errors.Outcome.NOT_RUN:
            self.may_have_run_child = True

    def take_unspent(self) -> int:
        """Takes all remaining retries, so that none can be spent later.

        Returns:
            Number of retries taken.
        """
        unspent = 0
        while self.budget.spend():
            unspent += 1
        return unspent


class CallRegistry:
    """Table of the calls in flight on the local upstream."""

    def __init__(self):
        self._calls: dict[str, ActiveCall] = {}
        self._next_call_id = 0

    def __len__(self) -> int:
        return len(self._calls)

    def new_call_id(self) -> int:
        """Returns a call identifier that is unique in this process."""
        self._next_call_id += 1
        return self._next_call_id

    def open(self, active: ActiveCall) -> None:
        """Assigns a token to a call; outgoing calls may now refer to it."""
        active.token = secrets.token_urlsafe(TOKEN_BYTES)
        self._calls[active.token] = active

    def close(self, active: ActiveCall) -> None:
        """Removes a call; later outgoing calls with its token are refused."""
        self._calls.pop(active.token, None)

    def find(self, token: str) -> ActiveCall | None:
        """Returns the call in flight with this token, or None."""
        return self._calls.get(token)
