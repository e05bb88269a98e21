"""Selection of the upstream of a call, restricted to a failure domain."""

import collections
import collections.abc
import random

import logbook

from medlardoor import logs
from medlardoor.mesh import documents, runs
from medlardoor.mesh import settings as settings_module
from medlardoor.routing import domains, placement

__all__ = ["DomainPlacement"]

_LOG = logbook.Logger("domains")

# Number of services with a split, to limit the memory used. The upstreams of
# further services are selected by placement alone.
MAX_SERVICES = 256

# Number of counted pairs of failure domain and reason, to limit the number of
# series. Further ones are counted under one name.
MAX_COUNTED = 64
OTHER_DOMAINS = "(other)"

# Change of a share that is logged.
MIN_LOGGED_CHANGE = 0.1


class DomainPlacement:
    """Selects upstreams within the failure domain that a split has chosen.

    Splits exist only while a document calls for the sharing of scarce
    capacity. Without them, placement selects among all upstreams.

    Args:
        settings: Settings of the node.
        holder: Holds the document of routes in force.
        chooser: Selects an upstream among given ones.
        generator: Source of random numbers.
    """

    def __init__(
        self,
        settings: settings_module.MeshSettings,
        holder: documents.DocumentHolder,
        chooser: placement.Placement,
        generator: random.Random,
    ):
        self._settings = settings
        self._holder = holder
        self._chooser = chooser
        self._generator = generator
        self._is_active = False
        self._splits: dict[str, domains.DomainSplit] = {}
        # Time of the last compared split and the last logged shares.
        self._compared_at: dict[str, float] = {}
        self._logged: dict[str, dict[str, float]] = {}
        self._sent_counts: collections.Counter[tuple[str, domains.Reason]] = (
            collections.Counter()
        )
        holder.listen(self._apply_document)
        self._apply_document()

    @property
    def is_active(self) -> bool:
        """Whether calls are split over the failure domains."""
        return self._is_active

    def choose(
        self,
        candidates: collections.abc.Sequence[placement.Candidate],
        run: runs.Run,
        is_retry: bool,
        now: float,
    ) -> placement.Candidate | None:
        """Selects the upstream of a call.

        Args:
            candidates: Usable upstreams that the call was not sent to.
            run: The call.
            is_retry: Whether the call was sent before. It may then go to any
                failure domain.
            now: Current time, in seconds.

        Returns:
            The upstream; None if none of the candidates admits the call.
        """
        if not self._is_active:
            return self._chooser.choose(candidates, run.level, now)
        reason = domains.Reason.RETRY
        found = None
        split = None if is_retry else self._split(run.service)
        if split is not None:
            choice = split.choose(
                candidates,
                len(run.headers) + len(run.body),
                run.objective_deadline - now,
                now,
            )
            if split.updated_at != self._compared_at[run.service]:
                self._log_change(run.service, split)
            found = self._chooser.choose(
                choice.candidates, run.level, now, is_domain_chosen=True
            )
            reason = choice.reason
        if found is None:
            if not is_retry:
                reason = domains.Reason.NOT_ADMITTED
            found = self._chooser.choose(candidates, run.level, now)
        if found is not None and reason is not None:
            self._count(found.failure_domain, reason)
        return found

    def record_response(
        self, service: str, domain: str, result: runs.RunResult, time_s: float
    ) -> None:
        """Records a response; its size and time are part of the cost of calls.

        Args:
            service: Service that sent it.
            domain: Failure domain of the upstream.
            result: The response.
            time_s: Time from sending the call to the response, in seconds.
        """
        split = self._splits.get(service)
        if split is not None:
            byte_count = len(result.headers) + len(result.body)
            waited_s = min(time_s, result.waited_s)
            split.record_response(domain, byte_count, time_s - waited_s)

    def shares(self, service: str) -> dict[str, float]:
        """Shares of the calls to a service by failure domain.

        Args:
            service: Name of the service.

        Returns:
            The shares as of the last call; empty without a split.
        """
        split = self._splits.get(service)
        return {} if split is None else dict(split.shares)

    def render(self) -> list[str]:
        """Returns the metrics as lines in the Prometheus exposition format."""
        lines = []
        for (domain, reason), count in self._sent_counts.items():
            label = f'{{domain="{domain}",reason="{reason.value}"}}'
            lines.append(f"medlardoor_domain_sent_total{label} {count}")
        for service, split in self._splits.items():
            for domain, share in split.shares.items():
                label = f'{{service="{service}",domain="{domain}"}}'
                lines.append(f"medlardoor_domain_share{label} {share:.3f}")
        return lines

    def _apply_document(self) -> None:
        """Builds or drops the splits when a document comes into force."""
        table = self._holder.table
        self._is_active = self._settings.sharing.applies_to(table)
        if not self._is_active:
            self._splits.clear()
            self._compared_at.clear()
            self._logged.clear()

    def _split(self, service: str) -> domains.DomainSplit | None:
        split = self._splits.get(service)
        if split is None and len(self._splits) < MAX_SERVICES:
            settings = self._settings
            split = domains.DomainSplit(
                settings.failure_domain,
                settings.domains,
                self._chooser,
                self._generator,
            )
            self._splits[service] = split
            self._logged[service] = split.shares
            self._compared_at[service] = split.updated_at
        return split

    def _count(self, domain: str, reason: domains.Reason) -> None:
        """Counts a call to another failure domain."""
        if domain == self._settings.failure_domain:
            return
        key = domain, reason
        if key not in self._sent_counts and (
            len(self._sent_counts) >= MAX_COUNTED
        ):
            key = OTHER_DOMAINS, reason
        self._sent_counts[key] += 1

    def _log_change(self, service: str, split: domains.DomainSplit) -> None:
        """Logs the shares if one differs much from the last logged ones."""
        self._compared_at[service] = split.updated_at
        logged, shares = self._logged[service], split.shares
        change = max(
            abs(shares.get(domain, 0.0) - logged.get(domain, 0.0))
            for domain in {*shares, *logged}
        )
        if change <= MIN_LOGGED_CHANGE:
            return
        self._logged[service] = shares
        logs.log_event(
            _LOG,
            logbook.INFO,
            "domain_split_changed",
            service=service,
            own_domain=self._settings.failure_domain,
            shares={
                domain: round(share, 3) for domain, share in shares.items()
            },
        )
