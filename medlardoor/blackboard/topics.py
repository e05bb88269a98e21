"""Topics of the blackboard: one data class each, with one writer.

Any controller may read any topic. The docstring of each class names the one
controller that writes it.
"""

import dataclasses
import enum
import typing

if typing.TYPE_CHECKING:
    from medlardoor.config import policy as policy_module

__all__ = [
    "Limits",
    "Load",
    "Member",
    "MemberState",
    "Membership",
    "Outcomes",
    "PathLevel",
    "Paths",
    "Phase",
    "PolicyTopic",
    "Quarantine",
    "RecentRefusal",
    "Shutdown",
    "Traffic",
    "UpstreamState",
]


class MemberState(enum.IntEnum):
    """What a member says of itself; values are those of the thrift enum."""

    STARTING = 0
    SERVING = 1
    LEAVING = 2
    LEFT = 3


class UpstreamState(enum.Enum):
    """State of the local upstream as last reported or probed."""

    UNKNOWN = "unknown"
    SERVING = "serving"
    DRAINING = "draining"
    DOWN = "down"


class Phase(enum.Enum):
    """Phase of a planned stop."""

    SERVING = "serving"
    FORWARDING = "forwarding"
    REFUSING = "refusing"
    FINISHED = "finished"


@dataclasses.dataclass(slots=True)
class Member:
    """One node of a service as this node knows it.

    Attributes:
        instance: Name of the instance, unique in the environment.
        service: Name of the service.
        incarnation: Start number; a greater one replaces a smaller one.
        process_id: Random identifier of the process, owner of its keys.
        heartbeat: Counter that the member increments.
        state: What the member says of itself.
        host: IP address.
        peer_port: TCP port of the peer listener.
        gossip_port: UDP port of the gossip listener.
        failure_domain: Failure domain of the instance.
        slots: Concurrency limit of its upstream.
        in_flight: Requests running on its upstream.
        queued: Requests waiting in the node.
        level: Admission level.
        document_version: Version of the document in force there.
        warmth_percent: 100 when its upstream is fully ramped up.
        refused_rank: Highest rank refused within the last second; -1 if none.
        heard_at: When a newer heartbeat was last received, in seconds of the
            local clock.
    """

    instance: str
    service: str
    incarnation: int
    process_id: str = ""
    heartbeat: int = 0
    state: MemberState = MemberState.STARTING
    host: str = ""
    peer_port: int = 0
    gossip_port: int = 0
    failure_domain: str = ""
    slots: int = 0
    in_flight: int = 0
    queued: int = 0
    level: int = 0
    document_version: int = 0
    warmth_percent: int = 100
    refused_rank: int = -1
    heard_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Membership:
    """Known members; written by the membership controller.

    Attributes:
        state: What this node says of itself.
        members: Other members of the own service by instance name.
        services: Members of called services by service and instance name.
        last_contact_at: When any other node was last heard, in seconds; None
            if no other node was ever heard.
    """

    state: MemberState = MemberState.STARTING
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    services: dict[str, dict[str, Member]] = dataclasses.field(
        default_factory=dict
    )
    last_contact_at: float | None = None


@dataclasses.dataclass(slots=True)
class PolicyTopic:
    """Document in force; written by the adoption controller.

    Attributes:
        policy: Enforced policy; None until a document is known.
        trial: Policy on trial, or None.
        version: Platform version of the document object; 0 if none.
        digest: SHA-256 of the object.
        value: The object as it is stored in the platform.
        confirmed_at: When the platform last confirmed the version, in seconds.
        isolated: Whether the node may be cut off from a newer document.
    """

    policy: "policy_module.Policy | None" = None
    trial: "policy_module.Policy | None" = None
    version: int = 0
    digest: bytes = b""
    value: bytes = b""
    confirmed_at: float | None = None
    isolated: bool = False


@dataclasses.dataclass(slots=True)
class Load:
    """Report of the local upstream; written by the upstream monitor.

    Attributes:
        reported_slots: Concurrent requests that the upstream says it can run;
            None if it does not say.
        reported_in_use: Slots in use by its own count.
        report_at: When the last report was received, in seconds.
        upstream_state: State by the last report or probe.
        start_id: Identifier of the upstream's start, as it reports it.
    """

    reported_slots: int | None = None
    reported_in_use: int | None = None
    report_at: float | None = None
    upstream_state: UpstreamState = UpstreamState.UNKNOWN
    start_id: str = ""


@dataclasses.dataclass(slots=True)
class Limits:
    """Local admission state; written by the admission controller.

    Attributes:
        limit: Concurrency limit in force for the local upstream.
        in_flight: Requests running on the local upstream.
        queued: Requests waiting in this node.
        level: Admission level from the own queue.
        effective_level: Admission level including what peers refuse.
        refused_rank: Highest rank refused after forwarding failed within the
            last second; -1 if none.
        warmth_percent: 100 when the upstream is fully ramped up.
    """

    limit: int = 0
    in_flight: int = 0
    queued: int = 0
    level: int = 0
    effective_level: int = 0
    refused_rank: int = -1
    warmth_percent: int = 100


@dataclasses.dataclass(slots=True)
class PathLevel:
    """Admission level that a called service reported for one kind.

    Attributes:
        level: Admission level along the path below.
        seen_at: When it was reported, in seconds.
    """

    level: int
    seen_at: float


@dataclasses.dataclass(slots=True)
class Paths:
    """Levels of called services; written by the path controller.

    Attributes:
        levels: Last level by service and kind.
    """

    levels: dict[tuple[str, str], PathLevel] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class RecentRefusal:
    """Refusals of one kind for one reason.

    Attributes:
        team: Team that the kind belongs to.
        kind: Kind of request.
        reason: Value of `errors.Reason`.
        outcome: Value of `errors.Outcome`.
        count: Refusals since `first_at`.
        first_at: First refusal of the current run of refusals, in seconds.
        last_at: Last refusal, in seconds.
        trial: Whether only the document on trial would have refused.
    """

    team: str
    kind: str
    reason: str
    outcome: str
    count: int
    first_at: float
    last_at: float
    trial: bool = False


@dataclasses.dataclass(slots=True)
class Outcomes:
    """Counts and refusals; written by the outcome recorder.

    Attributes:
        calls: Finished calls by kind and outcome.
        refusals: Refusals by kind, reason and trial flag.
        histograms: Latency recorders by kind, owned by the recorder.
    """

    calls: dict[tuple[str, str], int] = dataclasses.field(default_factory=dict)
    refusals: dict[tuple[str, str, bool], RecentRefusal] = dataclasses.field(
        default_factory=dict
    )
    histograms: dict[str, typing.Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Quarantine:
    """Fingerprints under suspicion; written by the quarantine controller.

    Attributes:
        suspects: Crash count by fingerprint.
        quarantined: End of the quarantine by fingerprint, in seconds.
    """

    suspects: dict[bytes, int] = dataclasses.field(default_factory=dict)
    quarantined: dict[bytes, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Traffic:
    """Gossip traffic since the start; written by the gossip task.

    Attributes:
        sent_bytes: Bytes sent in datagrams.
        received_bytes: Bytes received in datagrams.
        sent_datagrams: Datagrams sent.
        malformed: Received datagrams that were dropped as not valid.
    """

    sent_bytes: int = 0
    received_bytes: int = 0
    sent_datagrams: int = 0
    malformed: int = 0


@dataclasses.dataclass(slots=True)
class Shutdown:
    """Progress of a planned stop; written by the drain controller.

    Attributes:
        phase: Current phase.
        since: When the phase began, in seconds.
        cause: What started the stop, such as ``signal``.
    """

    phase: Phase = Phase.SERVING
    since: float = 0.0
    cause: str = ""
