"""Selection of the node that a call is sent to."""

import abc
from collections import abc as collections_abc
import math
import random

import result

from medlardoor import errors
from medlardoor.admission import levels
from medlardoor.blackboard import board as board_module
from medlardoor.blackboard import topics
from medlardoor.calls import context
from medlardoor.config import settings as settings_module
from medlardoor.routing import health, weights

__all__ = ["NodePicker", "PowerOfTwoPicker"]

# Share of the serving members that stays usable in any case: if more of them
# send no heartbeats or are ejected, the network or this node is at fault.
_MIN_USABLE_SHARE = 0.5

# Difference of the loads per slot up to which the own failure domain decides.
# One request on 40 slots is 0.025.
_LOAD_TIE_MARGIN = 0.02

# Factor on the load of a member that is only usable because of the minimum
# share, so that it gets fewer calls.
_SUSPECT_LOAD_FACTOR = 2.0

# The admission level of an older record is ignored.
_LEVEL_MAX_AGE_S = 3.0

_OVERLOAD_RETRY_AFTER_MS = 200


class NodePicker(abc.ABC):
    """Selects a member of a service for each call."""

    @abc.abstractmethod
    def pick(
        self,
        service: str,
        call: context.CallContext,
        exclude: collections_abc.Collection[str],
        now: float,
    ) -> result.Result[topics.Member, errors.Refusal]:
        """Selects a member.

        Args:
            service: Service to call; the service of this node selects a peer.
            call: Context of the call.
            exclude: Instance names of members that were already tried.
            now: Current time, in seconds.

        Returns:
            The member, or a refusal with outcome not-run.
        """

    @abc.abstractmethod
    def started(self, member: topics.Member, now: float) -> None:
        """Records that a call was sent to a member."""

    @abc.abstractmethod
    def finished(self, member: topics.Member, ok: bool, now: float) -> None:
        """Records the end of a call.

        Args:
            member: Member that the call was sent to.
            ok: False if the connection was refused or broke; True for any
                response of the member.
            now: Current time, in seconds.
        """


class PowerOfTwoPicker(NodePicker):
    """Selects the less loaded of two random members.

    Args:
        settings: Settings of membership; `suspect_after_s` is used.
        board: Blackboard of the node; `membership` is read.
        generator: Source of the random selection.
    """

    def __init__(
        self,
        settings: settings_module.GossipSettings,
        board: board_module.Blackboard,
        generator: random.Random,
    ):
        self._settings = settings
        self._board = board
        self._generator = generator
        self._health = health.PassiveHealth(generator)
        self._own_loads: dict[str, weights.OwnLoad] = {}

    def pick(
        self,
        service: str,
        call: context.CallContext,
        exclude: collections_abc.Collection[str],
        now: float,
    ) -> result.Result[topics.Member, errors.Refusal]:
        """Selects a member; see `NodePicker`."""
        members = self.usable(service, now)
        untried = [m for m in members if m.instance not in exclude]
        if not untried:
            return result.Err(_refusal(errors.Reason.NO_UPSTREAM, call, 0))
        is_peer = service == self._board.service
        open_members = [m for m in untried if _admits(m, call, is_peer, now)]
        if not open_members:
            refusal = _refusal(
                errors.Reason.OVERLOAD, call, _OVERLOAD_RETRY_AFTER_MS
            )
            return result.Err(refusal)
        pair = self._sample_pair(open_members)
        return result.Ok(self._less_loaded(pair, now))

    def started(self, member: topics.Member, now: float) -> None:
        """Records that a call was sent to a member."""
        self._own_load(member).in_flight += 1

    def finished(self, member: topics.Member, ok: bool, now: float) -> None:
        """Records the end of a call; see `NodePicker`."""
        own = self._own_load(member)
        own.in_flight = max(0, own.in_flight - 1)
        if own.in_flight == 0 and not self._is_known(member):
            del self._own_loads[member.instance]
        if ok:
            self._health.record_success(member.instance)
        else:
            self._health.record_failure(member.instance, now)

    def usable(self, service: str, now: float) -> list[topics.Member]:
        """Members that calls may be sent to.

        If too many members are suspect, the least suspect ones are added up to
        the minimum share.

        Args:
            service: Name of the service.
            now: Current time, in seconds.
        """
        known = [
            m
            for m in self._members(service).values()
            if m.state is topics.MemberState.SERVING
        ]
        healthy = [m for m in known if not self._is_suspect(m, now)]
        minimum = math.ceil(len(known) * _MIN_USABLE_SHARE)
        if len(healthy) >= minimum:
            return healthy
        suspect = [m for m in known if self._is_suspect(m, now)]
        suspect.sort(key=lambda m: self._suspect_order(m, now))
        return healthy + suspect[: minimum - len(healthy)]

    def _members(self, service: str) -> dict[str, topics.Member]:
        if service == self._board.service:
            return self._board.membership.members
        return self._board.membership.services.get(service, {})

    def _is_known(self, member: topics.Member) -> bool:
        return member.instance in self._members(member.service)

    def _is_suspect(self, member: topics.Member, now: float) -> bool:
        if now - member.heard_at > self._settings.suspect_after_s:
            return True
        return now < self._health.ejected_until(member.instance)

    def _suspect_order(
        self, member: topics.Member, now: float
    ) -> tuple[float, float]:
        ejection_left_s = max(
            0.0, self._health.ejected_until(member.instance) - now
        )
        return ejection_left_s, now - member.heard_at

    def _sample_pair(self, members: list[topics.Member]) -> list[topics.Member]:
        if len(members) <= 2:
            return members
        return self._generator.sample(members, 2)

    def _less_loaded(
        self, pair: list[topics.Member], now: float
    ) -> topics.Member:
        if len(pair) == 1:
            return pair[0]
        first, second = pair
        first_load = self._effective_load(first, now)
        second_load = self._effective_load(second, now)
        if abs(first_load - second_load) > _LOAD_TIE_MARGIN:
            return first if first_load < second_load else second
        domain = self._board.failure_domain
        if (first.failure_domain == domain) != (
            second.failure_domain == domain
        ):
            return first if first.failure_domain == domain else second
        return self._generator.choice(pair)

    def _effective_load(self, member: topics.Member, now: float) -> float:
        load = weights.load_of(member, self._own_load(member), now)
        if self._is_suspect(member, now):
            return (load + _LOAD_TIE_MARGIN) * _SUSPECT_LOAD_FACTOR
        return load

    def _own_load(self, member: topics.Member) -> weights.OwnLoad:
        own = self._own_loads.get(member.instance)
        if own is None:
            own = self._own_loads[member.instance] = weights.OwnLoad()
        return own


def _admits(member, call, is_peer, now) -> bool:
    if now - member.heard_at > _LEVEL_MAX_AGE_S:
        return True
    if is_peer:
        # This node has refused the call: only a peer with a lower level helps.
        return member.level <= call.level
    # Only changes by a full rank are pushed at once. Within a rank the level
    # in the record may be a second old, so the member itself decides.
    member_rank = member.level // levels.LEVELS_PER_RANK
    return member_rank <= call.level // levels.LEVELS_PER_RANK


def _refusal(reason, call, retry_after_ms) -> errors.Refusal:
    return errors.Refusal(
        errors.Outcome.NOT_RUN,
        reason,
        retry_after_ms=retry_after_ms,
        unspent_budget=call.budget,
    )
