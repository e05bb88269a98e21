"""Builds the parts of a node from its settings."""

import dataclasses
import random
import secrets

import anyio
import anyio.abc

from medlardoor.admission import controller as admission_controller
from medlardoor.adoption import controller as adoption_controller
from medlardoor.adoption import watching
from medlardoor.blackboard import board as board_module
from medlardoor.blackboard import topics
from medlardoor.config import settings as settings_module
from medlardoor.ledger import keys as keys_module
from medlardoor.ledger import records
from medlardoor.membership import directory, gossip
from medlardoor.node import parts
from medlardoor.node.control import (
    configuration,
    discovery,
    gossiping,
    quarantining,
)
from medlardoor.node.serving import calls, gate, listeners
from medlardoor.node.transport import forwarding, protocol_transport
from medlardoor.node.transport import transport as transport_module
from medlardoor.node.upstream import upstream
from medlardoor.quarantine import controller as quarantine_controller
from medlardoor.report import recorder as recorder_module
from medlardoor.retries import policy as retry_policy
from medlardoor.retries import throttle as throttle_module
from medlardoor.routing import path, picker
from medlardoor.shutdown import drain
from medlardoor.store import http as store_http
from medlardoor.wire import authentication
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["Connections", "build"]

PROCESS_ID_BYTES = 8
# 64 fingerprints of 16 bytes fit into a datagram of 1,400 bytes.
MAX_FINGERPRINTS_IN_DATAGRAM = 64


class Connections:
    """Client connections of a node.

    Args:
        settings: Settings of the node.
    """

    def __init__(self, settings: settings_module.NodeSettings):
        self._store = store_http.HttpObjectStore(settings.store)
        self._nodes = protocol_transport.ProtocolTransport()
        self._upstream = protocol_transport.ProtocolTransport(
            settings.upstream.max_connections
        )

    @property
    def store(self) -> store_http.HttpObjectStore:
        """Client of the platform."""
        return self._store

    @property
    def nodes(self) -> transport_module.Transport:
        """Transport to other nodes."""
        return self._nodes

    @property
    def upstream(self) -> transport_module.Transport:
        """Transport to the local upstream."""
        return self._upstream

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._nodes.aclose()
        await self._upstream.aclose()
        await self._store.aclose()


class _CrashNotifier:
    """Notifies the controllers of crashes and restarts of the upstream."""

    def __init__(
        self,
        quarantine: quarantine_controller.QuarantineController,
        admission: admission_controller.AdmissionController,
        push: "_PeerPusher",
    ):
        self._quarantine = quarantine
        self._admission = admission
        self._push = push

    def notify_crash(self) -> None:
        """Attributes a crash to the requests in flight; notifies the peers."""
        report = self._quarantine.upstream_crashed(anyio.current_time())
        if report is None:
            return
        blamed = report.fingerprints
        for start in range(0, len(blamed), MAX_FINGERPRINTS_IN_DATAGRAM):
            part = ttypes.CrashReport(
                service_name=report.service_name,
                instance=report.instance,
                # Receivers ignore repeated crash identifiers, so each part
                # needs its own.
                crash_id=secrets.randbits(63),
                fingerprints=blamed[
                    start : start + MAX_FINGERPRINTS_IN_DATAGRAM
                ],
            )
            self._push(ttypes.Message(crash_report=part))

    def notify_restart(self) -> None:
        """Starts the ramp-up of a restarted upstream."""
        self._admission.restart_upstream(anyio.current_time())


class _PeerPusher:
    """Callable that sends a message to all peers without waiting."""

    def __init__(
        self,
        gossip_task: gossiping.GossipTask,
        tasks: anyio.abc.TaskGroup,
    ):
        self._gossip_task = gossip_task
        self._tasks = tasks

    def __call__(self, message: ttypes.Message) -> None:
        self._tasks.start_soon(self._gossip_task.push, message)


@dataclasses.dataclass(frozen=True, slots=True)
class _SharedParts:
    """Objects that the parts of a node share."""

    settings: settings_module.NodeSettings
    process_id: str
    board: board_module.Blackboard
    key: authentication.ClusterKey
    rng: random.Random
    connections: Connections
    tasks: anyio.abc.TaskGroup


@dataclasses.dataclass(frozen=True, slots=True)
class _GroupParts:
    """Parts that communicate with the other nodes of the service."""

    membership: gossip.GossipController
    quarantine: quarantine_controller.QuarantineController
    gossip_task: gossiping.GossipTask
    push: _PeerPusher


def build(
    settings: settings_module.NodeSettings,
    incarnation: int,
    sockets: listeners.Listeners,
    connections: Connections,
    tasks: anyio.abc.TaskGroup,
) -> parts.NodeParts:
    """Builds all parts of a node.

    Args:
        settings: Validated settings.
        incarnation: Number that orders the processes of this instance.
        sockets: Bound listeners.
        connections: Client connections.
        tasks: Task group that lives as long as the process.
    """
    base = _SharedParts(
        settings,
        secrets.token_hex(PROCESS_ID_BYTES),
        board_module.Blackboard(
            settings.instance, settings.service, settings.failure_domain
        ),
        authentication.ClusterKey(settings.cluster_key),
        random.Random(f"{settings.seed}/{settings.instance}"),
        connections,
        tasks,
    )
    return _build_node(base, _build_group(base, incarnation, sockets))


def _build_group(
    base: _SharedParts, incarnation: int, sockets: listeners.Listeners
) -> _GroupParts:
    settings = base.settings
    own = _own_member(settings, incarnation, base.process_id, sockets)
    membership = gossip.GossipController(
        settings.membership, base.board, base.rng, own
    )
    quarantine = quarantine_controller.QuarantineController(
        settings.quarantine, base.board, base.rng
    )
    gossip_task = gossiping.GossipTask(
        settings.membership,
        base.board,
        membership,
        quarantine,
        base.key,
        sockets.gossip,
    )
    push = _PeerPusher(gossip_task, base.tasks)
    return _GroupParts(membership, quarantine, gossip_task, push)


def _build_node(base: _SharedParts, group: _GroupParts) -> parts.NodeParts:
    settings, board, rng = base.settings, base.board, base.rng
    connections = base.connections
    admission = admission_controller.AdmissionController(
        settings.admission, board, rng
    )
    monitor = _build_monitor(base, group, admission)
    discovery_task = discovery.Discovery(
        board, group.membership, connections.store, group.gossip_task.send_all
    )
    key_issuer = keys_module.KeyIssuer(
        settings.ledger,
        settings.instance,
        base.process_id,
        settings.cluster_key,
    )
    throttle = throttle_module.RetryThrottle()
    adoption = _build_adoption(base, group)
    return parts.NodeParts(
        settings=settings,
        process_id=base.process_id,
        board=board,
        cluster_key=base.key,
        rng=rng,
        admission=admission,
        gate=gate.Gate(admission),
        adoption=adoption,
        membership=group.membership,
        nodes=picker.PowerOfTwoPicker(settings.membership, board, rng),
        paths=path.PathController(board),
        throttle=throttle,
        retries=retry_policy.RetryPolicy(throttle, rng),
        registry=calls.CallRegistry(),
        upstream=upstream.Upstream(settings.upstream, connections.upstream),
        forwarder=forwarding.Forwarder(connections.nodes, base.key),
        keys=key_issuer,
        ledger=records.Ledger(settings.ledger, key_issuer),
        quarantine=group.quarantine,
        drain=drain.DrainController(settings, board),
        recorder=recorder_module.OutcomeRecorder(board),
        store=connections.store,
        tasks=base.tasks,
        probe_upstream=monitor.probe,
        discover=discovery_task.discover,
        push_quarantine=group.push,
        gossip_task=group.gossip_task,
        monitor=monitor,
        discovery=discovery_task,
        directory_task=_build_directory(base, group),
        quarantine_task=quarantining.QuarantineTask(
            group.quarantine, connections.store, settings.service, rng
        ),
        configuration_task=_build_configuration(base, adoption),
    )


def _build_monitor(
    base: _SharedParts,
    group: _GroupParts,
    admission: admission_controller.AdmissionController,
) -> upstream.UpstreamMonitor:
    crash_notifier = _CrashNotifier(group.quarantine, admission, group.push)
    return upstream.UpstreamMonitor(
        base.settings.upstream,
        base.board,
        base.connections.upstream,
        crash_notifier.notify_crash,
        crash_notifier.notify_restart,
    )


def _build_adoption(
    base: _SharedParts, group: _GroupParts
) -> adoption_controller.AdoptionController:
    return adoption_controller.AdoptionController(
        base.settings.membership,
        base.board,
        base.rng,
        group.membership,
        configuration.DocumentParser(base.settings.environment),
    )


def _build_directory(
    base: _SharedParts, group: _GroupParts
) -> directory.DirectoryTask:
    controller = directory.DirectoryController(
        base.settings.membership, group.membership
    )
    return directory.DirectoryTask(controller, base.connections.store, base.rng)


def _build_configuration(
    base: _SharedParts, adoption: adoption_controller.AdoptionController
) -> configuration.ConfigurationTask:
    watcher = watching.DocumentWatcher(
        adoption,
        base.connections.store,
        base.settings.store,
        base.settings.environment,
        base.rng,
    )
    return configuration.ConfigurationTask(
        adoption, watcher, base.connections.nodes, base.key
    )


def _own_member(
    settings: settings_module.NodeSettings,
    incarnation: int,
    process_id: str,
    sockets: listeners.Listeners,
) -> topics.Member:
    return topics.Member(
        instance=settings.instance,
        service=settings.service,
        incarnation=incarnation,
        process_id=process_id,
        host=sockets.peer.host,
        peer_port=sockets.peer.port,
        gossip_port=sockets.gossip_port,
        failure_domain=settings.failure_domain,
    )
