"""Container for the parts of a node process."""

import dataclasses
import random
import typing

import anyio.abc

from medlardoor.admission import controller as admission_controller
from medlardoor.adoption import controller as adoption_controller
from medlardoor.blackboard import board as board_module
from medlardoor.config import settings as settings_module
from medlardoor.ledger import keys as keys_module
from medlardoor.ledger import records
from medlardoor.membership import directory, gossip
from medlardoor.node.control import configuration, gossiping, quarantining
from medlardoor.node.control import discovery as discovery_module
from medlardoor.node.serving import calls, gate
from medlardoor.node.transport import forwarding
from medlardoor.node.upstream import upstream
from medlardoor.quarantine import controller as quarantine_controller
from medlardoor.report import recorder as recorder_module
from medlardoor.retries import policy as retry_policy
from medlardoor.retries import throttle as throttle_module
from medlardoor.routing import path, picker
from medlardoor.shutdown import drain
from medlardoor.store import client
from medlardoor.wire import authentication
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["NodeParts"]


@dataclasses.dataclass(slots=True)
class NodeParts:
    """Controllers and connections of one node.

    Attributes:
        settings: Settings of the process.
        process_id: Random identifier of the process.
        board: Shared state of the node.
        cluster_key: Key that authenticates messages between nodes.
        rng: Seeded random number generator.
        admission: Admission controller.
        gate: Lets calls wait for the decision of the admission controller.
        adoption: Controller that adopts documents.
        membership: Gossip controller.
        nodes: Picker of the node for an outgoing call.
        paths: Admission levels on the call paths.
        throttle: Retry throttle of this node.
        retries: Retry policy.
        registry: Registry of the calls in flight.
        upstream: Client of the local upstream.
        forwarder: Sends calls to other nodes.
        keys: Issuer of idempotency keys.
        ledger: Records of idempotency keys.
        quarantine: Quarantine controller, which attributes crashes.
        drain: Controller of planned stops.
        recorder: Recorder of call outcomes.
        store: Client of the platform.
        tasks: Task group that lives as long as the process.
        probe_upstream: Reads the load report of the upstream immediately.
        discover: Waits until a member of a called service is known.
        push_quarantine: Sends a message to all peers of the service.
        gossip_task: Sends and receives gossip messages.
        monitor: Polls the load reports of the upstream.
        discovery: Finds members of called services.
        directory_task: Reads and writes the directory of this node's service.
        quarantine_task: Stores quarantined fingerprints in the platform.
        configuration_task: Keeps the configuration document current.
    """

    settings: settings_module.NodeSettings
    process_id: str
    board: board_module.Blackboard
    cluster_key: authentication.ClusterKey
    rng: random.Random
    admission: admission_controller.AdmissionController
    gate: gate.Gate
    adoption: adoption_controller.AdoptionController
    membership: gossip.GossipController
    nodes: picker.NodePicker
    paths: path.PathController
    throttle: throttle_module.RetryThrottle
    retries: retry_policy.RetryPolicy
    registry: calls.CallRegistry
    upstream: upstream.Upstream
    forwarder: forwarding.Forwarder
    keys: keys_module.KeyIssuer
    ledger: records.Ledger
    quarantine: quarantine_controller.QuarantineController
    drain: drain.DrainController
    recorder: recorder_module.OutcomeRecorder
    store: client.ObjectStore
    tasks: anyio.abc.TaskGroup
    probe_upstream: typing.Callable[[], typing.Awaitable[None]]
    discover: typing.Callable[[str], typing.Awaitable[None]]
    push_quarantine: typing.Callable[[ttypes.Message], None]
    gossip_task: gossiping.GossipTask
    monitor: upstream.UpstreamMonitor
    discovery: discovery_module.Discovery
    directory_task: directory.DirectoryTask
    quarantine_task: quarantining.QuarantineTask
    configuration_task: configuration.ConfigurationTask
