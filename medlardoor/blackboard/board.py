"""The blackboard that the controllers of one node read and write."""

import dataclasses

from medlardoor.blackboard import topics

__all__ = ["Blackboard"]


@dataclasses.dataclass(slots=True)
class Blackboard:
    """One data class per topic; each topic has one writing controller.

    Attributes:
        instance: Name of this node's instance.
        service: Name of this node's service.
        failure_domain: Failure domain of this node.
        membership: Known members.
        policy: Document in force.
        load: Report of the local upstream.
        limits: Local admission state.
        paths: Levels of called services.
        outcomes: Counts and refusals.
        quarantine: Fingerprints under suspicion.
        shutdown: Progress of a planned stop.
        traffic: Gossip traffic.
    """

    instance: str
    service: str
    failure_domain: str
    membership: topics.Membership = dataclasses.field(
        default_factory=topics.Membership
    )
    policy: topics.PolicyTopic = dataclasses.field(
        default_factory=topics.PolicyTopic
    )
    load: topics.Load = dataclasses.field(default_factory=topics.Load)
    limits: topics.Limits = dataclasses.field(default_factory=topics.Limits)
    paths: topics.Paths = dataclasses.field(default_factory=topics.Paths)
    outcomes: topics.Outcomes = dataclasses.field(
        default_factory=topics.Outcomes
    )
    quarantine: topics.Quarantine = dataclasses.field(
        default_factory=topics.Quarantine
    )
    shutdown: topics.Shutdown = dataclasses.field(
        default_factory=topics.Shutdown
    )
    traffic: topics.Traffic = dataclasses.field(default_factory=topics.Traffic)
