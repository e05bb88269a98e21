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

# Share of the known members that stays usable whatever seems to be wrong with
# them: if more are silent, the network or this node is at fault.
_MIN_USABLE_SHARE = 0.5

# Loads per slot closer than this count as a tie and the own failure domain
# decides. One request on 40 slots is 0.025.
_TIE = 0.02

# A member that is only used because of the minimum gets fewer calls.
_DOUBTFUL_PENALTY = 2.0

# A record older than this says nothing about the present admission level.
_LEVEL_MAX_AGE_S = 3.0

_OVERLOAD_HINT_MS = 200


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
            service: Service to call; the own service selects among peers.
            call: The call.
            exclude: Instance names of members that were tried already.
            now: Current time, in seconds.

        Returns:
            The member, or a refusal with outcome not-run.
        """

    @abc.abstractmethod
    def started(self, member: topics.Member, now: float) -> None:
        """Notes that a call was sent to a member."""

    @abc.abstractmethod
    def finished(self, member: topics.Member, ok: bool, now: float) -> None:
        """Notes the end of a call.

        Args:
            member: The member.
            ok: False if the connection was refused or broke; any answer of
                the member counts as well.
            now: Current time, in seconds.
        """


class PowerOfTwoPicker(NodePicker):
    """Takes the less loaded of two members drawn at random.

    Args:
        settings: Settings of membership; `suspect_after_s` is used.
        board: Blackboard; `membership` is read.
        generator: Source of the draws.
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
        self._own: dict[str, weights.OwnLoad] = {}

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
            refusal = _refusal(errors.Reason.OVERLOAD, call, _OVERLOAD_HINT_MS)
            return result.Err(refusal)
        pair = self._draw(open_members)
        return result.Ok(self._better(pair, now))

    def started(self, member: topics.Member, now: float) -> None:
        """Notes that a call was sent to a member."""
        self._load(member).in_flight += 1

    def finished(self, member: topics.Member, ok: bool, now: float) -> None:
        """Notes the end of a call; see `NodePicker`."""
        own = self._load(member)
        own.in_flight = max(0, own.in_flight - 1)
        if own.in_flight == 0 and not self._is_known(member):
            del self._own[member.instance]
        if ok:
            self._health.succeeded(member.instance)
        else:
            self._health.failed(member.instance, now)

    def usable(self, service: str, now: float) -> list[topics.Member]:
        """Members that calls may be sent to, the minimum included.

        Args:
            service: Name of the service.
            now: Current time, in seconds.
        """
        known = [
            m
            for m in self._members(service).values()
            if m.state is topics.MemberState.SERVING
        ]
        sound = [m for m in known if not self._is_doubtful(m, now)]
        minimum = math.ceil(len(known) * _MIN_USABLE_SHARE)
        if len(sound) >= minimum:
            return sound
        doubtful = [m for m in known if self._is_doubtful(m, now)]
        doubtful.sort(key=lambda m: self._doubt(m, now))
        return sound + doubtful[: minimum - len(sound)]

    def _members(self, service: str) -> dict[str, topics.Member]:
        if service == self._board.service:
            return self._board.membership.members
        return self._board.membership.services.get(service, {})

    def _is_known(self, member: topics.Member) -> bool:
        return member.instance in self._members(member.service)

    def _is_doubtful(self, member: topics.Member, now: float) -> bool:
        if now - member.heard_at > self._settings.suspect_after_s:
            return True
        return now < self._health.rests_until(member.instance)

    def _doubt(self, member: topics.Member, now: float) -> tuple[float, float]:
        rest_s = max(0.0, self._health.rests_until(member.instance) - now)
        return rest_s, now - member.heard_at

    def _draw(self, members: list[topics.Member]) -> list[topics.Member]:
        if len(members) <= 2:
            return members
        return self._generator.sample(members, 2)

    def _better(self, pair: list[topics.Member], now: float) -> topics.Member:
        if len(pair) == 1:
            return pair[0]
        first, second = pair
        first_load = self._cost(first, now)
        second_load = self._cost(second, now)
        if abs(first_load - second_load) > _TIE:
            return first if first_load < second_load else second
        domain = self._board.failure_domain
        if (first.failure_domain == domain) != (
            second.failure_domain == domain
        ):
            return first if first.failure_domain == domain else second
        return self._generator.choice(pair)

    def _cost(self, member: topics.Member, now: float) -> float:
        load = weights.load_of(member, self._load(member), now)
        if self._is_doubtful(member, now):
            return (load + _TIE) * _DOUBTFUL_PENALTY
        return load

    def _load(self, member: topics.Member) -> weights.OwnLoad:
        own = self._own.get(member.instance)
        if own is None:
            own = self._own[member.instance] = weights.OwnLoad()
        return own


def _admits(member, call, is_peer, now) -> bool:
    if now - member.heard_at > _LEVEL_MAX_AGE_S:
        return True
    if is_peer:
        # The own node has refused the call: only a lower level helps.
        return member.level <= call.level
    # Only changes by a full rank are pushed. Within a rank the level in the
    # record may be a second old, and the member decides better itself.
    member_rank = member.level // levels.LEVELS_PER_RANK
    return member_rank <= call.level // levels.LEVELS_PER_RANK


def _refusal(reason, call, retry_after_ms) -> errors.Refusal:
    return errors.Refusal(
        errors.Outcome.NOT_RUN,
        reason,
        retry_after_ms=retry_after_ms,
        unspent_budget=call.budget,
    )
