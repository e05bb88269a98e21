"""Settings of the data path of a node."""

import dataclasses
import enum

from medlardoor.admission import connection_budget
from medlardoor.admission import waiting as waiting_module
from medlardoor.config import routes
from medlardoor.membership import neighbours as neighbours_module
from medlardoor.retries import shares
from medlardoor.routing import domain_settings
from medlardoor.routing import placement as placement_module
from medlardoor.teams import settings as limit_settings

__all__ = [
    "Address",
    "DocumentSettings",
    "HeaderNames",
    "LinkSettings",
    "MeshSettings",
    "SharingMode",
    "SharingSettings",
    "StopSettings",
    "UpstreamSettings",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the HTTP headers exchanged with callers and upstreams.

    Attributes:
        attempt_id: Identifier of an attempt; the upstream repeats it in its
            response.
        deadline_ms: Time for which the caller waits, in milliseconds.
        seal: Set by an upstream on each response that it generates.
        expected_upstream: Identifier of the upstream that the request is for.
        upstream_id: Identifier of the upstream that sends the response.
        load: Running requests, waiting requests and slots of the upstream.
        not_run: Set by an upstream that did not run the request.
        caller_service: Service that sends the request.
        team: Team of the caller whose request the chain serves.
        rate_limit: Requests per second that an upstream in need takes from all
            nodes together, in each of its responses for as long as it holds.
        leaving: ``1`` in each response of an upstream that is about to stop.
        credentials: Key of the caller; not sent to upstreams.
        credential_scheme: Authentication scheme that precedes the key.
        call_separator: Separates the attempt identifier of a request from the
            suffix that the upstream appends for each of its own calls. A call
            without such an identifier is treated as an independent request.
    """

    attempt_id: bytes
    deadline_ms: bytes
    seal: bytes
    expected_upstream: bytes
    upstream_id: bytes
    load: bytes
    not_run: bytes
    caller_service: bytes
    team: bytes
    rate_limit: bytes = b"Rate-Limit"
    leaving: bytes = b"Leaving"
    credentials: bytes = b"Authorization"
    credential_scheme: bytes = b"Bearer"
    call_separator: bytes = b"."


@dataclasses.dataclass(frozen=True, slots=True)
class LinkSettings:
    """Settings of links between nodes.

    Attributes:
        status_interval_s: Pause between two status messages, in seconds.
        max_full_rate_links: Number of inbound links above which the pause is
            doubled, since each status costs a message on each link.
        suspect_after_intervals: Silence of a node, in its status intervals,
            after which the node gets no new calls while other nodes are
            usable. Two status messages may be missing before that.
        fail_calls_after_intervals: Silence of a node, in its status intervals,
            after which idempotent calls to it are failed, so that they are
            repeated on another node.
        close_after_intervals: Silence of a node, in its status intervals,
            after which the link is closed and dialled again; an open
            connection can stop working without a reset.
        connect_timeout_s: Timeout for opening a connection, in seconds.
        min_redial_pause_s: Pause before the first repeated dial, in seconds.
        max_redial_pause_s: Maximum pause between two dials, in seconds.
        remove_after_s: Time in seconds after which a node that cannot be
            reached is removed.
        max_frame_bytes: Maximum size of a frame: the largest body and its
            headers.
        max_unsent_bytes: Unsent bytes on a link above which new calls on it
            are refused.
    """

    status_interval_s: float = 0.4
    max_full_rate_links: int = 16
    suspect_after_intervals: float = 2.5
    fail_calls_after_intervals: float = 3.5
    close_after_intervals: float = 6.25
    connect_timeout_s: float = 1.0
    min_redial_pause_s: float = 0.1
    max_redial_pause_s: float = 1.0
    remove_after_s: float = 30.0
    max_frame_bytes: int = 72_000_000
    max_unsent_bytes: int = 16_000_000


# Parts of the time in which a change must be in force: the duration of a watch,
# and how long its answer may be overdue. The rest is for the read that follows
# a failed watch and for the way to the other nodes.
_WATCH_PART = 0.5
_OVERDUE_PART = 0.25

# Lower bound of the duration of a watch, in seconds; it limits the calls to the
# store.
_MIN_WATCH_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentSettings:
    """Settings of the watch of the route document.

    A silent watch looks like one without a change until it is overdue, so its
    duration follows from the time in which a change must be in force.

    Attributes:
        in_force_s: Time after its confirmation by the store within which a
            change must be in force on all nodes, in seconds.
    """

    in_force_s: float = 2.0

    @property
    def watch_s(self) -> float:
        """Duration of one watch, in seconds."""
        return max(_MIN_WATCH_S, self.in_force_s * _WATCH_PART)

    @property
    def overdue_s(self) -> float:
        """Time after its end at which a watch counts as failed, in seconds."""
        return self.in_force_s * _OVERDUE_PART


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSettings:
    """Settings of connections to the local upstream.

    Attributes:
        connect_timeout_s: Timeout for opening a connection, in seconds.
        max_idle_s: Idle time, in seconds, after which a connection is not
            reused. Some upstreams close connections sooner than they announce.
        max_idle_not_idempotent_s: The same for non-idempotent requests, which
            cannot be sent again if the upstream closes the connection as the
            request is sent.
        max_head_bytes: Maximum size of the head of a response, including
            interim responses.
        max_head_lines: Maximum number of header lines of a response. Each
            takes many times the memory of a short line's text.
        max_interim_answers: Maximum number of interim responses (1xx) before
            the final one.
        max_answer_bytes: Maximum size of the body of a response.
        overdue_s: Time after its deadline, in seconds, at which a request
            without a response is aborted. An upstream responds by the
            deadline, so the connection no longer works by then.
    """

    connect_timeout_s: float = 1.0
    max_idle_s: float = 4.0
    max_idle_not_idempotent_s: float = 1.0
    max_head_bytes: int = 65_536
    max_head_lines: int = 1_024
    max_interim_answers: int = 8
    max_answer_bytes: int = 67_108_864
    overdue_s: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class StopSettings:
    """Times of a planned stop.

    Attributes:
        accept_s: Time after the signal, in seconds, during which all requests
            are accepted; later only those that finish before the process
            exits. The load balancer removes the node after two failed
            readiness checks, which run once per second.
        grace_s: Time after the signal at which the process is killed, in
            seconds.
        margin_s: Time before the kill at which the process exits by itself, in
            seconds.
    """

    accept_s: float = 3.0
    grace_s: float = 6.0
    margin_s: float = 1.0


class SharingMode(enum.Enum):
    """When scarce capacity is shared by the rules of `docs/design/hard-load`.

    Attributes:
        BY_DOCUMENT: If the document has teams or downloads.
        ALWAYS: With any document.
        NEVER: With no document.
    """

    BY_DOCUMENT = "by_document"
    ALWAYS = "always"
    NEVER = "never"


@dataclasses.dataclass(frozen=True, slots=True)
class SharingSettings:
    """Settings of the sharing of scarce capacity.

    Attributes:
        mode: When it applies.
    """

    mode: SharingMode = SharingMode.BY_DOCUMENT

    def applies_to(self, table: routes.RouteTable | None) -> bool:
        """Whether the capacity is shared while a document is in force.

        Args:
            table: Routes of the document; None if none is in force.
        """
        if table is None or self.mode is SharingMode.NEVER:
            return False
        return self.mode is SharingMode.ALWAYS or table.shares_capacity


@dataclasses.dataclass(frozen=True, slots=True)
class MeshSettings:
    """All settings of one node on the data path.

    Attributes:
        instance: Name of the instance.
        service: Service of the local upstream.
        failure_domain: Failure domain of the instance.
        incarnation: Identifier of this start of the node, in status messages
            and logs.
        seed: Seed of the random number generator.
        upstream: Address of the local upstream.
        caller_address: Listen address for callers.
        link_address: Listen address for other nodes.
        advertised_address: Address to which other nodes connect; differs from
            `link_address` if connections are forwarded.
        ready_address: Listen address for readiness checks.
        control_address: Listen address for the announcements of the upstream.
        metrics_address: Listen address for metrics; None to serve none.
        headers: Names of HTTP headers.
        documents: Settings of the watch of the route document.
        links: Settings of links between nodes.
        connections: Settings of connections to the upstream.
        stop: Settings of a planned stop.
        waiting: Settings of waiting for slots.
        retries: Settings of the bound on repeated sends to each service.
        placement: Settings of the choice of upstreams.
        neighbours: Numbers of links to other nodes.
        limits: Settings of the limits of teams.
        sharing: Settings of the sharing of scarce capacity.
        domains: Settings of the traffic to other failure domains.
        clients: Limits on the clients of the process.
        buffer_bytes: Maximum bytes of bodies held in memory.
    """

    instance: str
    service: str
    failure_domain: str
    incarnation: int
    seed: int
    upstream: Address
    caller_address: Address
    link_address: Address
    advertised_address: Address
    ready_address: Address
    control_address: Address
    metrics_address: Address | None
    headers: HeaderNames
    documents: DocumentSettings = DocumentSettings()
    links: LinkSettings = LinkSettings()
    connections: UpstreamSettings = UpstreamSettings()
    stop: StopSettings = StopSettings()
    waiting: waiting_module.AdmissionQueueSettings = (
        waiting_module.AdmissionQueueSettings()
    )
    retries: shares.RetryShareSettings = shares.RetryShareSettings()
    placement: placement_module.PlacementSettings = (
        placement_module.PlacementSettings()
    )
    neighbours: neighbours_module.NeighbourSettings = (
        neighbours_module.NeighbourSettings()
    )
    limits: limit_settings.LimitSettings = limit_settings.LimitSettings()
    sharing: SharingSettings = SharingSettings()
    domains: domain_settings.DomainSettings = domain_settings.DomainSettings()
    clients: connection_budget.ClientSettings = (
        connection_budget.ClientSettings()
    )
    buffer_bytes: int = 128_000_000
