"""Importance of requests from the priorities of their route and their team."""

import bisect
import collections.abc

__all__ = ["ImportanceScale"]


class ImportanceScale:
    """Orders requests by the priority of their team and of their route.

    The most urgent routes come before all others, whatever the team: their
    requests are refused last. Within them, and among the other routes, the
    priority of the team goes before that of the route. Without priorities of
    teams, the priority of the route alone decides.

    Args:
        route_priorities: Priorities of the routes; 0 is the most urgent. With
            teams, each priority adds one importance for each priority of a
            team, so routes without callers of a team are better left out.
        team_priorities: Priorities of all teams; None for a team without one.
    """

    def __init__(
        self,
        route_priorities: collections.abc.Iterable[int],
        team_priorities: collections.abc.Iterable[int | None],
    ):
        self._by_route = sorted(set(route_priorities))
        self._by_team = sorted({p for p in team_priorities if p is not None})
        self._importance: dict[tuple[int, int], int] = {}
        if self._by_team:
            pairs = [(r, t) for r in self._by_route for t in self._by_team]
            pairs.sort(key=self._urgency, reverse=True)
            self._importance = {pair: n for n, pair in enumerate(pairs)}

    @property
    def max_importance(self) -> int:
        """Importance of the most urgent requests; 0 without routes."""
        if self._importance:
            return len(self._importance) - 1
        return max(0, self._by_route[-1]) if self._by_route else 0

    def importance_of(
        self, route_priority: int, team_priority: int | None
    ) -> int:
        """Importance of a request; 0 is the least important.

        Args:
            route_priority: Priority of its route.
            team_priority: Priority of its team. Without one, the request ranks
                with the least urgent teams.

        A priority that is not listed counts as the next less urgent one: the
        route or the team may come from an earlier document.
        """
        if not self._by_route:
            return 0
        if not self._by_team:
            return max(0, self._by_route[-1] - route_priority)
        if team_priority is None:
            team_priority = self._by_team[-1]
        pair = (
            _listed(self._by_route, route_priority),
            _listed(self._by_team, team_priority),
        )
        return self._importance[pair]

    def _urgency(self, pair: tuple[int, int]) -> tuple[bool, int, int]:
        """Sort key of a pair of priorities; the most urgent comes first."""
        route_priority, team_priority = pair
        is_less_urgent_route = route_priority > self._by_route[0]
        return is_less_urgent_route, team_priority, route_priority


def _listed(priorities: list[int], priority: int) -> int:
    """Returns a priority, or the next less urgent one of a sorted list."""
    index = bisect.bisect_left(priorities, priority)
    return priorities[min(index, len(priorities) - 1)]
