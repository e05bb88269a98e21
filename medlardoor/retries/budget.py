"""Retry budget of one call chain."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Retries that one call and all calls below it may spend.

    The budget is conserved: the retries that a node spends, hands to outgoing
    calls and keeps never exceed the retries it received. The share of a call
    whose response is lost is not recovered, so the number of retries in a tree
    of calls is at most the initial budget (G1).

    Args:
        remaining: Retries that may be spent; negative values count as 0.
    """

    __slots__ = ("_outstanding", "_remaining", "_spent")

    def __init__(self, remaining: int):
        self._remaining = max(0, remaining)
        self._outstanding = 0
        self._spent = 0

    @property
    def remaining(self) -> int:
        """Retries that this node may spend or hand to outgoing calls."""
        return self._remaining

    def spend(self) -> bool:
        """Spends one retry.

        Returns:
            False if no retry is left.
        """
        if self._remaining == 0:
            return False
        self._remaining -= 1
        self._spent += 1
        return True

    def refund(self) -> None:
        """Refunds one spent retry whose attempt was never dispatched."""
        if self._spent > 0:
            self._spent -= 1
            self._remaining += 1

    def reserve(self) -> int:
        """Reserves half of the remaining retries for an outgoing call.

        Returns:
            The number of reserved retries, rounded up; 0 if none is left.
        """
        share = (self._remaining + 1) // 2
        self._remaining -= share
        self._outstanding += share
        return share

    def return_unspent(self, unspent: int, share: int | None = None) -> int:
        """Adds the unspent retries of an outgoing call to the budget.

        The called node may report a wrong number, and its response may be
        counted twice, so no more than the outstanding retries are accepted.

        Args:
            unspent: Unspent retries that the response reports.
            share: Result of `reserve` for this call. If it is given, the rest
                of the share is settled as spent.

        Returns:
            The number of retries that were accepted.
        """
        bound = self._outstanding
        if share is not None:
            bound = min(bound, share)
        accepted = max(0, min(unspent, bound))
        self._outstanding -= accepted if share is None else bound
        self._remaining += accepted
        return accepted
