"""Selection of the upstreams for a caller's request, and its retries."""

import collections.abc
import dataclasses

from medlardoor import errors
from medlardoor.config import routes as routes_module
from medlardoor.mesh import domain_placement, recording, refusals, runs
from medlardoor.mesh import fleet as fleet_module
from medlardoor.retries import shares
from medlardoor.routing import costs as costs_module
from medlardoor.routing import path as path_module
from medlardoor.routing import placement as placement_module

__all__ = ["SendTracker", "SharedState"]

# Chains whose level is above this fraction of the level range are always
# admitted: their retries show when further chains can be admitted.
MAX_CUTOFF_URGENCY = 0.95


@dataclasses.dataclass(slots=True, eq=False)
class SharedState:
    """Components and counters shared by all calls of a node.

    Attributes:
        fleet: The usable upstreams and the links to their nodes.
        placement: Chooses the upstream for a request.
        domain_placement: Chooses its failure domain and then the upstream.
        retry_share: Returns the limit on retries to a service.
        draw_retry_after_s: Returns a randomized Retry-After time. Its arguments
            are the time that the caller has left and the time until the
            response-time objective passes; all are in seconds.
        recorder: Counts and logs the outcome of requests.
        paths: Admission levels of the services that each route calls.
        level_upper_bound: Returns the lowest level above those of all requests.
        costs: Mean cost of the requests of each route.
        in_progress: Number of calls without a response.
    """

    fleet: fleet_module.Fleet
    placement: placement_module.Placement
    domain_placement: domain_placement.DomainPlacement
    retry_share: collections.abc.Callable[[str], shares.RetryShare]
    draw_retry_after_s: collections.abc.Callable[[float, float], float]
    recorder: recording.Recorder
    paths: path_module.PathController
    level_upper_bound: collections.abc.Callable[[], int]
    costs: costs_module.RouteCosts = dataclasses.field(
        default_factory=costs_module.RouteCosts
    )
    in_progress: int = 0


class SendTracker:
    """Tracks where one request was sent and decides where it may go next.

    Args:
        shared: State shared by all calls of the node.
        route: Route of the request.
        run: The request in the form that is sent to an upstream.
    """

    __slots__ = (
        "_offered_instances",
        "_offer_count",
        "_route",
        "_run",
        "_possible_run_count",
        "_shared",
        "_tried_instances",
    )

    def __init__(
        self,
        shared: SharedState,
        route: routes_module.Route,
        run: runs.Run,
    ):
        self._shared = shared
        self._route = route
        self._run = run
        # Instances that are used again only when no other is left.
        self._tried_instances: set[str] = set()
        # Instances whose node sent the request to its upstream.
        self._offered_instances: set[str] = set()
        self._offer_count = 0
        # Sends after which the upstream may have run the request.
        self._possible_run_count = 0

    @property
    def offer_count(self) -> int:
        """Number of ended attempts that were sent to an upstream."""
        return self._offer_count

    @property
    def was_sent(self) -> bool:
        """Whether the request was sent to any upstream or node."""
        return bool(self._tried_instances) or self._offer_count > 0

    def record(
        self, candidate: placement_module.Candidate, result: runs.RunResult
    ) -> None:
        """Records the result of a send.

        Args:
            candidate: The upstream that the request was sent to.
            result: Result of the send.
        """
        self._tried_instances.add(candidate.instance)
        if result.offered:
            self._offer_count += 1
            self._offered_instances.add(candidate.instance)
        if result.outcome is not errors.Outcome.NOT_RUN:
            self._possible_run_count += 1
        if result.outcome is errors.Outcome.ANSWERED and (
            result.made_calls
            or result.status < refusals.MIN_SERVER_ERROR_STATUS
        ):
            route = self._route
            self._shared.costs.note(
                route.name,
                route.priority,
                result.made_calls,
                result.leaf_slot_s,
            )

    def candidates(self) -> list[placement_module.Candidate]:
        """Returns the upstreams that the request may be sent to next."""
        found = self._shared.fleet.candidates(self._run.service)
        if not self._tried_instances:
            return found
        if len(self._offered_instances) >= self._route.max_attempts:
            # The request may not be sent to a further upstream, but one that
            # shed it may still run it.
            return [c for c in found if c.instance in self._offered_instances]
        return [c for c in found if c.instance not in self._tried_instances]

    def try_retry_failed(self, now: float) -> bool:
        """Takes a retry for a request that may have run, if it is allowed.

        Args:
            now: Current time, in seconds.

        Returns:
            Whether the request may be sent again.
        """
        return (
            self._route.idempotent
            and len(self._offered_instances) < self._route.max_attempts
            and self._shared.placement.has_healthy(self.candidates(), now)
            and self.try_retry_unexecuted(now)
        )

    def try_retry_unexecuted(self, now: float) -> bool:
        """Takes a retry for a request that has not run, if it is allowed.

        Args:
            now: Current time, in seconds.

        Returns:
            Whether the request may be sent again.
        """
        if (
            self._possible_run_count >= self._route.max_attempts
            or now >= self._run.deadline
        ):
            return False
        shared = self._shared
        makes_calls = shared.costs.makes_calls(self._route.name)
        taken = shared.retry_share(self._run.service).try_retry(
            shared.fleet.size,
            now,
            self._run.level / shared.level_upper_bound(),
            self._run.level,
            makes_calls,
        )
        if taken and makes_calls:
            self._run.repeated = True
        return taken

    def prepare_retry(self) -> None:
        """Makes the tried instances usable again if no other is left."""
        if not self._offer_count:
            return
        usable = self._shared.fleet.candidates(self._run.service)
        if all(c.instance in self._tried_instances for c in usable):
            self._tried_instances.clear()

    def retry_cutoff_level(self, now: float) -> int:
        """Returns the level below which chains fail for lack of retries.

        Args:
            now: Current time, in seconds.

        Returns:
            The level; 0 while few sends to the service fail.
        """
        shared = self._shared
        share = shared.retry_share(self._run.service)
        if not share.is_lossy:
            return 0
        urgency = share.min_retry_urgency(shared.fleet.size, now)
        return int(
            min(urgency, MAX_CUTOFF_URGENCY) * shared.level_upper_bound()
        )
