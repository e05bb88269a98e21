"""Lender of the tokens of teams, from the shares that nodes pledge to it.

Each node owns an equal share of the limit of each team. It pledges its shares
to one lender at a time, and the lender lends tokens from the pledged shares to
the nodes that have requests. Two nodes that both consider themselves lender
have different pledges, so together they lend no more than the limit.

A pledge is valid for a bounded time after the lender sent the stamp that the
pledge repeats. The lender measures this time by its own clock, so a pledge that
was delayed on its way is not valid for longer.
"""

import collections.abc
import dataclasses
import math

from medlardoor.teams import buckets, keys, limiter, members
from medlardoor.teams import settings as settings_module

__all__ = ["Lender", "PledgeChannel"]


# Shares are counted again this long before a pledge may expire, in seconds, so
# that buckets go on to fill while pledges are renewed. It is longer than the
# pause between two calls of `Lender.refresh`.
_RECOUNT_MARGIN_S = 0.25

# Number of answers to pledges whose time is kept, for each channel.
_KEPT_ANSWERS = 16


@dataclasses.dataclass(slots=True)
class _Pledge:
    shards: frozenset[int]
    valid_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Share:
    value: float
    valid_until: float


_NO_SHARE = _Share(0.0, -math.inf)


@dataclasses.dataclass(slots=True, eq=False)
class PledgeChannel:
    """Lender's side of the exchange of pledges on one link.

    Attributes:
        instance: Node at the other end.
        answer_count: Number of pledges answered.
        answered_at: Times of the last answers by their number, in seconds.
        is_replaced: Whether the node has pledged on a newer link.
    """

    instance: str
    answer_count: int = 0
    answered_at: dict[int, float] = dataclasses.field(default_factory=dict)
    is_replaced: bool = False


class Lender:
    """Lends tokens; decides without input and output.

    Args:
        settings: Settings of team limits.
    """

    def __init__(self, settings: settings_module.LimitSettings):
        self._settings = settings
        self._members = members.MemberCount(settings.member_retention_s)
        self._pledges: dict[str, _Pledge] = {}
        # Newest channel of each node that has pledged.
        self._channels: dict[str, PledgeChannel] = {}
        # Shares of shards, until a pledge changes or expires.
        self._shares: dict[int, _Share] = {}
        # Shares for which the buckets were updated last.
        self._refreshed: dict[int, _Share] = {}
        self._buckets: dict[str, buckets.TokenBucket] = {}
        self._is_stopped = False
        self._has_settled = False

    @property
    def is_stopped(self) -> bool:
        """Whether the lender has ended for good."""
        return self._is_stopped

    @property
    def pledging_members(self) -> collections.abc.Collection[str]:
        """Names of the nodes with a pledge."""
        return self._pledges.keys()

    def record_member(self, instance: str, now: float) -> None:
        """Records that a node exists; see `members.MemberCount`."""
        if self._members.record(instance, now):
            self._shares.clear()

    def forget_member(self, instance: str, now: float) -> None:
        """Forgets a node that has ended in a planned stop.

        A node with a valid pledge has been started again and is kept.
        """
        pledge = self._pledges.get(instance)
        if pledge is not None and now < pledge.valid_until:
            return
        if self._members.record_departure(instance):
            self._shares.clear()

    def record_departure(self, instance: str) -> None:
        """Records that a node ends in a planned stop and uses no share."""
        self._members.record_departure(instance)
        self._shares.clear()
        self._pledges.pop(instance, None)
        channel = self._channels.pop(instance, None)
        if channel is not None:
            channel.is_replaced = True

    def open_channel(self, instance: str) -> PledgeChannel:
        """Returns the channel for the first pledge of a node on a link.

        Pledges that still arrive on an older link of the node do not count.
        """
        channel = PledgeChannel(instance)
        former = self._channels.get(instance)
        if former is not None:
            former.is_replaced = True
        self._channels[instance] = channel
        return channel

    def record_pledge(
        self,
        channel: PledgeChannel,
        shards: collections.abc.Iterable[int],
        stamp: int,
        now: float,
    ) -> None:
        """Replaces the pledge of a node; the caller answers it now.

        Args:
            channel: Channel on which the pledge arrived.
            shards: Shards whose share the node pledges to this lender.
            stamp: Number of answers that the node had received. A pledge with
                an unknown number does not count.
            now: Current time, in seconds.
        """
        answered_at = channel.answered_at.get(stamp)
        channel.answer_count += 1
        channel.answered_at[channel.answer_count] = now
        channel.answered_at.pop(channel.answer_count - _KEPT_ANSWERS, None)
        if channel.is_replaced or self._is_stopped:
            return
        valid_until = now
        if answered_at is not None:
            valid_until = answered_at + self._settings.pledge_valid_s
        pledge = _Pledge(frozenset(shards), valid_until)
        former = self._pledges.get(channel.instance)
        is_new = self._members.record(channel.instance, now)
        # A pledge that only lasts longer leaves the counted shares as they are.
        if (
            is_new
            or former is None
            or former.shards != pledge.shards
            or not now < former.valid_until <= valid_until
        ):
            self._shares.clear()
        self._pledges[channel.instance] = pledge

    def end_settling(self) -> None:
        """Lets a starting lender lend before `LimitSettings.settle_s`."""
        self._has_settled = True

    def is_settled(self, now: float) -> bool:
        """Whether no member became known for a while after the start.

        Nodes that start together learn of each other one by one, and a lender
        that knows too few of them would take too large shares.
        """
        if not self._has_settled:
            silence_s = now - self._members.last_added_at
            self._has_settled = silence_s >= self._settings.settle_s
        return self._has_settled

    def stop(self) -> None:
        """Ends lending for good, so that all pledges can be released."""
        self._is_stopped = True
        self._shares.clear()
        self._pledges.clear()

    def share(self, shard: int, now: float) -> float:
        """Part of the limits of a shard that this lender may lend, 0 to 1."""
        return self._counted_share(shard, now).value

    def refresh(
        self,
        shard: int,
        teams: collections.abc.Iterable[keys.Team],
        now: float,
    ) -> None:
        """Updates the buckets of a shard; called several times a second.

        Without calls before its first request, a team would have no burst, and
        buckets would go on to fill when pledges have moved elsewhere.

        Args:
            shard: The shard.
            teams: All its teams with a limit.
            now: Current time, in seconds.
        """
        share = self._counted_share(shard, now)
        if share is self._refreshed.get(shard):
            return
        self._refreshed[shard] = share
        for team in teams:
            if share.value > 0:
                self._bucket(team, shard, now)
            else:
                # A bucket without shares is empty.
                self._buckets.pop(team.name, None)

    def lend(
        self, team: keys.Team, shard: int, is_urgent: bool, now: float
    ) -> limiter.Grant:
        """Lends one token.

        A bucket without a token that has only just started says nothing about
        what the team has sent, so its requests wait for the first token if that
        comes in time.

        Args:
            team: A team with a limit.
            shard: Shard of the team.
            is_urgent: Whether the request may use the last tokens.
            now: Current time, in seconds.
        """
        bucket = self._bucket(team, shard, now)
        burst = _capacity(team)
        reserve = 0.0 if is_urgent else self._settings.reserve_share * burst
        # With a burst below one token, there would be none for such requests.
        reserve = max(0.0, min(reserve, burst - 1.0))
        if bucket.take(now, reserve):
            return limiter.Grant(True)
        wait_s = bucket.wait_s(reserve)
        if wait_s is None:
            return limiter.Grant(False)
        is_soon = wait_s <= self._settings.request_timeout_s
        if is_soon and bucket.is_starting(reserve):
            return limiter.Grant(False)
        return limiter.Grant(False, is_limited=True, wait_s=wait_s)

    def lend_for_later(
        self, team: keys.Team, shard: int, count: int, now: float
    ) -> int:
        """Lends tokens for requests within `LimitSettings.hold_s`.

        Args:
            team: A team with a limit.
            shard: Shard of the team.
            count: Number of tokens wanted.
            now: Current time, in seconds.

        Returns:
            Number of tokens lent.
        """
        bucket = self._bucket(team, shard, now)
        return bucket.take_for_later(count, self._settings.hold_s, now)

    def give_back(
        self, team: keys.Team, shard: int, count: int, now: float
    ) -> None:
        """Takes back tokens of requests that have not run."""
        self._bucket(team, shard, now).give_back(count, now)

    def retain(self, teams: collections.abc.Container[str]) -> None:
        """Drops the state of teams that are not in a new document."""
        for name in [n for n in self._buckets if n not in teams]:
            del self._buckets[name]
        self._refreshed.clear()

    def _counted_share(self, shard: int, now: float) -> _Share:
        """Counts the valid pledges of a shard, or returns the last count."""
        cached = self._shares.get(shard)
        if cached is not None and now < cached.valid_until - _RECOUNT_MARGIN_S:
            return cached
        ends = [
            pledge.valid_until
            for pledge in self._pledges.values()
            if shard in pledge.shards and now < pledge.valid_until
        ]
        if not ends or not self.is_settled(now):
            return _NO_SHARE
        value = len(ends) / max(len(ends), self._members.count(now))
        self._shares[shard] = _Share(value, min(ends))
        return self._shares[shard]

    def _bucket(
        self, team: keys.Team, shard: int, now: float
    ) -> buckets.TokenBucket:
        """Bucket of a team, with the limit that is in force now."""
        bucket = self._buckets.get(team.name)
        if bucket is None:
            bucket = self._buckets[team.name] = buckets.TokenBucket()
        share = self._counted_share(shard, now)
        bucket.set_limit(
            team.rate_per_s * share.value,
            _capacity(team) * share.value,
            now,
            share.valid_until,
        )
        return bucket


def _capacity(team: keys.Team) -> float:
    """Burst of a team; a limit without a burst allows one request at a time."""
    return max(team.burst, 1.0) if math.isfinite(team.burst) else 1.0
