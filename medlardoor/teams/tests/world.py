"""Simulated nodes that share limits, over links that delay and lose messages.

Only the deciders run here. Links are reliable and ordered, like connections,
but may be slow, silent and cut; a cut connection loses what is on its way.
"""

import collections
import dataclasses
import itertools

from medlardoor.teams import keys, lender, pledger, settings, sharding

SETTINGS = settings.LimitSettings(shards=1)
TICK_S = 0.1
SHARD = 0


class Conformance:
    """Checks that no window has more than rate x window + burst tokens."""

    def __init__(self, team):
        self._team = team
        self._level = team.burst
        self._at = 0.0
        self.count = 0

    def record(self, now):
        elapsed_s = now - self._at
        self._at = now
        refilled = self._level + elapsed_s * self._team.rate_per_s
        self._level = min(self._team.burst, refilled) - 1.0
        self.count += 1
        assert self._level > -1e-6, f"limit exceeded at {now:.2f} s"

    def set_team(self, team):
        """A lower limit binds for what comes after the change."""
        self._team = team
        self._level = min(self._level, team.burst)


@dataclasses.dataclass(eq=False)
class Link:
    """Connection that one node has dialled to another one."""

    dialler: str
    acceptor: str
    is_open: bool = True
    is_silent: bool = False
    channel: lender.PledgeChannel | None = None
    to_acceptor: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    to_dialler: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )


class Node:
    """Deciders of one node."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.is_running = True
        self.is_paused = False
        self.is_leaving = False
        self.start()

    def start(self):
        """Starts a new process, which knows nothing of the former one."""
        self.is_running = True
        self.is_leaving = False
        self.lender = lender.Lender(self.world.settings)
        self.pledger = pledger.Pledger(self.world.settings)
        self.own_channel = self.lender.open_channel(self.name)
        self.links = {}
        self.next_pledge_at = 0.0

    @property
    def acts(self):
        return self.is_running and not self.is_paused

    def preferred(self):
        """First node in the common order that looks alive from here."""
        ranked = sharding.rank_lenders(
            SHARD, self.world.nodes, len(self.world.nodes)
        )
        for name in ranked:
            if name == self.name:
                if not self.lender.is_stopped:
                    return name
            elif self.world.looks_alive(self, name):
                return name
        return None

    def tick(self):
        now = self.world.now
        if now >= self.next_pledge_at:
            self.send_pledges()
        self.lender.refresh(SHARD, [self.world.team], now)

    def send_pledges(self):
        now = self.world.now
        self.next_pledge_at = now + self.world.settings.pledge_interval_s
        for name in self.world.nodes:
            self.lender.record_member(name, now)
        is_due = False
        for pledge in self.pledger.update([self.preferred()], now):
            if pledge.lender == self.name:
                self.lender.record_pledge(
                    self.own_channel, pledge.shards, pledge.stamp, now
                )
                is_due |= self.pledger.answered(self.name, now)
                continue
            link = self.link_to(pledge.lender)
            if link is None:
                self.pledger.link_closed(pledge.lender)
            else:
                link.to_acceptor.append(pledge)
        if is_due:
            self.send_pledges()

    def link_to(self, name):
        link = self.links.get(name)
        if link is None or not link.is_open:
            if not self.world.can_connect(self.name, name):
                return None
            link = self.links[name] = Link(self.name, name)
            self.world.links.append(link)
        return link

    def request(self):
        """Asks for one token."""
        name = self.pledger.lender_of(SHARD)
        if name == self.name:
            self.lend(self.world.now)
        elif name is not None:
            link = self.link_to(name)
            if link is not None:
                link.to_acceptor.append("token")

    def lend(self, now):
        if self.lender.lend(self.world.team, SHARD, True, now).is_granted:
            self.world.conformance.record(now)

    def stop_lending(self):
        """Begins a planned stop."""
        self.is_leaving = True
        self.lender.stop()
        for link in self.world.links:
            if link.acceptor == self.name and link.channel is not None:
                link.to_dialler.append(True)
        self.pledger.released(self.name)


class World:
    """Nodes, links and time."""

    def __init__(self, names, team, limit_settings=SETTINGS):
        self.settings = limit_settings
        self.now = 100.0
        self.team = team
        self.conformance = Conformance(team)
        self.nodes = {}
        self.links = []
        self.cuts = set()
        for name in names:
            self.nodes[name] = Node(self, name)

    def can_connect(self, one, other):
        return (
            frozenset((one, other)) not in self.cuts
            and self.nodes[other].is_running
        )

    def looks_alive(self, node, name):
        other = self.nodes[name]
        if other.is_paused or other.is_leaving:
            return False
        return self.can_connect(node.name, name)

    def close_links(self, name):
        for link in self.links:
            if name in (link.dialler, link.acceptor):
                link.is_open = False
                self.nodes[link.dialler].pledger.link_closed(link.acceptor)
        self.links = [link for link in self.links if link.is_open]

    def deliver(self, link):
        """Delivers all messages that can arrive now."""
        pair = frozenset((link.dialler, link.acceptor))
        if not link.is_open or link.is_silent or pair in self.cuts:
            return
        acceptor = self.nodes[link.acceptor]
        while link.to_acceptor and acceptor.acts:
            self._accept(acceptor, link, link.to_acceptor.popleft())
        dialler = self.nodes[link.dialler]
        while link.to_dialler and dialler.acts:
            is_released = link.to_dialler.popleft()
            if is_released:
                dialler.pledger.released(link.acceptor)
                dialler.send_pledges()
            elif dialler.pledger.answered(link.acceptor, self.now):
                dialler.send_pledges()

    def _accept(self, acceptor, link, message):
        if message == "token":
            acceptor.lend(self.now)
            return
        if link.channel is None:
            link.channel = acceptor.lender.open_channel(link.dialler)
        acceptor.lender.record_pledge(
            link.channel, message.shards, message.stamp, self.now
        )
        link.to_dialler.append(acceptor.lender.is_stopped)

    def advance(self, seconds, requests_per_s=0.0):
        """Lets time pass, with requests spread evenly over the nodes."""
        due = 0.0
        turn = itertools.cycle(self.nodes.values())
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for node in list(self.nodes.values()):
                if node.acts:
                    node.tick()
            due += requests_per_s * TICK_S
            while due >= 1.0:
                due -= 1.0
                node = next(turn)
                if node.acts:
                    node.request()
            for _ in range(3):
                for link in list(self.links):
                    self.deliver(link)


def make_team(rate_per_s=50.0, burst=50.0):
    return keys.Team("t", rate_per_s=rate_per_s, burst=burst)
