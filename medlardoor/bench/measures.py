"""What a bench run measures."""

import collections
import dataclasses

from medlardoor.bench import fakes, workload

__all__ = ["Figures", "Recorder", "Sample"]

_BIN_S = 0.25

# Recovery is reached when the share of arrivals answered at the first
# attempt is back at this value and stays there for some bins.
_RECOVERED = 0.95
_STEADY_BINS = 4

# Bound on the time in which all nodes learn that a rank is refused.
_CATCH_UP_S = 1.0

_SAMPLE_S = 0.5


@dataclasses.dataclass(frozen=True)
class Sample:
    """State of the bottleneck service at one time.

    Attributes:
        at: Time, in seconds.
        arrivals: Arrived requests a second.
        goodput: Weighted goodput a second.
        queued: Calls that wait in nodes and upstreams.
        limit: Sum of the limits; 0 without control.
        level: Highest admission level; 0 without control.
    """

    at: float
    arrivals: float
    goodput: float
    queued: int
    limit: int
    level: int


@dataclasses.dataclass(frozen=True)
class Figures:
    """Result of one run.

    Attributes:
        goodput: Weighted goodput in the overload, as a share of the possible.
        top_goodput: Share of requests of the most important kind answered.
        recovery_s: Time from the end of overload to normal service; the rest
            of the run if it was not reached.
        wasted: Share of upstream time spent on requests without an answer.
        refusals: Share of attempts refused, by kind, most important first.
        retries_mean: Retries of the system in one request.
        retries_most: Most retries of the system in one request.
        disorder: Time in which a lower rank was admitted although a higher
            one had been refused for longer than the bound, in seconds.
        crashes: Crashes of upstreams.
    """

    goodput: float
    top_goodput: float
    recovery_s: float
    wasted: float
    refusals: dict[str, float]
    retries_mean: float
    retries_most: int
    disorder: float
    crashes: int


class Recorder:
    """Notes what happens in one run.

    Args:
        world: The world that is measured.
        begin_s: Begin of the overload, in seconds.
        end_s: End of the overload, in seconds.

    Attributes:
        samples: State over time.
    """

    def __init__(self, world: fakes.World, begin_s: float, end_s: float):
        self._world = world
        self._begin_s = begin_s
        self._end_s = end_s
        self._requests: list[workload.Request] = []
        self._admitted: dict[int, int] = {}
        self._refused: dict[int, int] = {}
        self._goodput = 0.0
        self._arrivals = 0
        self._crashes = 0
        self.samples: list[Sample] = []

    def start(self) -> None:
        """Begins to take samples."""
        self._world.simulator.every(_SAMPLE_S, self._sample)

    def arrived(self, request: workload.Request) -> None:
        """Notes a new request."""
        self._arrivals += 1
        self._requests.append(request)

    def answered(self, request: workload.Request) -> None:
        """Notes the first answer to a request."""
        if request.is_good:
            self._goodput += request.kind.weight

    def admitted(self, call: fakes.Call) -> None:
        """Notes that a call starts at an instance."""
        if call.hop:
            return
        place = self._bin(self._world.simulator.now)
        rank = call.request.kind.rank
        self._admitted[place] = min(rank, self._admitted.get(place, rank))

    def refused(self, call: fakes.Call) -> None:
        """Notes that a call was refused for overload in the end."""
        place = self._bin(self._world.simulator.now)
        rank = call.request.kind.rank
        self._refused[place] = max(rank, self._refused.get(place, rank))

    def crashed(self) -> None:
        """Notes a crash of an upstream."""
        self._crashes += 1

    def figures(self, possible: float) -> Figures:
        """Evaluates the run.

        Args:
            possible: Weighted goodput that the capacity allows in the
                overload.
        """
        window = [
            r
            for r in self._requests
            if self._begin_s <= r.arrived_at < self._end_s
        ]
        retries = [r.retries for r in self._requests]
        return Figures(
            goodput=self._answered_weight() / possible,
            top_goodput=self._top_goodput(window),
            recovery_s=self._recovery(),
            wasted=_wasted(window),
            refusals=self._refusals(window),
            retries_mean=sum(retries) / len(retries),
            retries_most=max(retries),
            disorder=self._disorder(),
            crashes=self._crashes,
        )

    def _answered_weight(self) -> float:
        return sum(
            r.kind.weight
            for r in self._requests
            if r.is_good and self._begin_s <= r.answered_at < self._end_s
        )

    def _top_goodput(self, window) -> float:
        top = self._world.company.kinds[0]
        of_top = [r for r in window if r.kind is top]
        return sum(r.is_good for r in of_top) / len(of_top)

    def _refusals(self, window) -> dict[str, float]:
        attempts: collections.Counter = collections.Counter()
        refused: collections.Counter = collections.Counter()
        for request in window:
            attempts[request.kind.name] += request.attempts
            refused[request.kind.name] += request.refused
        return {
            kind.name: refused[kind.name] / max(1, attempts[kind.name])
            for kind in self._world.company.kinds
        }

    def _recovery(self) -> float:
        """Arrivals and not answers are counted in bins.

        The share of arrivals that were answered at once has no noise from
        the random arrivals, unlike the answers in one short bin.
        """
        arrived: collections.Counter = collections.Counter()
        normal: collections.Counter = collections.Counter()
        for request in self._requests:
            place = int((request.arrived_at - self._end_s) // _BIN_S)
            arrived[place] += request.kind.weight
            if request.first_answer and request.is_good:
                normal[place] += request.kind.weight
        # The last requests have no time to be answered before the run ends.
        timeout_s = max(k.timeout_s for k in self._world.company.kinds)
        rest_s = self._world.simulator.now - timeout_s - self._end_s
        steady = 0
        for place in range(int(rest_s / _BIN_S)):
            good = normal[place] >= arrived[place] * _RECOVERED
            steady = steady + 1 if good else 0
            if steady == _STEADY_BINS:
                return (place + 1 - _STEADY_BINS) * _BIN_S
        return rest_s

    def _disorder(self) -> float:
        bins = 0
        history = int(_CATCH_UP_S / _BIN_S)
        for place, admitted in self._admitted.items():
            recent = [
                self._refused.get(place - back, -1)
                for back in range(history + 1)
            ]
            bins += min(recent) > admitted
        return bins * _BIN_S

    def _bin(self, at: float) -> int:
        return int(at / _BIN_S)

    def _sample(self) -> None:
        company = self._world.company
        queued = 0
        limit = 0
        level = 0
        for instance in self._world.instances[company.bottleneck]:
            queued += instance.queued
            board = getattr(instance, "board", None)
            if board is not None:
                queued += board.limits.queued
                limit += board.limits.limit
                level = max(level, board.limits.effective_level)
        self.samples.append(
            Sample(
                self._world.simulator.now,
                self._arrivals / _SAMPLE_S,
                self._goodput / _SAMPLE_S,
                queued,
                limit,
                level,
            )
        )
        self._goodput = 0.0
        self._arrivals = 0


def _wasted(window) -> float:
    work_s = sum(r.work_s for r in window)
    useful_s = sum(r.useful_s for r in window if r.is_good)
    return max(0.0, 1.0 - useful_s / work_s) if work_s else 0.0
