"""Share of a node's calls to a service that goes to other failure domains.

Calls stay in the own failure domain while its upstreams have room. Otherwise
only the excess leaves, and no more of it than the other domains have spare.

All nodes of a domain see about the same statuses and apply the same share to
their own calls, so together they send the excess once. Statuses are up to
0.8 s old. The effect of a share on them is therefore compared with the share
of that time (setting `lag_s`) and not with the present one; otherwise a share
would be raised again before its effect is visible.
"""

import collections.abc
import dataclasses
import enum
import math
import random

from medlardoor.routing import domain_loads, domain_settings, placement

__all__ = ["Choice", "DomainSplit", "Reason"]

# A share is recomputed after this time, in seconds.
UPDATE_INTERVAL_S = 0.1

# Maximum number of failure domains that get a share. Calls to upstreams in
# further domains are possible only as retries or if no other upstream admits
# the call.
MAX_DOMAINS = 16

# The demand of the own domain is only estimated while at least this share of
# the calls stays in it.
MIN_KEPT_SHARE = 0.2

# Other domains are filled in the order of their distance. Distances that
# differ by less than this are equal, in seconds.
DISTANCE_STEP_S = 0.02

# Weight of a new split while the own domain has no upstream.
AWAY_SMOOTHING_FACTOR = 0.3

# Distance between successive points of the sequence that picks domains; its
# points are spread evenly over any short run of calls.
GOLDEN_RATIO = 0.618_033_988_75

# Calls are withdrawn from an overfilled domain by this multiple of the excess.
# In simulated runs in which three of six domains overflow at once, others were
# overfilled by over 10 % in 7 of 12 runs with 1, and in 2 of 12 with 2.
OVERFILL_FACTOR = 2.0

# Weight of the latest call in the mean sizes of requests and responses.
SIZE_SMOOTHING_FACTOR = 0.1

BYTES_PER_MEGABYTE = 1_000_000


class Reason(enum.Enum):
    """Why a call is sent to another failure domain.

    Attributes:
        EXCESS: The own domain has too few free slots.
        NO_OWN_UPSTREAM: No upstream of the own domain is usable.
        NOT_ADMITTED: No upstream of the selected domain admits the call.
        RETRY: The call is sent again and may go anywhere.
    """

    EXCESS = "excess"
    NO_OWN_UPSTREAM = "no_own_upstream"
    NOT_ADMITTED = "not_admitted"
    RETRY = "retry"


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The upstreams that are eligible for one call.

    Attributes:
        candidates: Upstreams of one failure domain.
        reason: Why the call leaves the own domain; None if it stays.
    """

    candidates: collections.abc.Sequence[placement.Candidate]
    reason: Reason | None = None


class DomainSplit:
    """Splits the calls of a node to one service over the failure domains.

    Args:
        own_domain: Failure domain of this node.
        settings: Settings of the traffic to other failure domains.
        chooser: Tells which upstreams are healthy.
        generator: Source of the random start of the sequence of domains.
    """

    def __init__(
        self,
        own_domain: str,
        settings: domain_settings.DomainSettings,
        chooser: placement.Placement,
        generator: random.Random,
    ):
        self._own_domain = own_domain
        self._settings = settings
        self._chooser = chooser
        self._position = generator.random()
        self._candidates: collections.abc.Sequence[placement.Candidate] = ()
        self._groups: dict[str, list[placement.Candidate]] = {}
        self._loads: dict[str, domain_loads.DomainLoad] = {}
        self._shares: dict[str, float] = {own_domain: 1.0}
        # The shares whose effect the reported loads show.
        self._lagged_shares: dict[str, float] = {own_domain: 1.0}
        # Slots that all calls of the own domain would keep busy.
        self._demand: float | None = None
        # Expected wait if all calls stayed in the own domain, in seconds. The
        # second one includes a reserve, for calls that leave already.
        self._predicted_wait_s = 0.0
        self._reserved_wait_s = 0.0
        self._times: dict[str, domain_loads.ResponseTimes] = {}
        # Mean sizes, in bytes.
        self._request_bytes = 0.0
        self._response_bytes = 0.0
        self._updated_at = -math.inf
        # Whether upstreams have come or gone since then.
        self._is_changed = False

    @property
    def shares(self) -> dict[str, float]:
        """Shares of the calls by failure domain; their sum is 1."""
        return self._shares

    @property
    def updated_at(self) -> float:
        """Time of the last computation of the shares, in seconds."""
        return self._updated_at

    def choose(
        self,
        candidates: collections.abc.Sequence[placement.Candidate],
        byte_count: int,
        objective_left_s: float,
        now: float,
    ) -> Choice:
        """Selects the failure domain of a call.

        Args:
            candidates: Usable upstreams of the service. The sequence must not
                be changed; after a change, pass a new one.
            byte_count: Size of the request, in bytes.
            objective_left_s: Time left until the response-time objective, in
                seconds.
            now: Current time, in seconds.
        """
        if candidates is not self._candidates:
            self._group(candidates)
        if self._is_changed or now - self._updated_at >= UPDATE_INTERVAL_S:
            self._update(now)
        self._request_bytes += SIZE_SMOOTHING_FACTOR * (
            byte_count - self._request_bytes
        )
        domain = self._next_domain()
        if domain == self._own_domain:
            if domain in self._groups:
                return Choice(self._groups[domain])
            return Choice(candidates, Reason.NO_OWN_UPSTREAM)
        own = self._loads.get(self._own_domain)
        if own is None or not own.limit:
            return Choice(self._groups[domain], Reason.NO_OWN_UPSTREAM)
        cost_s = self._loads[domain].round_trip_s + self._price_s(byte_count)
        limit_s = self._settings.max_delay_share * objective_left_s
        if cost_s > min(limit_s, self._reserved_wait_s):
            return Choice(self._groups[self._own_domain])
        return Choice(self._groups[domain], Reason.EXCESS)

    def record_response(
        self, domain: str, byte_count: int, time_s: float
    ) -> None:
        """Records the size and time of a response.

        Args:
            domain: Failure domain of the upstream.
            byte_count: Size of the response, in bytes.
            time_s: Response time without waiting for slots, in seconds.
        """
        times = self._times.get(domain)
        if times is None:
            if domain not in self._groups:
                return
            times = self._times[domain] = domain_loads.ResponseTimes()
        times.record(time_s)
        self._response_bytes += SIZE_SMOOTHING_FACTOR * (
            byte_count - self._response_bytes
        )

    def _price_s(self, request_bytes: float) -> float:
        """Delay that is as bad as the bytes of a call, in seconds."""
        megabytes = (request_bytes + self._response_bytes) / BYTES_PER_MEGABYTE
        return self._settings.byte_price_s * megabytes

    def _next_domain(self) -> str:
        self._position = (self._position + GOLDEN_RATIO) % 1.0
        left = self._position
        for domain, share in self._shares.items():
            left -= share
            if left < 0.0:
                return domain
        return self._own_domain

    def _group(
        self, candidates: collections.abc.Sequence[placement.Candidate]
    ) -> None:
        """Groups the candidates by domain and recomputes if a group changed."""
        groups: dict[str, list[placement.Candidate]] = {}
        for candidate in candidates:
            domain = candidate.failure_domain
            if domain in groups:
                groups[domain].append(candidate)
            elif len(groups) < MAX_DOMAINS or domain == self._own_domain:
                groups[domain] = [candidate]
        self._candidates = candidates
        self._is_changed = groups != self._groups
        self._groups = groups

    def _update(self, now: float) -> None:
        """Recomputes the shares from the loads of the domains."""
        settings = self._settings
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._is_changed = False
        self._update_loads(elapsed_s, now)
        weight = 1.0 - math.exp(-elapsed_s / settings.lag_s)
        lagged = self._lagged_shares
        for domain in {*lagged, *self._shares}:
            before = lagged.get(domain, 0.0)
            share = self._shares.get(domain, 0.0)
            lagged[domain] = before + weight * (share - before)
        for domain in set(lagged) - set(self._groups) - {self._own_domain}:
            del lagged[domain]
            self._times.pop(domain, None)
        own = self._loads.get(self._own_domain)
        if own is None or not own.limit:
            self._shares = self._split_without_own()
            return
        kept_share = lagged.get(self._own_domain, 0.0)
        if self._demand is None or kept_share >= MIN_KEPT_SHARE:
            kept_share = max(kept_share, MIN_KEPT_SHARE)
            self._demand = own.offered(settings.drain_s) / kept_share
        self._predicted_wait_s = self._predict_wait_s(own, 1.0)
        self._reserved_wait_s = self._predict_wait_s(
            own, settings.return_busy_share
        )
        leaving = self._leaving_share(own, elapsed_s)
        sent = self._allocate(leaving * self._demand, self._demand)
        shares = {
            domain: load / self._demand for domain, load in sent.items() if load
        }
        kept = max(0.0, 1.0 - sum(shares.values()))
        self._shares = {self._own_domain: kept, **shares}

    def _predict_wait_s(
        self, own: domain_loads.DomainLoad, busy_share: float
    ) -> float:
        """Returns the expected wait if all calls stayed, in seconds."""
        excess_share = max(0.0, self._demand / (busy_share * own.limit) - 1.0)
        return own.wait_s + excess_share * self._settings.horizon_s

    def _leaving_share(
        self, own: domain_loads.DomainLoad, elapsed_s: float
    ) -> float:
        """Returns the share of the calls that should leave, with hysteresis."""
        settings = self._settings
        leaving = 1.0 - self._shares.get(self._own_domain, 0.0)
        target = settings.target_busy_share * own.limit
        wanted = 0.0
        if self._demand > target:
            wanted = 1.0 - target / self._demand
        busy_share = own.offered(settings.drain_s) / own.limit
        if busy_share > settings.leave_busy_share:
            return max(leaving, wanted)
        if leaving <= wanted:
            return leaving
        decrease = settings.return_share_per_s * elapsed_s
        if busy_share >= settings.return_busy_share:
            # Two domains that send calls to each other both stay between the
            # thresholds, so calls return slowly there too.
            decrease *= leaving
        return max(wanted, leaving - decrease)

    def _update_loads(self, elapsed_s: float, now: float) -> None:
        settings = self._settings
        weight = 1.0 - math.exp(-elapsed_s / settings.smoothing_s)
        own_times = self._times.get(self._own_domain)
        loads = {}
        for domain, members in self._groups.items():
            is_own = domain == self._own_domain
            load = self._loads.get(domain) or domain_loads.DomainLoad()
            max_age_s = math.inf if is_own else settings.max_report_age_s
            healthy = [
                c for c in members if self._chooser.has_healthy((c,), now)
            ]
            load.update(healthy, max_age_s, weight, now)
            times = self._times.get(domain)
            if own_times or times:
                load.slot_time_s = (own_times or times).mean_s
            if not is_own:
                delay_s = settings.delays_s.get(domain)
                if delay_s is None:
                    delay_s = settings.delay_s
                    if own_times and times:
                        delay_s = max(delay_s, times.delay_from(own_times))
                load.round_trip_s = 2.0 * delay_s
            loads[domain] = load
        self._loads = loads

    def _split_without_own(self) -> dict[str, float]:
        """Returns the shares while no upstream of the own domain is usable."""
        # While the demand is not known, the nearest domains get all calls.
        demand = self._demand or 1e-6
        weights = self._allocate(demand, demand)
        if not any(weights.values()):
            weights = {
                domain: load.limit
                for domain, load in self._loads.items()
                if load.limit
            }
        total = sum(weights.values())
        if not total:
            # All upstreams fail or are silent, so none is better than another.
            return {self._own_domain: 1.0}
        shares = {domain: w / total for domain, w in weights.items()}
        known = sum(self._shares.get(domain, 0.0) for domain in shares)
        if known > 0.0:
            for domain, share in shares.items():
                before = self._shares.get(domain, 0.0) / known
                shares[domain] = before + AWAY_SMOOTHING_FACTOR * (
                    share - before
                )
        return shares

    def _allocate(self, excess: float, demand: float) -> dict[str, float]:
        """Divides calls over the other domains, the nearest ones first.

        Args:
            excess: Slots that the calls to be sent away keep busy.
            demand: Slots that all calls of the own domain keep busy.

        Returns:
            Slots by failure domain; no more in sum than `excess`.
        """
        steps: dict[int, dict[str, float]] = {}
        for domain, load in self._loads.items():
            if domain == self._own_domain or not load.limit:
                continue
            if not self._is_worth(domain, load):
                continue
            room = self._room(domain, load, demand)
            step = int(load.round_trip_s / DISTANCE_STEP_S)
            steps.setdefault(step, {})[domain] = room
        sent: dict[str, float] = {}
        for step in sorted(steps):
            total = sum(steps[step].values())
            if excess <= 0.0 or total <= 0.0:
                continue
            used = min(1.0, excess / total)
            for domain, room in steps[step].items():
                sent[domain] = room * used
            excess -= total * used
        return sent

    def _is_worth(self, domain: str, load: domain_loads.DomainLoad) -> bool:
        """Whether the time won by leaving exceeds the cost."""
        own = self._loads.get(self._own_domain)
        if own is None or not own.limit:
            return True
        cost_s = load.round_trip_s + load.wait_s
        cost_s += self._price_s(self._request_bytes)
        if self._shares.get(domain):
            return self._reserved_wait_s > cost_s
        return self._predicted_wait_s > cost_s

    def _room(
        self, domain: str, load: domain_loads.DomainLoad, demand: float
    ) -> float:
        """Slots of a domain that the calls of the own domain may keep busy.

        Those which they keep busy already are part of its reported load.
        """
        settings = self._settings
        spare = load.spare(settings.spare_busy_share)
        used = self._lagged_shares.get(domain, 0.0) * demand
        if spare <= 0.0:
            return max(0.0, used + OVERFILL_FACTOR * spare)
        # Domains that are nearly full may send calls to the same spare slots.
        senders = 1 + sum(
            other.running >= settings.target_busy_share * other.limit > 0
            for name, other in self._loads.items()
            if name not in (domain, self._own_domain)
        )
        return used + settings.gain * spare / senders
