"""Data classes of routes, and their lookup by host and path prefix."""

import dataclasses

from medlardoor.config import prefixes
from medlardoor.teams import importance, keys

__all__ = [
    "ConnectionLimits",
    "Destination",
    "Route",
    "RouteDocument",
    "RouteTable",
    "ServiceEntry",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """A service that receives requests of a route.

    Attributes:
        service: Name of the service.
        weight: Share of the requests, relative to the other destinations.
    """

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests to one host below one path prefix.

    Attributes:
        name: Name in the document, for logs.
        host: Host name in lower case, without a port.
        path_prefix: Prefix that begins and ends with a slash.
        idempotent: Whether a request may run more than once.
        objective_s: Response time up to which an answer has its full value, in
            seconds.
        timeout_s: Maximum time until the response, in seconds.
        priority: Rank of the requests; 0 is the most urgent.
        max_attempts: Maximum number of upstreams that a request is sent to.
        destinations: Services that share the requests; at least one.
        is_public: Whether callers need no key.
    """

    name: str
    host: bytes
    path_prefix: bytes
    idempotent: bool
    objective_s: float
    timeout_s: float
    priority: int
    max_attempts: int
    destinations: tuple[Destination, ...]
    is_public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Size and time limits of connections from callers.

    Attributes:
        max_head_bytes: Maximum size of a request head.
        max_body_bytes: Maximum size of a request body.
        head_timeout_s: Time limit to receive a request head, in seconds.
        idle_timeout_s: Time after which an idle connection ends, in seconds.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceEntry:
    """Entry of a service in the document.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        max_connections: Maximum connections that one upstream accepts.
    """

    name: str
    health_path: str
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class RouteDocument:
    """A validated document of routes.

    Attributes:
        version: Version that the operator assigned.
        routes: All routes.
        services: All services by name.
        limits: Limits of connections from callers.
        unknown_kinds: Kinds of routes that the decoder does not support; their
            requests are treated as not idempotent.
        teams: All teams; None if callers need no keys.
        has_downloads: Whether a route is for large responses.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceEntry]
    limits: ConnectionLimits
    unknown_kinds: tuple[str, ...] = ()
    teams: tuple[keys.Team, ...] | None = None
    has_downloads: bool = False


class RouteTable:
    """Finds the route of a request.

    The cost of a lookup does not depend on the number of routes, and it is
    linear in the length of the path at most; see `prefixes.PrefixTree`.

    Args:
        document: The enforced document.
    """

    def __init__(self, document: RouteDocument):
        self._document = document
        self._hosts: dict[bytes, prefixes.PrefixTree[Route]] = {}
        for route in document.routes:
            if route.host not in self._hosts:
                self._hosts[route.host] = prefixes.PrefixTree()
            self._hosts[route.host].add(route.path_prefix, route)
        self._most_urgent_priority = min(
            (route.priority for route in document.routes), default=0
        )
        self._keys = keys.KeyTable(document.teams or ())
        self._importance = importance.ImportanceScale(
            [
                route.priority
                for route in document.routes
                if not (route.is_public and document.teams)
            ],
            [team.priority for team in document.teams or ()],
        )

    @property
    def has_teams(self) -> bool:
        """Whether callers need keys."""
        return self._document.teams is not None

    @property
    def shares_capacity(self) -> bool:
        """Whether the document calls for the sharing of scarce capacity.

        Documents without teams and downloads keep the behaviour of earlier
        versions.
        """
        return self.has_teams or self._document.has_downloads

    @property
    def max_importance(self) -> int:
        """Importance of the most urgent requests; 0 without routes."""
        return self._importance.max_importance

    def importance_of(self, route: Route, team: keys.Team | None) -> int:
        """Importance of the requests of a team on a route.

        Args:
            route: The route.
            team: The team; None if it is unknown.
        """
        priority = None if team is None else team.priority
        return self._importance.importance_of(route.priority, priority)

    def is_most_urgent(self, route: Route) -> bool:
        """Whether no route has a more urgent priority."""
        return route.priority <= self._most_urgent_priority

    def find_team(self, key: bytes) -> keys.Team | None:
        """Returns the team that holds a key, if any."""
        return self._keys.find(key)

    @property
    def document(self) -> RouteDocument:
        """Document with the routes of the table."""
        return self._document

    def find(self, host: bytes, target: bytes) -> Route | None:
        """Finds the route with the longest prefix of the path.

        Args:
            host: Value of the ``Host`` header.
            target: Request target: path and query.

        Returns:
            The route, or None if no route matches.
        """
        tree = self._hosts.get(host)
        if tree is None:
            tree = self._hosts.get(_host_name(host))
            if tree is None:
                return None
        return tree.find(target.partition(b"?")[0])


def _host_name(host: bytes) -> bytes:
    return host.strip().lower().partition(b":")[0]
