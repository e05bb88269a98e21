"""Settings of the data path; limits and timeouts with their units."""

import dataclasses

from medlardoor.admission import waiting as waiting_module
from medlardoor.membership import neighbours as neighbours_module
from medlardoor.retries import shares
from medlardoor.routing import placement as placement_module

__all__ = [
    "Address",
    "HeaderNames",
    "LinkSettings",
    "MeshSettings",
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
    """Names of the headers by which the system speaks with its neighbours.

    Attributes:
        attempt_id: Identifier of an attempt; an upstream repeats it.
        deadline_ms: How long the caller waits, in milliseconds.
        seal: Set by an upstream on each answer of its own.
        expected_upstream: Identifier that the upstream must have.
        load: Running and waiting requests and slots of the upstream.
        not_run: Set by an upstream that did not run the request.
        caller_service: Service that the request comes from.
        call_separator: An upstream derives the identifier of each of its
            calls from that of the request, with this after it. A call whose
            identifier does not is treated as a request of its own.
    """

    attempt_id: bytes
    deadline_ms: bytes
    seal: bytes
    expected_upstream: bytes
    load: bytes
    not_run: bytes
    caller_service: bytes
    call_separator: bytes = b"."


@dataclasses.dataclass(frozen=True, slots=True)
class LinkSettings:
    """Links between nodes.

    Attributes:
        status_interval_s: Pause between two reports of the own status.
        many_links: Above this number of links that others have opened, the
            pause is doubled, since each report costs a message on each link.
        silent_intervals: A node that was silent for so many of its pauses
            gets no new calls while others are there. Two reports fit in.
        abandon_intervals: Calls that may be repeated are given up on a link
            that was silent for so long, and sent to another node.
        dead_intervals: A link that was silent for so long is closed and
            dialled again; open connections can go silent without a reset.
        connect_timeout_s: Longest time for a new connection.
        first_redial_s: Pause before the first repeated dial.
        max_redial_s: Longest pause between two dials.
        forget_s: A node that could not be reached for so long is forgotten.
        max_frame_bytes: Longest frame; the longest body and its headers.
        max_unsent_bytes: Calls are refused while more than this waits to be
            sent on a link.
    """

    status_interval_s: float = 0.4
    many_links: int = 16
    silent_intervals: float = 2.5
    abandon_intervals: float = 3.5
    dead_intervals: float = 6.25
    connect_timeout_s: float = 1.0
    first_redial_s: float = 0.1
    max_redial_s: float = 1.0
    forget_s: float = 30.0
    max_frame_bytes: int = 72_000_000
    max_unsent_bytes: int = 16_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSettings:
    """Connections to the local upstream.

    Attributes:
        connect_timeout_s: Longest time for a new connection.
        max_idle_s: A connection that was idle for longer is not used again.
            Upstreams announce longer times, but some close sooner.
        max_idle_not_idempotent_s: The same for requests that must not run
            twice: if the upstream closes the connection at that moment, they
            cannot be sent again.
        max_head_bytes: Longest head of an answer, interim ones included.
        max_interim_answers: Interim answers (1xx) before the final one.
        max_answer_bytes: Longest body of an answer.
        overdue_s: A request without an answer is given up so long after its
            deadline. An upstream answers at the deadline by itself, so the
            connection has gone silent by then.
    """

    connect_timeout_s: float = 1.0
    max_idle_s: float = 4.0
    max_idle_not_idempotent_s: float = 1.0
    max_head_bytes: int = 65_536
    max_interim_answers: int = 8
    max_answer_bytes: int = 67_108_864
    overdue_s: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class StopSettings:
    """A planned stop.

    Attributes:
        accept_s: How long requests of any length are taken after the signal;
            later only those that end before the process does. Callers are
            taken away after two failed readiness checks, one a second.
        grace_s: The process is killed after this time.
        margin_s: The process ends by itself so long before that.
    """

    accept_s: float = 3.0
    grace_s: float = 6.0
    margin_s: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class MeshSettings:
    """All settings of one node on the data path.

    Attributes:
        instance: Name of the instance.
        service: Service of the local upstream.
        failure_domain: Failure domain of the instance.
        incarnation: Identifies this start of the node in logs.
        seed: Seed of all random draws.
        upstream: Address of the local upstream.
        caller_address: Where callers connect.
        link_address: Where the node listens for other nodes.
        advertised_address: Where other nodes connect; another one than
            `link_address` where connections are forwarded.
        ready_address: Where readiness is asked for.
        control_address: Where the upstream announces itself.
        metrics_address: Where metrics are served; None for nowhere.
        headers: Names of headers.
        links: Links between nodes.
        connections: Connections to the upstream.
        stop: Planned stop.
        waiting: Bounds of waiting.
        retries: Bound on repeated sends to each service.
        placement: Choice of upstreams.
        neighbours: Numbers of links to other nodes.
        buffer_bytes: Most bytes of bodies that the node holds at one time.
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
    buffer_bytes: int = 128_000_000
