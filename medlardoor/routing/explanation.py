"""Explanation of where a request would go now, and why."""

import collections.abc
import dataclasses
import enum

from medlardoor import errors
from medlardoor.admission import levels
from medlardoor.config import routes as routes_module
from medlardoor.routing import path as path_module
from medlardoor.routing import placement

__all__ = [
    "Decision",
    "Explanation",
    "LevelRange",
    "ServiceExplanation",
    "UpstreamExplanation",
    "Verdict",
    "decide",
    "decide_on_path",
    "explain_service",
]


class Verdict(enum.Enum):
    """What happens to a request.

    Attributes:
        ADMITTED: It is sent to an upstream, whatever its level in the range.
        BY_LEVEL: It is sent if its level is high enough, else refused.
        PROBE: Only one request is sent, as a probe; further ones are refused.
        REFUSED: It is refused.
    """

    ADMITTED = "admitted"
    BY_LEVEL = "by_level"
    PROBE = "probe"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What happens to a request, and why.

    Attributes:
        verdict: What happens.
        reason: Why it is or may be refused; None if it is admitted.
    """

    verdict: Verdict
    reason: errors.Reason | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LevelRange:
    """Levels that a request may have.

    Attributes:
        lowest: Lowest level.
        highest: Highest level.
    """

    lowest: int
    highest: int

    @property
    def nested(self) -> "LevelRange":
        """Levels of the calls that the request makes."""
        return LevelRange(
            levels.nested_level(self.lowest),
            levels.nested_level(self.highest),
        )

    def compare(self, admission_level: int) -> Verdict:
        """Returns what an admission level means for the range."""
        if self.lowest >= admission_level:
            return Verdict.ADMITTED
        if self.highest < admission_level:
            return Verdict.REFUSED
        return Verdict.BY_LEVEL


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamExplanation:
    """A usable upstream of a service.

    Attributes:
        instance: Name of the instance.
        failure_domain: Failure domain of the instance.
        busy: Estimated number of running and waiting requests.
        limit: Concurrency limit of the upstream.
        time_factor: Reported processing time as a multiple of the usual; None
            if unknown.
        expected_s: Expected response time; see `placement.Assessment`.
        is_preferred: Whether it is healthy and has free capacity.
        admits_from: Lowest level that it admits.
        verdict: What its level means for the request.
    """

    instance: str
    failure_domain: str
    busy: int
    limit: int
    time_factor: float | None
    expected_s: float
    is_preferred: bool
    admits_from: int
    verdict: Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceExplanation:
    """A service that gets requests of the route.

    Attributes:
        service: Name of the service.
        share: Its share of the requests, by the weights of the route.
        decision: Whether one of its upstreams admits the request.
        domain_shares: Share of the calls by failure domain; empty if calls are
            not split, or have not been sent yet.
        upstreams: Usable upstreams, the one to be selected first. Placement
            compares a sample of them with random factors, so the first one is
            only the most likely one.
    """

    service: str
    share: float
    decision: Decision
    domain_shares: dict[str, float]
    upstreams: tuple[UpstreamExplanation, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Where a request would go now, and why.

    Attributes:
        instance: Node that was asked.
        document_version: Operator's number of the document in force.
        route: Name of the route.
        host: Host of the route.
        path_prefix: Path prefix of the route.
        team: Name of the team; empty without one.
        team_rate_per_s: Limit on the rate of the team, in requests per second;
            0 for none. Whether a token is left is not checked.
        importance: Importance of the request; 0 is the least important.
        levels: Levels that the request may have.
        path_levels: Levels that its calls may have; these are compared with
            the admission level of the path.
        path_admission_level: Highest admission level reported on the path.
        path_decision: Result of that comparison.
        decision: Whether the request would be sent.
        services: Services of the route.
    """

    instance: str
    document_version: int
    route: str
    host: str
    path_prefix: str
    team: str
    team_rate_per_s: float
    importance: int
    levels: LevelRange
    path_levels: LevelRange
    path_admission_level: int
    path_decision: Decision
    decision: Decision
    services: tuple[ServiceExplanation, ...]


def decide_on_path(
    paths: path_module.PathController,
    route: routes_module.Route,
    path_levels: LevelRange,
    now: float,
) -> Decision:
    """Compares the levels of calls with the admission level of their path.

    Args:
        paths: Admission levels of the called services.
        route: Route of the request.
        path_levels: Levels that the calls of the request may have.
        now: Current time, in seconds.
    """
    verdict = path_levels.compare(paths.peek_level(route.name, now))
    if verdict is Verdict.ADMITTED:
        return Decision(verdict)
    if verdict is Verdict.REFUSED and paths.is_probe_due(route.name, now):
        verdict = Verdict.PROBE
    return Decision(verdict, errors.Reason.OVERLOAD)


def explain_service(
    destination: routes_module.Destination,
    share: float,
    chooser: placement.Placement,
    candidates: collections.abc.Sequence[placement.Candidate],
    domain_shares: dict[str, float],
    level_range: LevelRange,
    now: float,
) -> ServiceExplanation:
    """Explains the selection among the upstreams of one service.

    Args:
        destination: The service.
        share: Its share of the requests of the route.
        chooser: Judges the upstreams.
        candidates: Usable upstreams of the service.
        domain_shares: Shares of the calls by failure domain; empty if calls
            are not split.
        level_range: Levels that the request may have.
        now: Current time, in seconds.
    """
    upstreams = []
    for candidate in candidates:
        found = chooser.assess(candidate, now, bool(domain_shares))
        is_known = candidate.has_time_factor(now)
        upstreams.append(
            UpstreamExplanation(
                candidate.instance,
                candidate.failure_domain,
                candidate.busy,
                candidate.limit,
                candidate.time_factor if is_known else None,
                found.expected_s,
                found.is_preferred,
                found.admits_from,
                level_range.compare(found.admits_from),
            )
        )
    upstreams.sort(
        key=lambda upstream: (
            upstream.verdict is Verdict.REFUSED,
            bool(domain_shares)
            and not domain_shares.get(upstream.failure_domain),
            not upstream.is_preferred,
            upstream.expected_s,
        )
    )
    return ServiceExplanation(
        destination.service,
        share,
        _decide_on_upstreams(upstreams),
        domain_shares,
        tuple(upstreams),
    )


def decide(
    refusal: errors.Reason | None,
    path_decision: Decision,
    services: collections.abc.Sequence[ServiceExplanation],
) -> Decision:
    """Combines the decisions in the order in which a request meets them.

    Args:
        refusal: Why the request is refused before its level is known; None if
            it is not.
        path_decision: Decision by the admission level of the path.
        services: Services of the route. The request goes to one of them, so
            it is refused here only if all refuse it.
    """
    if refusal is not None:
        return Decision(Verdict.REFUSED, refusal)
    if path_decision.verdict is Verdict.REFUSED:
        return path_decision
    found = [service.decision for service in services]
    refused = [d for d in found if d.verdict is Verdict.REFUSED]
    if len(refused) == len(found):
        return refused[0]
    if path_decision.verdict is not Verdict.ADMITTED:
        return path_decision
    by_level = [d for d in found if d.verdict is Verdict.BY_LEVEL]
    if len(by_level) + len(refused) == len(found):
        return by_level[0]
    return path_decision


def _decide_on_upstreams(
    upstreams: collections.abc.Sequence[UpstreamExplanation],
) -> Decision:
    if not upstreams:
        return Decision(Verdict.REFUSED, errors.Reason.NO_UPSTREAM)
    verdicts = {upstream.verdict for upstream in upstreams}
    if Verdict.ADMITTED in verdicts:
        return Decision(Verdict.ADMITTED)
    if Verdict.BY_LEVEL in verdicts:
        return Decision(Verdict.BY_LEVEL, errors.Reason.OVERLOAD)
    return Decision(Verdict.REFUSED, errors.Reason.OVERLOAD)
