"""Where a request of a caller is sent, and whether it is sent once more."""

import collections.abc
import dataclasses

from medlardoor import errors
from medlardoor.config import routes as routes_module
from medlardoor.mesh import fleet as fleet_module
from medlardoor.mesh import recording, refusals, runs
from medlardoor.retries import shares
from medlardoor.routing import costs as costs_module
from medlardoor.routing import path as path_module
from medlardoor.routing import placement as placement_module

__all__ = ["Sends", "Services"]

# Chains above this share of all levels enter in any case: their repeats show
# when others may follow.
MAX_LOST_URGENCY = 0.95


@dataclasses.dataclass(slots=True, eq=False)
class Services:
    """What the calls of a node share.

    Attributes:
        fleet: Upstreams and the way to them.
        placement: Choice of upstreams.
        share: Returns the bound on repeated sends to a service.
        retry_after: Draws a time to come back from the time left and the
            time until the response-time objective passes, in seconds.
        recorder: Counts and logs what happens.
        paths: Admission levels below the routes.
        top_level: Returns the level above those of all requests.
        costs: What the requests of each route cost.
        in_progress: Calls without an answer.
    """

    fleet: fleet_module.Fleet
    placement: placement_module.Placement
    share: collections.abc.Callable[[str], shares.RetryShare]
    retry_after: collections.abc.Callable[[float, float], float]
    recorder: recording.Recorder
    paths: path_module.PathController
    top_level: collections.abc.Callable[[], int]
    costs: costs_module.RouteCosts = dataclasses.field(
        default_factory=costs_module.RouteCosts
    )
    in_progress: int = 0


class Sends:
    """The sends of one request.

    Args:
        services: What all requests share.
        route: Route of the request.
        run: The request as it is sent.
    """

    __slots__ = (
        "_offered_to",
        "_offers",
        "_route",
        "_run",
        "_runs",
        "_services",
        "_tried",
    )

    def __init__(
        self,
        services: Services,
        route: routes_module.Route,
        run: runs.Run,
    ):
        self._services = services
        self._route = route
        self._run = run
        # Instances that are not asked again while others are left.
        self._tried: set[str] = set()
        # Instances whose upstream was sent the request.
        self._offered_to: set[str] = set()
        self._offers = 0
        # Sends that may have run.
        self._runs = 0

    @property
    def offers(self) -> int:
        """Number of times that an upstream was sent the request."""
        return self._offers

    def note(
        self, candidate: placement_module.Candidate, result: runs.RunResult
    ) -> None:
        """Notes how a send has ended.

        Args:
            candidate: Where the request was sent.
            result: How that ended.
        """
        self._tried.add(candidate.instance)
        if result.offered:
            self._offers += 1
            self._offered_to.add(candidate.instance)
        if result.outcome is not errors.Outcome.NOT_RUN:
            self._runs += 1
        if result.outcome is errors.Outcome.ANSWERED and (
            result.made_calls or result.status < refusals.SERVER_ERROR
        ):
            route = self._route
            self._services.costs.note(
                route.name, route.priority, result.made_calls, result.leaf_s
            )

    def candidates(self) -> list[placement_module.Candidate]:
        """Upstreams that the request may be sent to next."""
        found = self._services.fleet.candidates(self._run.service)
        if not self._tried:
            return found
        if len(self._offered_to) >= self._route.max_attempts:
            # No further upstream may be asked; one that shed the request may
            # still run it.
            return [c for c in found if c.instance in self._offered_to]
        return [c for c in found if c.instance not in self._tried]

    def may_repeat(self, now: float) -> bool:
        """Takes a repeat of a request that may have run, if it is allowed.

        Args:
            now: Current time, in seconds.
        """
        return (
            self._route.idempotent
            and len(self._offered_to) < self._route.max_attempts
            and self._services.placement.has_healthy(self.candidates(), now)
            and self.may_resend(now)
        )

    def may_resend(self, now: float) -> bool:
        """Takes a repeat of a request that has not run, if it is allowed.

        Args:
            now: Current time, in seconds.
        """
        if self._runs >= self._route.max_attempts or now >= self._run.deadline:
            return False
        services = self._services
        makes_calls = services.costs.makes_calls(self._route.name)
        taken = services.share(self._run.service).try_retry(
            services.fleet.size,
            now,
            self._run.level / services.top_level(),
            self._run.level,
            makes_calls,
        )
        if taken and makes_calls:
            self._run.repeated = True
        return taken

    def begin_repeat(self) -> None:
        """Lets the same instances be asked again if no other one is left."""
        if not self._offers:
            return
        usable = self._services.fleet.candidates(self._run.service)
        if all(c.instance in self._tried for c in usable):
            self._tried.clear()

    def lost_level(self, now: float) -> int:
        """Level below which chains are lost for want of repeats.

        Args:
            now: Current time, in seconds.
        """
        services = self._services
        share = services.share(self._run.service)
        if not share.is_lossy:
            return 0
        urgency = share.min_retry_urgency(services.fleet.size, now)
        return int(min(urgency, MAX_LOST_URGENCY) * services.top_level())
