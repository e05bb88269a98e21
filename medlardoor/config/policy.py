"""Data classes of a validated operator document."""

import dataclasses

from medlardoor.teams import keys as team_keys

__all__ = ["Kind", "Objective", "Policy", "ServicePolicy"]


@dataclasses.dataclass(frozen=True, slots=True)
class Objective:
    """Service-level objective of one kind.

    Attributes:
        availability: Target share of successful requests, such as 0.995.
        latency_ms: Maximum response time of a successful request.
        window_short_s: Short burn-rate window, in seconds.
        window_long_s: Long burn-rate window, in seconds.
    """

    availability: float
    latency_ms: int
    window_short_s: int
    window_long_s: int


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request.

    Attributes:
        name: Name, unique in the document.
        team: Team that the kind belongs to.
        service: Service that receives the request from its caller.
        method: HTTP method.
        path_prefix: Prefix of the path; the longest match wins.
        importance_class: Name of the importance class.
        rank: Importance; 0 is the least important class.
        idempotent: Whether a request may run more than once.
        weight: Weight of one answered request in the goodput.
        retry_budget: Maximum retries of one request in its whole call chain.
        max_wait_ms: Maximum wait in the queue of one node.
        timeout_ms: Time limit if the caller sends none.
        objective: Service-level objective.
    """

    name: str
    team: str
    service: str
    method: str
    path_prefix: str
    importance_class: str
    rank: int
    idempotent: bool
    weight: float
    retry_budget: int
    max_wait_ms: int
    timeout_ms: int
    objective: Objective


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Limits of one service.

    Attributes:
        max_queue: Maximum number of requests that wait in one node.
        slots: Concurrency limit of an upstream that reports none.
        ramp_s: Time from the start of an upstream to full load, in seconds.
    """

    max_queue: int = 256
    slots: int = 64
    ramp_s: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """A validated operator document.

    Attributes:
        environment: Name of the environment.
        importance_classes: Class names, most important first.
        kinds: Kinds by name.
        services: Limits by service name.
        teams: Teams whose callers need a key, by name.
        keys: Finds the team that holds a key.
    """

    environment: str
    importance_classes: tuple[str, ...]
    kinds: dict[str, Kind]
    services: dict[str, ServicePolicy]
    teams: dict[str, team_keys.Team] = dataclasses.field(default_factory=dict)
    keys: team_keys.KeyTable = dataclasses.field(
        default_factory=lambda: team_keys.KeyTable(()),
        compare=False,
        repr=False,
    )

    @property
    def top_rank(self) -> int:
        """Rank of the most important class."""
        return len(self.importance_classes) - 1

    def kind_for(self, service: str, method: str, path: str) -> Kind | None:
        """Returns the kind with the longest matching prefix, or None."""
        best = None
        for kind in self.kinds.values():
            if kind.service != service or kind.method != method:
                continue
            if not path.startswith(kind.path_prefix):
                continue
            if best is None or len(kind.path_prefix) > len(best.path_prefix):
                best = kind
        return best

    def service(self, name: str) -> ServicePolicy:
        """Returns the limits of a service, or defaults if it is not listed."""
        return self.services.get(name) or ServicePolicy()
