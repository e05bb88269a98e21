"""Decides to which lender a node pledges its shares.

A share may count at one lender only. A node that changes the lender of a shard
first stops to pledge it to the former one. It pledges the share to the next one
when the former lender has answered a pledge without it, has released it, or can
no longer count it because the last stamp that was repeated to it is too old.
"""

import collections.abc
import dataclasses

from medlardoor.teams import settings as settings_module

__all__ = ["Pledge", "Pledger"]


@dataclasses.dataclass(frozen=True, slots=True)
class Pledge:
    """Message to a lender.

    Attributes:
        lender: Instance of the lender.
        shards: Shards whose share is pledged.
        stamp: Number of the latest answer of the lender; 0 if it has not
            answered on this link. The pledge does not count then.
    """

    lender: str
    shards: frozenset[int]
    stamp: int


@dataclasses.dataclass(slots=True)
class _LenderState:
    """State of the exchange with one lender on one link.

    Attributes:
        sent: Shards of the pledges without an answer, in order.
        waiting_since: When the oldest of them was sent or the last answer
            arrived, in seconds.
        answered_count: Number of answers received.
        answered_at: When the last answer arrived, in seconds.
    """

    sent: list[frozenset[int]] = dataclasses.field(default_factory=list)
    waiting_since: float = 0.0
    answered_count: int = 0
    answered_at: float = 0.0


@dataclasses.dataclass(slots=True)
class _ShardState:
    """Lender of a shard.

    Attributes:
        lender: Lender that the share is or was last pledged to.
        counts_until: Latest time at which that lender may count the share, in
            seconds.
    """

    lender: str | None = None
    counts_until: float = 0.0


class Pledger:
    """Pledges the shares of this node, each to one lender at a time.

    Args:
        settings: Settings of team limits.
    """

    def __init__(self, settings: settings_module.LimitSettings):
        self._settings = settings
        self._shards = [_ShardState() for _ in range(settings.shards)]
        self._lenders: dict[str, _LenderState] = {}

    def lender_of(self, shard: int) -> str | None:
        """Lender to ask for tokens of a shard, if there is one."""
        return self._shards[shard].lender

    def update(
        self, preferred: collections.abc.Sequence[str | None], now: float
    ) -> list[Pledge]:
        """Returns the pledges to send; called at each pledge interval.

        Args:
            preferred: For each shard the lender that it should have; None if
                no node can be its lender.
            now: Current time, in seconds.
        """
        for state, lender in zip(self._shards, preferred, strict=True):
            if state.lender != lender and now >= state.counts_until:
                state.lender = lender
        lenders = {state.lender for state in self._shards} | set(preferred)
        pledges = []
        for lender in sorted(each for each in lenders if each is not None):
            shards = frozenset(
                shard
                for shard, state in enumerate(self._shards)
                if state.lender == lender == preferred[shard]
            )
            pledges.append(self._pledge(lender, shards, now))
        return pledges

    def answered(self, lender: str, now: float) -> bool:
        """Records the answer to the oldest pledge to a lender.

        Args:
            lender: Instance of the lender.
            now: Current time, in seconds.

        Returns:
            Whether a pledge is due at once: its shares do not count yet, or
            the lender has stopped counting one that goes to another lender.
        """
        state = self._lenders.get(lender)
        if state is None or not state.sent:
            return False
        is_due = state.answered_count == 0
        state.answered_count += 1
        state.answered_at = now
        state.waiting_since = now
        answered_shards = state.sent.pop(0)
        outstanding = answered_shards.union(*state.sent)
        for shard, shard_state in enumerate(self._shards):
            if shard_state.lender == lender and shard not in outstanding:
                # The lender has replaced the earlier pledge of the shard.
                is_due |= now < shard_state.counts_until
                shard_state.counts_until = 0.0
        return is_due

    def overdue(self, now: float) -> list[str]:
        """Lenders that do not answer, although their links may be open.

        Args:
            now: Current time, in seconds.
        """
        latest = now - self._settings.answer_timeout_s
        return [
            lender
            for lender, state in self._lenders.items()
            if state.sent and state.waiting_since < latest
        ]

    def restart_waiting(self, now: float) -> None:
        """Gives lenders more time after this process was stalled.

        Args:
            now: Current time, in seconds.
        """
        for state in self._lenders.values():
            state.waiting_since = now

    def released(self, lender: str) -> None:
        """Records that a lender has stopped and counts no share any more."""
        self._lenders.pop(lender, None)
        for state in self._shards:
            if state.lender == lender:
                state.counts_until = 0.0

    def link_closed(self, lender: str) -> None:
        """Forgets the exchange on a link that has closed.

        Shares that were pledged still count until their pledges expire.
        """
        self._lenders.pop(lender, None)

    def _pledge(
        self, lender: str, shards: frozenset[int], now: float
    ) -> Pledge:
        state = self._lenders.setdefault(lender, _LenderState())
        if not state.sent:
            state.waiting_since = now
        state.sent.append(shards)
        if state.answered_count:
            valid_until = state.answered_at + self._settings.pledge_valid_s
            for shard in shards:
                shard_state = self._shards[shard]
                shard_state.counts_until = max(
                    shard_state.counts_until, valid_until
                )
        return Pledge(lender, shards, state.answered_count)
