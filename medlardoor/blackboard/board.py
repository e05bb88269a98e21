"""Blackboard through which the controllers of one node share state."""

import dataclasses

from medlardoor.blackboard import topics

__all__ = ["Blackboard"]


@dataclasses.dataclass(slots=True)
class Blackboard:
    """Shared state of one node, one data class per topic.

    Each topic is written by one controller or task only; all controllers may
    read it.

    Attributes:
        instance: Instance name of this node.
        service: Service name of this node.
        failure_domain: Failure domain of this node.
        membership: Known nodes.
        policy: Configuration document in force.
        load: Last report of the local upstream.
        limits: Local admission state.
        paths: Admission levels of called services.
        outcomes: Counts of finished calls and refusals.
        quarantine: Fingerprints that are suspect or quarantined.
        shutdown: Progress of a planned stop.
        traffic: Counters of gossip traffic.
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
