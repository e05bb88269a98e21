"""Topics of the blackboard, one data class for each.

Any controller may read any topic. The docstring of each topic names its only
writer.
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
    """State that a member reports; the values match the thrift enum."""

    STARTING = 0
    SERVING = 1
    LEAVING = 2
    LEFT = 3


class UpstreamState(enum.Enum):
    """State of the local upstream by its last report or probe."""

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
    """Latest known record of one node of a service.

    Attributes:
        instance: Name of the instance, unique in the environment.
        service: Name of the service.
        incarnation: Start number of the member; a record with a greater
            number replaces one with a smaller number.
        process_id: Random identifier of the process, which owns its keys.
        heartbeat: Counter that the member increments.
        state: State that the member reports.
        host: IP address.
        peer_port: TCP port of the peer listener.
        gossip_port: UDP port of the gossip listener.
        failure_domain: Failure domain of the instance.
        slots: Concurrency limit of the member's upstream.
        in_flight: Requests running on the member's upstream.
        queued: Requests waiting in the member.
        level: Admission level of the member.
        document_version: Version of the document in force at the member.
        warmth_percent: Progress of the ramp-up of the member's upstream; 100
            when complete.
        refused_rank: Highest rank that the member refused within the last
            second; -1 if none.
        heard_at: Receive time of the latest newer heartbeat, in seconds of
            the local clock.
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
        state: State that this node reports.
        members: Other members of this node's service by instance name.
        services: Members of called services by service and instance name.
        last_contact_at: Time of the last contact with any other node, in
            seconds; None before the first contact.
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
        policy: Enforced policy; None before the first document.
        trial: Policy on trial; None if there is none.
        version: Platform version of the document object; 0 if there is none.
        digest: SHA-256 of the document object.
        value: Document object as stored in the platform.
        confirmed_at: Time of the platform's last confirmation of the version,
            in seconds.
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
        reported_slots: Concurrency limit that the upstream reports; None if it
            reports none.
        reported_in_use: Number of slots in use that the upstream reports.
        report_at: Receive time of the last report, in seconds.
        upstream_state: State by the last report or probe.
        start_id: Identifier that the upstream reports for its current start.
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
        level: Admission level derived from the queue of this node.
        effective_level: Admission level, raised to the floor that recent
            refusals by this node and its peers set.
        refused_rank: Highest rank that was refused within the last second
            after forwarding had failed; -1 if none.
        warmth_percent: Progress of the ramp-up of the upstream; 100 when
            complete.
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
        level: Highest admission level of the called service and of the
            services that the reported call reached through it.
        reported_at: Time of the report, in seconds.
    """

    level: int
    reported_at: float


@dataclasses.dataclass(slots=True)
class Paths:
    """Levels of called services; written by the path controller.

    Attributes:
        levels: Last reported level by service and kind.
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
        count: Number of refusals since `first_at`.
        first_at: Time of the first refusal of the current series, in seconds.
        last_at: Time of the last refusal, in seconds.
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
    """Counts of calls and refusals; written by the outcome recorder.

    Attributes:
        calls: Number of finished calls by kind and outcome.
        refusals: Refusals by kind, reason and trial flag.
        histograms: Latency histograms by kind, owned by the outcome recorder.
    """

    calls: dict[tuple[str, str], int] = dataclasses.field(default_factory=dict)
    refusals: dict[tuple[str, str, bool], RecentRefusal] = dataclasses.field(
        default_factory=dict
    )
    histograms: dict[str, typing.Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Quarantine:
    """Suspects and quarantines; written by the quarantine controller.

    Attributes:
        suspects: Number of crashes by suspect fingerprint.
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
        malformed: Received datagrams that were dropped as invalid.
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
        since: Start time of the phase, in seconds.
        cause: Trigger of the stop, such as ``signal``.
    """

    phase: Phase = Phase.SERVING
    since: float = 0.0
    cause: str = ""
