"""Selection of the upstream for a request by expected response time.

The upstreams of one service differ in speed and distance; some are cold, and
some fail part of their requests although their health check passes. A request
goes to the upstream with the shortest expected response time. Where upstreams
report their current speed, the time is that of the service at this speed, so
that an upstream without recent requests is judged too. A failed call loses all
work done for the request that made it, so a failing upstream gets calls only
where no healthy one has free capacity, and keeps only a trickle of calls until
it recovers.
"""

import collections.abc
import dataclasses
import random

from medlardoor.routing import assessments, speeds, work_times

__all__ = ["Candidate", "Placement", "PlacementSettings"]

# Minimum and width of the random factor on scores. It keeps nodes with the same
# data from all selecting the same upstream.
MIN_SCORE_JITTER = 0.85
SCORE_JITTER_RANGE = 0.3

# Expected response time of an upstream without a measurement.
DEFAULT_RESPONSE_TIME_S = 0.02

# Cold upstreams of the platform are slower by this factor.
COLD_FACTOR = 2.0

# Relative growth of the expected time from an idle to a fully busy upstream,
# before requests have to wait.
FULL_LOAD_SLOWDOWN = 0.2

# An upstream in another failure domain must be expected to respond this many
# times sooner. While all upstreams of a service are busy, their queues differ
# by chance, and crossing failure domains for that gains nothing.
REMOTE_FACTOR = 1.6

# Bounds on the expected time by the reported speed, as multiples of the
# measured time. An upstream that reports a wrong speed must not attract all
# requests.
MIN_MEASURED_SHARE = 0.5
MAX_MEASURED_SHARE = 2.0

# Upper bound on the number of nodes that one request of this node stands for.
MAX_SENDERS = 8.0

# The part of the expected time that changes slowly is recomputed after this
# time.
BASE_TIME_MAX_AGE_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Parameters of the selection.

    Attributes:
        failure_domain: Failure domain of this node.
        remote_penalty_s: Added to the expected time in another failure
            domain, in seconds. Traffic between failure domains is expensive,
            so a near upstream is only avoided when it is slow, busy or
            failing.
        busy_threshold: Share of busy slots above which the expected time
            grows steeply.
        busy_slowdown: Relative growth of the expected time from
            `busy_threshold` to all slots busy.
        smoothing_factor: Weight of the latest result in the moving averages.
        min_success_rate: Lower bound on the success rate in a score, so that
            a failing upstream keeps a trickle of requests.
        healthy_success_rate: Lowest success rate of a healthy upstream.
        healthy_max_busy_share: Share of busy slots below which healthy
            upstreams are preferred to failing ones.
        max_sampled: Maximum number of candidates compared for one request.
        max_sampled_by_speed: The same for a service whose upstreams report
            their speed, half of them in the failure domain of this node. Nodes
            agree on the fastest upstream, and if all compared it with many
            others, it would be full before a report shows it.
        success_recovery_per_s: Success rate that an upstream regains in each
            second without a result.
    """

    failure_domain: str = ""
    remote_penalty_s: float = 0.1
    busy_threshold: float = 0.6
    busy_slowdown: float = 12.0
    smoothing_factor: float = 0.1
    min_success_rate: float = 0.05
    healthy_success_rate: float = 0.8
    healthy_max_busy_share: float = 0.9
    max_sampled: int = 6
    max_sampled_by_speed: int = 4
    success_recovery_per_s: float = 0.1


@dataclasses.dataclass(slots=True, eq=False)
class Candidate:
    """State of an upstream that the selection uses.

    Attributes:
        instance: Name of the instance.
        failure_domain: Failure domain of the instance.
        limit: Concurrency limit of the upstream.
        reported_busy: Running and waiting requests in its last report.
        sent_since_report: Requests that this node has sent since that report.
        outstanding: Requests of this node without a response.
        response_time_s: Moving average of the response time, in seconds; 0 if
            not measured.
        success_rate: Moving average of the share of successful requests.
        success_rate_updated_at: Time of the last update of `success_rate`, in
            seconds.
        cold_until: End of the cold phase of the upstream, in seconds.
        level: Admission level by the last report or refusal of the upstream.
        level_updated_at: Time of that report or refusal, in seconds.
        service: Name of the service.
        time_factor: Current processing time as a multiple of the usual; None if
            unknown.
        time_factor_updated_at: When it was reported, in seconds.
        is_healthy: Whether the success rate is high enough; set by
            `Placement`.
        base_time_s: Expected response time without load, increased for failed
            requests, in seconds; set by `Placement`.
        distance_penalty_s: Penalty for another failure domain, in seconds; set
            by `Placement`.
        base_time_expires_at: Time from which on `is_healthy`, `base_time_s`
            and `distance_penalty_s` are recomputed, in seconds.
    """

    instance: str
    failure_domain: str = ""
    limit: int = 0
    reported_busy: int = 0
    sent_since_report: int = 0
    outstanding: int = 0
    response_time_s: float = 0.0
    success_rate: float = 1.0
    success_rate_updated_at: float = 0.0
    cold_until: float = 0.0
    level: int = 0
    level_updated_at: float = 0.0
    service: str = ""
    time_factor: float | None = None
    time_factor_updated_at: float = 0.0
    is_healthy: bool = True
    base_time_s: float = 0.0
    distance_penalty_s: float = 0.0
    base_time_expires_at: float = -1.0

    @property
    def busy(self) -> int:
        """Estimated number of requests running or waiting at the upstream.

        Nodes that know the speeds select the same upstreams. The requests that
        this node has sent since the report then stand for those of others too,
        in the ratio of the reported requests to the own ones among them.
        """
        sent = self.sent_since_report
        if self.time_factor is not None and sent:
            own = max(1, self.outstanding - sent)
            senders = min(MAX_SENDERS, max(1.0, self.reported_busy / own))
            sent = round(sent * senders)
        reported = self.reported_busy + sent
        return reported if reported > self.outstanding else self.outstanding

    def set_time_percent(self, time_percent: int, now: float) -> None:
        """Sets the processing time from a report.

        Args:
            time_percent: Processing time in percent of the usual; 0 if unknown.
            now: When the report was received, in seconds.
        """
        self.time_factor = time_percent / 100 if time_percent else None
        self.time_factor_updated_at = now

    def has_time_factor(self, now: float) -> bool:
        """Whether the processing time is known and not outdated.

        Args:
            now: Current time, in seconds.
        """
        age_s = now - self.time_factor_updated_at
        return self.time_factor is not None and age_s < speeds.MAX_AGE_S


class Placement:
    """Selects candidates and updates their averages from results.

    Args:
        settings: Parameters of the selection.
        generator: Source of the random selection.
    """

    # An older reported level is ignored.
    LEVEL_MAX_AGE_S = 0.6

    def __init__(self, settings: PlacementSettings, generator: random.Random):
        self._settings = settings
        self._generator = generator
        self._work_times = work_times.WorkTimes()
        self._slowdown_slope = settings.busy_slowdown / (
            1 - settings.busy_threshold
        )

    def choose(
        self,
        candidates: collections.abc.Sequence[Candidate],
        level: int,
        now: float,
        is_domain_chosen: bool = False,
    ) -> Candidate | None:
        """Selects the candidate with the lowest score.

        Args:
            candidates: Usable upstreams of the service.
            level: Level of the request.
            now: Current time, in seconds.
            is_domain_chosen: Whether all candidates are in the failure domain
                that a `domains.DomainSplit` has chosen. Its distance is then
                not considered again.

        Returns:
            The candidate; None if no candidate admits the level.
        """
        admitting = [c for c in candidates if self._admits(c, level, now)]
        if len(admitting) <= 1:
            return admitting[0] if admitting else None
        best = None
        best_score = 0.0
        preferred = [c for c in admitting if self._is_preferred(c, now)]
        for candidate in self._sample(preferred or admitting):
            score = self._score(candidate, now, is_domain_chosen)
            if best is None or score < best_score:
                best, best_score = candidate, score
        return best

    def assess(
        self, candidate: Candidate, now: float, is_domain_chosen: bool
    ) -> assessments.Assessment:
        """Judges a candidate without a change of state; see `choose`."""
        copy = dataclasses.replace(candidate)
        is_preferred = self._is_preferred(copy, now)
        return assessments.Assessment(
            self._expected_s(copy, is_domain_chosen),
            is_preferred,
            0 if self._admits(copy, copy.level - 1, now) else copy.level,
        )

    def has_healthy(
        self, candidates: collections.abc.Sequence[Candidate], now: float
    ) -> bool:
        """Whether a retry is likely to succeed at one of the candidates.

        If all upstreams of a service fail, the cause is a service below them
        or the requests, and a retry only adds to the load.

        Args:
            candidates: Upstreams that the request was not sent to.
            now: Current time, in seconds.
        """
        return any(
            self._current_success_rate(candidate, now)
            >= self._settings.healthy_success_rate
            for candidate in candidates
        )

    def answered(
        self,
        candidate: Candidate,
        response_time_s: float,
        is_success: bool,
        now: float,
    ) -> None:
        """Updates the averages of a candidate from the result of a request.

        Args:
            candidate: Upstream that the request was sent to.
            response_time_s: Time from sending to the result, in seconds.
            is_success: Whether the upstream ran the request successfully.
            now: Current time, in seconds.
        """
        smoothing_factor = self._settings.smoothing_factor
        if is_success:
            if candidate.has_time_factor(now):
                usual_s = response_time_s / candidate.time_factor
                self._work_times.record(
                    candidate.service, candidate.instance, usual_s, now
                )
            if candidate.response_time_s == 0.0:
                candidate.response_time_s = response_time_s
            candidate.response_time_s += smoothing_factor * (
                response_time_s - candidate.response_time_s
            )
        success_rate = self._current_success_rate(candidate, now)
        candidate.base_time_expires_at = -1.0
        candidate.success_rate = success_rate + smoothing_factor * (
            float(is_success) - success_rate
        )
        candidate.success_rate_updated_at = now

    def _sample(self, candidates: list[Candidate]) -> list[Candidate]:
        if any(c.time_factor is not None for c in candidates):
            return self._sample_by_speed(candidates)
        limit = self._settings.max_sampled
        if len(candidates) <= limit:
            return candidates
        own = self._settings.failure_domain
        near = [c for c in candidates if c.failure_domain == own]
        half = limit // 2
        if len(near) > half:
            near = self._generator.sample(near, half)
        return near + self._generator.sample(candidates, limit - len(near))

    def _sample_by_speed(self, candidates: list[Candidate]) -> list[Candidate]:
        limit = self._settings.max_sampled_by_speed
        if len(candidates) <= limit:
            return candidates
        own = self._settings.failure_domain
        near = [c for c in candidates if c.failure_domain == own]
        remote = [c for c in candidates if c.failure_domain != own]
        half = limit // 2
        if len(near) > half:
            near = self._generator.sample(near, half)
        if len(remote) > half:
            remote = self._generator.sample(remote, half)
        return near + remote

    def _admits(self, candidate: Candidate, level: int, now: float) -> bool:
        if level >= candidate.level:
            return True
        return now - candidate.level_updated_at > self.LEVEL_MAX_AGE_S

    def _is_preferred(self, candidate: Candidate, now: float) -> bool:
        """Whether a candidate is healthy and has free capacity.

        Also updates the outdated base time, which `_score` then uses.
        """
        if now >= candidate.base_time_expires_at:
            self._update_base_time(candidate, now)
        max_busy = self._settings.healthy_max_busy_share * candidate.limit
        return candidate.is_healthy and candidate.busy < max_busy

    def _current_success_rate(self, candidate: Candidate, now: float) -> float:
        idle_s = max(0.0, now - candidate.success_rate_updated_at)
        regained = idle_s * self._settings.success_recovery_per_s
        return min(1.0, candidate.success_rate + regained)

    def _score(
        self, candidate: Candidate, now: float, is_domain_chosen: bool = False
    ) -> float:
        return self._expected_s(candidate, is_domain_chosen) * (
            MIN_SCORE_JITTER + SCORE_JITTER_RANGE * self._generator.random()
        )

    def _expected_s(
        self, candidate: Candidate, is_domain_chosen: bool
    ) -> float:
        share = candidate.busy / (candidate.limit or 1)
        expected_s = candidate.base_time_s * (1 + FULL_LOAD_SLOWDOWN * share)
        overload_share = share - self._settings.busy_threshold
        if overload_share > 0:
            expected_s *= 1 + self._slowdown_slope * overload_share
        if candidate.distance_penalty_s and not is_domain_chosen:
            expected_s *= REMOTE_FACTOR
            expected_s += candidate.distance_penalty_s
        return expected_s

    def _unloaded_time_s(self, candidate: Candidate, now: float) -> float:
        """Expected response time without load, in seconds."""
        measured_s = candidate.response_time_s
        usual_s = 0.0
        if candidate.has_time_factor(now):
            usual_s = self._work_times.usual_s(candidate.service)
        if not usual_s:
            return measured_s or DEFAULT_RESPONSE_TIME_S
        # The service bounds the time where the upstream is not measured yet.
        bound_s = measured_s or usual_s
        shortest_s = MIN_MEASURED_SHARE * bound_s
        longest_s = MAX_MEASURED_SHARE * bound_s
        return min(longest_s, max(shortest_s, usual_s * candidate.time_factor))

    def _update_base_time(self, candidate: Candidate, now: float) -> None:
        """Updates the values that do not depend on the load."""
        settings = self._settings
        expected_s = self._unloaded_time_s(candidate, now)
        if now < candidate.cold_until:
            expected_s *= COLD_FACTOR
        success_rate = self._current_success_rate(candidate, now)
        candidate.is_healthy = success_rate >= settings.healthy_success_rate
        success_rate = max(settings.min_success_rate, success_rate)
        candidate.base_time_s = expected_s / (success_rate * success_rate)
        is_near = candidate.failure_domain == settings.failure_domain
        candidate.distance_penalty_s = (
            0.0 if is_near else settings.remote_penalty_s
        )
        candidate.base_time_expires_at = now + BASE_TIME_MAX_AGE_S
