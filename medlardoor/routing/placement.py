"""Choice of the upstream that a request is sent to, by expected time.

The load that this answers: upstreams of one service differ in speed and in
distance, some are cold, and some fail a part of their requests while their
health check passes. Requests go where an answer is expected soonest, and a
failing upstream keeps only a trickle until it recovers: one failed call loses
all the work of the request that it is made for, so a failing upstream gets
calls only where no sound one has room.
"""

import collections.abc
import dataclasses
import random

__all__ = ["Candidate", "Placement", "PlacementSettings"]

# Scores are multiplied by a draw from this range, so that nodes with the same
# knowledge do not all choose the same upstream.
NOISE_LOW = 0.85
NOISE = 0.3

# Expected time of a request at an upstream that nobody has measured, in
# seconds.
UNKNOWN_RUN_S = 0.02

# A cold upstream is this much slower, by what the platform's upstreams do.
COLD_FACTOR = 2.0

# Growth of the expected time from an idle to a fully busy upstream, before
# requests have to wait.
IDLE_GROWTH = 0.2

# An upstream in another failure domain is chosen if it is expected to answer so
# many times sooner. While all upstreams of a service are busy, their queues
# differ by chance, and leaving the failure domain for that gains nothing.
REMOTE_FACTOR = 1.6

# The part of the expected time that changes slowly is computed anew after
# this time, in seconds.
EXPECTATION_AGE_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Parameters of the choice.

    Attributes:
        failure_domain: Failure domain of this node.
        remote_s: Added to the expected time in another failure domain, in
            seconds. Traffic between failure domains is expensive, so a near
            upstream is only left when it is slow, busy or failing.
        busy_share: Share of busy slots above which the expected time grows.
        busy_factor: Growth of the expected time when all slots are busy.
        smoothing: Weight of a new measurement of time or success.
        min_success: Lowest success rate that is counted with, so that a
            failing upstream keeps a trickle of requests.
        sound_success: Success rate from which on an upstream is sound.
        sound_busy_share: Share of busy slots up to which sound upstreams go
            before failing ones.
        max_sampled: Candidates that are compared for one request.
        recovery_per_s: Success rate that an upstream without requests regains
            in a second.
    """

    failure_domain: str = ""
    remote_s: float = 0.1
    busy_share: float = 0.6
    busy_factor: float = 12.0
    smoothing: float = 0.1
    min_success: float = 0.05
    sound_success: float = 0.8
    sound_busy_share: float = 0.9
    max_sampled: int = 6
    recovery_per_s: float = 0.1


@dataclasses.dataclass(slots=True, eq=False)
class Candidate:
    """An upstream as the choice sees it.

    Attributes:
        instance: Name of the instance.
        failure_domain: Where the instance stands.
        limit: Requests that it runs at the same time.
        reported_busy: Running and waiting requests by its last report.
        sent_since: Requests of this node since that report.
        outstanding: Requests of this node without an answer.
        run_s: Smoothed time of a request, in seconds.
        success: Smoothed share of good answers.
        success_at: When `success` was last updated, in seconds.
        cold_until: When the upstream stops being slow, in seconds.
        level: Admission level that it reported.
        level_at: When that was reported, in seconds.
        is_sound: Whether it runs requests as it should; set by the placement.
        expected_s: Expected time without load; set by the placement.
        distance_s: Added for the distance, in seconds; set by the placement.
        expected_until: When these are computed anew, in seconds.
    """

    instance: str
    failure_domain: str = ""
    limit: int = 0
    reported_busy: int = 0
    sent_since: int = 0
    outstanding: int = 0
    run_s: float = 0.0
    success: float = 1.0
    success_at: float = 0.0
    cold_until: float = 0.0
    level: int = 0
    level_at: float = 0.0
    is_sound: bool = True
    expected_s: float = 0.0
    distance_s: float = 0.0
    expected_until: float = -1.0

    @property
    def busy(self) -> int:
        """Requests that are expected to run or wait there."""
        reported = self.reported_busy + self.sent_since
        return reported if reported > self.outstanding else self.outstanding


class Placement:
    """Chooses among candidates and learns from answers.

    Args:
        settings: Parameters of the choice.
        generator: Source of the draws.
    """

    # A level says nothing about the present after this time, in seconds.
    LEVEL_AGE_S = 0.6

    def __init__(self, settings: PlacementSettings, generator: random.Random):
        self._settings = settings
        self._generator = generator
        self._busy_growth = settings.busy_factor / (1 - settings.busy_share)

    def choose(
        self,
        candidates: collections.abc.Sequence[Candidate],
        level: int,
        now: float,
    ) -> Candidate | None:
        """Chooses a candidate; None if all of them refuse the level.

        Args:
            candidates: Usable upstreams of the service.
            level: Level of the request.
            now: Current time, in seconds.
        """
        admitting = [c for c in candidates if self._admits(c, level, now)]
        if len(admitting) <= 1:
            return admitting[0] if admitting else None
        best = None
        best_score = 0.0
        sound = [c for c in admitting if self._is_open(c, now)]
        for candidate in self._sample(sound or admitting):
            score = self._score(candidate, now)
            if best is None or score < best_score:
                best, best_score = candidate, score
        return best

    def has_sound(
        self, candidates: collections.abc.Sequence[Candidate], now: float
    ) -> bool:
        """Whether a candidate is likely to run what another one has failed.

        Where all upstreams of a service fail, the cause is below them or in
        the requests, and a repeat only adds to the load.

        Args:
            candidates: Upstreams that the request was not sent to.
            now: Current time, in seconds.
        """
        return any(
            self._success(candidate, now) >= self._settings.sound_success
            for candidate in candidates
        )

    def answered(
        self, candidate: Candidate, run_s: float, good: bool, now: float
    ) -> None:
        """Learns from an answer.

        Args:
            candidate: Where the answer came from.
            run_s: Time from sending to the answer, in seconds.
            good: Whether the upstream ran the request as it should.
            now: Current time, in seconds.
        """
        weight = self._settings.smoothing
        if good:
            if candidate.run_s == 0.0:
                candidate.run_s = run_s
            candidate.run_s += weight * (run_s - candidate.run_s)
        success = self._success(candidate, now)
        candidate.expected_until = -1.0
        candidate.success = success + weight * (float(good) - success)
        candidate.success_at = now

    def _sample(self, candidates: list[Candidate]) -> list[Candidate]:
        limit = self._settings.max_sampled
        if len(candidates) <= limit:
            return candidates
        own = self._settings.failure_domain
        near = [c for c in candidates if c.failure_domain == own]
        half = limit // 2
        if len(near) > half:
            near = self._generator.sample(near, half)
        return near + self._generator.sample(candidates, limit - len(near))

    def _admits(self, candidate: Candidate, level: int, now: float) -> bool:
        if level >= candidate.level:
            return True
        return now - candidate.level_at > self.LEVEL_AGE_S

    def _is_open(self, candidate: Candidate, now: float) -> bool:
        """Whether a candidate is sound and has room."""
        if now >= candidate.expected_until:
            self._expect(candidate, now)
        room = self._settings.sound_busy_share * candidate.limit
        return candidate.is_sound and candidate.busy < room

    def _success(self, candidate: Candidate, now: float) -> float:
        idle_s = max(0.0, now - candidate.success_at)
        regained = idle_s * self._settings.recovery_per_s
        return min(1.0, candidate.success + regained)

    def _score(self, candidate: Candidate, now: float) -> float:
        share = candidate.busy / (candidate.limit or 1)
        expected = candidate.expected_s * (1 + IDLE_GROWTH * share)
        over = share - self._settings.busy_share
        if over > 0:
            expected *= 1 + self._busy_growth * over
        if candidate.distance_s:
            expected *= REMOTE_FACTOR
        expected += candidate.distance_s
        return expected * (NOISE_LOW + NOISE * self._generator.random())

    def _expect(self, candidate: Candidate, now: float) -> None:
        """Updates the expected time without the load."""
        settings = self._settings
        expected = candidate.run_s or UNKNOWN_RUN_S
        if now < candidate.cold_until:
            expected *= COLD_FACTOR
        success = self._success(candidate, now)
        candidate.is_sound = success >= settings.sound_success
        success = max(settings.min_success, success)
        candidate.expected_s = expected / (success * success)
        is_near = candidate.failure_domain == settings.failure_domain
        candidate.distance_s = 0.0 if is_near else settings.remote_s
        candidate.expected_until = now + EXPECTATION_AGE_S
