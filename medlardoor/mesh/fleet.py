"""Messages between nodes, and which upstreams are usable."""

import asyncio
import collections.abc
import dataclasses
import random

import anyio
import logbook

from medlardoor import logs
from medlardoor.membership import neighbours, watchers
from medlardoor.mesh import (
    document_exchange,
    documents,
    links,
    local_upstream,
    peers,
    roster,
    runs,
    statuses,
)
from medlardoor.mesh import settings as settings_module
from medlardoor.routing import placement
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["Fleet"]

_LOG = logbook.Logger("fleet")

# Changes of the own status are sent at most once in this time, in seconds.
STATUS_PAUSE_S = 0.03

TICK_S = 0.1

# A tick that is so late shows that this process stood still, so the silence
# of the others says nothing. In seconds.
STALL_S = 0.5

# At the start all nodes read each other's addresses from the store. Only later
# ones are passed on, after this time, in seconds.
PASS_ON_AFTER_S = 4.0


@dataclasses.dataclass(slots=True, eq=False)
class _Inbound:
    """A link that another node has opened, with the runs that it asked for."""

    handles: dict[int, runs.RunHandle | None] = dataclasses.field(
        default_factory=dict
    )


class Fleet(links.LinkEvents):
    """Exchanges status, calls and documents with other nodes.

    A node sends its status on the links that others have opened to it. A link
    that is silent is no longer used, so the connection that carries calls is
    also what detects the failure of a node.

    Args:
        settings: Settings of the node.
        local: The local upstream.
        holder: Routes in force, exchanged with other nodes.
        describe: Makes the own status.
        on_message: Receives frames about crashes.
        restore_left: Takes an upstream that an earlier process of this node
            knew to be leaving: its identifier and its start.
        generator: Source of random draws.
    """

    def __init__(
        self,
        settings: settings_module.MeshSettings,
        local: local_upstream.LocalUpstream,
        holder: documents.DocumentHolder,
        describe: collections.abc.Callable[[], ttypes.NodeStatus],
        on_message: collections.abc.Callable[[ttypes.Frame], None],
        restore_left: collections.abc.Callable[[str, int], None],
        generator: random.Random,
    ):
        self._settings = settings
        self._links = settings.links
        self._local = local
        self._holder = holder
        self._describe = describe
        self._on_message = on_message
        self._restore_left = restore_left
        self._loop = asyncio.get_running_loop()
        self._roster = roster.Roster(settings, self, generator)
        self._inbound: dict[links.Link, _Inbound] = {}
        self._usable: dict[str, list[placement.Candidate]] = {}
        self._own = placement.Candidate(
            settings.instance, settings.failure_domain
        )
        self._status_due = False
        self._stalled_at = -STALL_S
        self._started_at = self._loop.time()
        self._exchange = document_exchange.DocumentExchange(
            holder, self._own_status
        )
        holder.listen(self.status_changed)

    @property
    def size(self) -> int:
        """Number of known nodes, this one included."""
        return len(self._roster.peers) + 1

    @property
    def usable_nodes(self) -> int:
        """Linked nodes with a usable upstream, this one included."""
        usable = int(self._local.is_usable)
        for peer in self._roster.peers.values():
            usable += peer.status is not None and bool(peer.status.upstream_id)
        return usable

    @property
    def open_links(self) -> int:
        """Open links in both directions."""
        return len(self._inbound) + len(self._roster.links)

    @property
    def has_contact(self) -> bool:
        """Whether a link to another node is open."""
        known = self._roster.peers.values()
        return any(peer.link is not None for peer in known)

    @property
    def is_watched(self) -> bool:
        """Whether enough nodes nearby tell this one of new documents."""
        now = self._loop.time()
        own = self._settings.failure_domain
        watching = [
            peer.instance
            for peer in self._roster.links.values()
            if peer.status is not None
            and peer.status.watches
            and peer.status.failure_domain == own
            and peer.silent_intervals(now) <= self._links.silent_intervals
        ]
        return watchers.is_covered(self._settings.instance, watching)

    def learn(
        self, node: neighbours.KnownNode, address: settings_module.Address
    ) -> None:
        """Takes the address of a node.

        Args:
            node: The node.
            address: Where it accepts links.
        """
        self._roster.learn(node, address)

    def candidates(self, service: str) -> list[placement.Candidate]:
        """Usable upstreams of a service."""
        usable = self._usable.get(service)
        if usable is None:
            usable = self._usable[service] = self._find_usable(service)
        return usable

    def target(self, instance: str) -> runs.RunTarget:
        """What runs requests on the upstream of an instance."""
        if instance == self._settings.instance:
            return self._local
        return self._roster.peers[instance]

    def status_changed(self) -> None:
        """Sends the own status to all nodes soon."""
        self._usable.clear()
        if not self._status_due:
            self._status_due = True
            self._loop.call_later(STATUS_PAUSE_S, self._broadcast_status)

    def broadcast(self, frame: ttypes.Frame) -> None:
        """Sends a frame to all nodes that have opened a link."""
        for link in self._inbound:
            link.send(frame)

    def make_inbound(self) -> links.Link:
        """Makes the protocol of a link that another node opens."""
        return links.Link(self, self._links)

    async def run(self) -> None:
        """Keeps the links open and the status fresh, for ever."""
        next_status = 0.0
        ticked_at = self._loop.time()
        while True:
            await anyio.sleep(TICK_S)
            now = self._loop.time()
            if now - ticked_at > STALL_S:
                self._stalled_at = now
            ticked_at = now
            self._usable.clear()
            if now - self._stalled_at > STALL_S:
                self._roster.check(now)
            self._local.tick()
            if now >= next_status:
                next_status = now + self._status_interval_s
                self._broadcast_status()

    def close(self) -> None:
        """Closes all links."""
        for link in list(self._inbound):
            link.abort()
        self._roster.close()

    def link_opened(self, link: links.Link) -> None:
        """Sends the own status on a new link."""
        if link.dialled is None:
            self._inbound[link] = _Inbound()
        else:
            self._roster.opened(link)
        link.send(ttypes.Frame(status=self._own_status()))

    def frame_received(self, link: links.Link, frame: ttypes.Frame) -> None:
        """Handles a message."""
        if frame.answer is not None:
            peer = self._roster.links.get(link)
            if peer is not None:
                peer.answered(frame.answer)
        elif frame.call is not None:
            self._run(link, frame.call)
        elif frame.cancel is not None:
            self._take_cancel(link, frame)
        elif frame.status is not None:
            if statuses.is_valid(frame.status):
                self._take_status(link, frame.status)
        elif frame.routes is not None:
            self._holder.offer(
                frame.routes.revision, frame.routes.value, "node"
            )
        elif frame.left is not None:
            self._take_left(frame.left)
        else:
            self._on_message(frame)

    def link_closed(self, link: links.Link) -> None:
        """Ends the runs that depended on a link."""
        inbound = self._inbound.pop(link, None)
        if inbound is not None:
            for handle in list(inbound.handles.values()):
                handle.cancel()
            return
        peer = self._roster.lost(link)
        if peer is not None:
            self._usable.clear()
            peer.fail_calls()

    def _run(self, link: links.Link, call: ttypes.RunCall) -> None:
        """Runs a call of another node on the local upstream."""
        inbound = self._inbound.get(link)
        if inbound is None:
            return
        number = call.id

        def report(result: runs.RunResult) -> None:
            inbound.handles.pop(number, None)
            answer = statuses.to_answer(number, result)
            link.send(ttypes.Frame(answer=answer))

        inbound.handles[number] = None
        run = statuses.from_call(call, self._loop.time())
        handle = self._local.run(run, report)
        # The report may have come before the return.
        if number in inbound.handles:
            inbound.handles[number] = handle

    def _take_cancel(self, link: links.Link, frame: ttypes.Frame) -> None:
        """Ends a run that nobody waits for, or answers a probe."""
        inbound = self._inbound.get(link)
        if inbound is None:
            peer = self._roster.links.get(link)
            if peer is not None:
                peer.probed_at = None
        elif frame.cancel.id == peers.PROBE_NUMBER:
            link.send(frame)
        else:
            handle = inbound.handles.pop(frame.cancel.id, None)
            if handle is not None:
                handle.cancel()

    def _take_status(self, link: links.Link, status: ttypes.NodeStatus) -> None:
        self._learn_from(status)
        self._remind(link, status)
        peer = self._roster.links.get(link)
        is_first = peer is None or peer.status is None
        self._exchange.compare(link, status, is_first)
        if status.asks_addresses:
            answer = self._own_status()
            answer.known = self._roster.all_addresses()
            link.send(ttypes.Frame(status=answer))
        if peer is None or peer.instance != status.instance:
            return
        before = peer.status
        peer.take_status(status)
        if before is None or statuses.differs(before, status):
            self._usable.clear()
            logs.log_event(
                _LOG,
                logbook.INFO,
                "node_status",
                instance=peer.instance,
                upstream_id=status.upstream_id,
                leaving=bool(status.leaving),
                limit=status.limit,
            )

    def _take_left(self, left: ttypes.UpstreamLeft) -> None:
        """Remembers a leaving for its node, or is reminded of an own one."""
        if not left.instance or not left.upstream_id:
            return
        if left.instance == self._settings.instance:
            self._restore_left(left.upstream_id, left.born_ms or 0)
            return
        peer = self._roster.peers.get(left.instance)
        if peer is not None:
            peer.left = left

    def _remind(self, link: links.Link, status: ttypes.NodeStatus) -> None:
        """Tells a node that may have restarted what it has acknowledged."""
        peer = self._roster.peers.get(status.instance)
        if peer is None or peer.left is None:
            return
        if status.incarnation != peer.reminded:
            peer.reminded = status.incarnation
            link.send(ttypes.Frame(left=peer.left))

    def _learn_from(self, status: ttypes.NodeStatus) -> None:
        own = ttypes.NodeAddress(
            status.instance,
            status.host,
            status.port,
            status.service_name,
            status.failure_domain,
        )
        for found in [own, *(status.known or ())]:
            if statuses.is_valid_address(found):
                node = neighbours.KnownNode(
                    found.instance,
                    found.service_name or "",
                    found.failure_domain or "",
                )
                self._roster.learn(
                    node, settings_module.Address(found.host, found.port)
                )
        self._roster.meet(status)

    def _find_usable(self, service: str) -> list[placement.Candidate]:
        now = self._loop.time()
        usable = []
        silent = []
        if service == self._settings.service and self._local.is_usable:
            admission_queue = self._local.admission_queue
            self._own.limit = admission_queue.limit
            self._own.reported_busy = (
                admission_queue.running + admission_queue.waiting
            )
            self._own.sent_since_report = 0
            usable.append(self._own)
        for peer in self._roster.links.values():
            status = peer.status
            if status is None or status.service_name != service:
                continue
            if not status.upstream_id or status.leaving:
                continue
            if peer.silent_intervals(now) <= self._links.silent_intervals:
                usable.append(peer.candidate)
            else:
                silent.append(peer.candidate)
        # If all are silent, the fault may well be on this side.
        return usable or silent

    @property
    def _status_interval_s(self) -> float:
        interval_s = self._links.status_interval_s
        if len(self._inbound) > self._links.many_links:
            interval_s *= 2
        return interval_s

    def _own_status(self) -> ttypes.NodeStatus:
        status = self._describe()
        status.interval_ms = int(self._status_interval_s * 1_000)
        return status

    def _broadcast_status(self) -> None:
        self._status_due = False
        status = self._own_status()
        new = self._roster.take_new()
        if self._loop.time() - self._started_at > PASS_ON_AFTER_S:
            status.known = new
        self.broadcast(ttypes.Frame(status=status))
