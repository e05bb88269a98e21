"""Numbers inside a rank that share capacity between teams and kinds.

The requests of one importance compete for the slot time at the last services of
their chains. A number from 0 to 127 inside the rank orders them such that any
admission level divides this slot time by max-min fairness: first between teams,
then between the kinds of a team. `docs/design/fair-shares.md` has the reasons.

References:
    Bertsekas and Gallager, "Data Networks", 1992, section 6.5.2 (max-min fair
    flow control).
"""

import collections
import dataclasses
import math

from medlardoor.admission import decay, levels

__all__ = [
    "MAX_DEMANDS",
    "MAX_KINDS",
    "MAX_TEAMS",
    "FairLevels",
    "TeamDemand",
    "fair_number",
]

# Bounds of the memory: teams (counted once for each importance), kinds of one
# team, and pairs of a team and a kind. The pairs take about 2 MB.
MAX_TEAMS = 1_024
MAX_KINDS = 64
MAX_DEMANDS = 8_192

# With fewer requests since the start, the number is a hash of the chain.
MIN_REQUESTS = 50

# A team without a request for this time is no longer active, in seconds.
ACTIVE_S = 10.0

# The lowest cost of a request, in seconds of slot time. Kinds whose measured
# cost is 0 still have a place in the order.
_MIN_COST_S = 0.001


def fair_number(ratio: float, teams: int) -> int:
    """Number inside the rank for a common amount of slot time.

    Up to the mean demand of the teams, the number falls in proportion; above
    it, with the logarithm, so that each number is the same relative step. A
    single team has no demand above the mean, and gets the whole range below.

    Args:
        ratio: Common amount of slot time at which the request is served,
            relative to the mean demand of the active teams.
        teams: Number of active teams.

    Returns:
        A number from 0, refused first, to 127.
    """
    at_mean = 0.5 - 0.5 / teams
    if ratio <= 1.0:
        value = 1.0 - ratio * (1.0 - at_mean)
    elif ratio < teams:
        value = at_mean * (1.0 - math.log(ratio) / math.log(teams))
    else:
        return 0
    return min(levels.LEVELS_PER_RANK - 1, int(value * levels.LEVELS_PER_RANK))


@dataclasses.dataclass(frozen=True, slots=True)
class TeamDemand:
    """Demand of a team.

    Attributes:
        team: Name of the team; empty for requests without one.
        slot_s_per_s: Slot time that its requests ask for, in seconds per
            second.
    """

    team: str
    slot_s_per_s: float


@dataclasses.dataclass(slots=True, eq=False)
class _KindArrivals(decay.Weights):
    """Arrivals of one kind of one team.

    Attributes:
        cost_s: Latest cost of a request, in seconds of slot time.
    """

    cost_s: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class _Group:
    """All teams of one importance.

    Attributes:
        teams: Number of active teams.
        weight: Sum of the weights of the teams.
    """

    teams: int = 0
    weight: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class _Team:
    """State of one team at one importance.

    Attributes:
        group: All teams of the importance.
        seen_at: When its last request arrived, in seconds.
        kinds: Arrivals by kind.
        weight: Demand at its last request times the slow unit of that time.
            The demand thus decays with the slow half-life until the next
            request.
    """

    group: _Group
    seen_at: float
    kinds: dict[str, _KindArrivals] = dataclasses.field(default_factory=dict)
    weight: float = 0.0


class FairLevels:
    """Computes the number of each request from the demand at this node."""

    def __init__(self):
        self._clock: decay.RateClock | None = None
        self._groups: dict[int, _Group] = {}
        # By importance and team, the least recently seen one first.
        self._teams: collections.OrderedDict[tuple[int, str], _Team] = (
            collections.OrderedDict()
        )
        self._pairs = 0
        self._requests = 0

    @property
    def team_count(self) -> int:
        """Number of active teams, counted once for each importance."""
        return len(self._teams)

    @property
    def demand_count(self) -> int:
        """Number of pairs of a team and a kind whose demand is known."""
        return self._pairs

    def number(
        self,
        importance: int,
        team: str,
        kind: str,
        cost_s: float | None,
        chain_id: bytes,
        now: float,
    ) -> int:
        """Counts a request and returns its number inside the rank.

        Args:
            importance: Importance of the request.
            team: Name of its team; empty without one.
            kind: Kind of the request.
            cost_s: Slot time that a request of the kind takes at the last
                services of its chain, in seconds; None if no cost is known.
            chain_id: Identifier of the chain.
            now: Current time, in seconds.

        Returns:
            A number from 0, refused first, to 127.
        """
        self._requests += 1
        if cost_s is None:
            return levels.level_of(0, chain_id)
        cost_s = max(cost_s, _MIN_COST_S)
        clock = self._advance(now)
        entry = self._touch(importance, team, now)
        arrivals = self._touch_kind(entry, kind)
        arrivals.cost_s = cost_s
        # The slow sum counts the request itself, so that a team that was not
        # known has a demand; the fast sum does not, since that would make each
        # sparse team look like a busy one.
        unit = clock.unit
        arrivals.slow += unit.slow
        amount = self._amount(entry, arrivals, levels.share_of(chain_id))
        arrivals.fast += unit.fast
        if self._requests <= MIN_REQUESTS:
            return levels.level_of(0, chain_id)
        group = entry.group
        mean = group.weight / unit.slow / group.teams
        return fair_number(amount / mean, group.teams)

    def _amount(
        self, entry: _Team, arrivals: _KindArrivals, share: float
    ) -> float:
        """Updates the demand of a team; returns the amount for a request.

        Args:
            entry: The team.
            arrivals: Arrivals of the kind of the request.
            share: Hash of the chain, above 0 and up to 1.

        Returns:
            Slot time that the team gets when the request is just served, in
            seconds per second.
        """
        clock = self._clock
        total = clock.rate(arrivals, arrivals.cost_s)
        own = amount = total * share
        for other in entry.kinds.values():
            if other is not arrivals:
                demand = clock.rate(other, other.cost_s)
                amount += demand if demand < own else own
                total += demand
        group = entry.group
        weight = total * clock.unit.slow
        group.weight = max(weight, group.weight + weight - entry.weight)
        entry.weight = weight
        return amount

    def excess(self, importance: int, team: str) -> float:
        """Demand of a team relative to the mean demand of the active teams.

        Args:
            importance: Importance of its requests.
            team: Name of the team.

        Returns:
            The ratio; 0 for a team that is not active.
        """
        entry = self._teams.get((importance, team))
        if entry is None:
            return 0.0
        group = entry.group
        return entry.weight * group.teams / group.weight

    def largest_teams(self, count: int, now: float) -> list[TeamDemand]:
        """Returns the teams with the largest demand, largest first.

        Args:
            count: Maximum number of teams.
            now: Current time, in seconds.
        """
        demands = collections.Counter()
        for (_, team), entry in self._teams.items():
            demands[team] += sum(self._demands(entry, now).values())
        return [TeamDemand(*item) for item in demands.most_common(count)]

    def kind_demands(self, now: float) -> dict[str, float]:
        """Demand by kind, in seconds of slot time per second.

        Args:
            now: Current time, in seconds.
        """
        demands = collections.Counter()
        for entry in self._teams.values():
            demands.update(self._demands(entry, now))
        return dict(demands.most_common(MAX_KINDS))

    def _demands(self, entry: _Team, now: float) -> dict[str, float]:
        """Demands of a team by kind."""
        clock = self._advance(now)
        return {
            kind: clock.rate(arrivals, arrivals.cost_s)
            for kind, arrivals in entry.kinds.items()
        }

    def _advance(self, now: float) -> decay.RateClock:
        clock = self._clock
        if clock is None:
            clock = self._clock = decay.RateClock(now)
        if clock.needs_rebase(now):
            factors = clock.rebase(now)
            for group in self._groups.values():
                group.weight *= factors[1]
            for entry in self._teams.values():
                entry.weight *= factors[1]
                for arrivals in entry.kinds.values():
                    arrivals.scale(*factors)
        clock.advance(now)
        return clock

    def _touch(self, importance: int, team: str, now: float) -> _Team:
        """Returns the state of a team and drops teams that are not active."""
        key = (importance, team)
        teams = self._teams
        entry = teams.get(key)
        if entry is None:
            group = self._groups.setdefault(importance, _Group())
            group.teams += 1
            entry = teams[key] = _Team(group, now)
        else:
            teams.move_to_end(key)
            entry.seen_at = now
        while len(teams) > 1:
            oldest = next(iter(teams))
            if (
                now - teams[oldest].seen_at <= ACTIVE_S
                and len(teams) <= MAX_TEAMS
                and self._pairs < MAX_DEMANDS
            ):
                break
            self._drop(oldest)
        return entry

    def _touch_kind(self, entry: _Team, kind: str) -> _KindArrivals:
        """Returns the arrivals of a kind of a team."""
        arrivals = entry.kinds.get(kind)
        if arrivals is None:
            if len(entry.kinds) >= MAX_KINDS:
                least = min(entry.kinds, key=lambda k: entry.kinds[k].fast)
                del entry.kinds[least]
                self._pairs -= 1
            arrivals = entry.kinds[kind] = _KindArrivals()
            self._pairs += 1
        return arrivals

    def _drop(self, key: tuple[int, str]) -> None:
        entry = self._teams.pop(key)
        self._pairs -= len(entry.kinds)
        group = entry.group
        group.teams -= 1
        group.weight = max(0.0, group.weight - entry.weight)
        if not group.teams:
            del self._groups[key[0]]
