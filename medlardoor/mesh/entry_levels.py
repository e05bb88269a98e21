"""Admission levels of requests, decided once where they enter."""

from medlardoor import errors
from medlardoor.admission import fairness, levels
from medlardoor.config import routes as routes_module
from medlardoor.mesh import documents, runs, share_log
from medlardoor.mesh import settings as settings_module
from medlardoor.routing import costs as costs_module
from medlardoor.teams import keys

__all__ = ["EntryLevels"]

# Number of teams with a metric of their demand.
MAX_SHOWN_TEAMS = 10

_OVERLOAD_REASONS = frozenset(
    {errors.Reason.OVERLOAD, errors.Reason.QUEUE_TIMEOUT}
)


class EntryLevels:
    """Decides the level of a request that enters at this node.

    Args:
        sharing: When capacity is shared between teams and kinds.
        holder: Holds the document of routes in force.
        costs: Mean cost of the requests of each route.
    """

    def __init__(
        self,
        sharing: settings_module.SharingSettings,
        holder: documents.DocumentHolder,
        costs: costs_module.RouteCosts,
    ):
        self._sharing = sharing
        self._holder = holder
        self._costs = costs
        self._fair: fairness.FairLevels | None = None
        self._log: share_log.ShareLog | None = None
        holder.listen(self._apply_document)
        self._apply_document()

    @property
    def shares_capacity(self) -> bool:
        """Whether levels divide capacity between teams and kinds."""
        return self._fair is not None

    def level(
        self,
        route: routes_module.Route,
        team: keys.Team | None,
        attempt_id: bytes,
        now: float,
    ) -> int:
        """Counts a request and returns its admission level.

        Args:
            route: Route of the request.
            team: Team of the caller, if it is known.
            attempt_id: Identifier that the caller gave the request.
            now: Current time, in seconds.
        """
        importance = self._holder.table.importance_of(route, team)
        if self._fair is None:
            level = levels.entry_level(importance, attempt_id)
        else:
            self._log.check(now)
            number = self._fair.number(
                importance,
                "" if team is None else team.name,
                route.name,
                self._costs.leaf_slot_s(route.name),
                attempt_id,
                now,
            )
            level = levels.numbered_level(importance, number)
        if self._costs.is_cheap(route.name):
            # At entry level, the request would rank below all calls made by
            # runs and would hardly ever run.
            return levels.nested_level(level)
        return level

    def level_range(
        self, route: routes_module.Route, team: keys.Team | None
    ) -> tuple[int, int]:
        """Lowest and highest level of the requests of a team on a route.

        No request is counted. The level in this range depends on the hash of
        the request and, where capacity is shared, on the demand.

        Args:
            route: Route of the requests.
            team: Team of the callers, if it is known.
        """
        importance = self._holder.table.importance_of(route, team)
        lowest = levels.numbered_level(importance, 0)
        if self._costs.is_cheap(route.name):
            lowest = levels.nested_level(lowest)
        return lowest, lowest + levels.LEVELS_PER_RANK - 1

    def body_level(self, route: routes_module.Route) -> int:
        """Level of a request whose caller is not known yet.

        The request is not counted. Only the rank of the level is meaningful.

        Args:
            route: Route of the request.
        """
        importance = self._holder.table.importance_of(route, None)
        return levels.entry_level(importance, b"")

    def record_refusal(
        self, run: runs.Run, reason: errors.Reason, now: float
    ) -> None:
        """Records a refused request.

        Args:
            run: The request.
            reason: Why it was refused.
            now: Current time, in seconds.
        """
        if self._log is None or run.nested or reason not in _OVERLOAD_REASONS:
            return
        self._log.record_refusal(
            levels.importance_of(run.level), run.team.decode(), now
        )

    def largest_teams(self, now: float) -> list[fairness.TeamDemand]:
        """Teams with the largest demand; empty if capacity is not shared.

        Args:
            now: Current time, in seconds.
        """
        if self._fair is None:
            return []
        return self._fair.largest_teams(MAX_SHOWN_TEAMS, now)

    def kind_demands(self, now: float) -> dict[str, float]:
        """Demand by kind; empty if capacity is not shared.

        Args:
            now: Current time, in seconds.

        Returns:
            Slot time asked for, in seconds per second.
        """
        return {} if self._fair is None else self._fair.kind_demands(now)

    def _apply_document(self) -> None:
        """Builds or drops the parts for the document in force."""
        if not self._sharing.applies_to(self._holder.table):
            self._fair = self._log = None
        elif self._fair is None:
            self._fair = fairness.FairLevels()
            self._log = share_log.ShareLog(self._fair.excess)
