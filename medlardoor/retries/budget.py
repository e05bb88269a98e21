"""Retry budget of one call chain."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Retries that one call and all calls below it may spend.

    The budget is conserved: what a node spends, hands to outgoing calls and
    keeps never adds up to more than what it received. A share whose answer is
    lost stays lost, so the number of retries in a tree of calls is at most
    the initial budget (G1).

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
        """Retries that this node may spend or hand on now."""
        return self._remaining

    def spend(self) -> bool:
        """Takes one retry.

        Returns:
            Whether there was one left to take.
        """
        if self._remaining == 0:
            return False
        self._remaining -= 1
        self._spent += 1
        return True

    def refund(self) -> None:
        """Returns one spent retry whose attempt was never dispatched."""
        if self._spent > 0:
            self._spent -= 1
            self._remaining += 1

    def reserve(self) -> int:
        """Takes the share of one outgoing call: half, rounded up.

        Returns:
            The share; 0 if nothing is left.
        """
        share = (self._remaining + 1) // 2
        self._remaining -= share
        self._outstanding += share
        return share

    def give_back(self, unspent: int, share: int | None = None) -> int:
        """Takes back what an outgoing call did not spend.

        A node below may be wrong or its answer may be counted twice, so the
        amount is limited by what is still handed out.

        Args:
            unspent: Retries that the answer reports as unspent.
            share: What `reserve` returned for this call. If it is given, the
                rest of the share is settled as spent.

        Returns:
            The retries that were accepted.
        """
        bound = self._outstanding
        if share is not None:
            bound = min(bound, share)
        accepted = max(0, min(unspent, bound))
        self._outstanding -= accepted if share is None else bound
        self._remaining += accepted
        return accepted
