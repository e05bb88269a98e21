"""Message exchange between nodes and selection of usable upstreams."""

import asyncio
import collections.abc
import dataclasses
import random

import anyio
import logbook

from medlardoor import errors, logs
from medlardoor.admission import buffers as buffers_module
from medlardoor.admission import link_budget
from medlardoor.membership import departures, neighbours
from medlardoor.mesh import (
    document_exchange,
    documents,
    fleet_events,
    inbound_calls,
    links,
    local_upstream,
    peers,
    roster,
    runs,
    statuses,
    store_era,
)
from medlardoor.mesh import settings as settings_module
from medlardoor.routing import placement
from medlardoor.wire import frames
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["Fleet"]

_LOG = logbook.Logger("fleet")

# Status changes within this time are combined into one message, in seconds.
STATUS_DELAY_S = 0.03

TICK_INTERVAL_S = 0.1

# A gap between two ticks longer than this, in seconds, means that this process
# was stalled. Links then look silent although their nodes are alive, so they
# are not checked for the same time after a stall.
STALL_THRESHOLD_S = 0.5

# Addresses learned in this time after the start are not forwarded, in seconds:
# nodes that start together read each other's addresses from the store.
ADDRESS_FORWARDING_DELAY_S = 4.0


class Fleet(links.LinkEvents):
    """Exchanges status, calls and documents with other nodes.

    A node sends its status on the links that others have opened to it. The
    receivers stop using a link when its status messages fail to arrive, so the
    connection that carries calls also serves as the failure detector.

    Args:
        settings: Settings of the node.
        local: The local upstream.
        buffers: Budget for the bytes of bodies held in memory.
        holder: Holder of the route document exchanged with other nodes.
        era: Era of the store; statuses of other nodes carry it.
        make_status: Returns the current status of this node.
        events: Receives the messages that concern other parts of the node.
        generator: Random number generator for the redial jitter.
    """

    def __init__(
        self,
        settings: settings_module.MeshSettings,
        local: local_upstream.LocalUpstream,
        buffers: buffers_module.BufferBudget,
        holder: documents.DocumentHolder,
        era: store_era.StoreEra,
        make_status: collections.abc.Callable[[], ttypes.NodeStatus],
        events: fleet_events.FleetEvents,
        generator: random.Random,
    ):
        self._settings = settings
        self._link_settings = settings.links
        self._local = local
        self._era = era
        self._make_status = make_status
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._budget = link_budget.LinkBudget(buffers)
        self._roster = roster.Roster(settings, self, self._budget, generator)
        self._inbound: dict[links.Link, inbound_calls.InboundCalls] = {}
        self._usable: dict[str, list[placement.Candidate]] = {}
        self._own_candidate = placement.Candidate(
            settings.instance, settings.failure_domain, service=settings.service
        )
        self._is_status_due = False
        self._stalled_at = -STALL_THRESHOLD_S
        self._started_at = self._loop.time()
        self._document_exchange = document_exchange.DocumentExchange(
            holder, self._own_status
        )
        holder.listen(self.status_changed)

    @property
    def size(self) -> int:
        """Number of known nodes, including this one."""
        return len(self._roster.peers) + 1

    @property
    def roster(self) -> roster.Roster:
        """The other nodes and the links that this node dials."""
        return self._roster

    @property
    def usable_nodes(self) -> int:
        """Number of linked nodes with a usable upstream, including this one."""
        usable = int(self._local.is_usable)
        for peer in self._roster.peers.values():
            usable += peer.status is not None and bool(peer.status.upstream_id)
        return usable

    @property
    def open_links(self) -> int:
        """Number of links, inbound and dialled."""
        return len(self._inbound) + len(self._roster.dialled_links)

    @property
    def has_unread_answers(self) -> bool:
        """Whether another node has yet to receive an answer of this one."""
        return any(calls.has_unread_answers for calls in self._inbound.values())

    @property
    def has_open_link(self) -> bool:
        """Whether this node has an open link to another node."""
        known = self._roster.peers.values()
        return any(peer.link is not None for peer in known)

    def record_node(
        self, node: neighbours.KnownNode, address: settings_module.Address
    ) -> None:
        """Adds a node or updates its address; see `Roster.record_node`."""
        self._roster.record_node(node, address)

    def candidates(self, service: str) -> list[placement.Candidate]:
        """Returns the usable upstreams of a service."""
        usable = self._usable.get(service)
        if usable is None:
            own = self._own_candidate
            usable = self._usable[service] = self._find_usable(service, own)
        return usable

    def peek_candidates(self, service: str) -> list[placement.Candidate]:
        """Same as `candidates`, without updating any candidate."""
        usable = self._usable.get(service)
        if usable is not None:
            return usable
        own = dataclasses.replace(self._own_candidate)
        return self._find_usable(service, own)

    def target(self, instance: str) -> runs.RunTarget:
        """Returns the target that runs requests on an instance."""
        if instance == self._settings.instance:
            return self._local
        return self._roster.peers[instance]

    def status_changed(self) -> None:
        """Schedules a status message to all nodes with an inbound link."""
        self._usable.clear()
        if not self._is_status_due:
            self._is_status_due = True
            self._loop.call_later(STATUS_DELAY_S, self._broadcast_status)

    def broadcast(self, frame: ttypes.Frame) -> None:
        """Sends a frame on all inbound links."""
        for link in self._inbound:
            link.send(frame)

    def make_inbound(self) -> links.Link:
        """Returns the protocol for a link opened by another node."""
        return links.Link(self, self._link_settings, self._budget)

    async def run(self) -> None:
        """Maintains the links and sends the status until cancelled."""
        next_status_at = 0.0
        last_tick_at = self._loop.time()
        while True:
            await anyio.sleep(TICK_INTERVAL_S)
            now = self._loop.time()
            if now - last_tick_at > STALL_THRESHOLD_S:
                self._stalled_at = now
            last_tick_at = now
            self._usable.clear()
            for link in (*self._inbound, *self._roster.dialled_links):
                link.release_sent()
            if now - self._stalled_at > STALL_THRESHOLD_S:
                self._roster.check(now)
            self._local.tick()
            self._events.tick()
            if now >= next_status_at:
                next_status_at = now + self._status_interval_s
                self._broadcast_status()

    def close(self) -> None:
        """Closes all links."""
        for link in list(self._inbound):
            link.abort()
        self._roster.close()

    def link_opened(self, link: links.Link) -> None:
        """Registers a new link and sends the status of this node on it."""
        if link.dialled_address is None:
            self._inbound[link] = inbound_calls.InboundCalls(link, self._local)
        else:
            self._roster.link_opened(link)
        link.send(ttypes.Frame(status=self._own_status()))
        self._events.link_opened(link)

    def frame_received(self, link: links.Link, frame: ttypes.Frame) -> None:
        """Dispatches a message by its type."""
        if frame.answer is not None:
            peer = self._roster.dialled_links.get(link)
            if peer is not None:
                peer.call_answered(frame.answer)
        elif frame.call is not None:
            inbound = self._inbound.get(link)
            if inbound is not None:
                inbound.run(frame.call)
        elif frame.cancel is not None:
            self._on_cancel(link, frame)
        elif frame.status is not None:
            if statuses.is_valid_status(frame.status):
                self._on_status(link, frame.status)
        elif frame.routes is not None:
            self._document_exchange.receive(frame.routes)
        elif frame.left is not None:
            self._on_upstream_left(frame.left)
        else:
            peer = self._roster.dialled_links.get(link)
            sender = None if peer is None else peer.instance
            self._events.message_received(link, sender, frame)

    def frame_dropped(
        self, link: links.Link, frame: frames.DroppedFrame
    ) -> None:
        """Ends a call for which there is no space; see `LinkEvents`."""
        logs.log_event(
            _LOG,
            logbook.WARNING,
            "frame_dropped",
            call_id=frame.call_id,
            is_answer=frame.is_answer,
            size=frame.size,
        )
        reason = errors.Reason.BUFFERS_FULL
        if frame.is_answer:
            peer = self._roster.dialled_links.get(link)
            if peer is not None:
                peer.call_failed(frame.call_id, reason)
        elif link in self._inbound:
            self._inbound[link].refuse(frame.call_id, reason)

    def link_closed(self, link: links.Link) -> None:
        """Cancels runs requested on the link, or fails calls sent on it."""
        inbound = self._inbound.pop(link, None)
        if inbound is not None:
            inbound.cancel_all()
            self._events.link_closed(link, None)
            return
        peer = self._roster.link_closed(link)
        if peer is not None:
            self._events.link_closed(link, peer.instance)
            self._usable.clear()
            peer.fail_calls()

    def _on_cancel(self, link: links.Link, frame: ttypes.Frame) -> None:
        """Cancels a run, answers a probe or accepts the answer to a probe."""
        inbound = self._inbound.get(link)
        if inbound is None:
            peer = self._roster.dialled_links.get(link)
            if peer is not None:
                peer.probed_at = None
        elif frame.cancel.id == peers.PROBE_CALL_ID:
            link.send(frame)
        else:
            inbound.cancel(frame.cancel.id)

    def _on_status(self, link: links.Link, status: ttypes.NodeStatus) -> None:
        """Processes a status message."""
        self._era.record(status.store_era, "node")
        self._record_addresses(status)
        self._roster.resend_left(link, status)
        peer = self._roster.dialled_links.get(link)
        is_transfer_allowed = peer is None or peer.status is None
        self._document_exchange.synchronize(link, status, is_transfer_allowed)
        if status.asks_addresses:
            answer = self._own_status()
            answer.known = self._roster.all_addresses()
            link.send(ttypes.Frame(status=answer))
        if peer is None or peer.instance != status.instance:
            return
        before = peer.status
        peer.apply_status(status)
        if before is None or statuses.affects_usability(before, status):
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

    def _on_upstream_left(self, left: ttypes.UpstreamLeft) -> None:
        """Stores another upstream's departure, or restores the local one's."""
        if not left.instance or not left.upstream_id:
            return
        if left.instance == self._settings.instance:
            self._events.restore_departure(left.upstream_id, left.born_ms or 0)
            return
        peer = self._roster.peers.get(left.instance)
        if peer is not None:
            peer.departures.add(
                departures.Departure(left.upstream_id, left.born_ms or 0)
            )

    def _record_addresses(self, status: ttypes.NodeStatus) -> None:
        """Records the addresses in a status message."""
        sender = ttypes.NodeAddress(
            status.instance,
            status.host,
            status.port,
            status.service_name,
            status.failure_domain,
        )
        for address in [sender, *(status.known or ())]:
            if statuses.is_valid_address(address):
                node = neighbours.KnownNode(
                    address.instance,
                    address.service_name or "",
                    address.failure_domain or "",
                )
                self._roster.record_node(
                    node, settings_module.Address(address.host, address.port)
                )
        self._roster.handle_status(status)

    def _find_usable(
        self, service: str, own: placement.Candidate
    ) -> list[placement.Candidate]:
        """Finds the usable upstreams and updates the own candidate."""
        now = self._loop.time()
        usable = []
        silent_candidates = []
        if service == self._settings.service and self._local.is_usable:
            admission_queue = self._local.admission_queue
            own.limit = admission_queue.limit
            own.reported_busy = (
                admission_queue.running + admission_queue.waiting
            )
            own.sent_since_report = 0
            own.set_time_percent(
                self._local.observer.speed.time_percent(now), now
            )
            usable.append(own)
        for peer in self._roster.dialled_links.values():
            status = peer.status
            if status is None or status.service_name != service:
                continue
            if not peer.upstream_id:
                continue
            if (
                peer.silent_intervals(now)
                <= self._link_settings.suspect_after_intervals
            ):
                usable.append(peer.candidate)
            else:
                silent_candidates.append(peer.candidate)
        # If all nodes are silent, the fault is probably on this side.
        return usable or silent_candidates

    @property
    def _status_interval_s(self) -> float:
        interval_s = self._link_settings.status_interval_s
        if len(self._inbound) > self._link_settings.max_full_rate_links:
            interval_s *= 2
        return interval_s

    def _own_status(self) -> ttypes.NodeStatus:
        status = self._make_status()
        status.interval_ms = int(self._status_interval_s * 1_000)
        return status

    def _broadcast_status(self) -> None:
        self._is_status_due = False
        status = self._own_status()
        new_addresses = self._roster.take_new_addresses()
        if self._loop.time() - self._started_at > ADDRESS_FORWARDING_DELAY_S:
            status.known = new_addresses
        self.broadcast(ttypes.Frame(status=status))
