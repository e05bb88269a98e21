"""Registry of the other nodes and of the links that this node dials."""

import asyncio
import random

import anyio
import logbook

from medlardoor import logs
from medlardoor.admission import link_budget
from medlardoor.membership import neighbours
from medlardoor.mesh import links as links_module
from medlardoor.mesh import peers as peers_module
from medlardoor.mesh import settings as settings_module
from medlardoor.teams import settings as limit_settings
from medlardoor.teams import sharding
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["Roster"]

_LOG = logbook.Logger("roster")

# Minimum time between two choices of neighbours, in seconds. A choice examines
# all known nodes, so changes within this time share one choice.
MIN_CHOICE_INTERVAL_S = 0.1


class Roster:
    """Keeps the known nodes, chooses neighbours among them and dials those.

    Args:
        settings: Settings of the node.
        events: Receives the events of links.
        budget: Counts large frames of links in the buffer budget.
        generator: Random number generator for the redial jitter.
    """

    def __init__(
        self,
        settings: settings_module.MeshSettings,
        events: links_module.LinkEvents,
        budget: link_budget.LinkBudget,
        generator: random.Random,
    ):
        self._settings = settings
        self._link_settings = settings.links
        self._events = events
        self._budget = budget
        self._generator = generator
        self._loop = asyncio.get_running_loop()
        self._own_node = neighbours.KnownNode(
            settings.instance, settings.service, settings.failure_domain
        )
        self._peers: dict[str, peers_module.Peer] = {}
        self._peers_by_link: dict[links_module.Link, peers_module.Peer] = {}
        self._neighbours: set[str] = set()
        self._limit_settings: limit_settings.LimitSettings | None = None
        self._lender_candidates: list[list[str]] = []
        # Candidates that this node keeps or tries to open a link to.
        self._standby_lenders: set[str] = set()
        self._next_choice_at = 0.0
        self._is_choice_due = True
        self._new_peers: list[peers_module.Peer] = []
        self._tasks: set[asyncio.Task] = set()

    @property
    def peers(self) -> dict[str, peers_module.Peer]:
        """Other nodes by instance name."""
        return self._peers

    @property
    def dialled_links(self) -> dict[links_module.Link, peers_module.Peer]:
        """Links that this node has dialled, with the node at the other end."""
        return self._peers_by_link

    def record_node(
        self, node: neighbours.KnownNode, address: settings_module.Address
    ) -> None:
        """Adds a node or updates its address.

        The address of a node with an open link is not changed.

        Args:
            node: The node.
            address: Address on which the node accepts links.
        """
        if node.instance == self._own_node.instance:
            return
        peer = self._peers.get(node.instance)
        if peer is None:
            peer = peers_module.Peer(
                node,
                address,
                self._settings.headers,
                lambda: len(self._peers) + 1,
            )
            peer.last_reached_at = self._loop.time()
            self._peers[node.instance] = peer
            self._new_peers.append(peer)
            self._is_choice_due = True
            logs.log_event(
                _LOG,
                logbook.INFO,
                "node_known",
                instance=node.instance,
                host=address.host,
            )
        elif peer.link is None:
            peer.address = address

    def handle_status(self, status: ttypes.NodeStatus) -> None:
        """Updates the dialling state of a node that has sent a status.

        The node is alive, so without a link to it the pause before the next
        dial is cleared. A link to an earlier incarnation is closed.

        Args:
            status: The status of the node.
        """
        peer = self._peers.get(status.instance)
        if peer is None:
            return
        if peer.has_departed and not status.leaving:
            peer.has_departed = False
            self._is_choice_due = True
        if peer.is_dialling:
            return
        if peer.link is None:
            peer.redial_at = 0.0
            self._is_choice_due |= not peer.is_reachable
            peer.redial_pause_s = 0.0
            return
        last_status = peer.status
        if (
            last_status is not None
            and last_status.incarnation != status.incarnation
        ):
            peer.link.abort()

    def resend_left(
        self, link: links_module.Link, status: ttypes.NodeStatus
    ) -> None:
        """Sends acknowledged departures back to a restarted node."""
        peer = self._peers.get(status.instance)
        if peer is None or not any(peer.departures):
            return
        if status.incarnation != peer.reminded_incarnation:
            peer.reminded_incarnation = status.incarnation
            for departure in peer.departures:
                left = ttypes.UpstreamLeft(
                    peer.instance, departure.upstream_id, departure.born_ms
                )
                link.send(ttypes.Frame(left=left))

    def open_link(self, instance: str) -> links_module.Link | None:
        """Returns the open link that this node has dialled to another one."""
        peer = self._peers.get(instance)
        if peer is None or peer.link is None or not peer.link.is_open:
            return None
        return peer.link

    def keep_lenders(
        self, settings: limit_settings.LimitSettings | None
    ) -> None:
        """Keeps links to the nodes that may lend tokens.

        Args:
            settings: Settings of team limits; None if there are no limits.
        """
        self._limit_settings = settings
        self._is_choice_due = True

    def lender_candidates(self, shard: int) -> list[str]:
        """Reachable nodes that may lend for a shard, the preferred one first.

        This node is included.
        """
        if shard >= len(self._lender_candidates):
            return []
        return self._lender_candidates[shard]

    def members(self) -> list[str]:
        """Names of the nodes, with this one, that have not departed."""
        return [
            self._own_node.instance,
            *(n for n, peer in self._peers.items() if not peer.has_departed),
        ]

    def departed(self) -> list[str]:
        """Names of the nodes that have ended in a planned stop."""
        return [n for n, peer in self._peers.items() if peer.has_departed]

    def may_lend(self, instance: str) -> bool:
        """Whether another node may be asked to lend tokens."""
        peer = self._peers.get(instance)
        if peer is None or peer.link is None or peer.status is None:
            return False
        status = peer.status
        return (
            bool(status.lends)
            and not status.leaving
            and status.incarnation != peer.stopped_lender_incarnation
            and peer.silent_intervals(self._loop.time())
            <= self._link_settings.suspect_after_intervals
        )

    def record_stopped_lender(self, instance: str) -> None:
        """Records that a node lends no tokens until it is started again."""
        peer = self._peers.get(instance)
        if peer is not None and peer.status is not None:
            peer.stopped_lender_incarnation = peer.status.incarnation

    def record_departure(self, instance: str) -> None:
        """Records that a node ends in a planned stop."""
        peer = self._peers.get(instance)
        if peer is not None:
            peer.has_departed = True
            self._is_choice_due = True

    def take_new_addresses(self) -> list[ttypes.NodeAddress]:
        """Returns the addresses of nodes added since the last call."""
        new, self._new_peers = self._new_peers, []
        return [peer.to_address() for peer in new]

    def all_addresses(self) -> list[ttypes.NodeAddress]:
        """Returns the addresses of all known nodes."""
        return [peer.to_address() for peer in self._peers.values()]

    def link_opened(self, link: links_module.Link) -> None:
        """Records that a link dialled by this node is open."""
        peer = self._peers_by_link[link]
        peer.link = link
        peer.probed_at = None
        self._is_choice_due |= (
            not peer.is_reachable or peer.instance in self._standby_lenders
        )
        peer.redial_pause_s = 0.0

    def link_closed(self, link: links_module.Link) -> peers_module.Peer | None:
        """Removes a closed link and schedules the next dial.

        Returns:
            The node at the other end; None if the link was not in use.
        """
        peer = self._peers_by_link.pop(link, None)
        if peer is None or peer.link is not link:
            return None
        if peer.status is not None and peer.status.leaving:
            peer.has_departed = True
        self._is_choice_due |= peer.instance in self._standby_lenders
        peer.link = None
        peer.status = None
        peer.redial_at = (
            self._loop.time() + self._link_settings.min_redial_pause_s
        )
        if peer.instance in self._neighbours:
            logs.log_event(
                _LOG, logbook.WARNING, "node_lost", instance=peer.instance
            )
        return peer

    def check(self, now: float) -> None:
        """Chooses neighbours, dials them and closes dead or unneeded links.

        Args:
            now: Current time, in seconds.
        """
        if self._is_choice_due and now >= self._next_choice_at:
            self._is_choice_due = False
            self._next_choice_at = now + MIN_CHOICE_INTERVAL_S
            self._choose_neighbours(now)
        # Most nodes of a large fleet are neither linked nor chosen and need no
        # check.
        linked = {peer.instance for peer in self._peers_by_link.values()}
        for instance in linked | self._neighbours:
            peer = self._peers.get(instance)
            if peer is not None:
                self._check_peer(peer, now)

    def _choose_neighbours(self, now: float) -> None:
        """Chooses the neighbours: the nodes to keep links to."""
        chosen = neighbours.choose_neighbours(
            self._own_node,
            [peer.to_known_node() for peer in self._peers.values()],
            self._settings.neighbours,
        )
        chosen |= self._choose_lenders()
        for instance in chosen - self._neighbours:
            self._peers[instance].last_reached_at = now
        self._neighbours = chosen

    def _choose_lenders(self) -> set[str]:
        """Chooses the candidates for lenders; returns those to link to."""
        settings = self._limit_settings
        if settings is None:
            self._lender_candidates = []
            self._standby_lenders = set()
            return set()
        own = self._own_node.instance
        usable = [
            name
            for name, peer in self._peers.items()
            if peer.is_reachable and not peer.has_departed
        ]
        self._lender_candidates = [
            sharding.rank_lenders(shard, [own, *usable], settings.candidates)
            for shard in range(settings.shards)
        ]
        self._standby_lenders = set()
        for ranked in self._lender_candidates:
            linked_count = 0
            for instance in ranked:
                if linked_count >= settings.standby_links:
                    break
                self._standby_lenders.add(instance)
                # A candidate that cannot be linked may take long to fail.
                is_linked = self.open_link(instance) is not None
                linked_count += is_linked or instance == own
        return self._standby_lenders - {own}

    def _check_peer(self, peer: peers_module.Peer, now: float) -> None:
        """Checks the link to a node, or dials or forgets the node."""
        is_neighbour = peer.instance in self._neighbours
        if peer.link is not None:
            peer.last_reached_at = now
            self._check_link(peer, is_neighbour, now)
        elif is_neighbour and not peer.is_dialling and now >= peer.redial_at:
            if now - peer.last_reached_at <= self._link_settings.remove_after_s:
                self._dial(peer)
                return
            del self._peers[peer.instance]
            self._neighbours.discard(peer.instance)
            self._is_choice_due = True
            logs.log_event(
                _LOG, logbook.INFO, "node_forgotten", instance=peer.instance
            )

    def close(self) -> None:
        """Closes all links that this node has dialled."""
        for link in list(self._peers_by_link):
            link.abort()

    def _check_link(
        self, peer: peers_module.Peer, is_neighbour: bool, now: float
    ) -> None:
        """Closes a dead or unneeded link, or fails calls on a silent one."""
        silent_intervals = peer.silent_intervals(now)
        if (
            silent_intervals > self._link_settings.close_after_intervals
            or peer.probe_has_timed_out(now)
        ):
            peer.link.abort()
        elif (
            silent_intervals > self._link_settings.fail_calls_after_intervals
            and peer.outstanding_calls
        ):
            peer.fail_calls(only_idempotent=True)
        elif not is_neighbour and not peer.outstanding_calls:
            peer.link.abort()

    def _dial(self, peer: peers_module.Peer) -> None:
        peer.is_dialling = True
        task = self._loop.create_task(self._connect(peer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, peer: peers_module.Peer) -> None:
        address = peer.address
        link = links_module.Link(
            self._events, self._link_settings, self._budget, address
        )
        self._peers_by_link[link] = peer
        try:
            with anyio.fail_after(self._link_settings.connect_timeout_s):
                await self._loop.create_connection(
                    lambda: link, address.host, address.port
                )
        except (OSError, TimeoutError):
            self._peers_by_link.pop(link, None)
            was_reachable = peer.is_reachable
            pause_s = max(
                self._link_settings.min_redial_pause_s, peer.redial_pause_s * 2
            )
            peer.redial_pause_s = min(
                pause_s, self._link_settings.max_redial_pause_s
            )
            peer.redial_at = (
                self._loop.time()
                + peer.redial_pause_s * self._generator.uniform(0.7, 1.3)
            )
            self._is_choice_due |= was_reachable and not peer.is_reachable
        finally:
            peer.is_dialling = False
