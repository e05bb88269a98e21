"""Group membership by gossip: the controller of the membership topic."""

import collections.abc
import random as random_module

from medlardoor.blackboard import board as board_module
from medlardoor.blackboard import topics
from medlardoor.config import settings as settings_module
from medlardoor.membership import detector as detector_module
from medlardoor.membership import (
    digests,
    entries,
    messages,
    records,
    rereads,
    subscriptions,
)
from medlardoor.membership import group as group_module
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["GossipController"]

_MAX_PUSH_GROUP = 64
_PUSH_SAMPLE = 16
_MAX_JOIN = 16
_CONTACTS_WHEN_ALONE = 4
_LOST_CONTACT_INTERVAL_S = 5.0
# One interval before a member becomes suspect. 1.5 s costs a group of 22
# another 390 bytes a second and lowers false suspicions at 5 % loss from 0.12
# to 0.07 %.
_PROBE_AFTER_S = 2.0
_MAX_PROBES = 3
# Smaller groups do without two exchanges, larger ones would send 6 KB a second.
_TWO_EXCHANGES = range(33, 97)


class GossipController:
    """Writes the `membership` topic; the caller sends what it returns.

    Args:
        settings: Times and limits.
        board: Blackboard of the node.
        random: Source of randomness, seeded from the settings.
        own: This node's instance, service, incarnation, process id, host,
            ports and failure domain.
    """

    def __init__(
        self,
        settings: settings_module.GossipSettings,
        board: board_module.Blackboard,
        random: random_module.Random,
        own: topics.Member,
    ):
        self._settings = settings
        self._topic = board.membership
        self._random = random
        self._own = own
        self._detector = detector_module.FailureDetector(settings)
        self._builder = digests.DigestBuilder(own, settings)
        self._group = self._new_group(own.service, self._topic.members)
        self._called: dict[str, group_module.MemberGroup] = {}
        self._seeds: dict[str, tuple[group_module.Address, ...]] = {}
        self._rereads = rereads.RereadSchedule(settings.fail_after_s, random)
        self._subscribers = subscriptions.Subscribers()
        self._filter = subscriptions.SequenceFilter()
        self._counters = messages.GossipCounters()
        self._throttle = messages.PushThrottle()
        self._lost_contact_at = float("-inf")
        self._defended_at = float("-inf")

    @property
    def own(self) -> topics.Member:
        """What this node says of itself."""
        return self._own

    @property
    def counters(self) -> messages.GossipCounters:
        """Counts of received and dropped messages."""
        return self._counters

    def join(
        self,
        seeds: collections.abc.Iterable[group_module.Address],
        now: float,
    ) -> list[messages.Send]:
        """Introduces this node to members of its own service.

        Args:
            seeds: Gossip addresses from the directory or the settings.
            now: Current time, in seconds.
        """
        service = self._own.service
        self.add_seeds(service, seeds, now)
        digest = self._builder.exchange(self._group, now)
        return messages.send_all(
            messages.sample(self._random, self._seeds[service], _MAX_JOIN),
            digest,
        )

    def subscribe(
        self,
        service: str,
        seeds: collections.abc.Iterable[group_module.Address],
        now: float,
    ) -> list[messages.Send]:
        """Starts to follow the members of another service.

        Args:
            service: Name of the called service.
            seeds: Gossip addresses from its directory.
            now: Current time, in seconds.
        """
        if service == self._own.service:
            return self.join(seeds, now)
        self.add_seeds(service, seeds, now)
        if service not in self._called:
            members = self._topic.services.setdefault(service, {})
            self._called[service] = self._new_group(service, members)
        return self._ask(service, now)

    def add_seeds(
        self,
        service: str,
        seeds: collections.abc.Iterable[group_module.Address],
        now: float,
    ) -> None:
        """Notes addresses to try while members are missing.

        Args:
            service: Own or called service.
            seeds: Gossip addresses, for example of its directory.
            now: Current time, in seconds.
        """
        own = group_module.Address(self._own.host, self._own.gossip_port)
        self._seeds[service] = tuple(seed for seed in seeds if seed != own)
        self._rereads.start(service, now)

    def unsubscribe(self, service: str) -> None:
        """Stops to follow a service."""
        self._called.pop(service, None)
        self._topic.services.pop(service, None)
        self._seeds.pop(service, None)
        self._rereads.stop(service)

    def publish(
        self, state: topics.MemberState, load: messages.LoadReport, now: float
    ) -> list[messages.Send]:
        """Takes over what this node says of itself from now on.

        A new state, a level change by a full rank, a newly refused rank and a
        document version that no peer has yet are pushed at once.

        Args:
            state: New state; leaving and left are final.
            load: Current load.
            now: Current time, in seconds.
        """
        own = self._own
        if own.state >= topics.MemberState.LEAVING:
            state = max(own.state, state)
        urgent = state is not own.state
        if load.document_version > own.document_version:
            urgent |= not self._group.knows_version(load.document_version)
        if load.has_other_level(own):
            self._throttle.request()
        own.state = state
        self._topic.state = state
        load.apply(own)
        # Receivers drop data that is not newer by its heartbeat.
        own.heartbeat += 1
        urgent |= self._throttle.is_due(now)
        return self._push(now) if urgent else []

    def tick(self, now: float) -> list[messages.Send]:
        """Regular exchange; called once per `interval_s`.

        Args:
            now: Current time, in seconds.
        """
        groups = [self._group, *self._called.values()]
        known = [m for group in groups for m in group.members.values()]
        if self._detector.tick(known, now):
            self._counters.pauses += 1
        self._own.heartbeat += 1
        for group in groups:
            group.forget(now)
        self._subscribers.expire(now)
        self._filter.expire(now)
        sends = self._exchange(now)
        for service in self._called:
            sends += self._ask(service, now)
        if self._throttle.is_due(now):
            sends += self._push(now)
        return sends

    def receive(self, digest: ttypes.Digest, now: float) -> list[messages.Send]:
        """Merges a digest and answers it if it asks for that.

        Stale, replayed, doubled and reordered digests change nothing that is
        known to be newer.

        Args:
            digest: Authenticated digest of another node.
            now: Current time, in seconds.
        """
        rows = digest.records or []
        if not rows or not digest.sender or not digest.service_name:
            self._counters.invalid_records += 1
            return []
        self._counters.received += 1
        is_new = digest.sender != self._own.instance
        is_new = is_new and self._filter.is_new(digest, now)
        if is_new:
            self._topic.last_contact_at = now
        else:
            self._counters.replayed += 1
        sends = []
        group = self._group_of(digest.service_name)
        if group is not None:
            for record in rows[: self._settings.max_records]:
                sends += self._merge(group, record, digest, is_new, now)
            group.merge_heartbeats(digest.heartbeats or b"", now)
        if is_new and digest.reply:
            sends += self._answer(digest, now)
        return sends

    def usable_members(self, service: str, now: float) -> list[topics.Member]:
        """Members of a service that may get new work, without this node.

        Args:
            service: Own or called service.
            now: Current time, in seconds.
        """
        group = self._group_of(service)
        return group.usable(now) if group is not None else []

    def live_members(self, now: float) -> list[topics.Member]:
        """Other members of the own service that are not failed or left."""
        return self._group.live(now)

    def wants_directory(self, service: str, now: float) -> bool:
        """Whether the directory has to be reread since no member answers.

        Args:
            service: Own or called service.
            now: Current time, in seconds.
        """
        group = self._group_of(service)
        if group is None:
            return False
        if group.live(now):
            self._rereads.note_contact(service, now)
            return False
        return self._rereads.is_due(service, now)

    def _new_group(
        self, service: str, members: dict[str, topics.Member]
    ) -> group_module.MemberGroup:
        return group_module.MemberGroup(
            service, members, self._settings, self._detector
        )

    def _group_of(self, service: str) -> group_module.MemberGroup | None:
        if service == self._own.service:
            return self._group
        return self._called.get(service)

    def _exchange(self, now: float) -> list[messages.Send]:
        """Digests to random members of the own group."""
        live = self._group.live_addresses(now)
        chosen = messages.sample(self._random, live, self._settings.fanout)
        full = 2 if len(live) in _TWO_EXCHANGES else 1
        complete, short = chosen[:full], chosen[full:]
        silent = [
            *self._group.lost_addresses(now),
            *self._seeds.get(self._own.service, ()),
        ]
        if not live:
            complete = messages.sample(
                self._random, silent, _CONTACTS_WHEN_ALONE
            )
        elif now - self._lost_contact_at >= _LOST_CONTACT_INTERVAL_S:
            self._lost_contact_at = now
            lost = [address for address in silent if address not in live]
            complete += messages.sample(self._random, lost, 1)
        sends = []
        for target in complete:
            digest = self._builder.exchange(self._group, now)
            sends += messages.send_all([target], digest)
        return sends + self._probe(complete, short, now)

    def _probe(
        self,
        asked: list[group_module.Address],
        others: list[group_module.Address],
        now: float,
    ) -> list[messages.Send]:
        """Asks members directly before they become suspect.

        Random `others` get the own record if there are not enough of them.
        """
        stale = self._group.stale_addresses(_PROBE_AFTER_S, now)
        stale = [address for address in stale if address not in asked]
        probed = messages.sample(self._random, stale, _MAX_PROBES)
        others = others[len(probed) :]
        probe = self._builder.announcement(reply=True)
        return [
            *messages.send_all(probed, probe),
            *messages.send_all(others, self._builder.announcement()),
        ]

    def _ask(self, service: str, now: float) -> list[messages.Send]:
        """Asks two members of a called service for their digests."""
        group = self._called[service]
        known = group.live_addresses(now)
        if not known:
            known = [*group.lost_addresses(now), *self._seeds[service]]
        targets = messages.sample(self._random, known, self._settings.fanout)
        complete = self._builder.announcement(True, group.heartbeats(now))
        short = self._builder.announcement(True)
        return [
            *messages.send_all(targets[:1], complete),
            *messages.send_all(targets[1:], short),
        ]

    def _merge(
        self,
        group: group_module.MemberGroup,
        record: ttypes.MemberRecord,
        digest: ttypes.Digest,
        is_new: bool,
        now: float,
    ) -> list[messages.Send]:
        if group is self._group and record.instance == self._own.instance:
            return self._defend_incarnation(record, now)
        merged = group.merge(record, now)
        if merged is entries.Merge.INVALID:
            self._counters.invalid_records += 1
        elif merged is entries.Merge.STALE:
            self._counters.stale_records += 1
        elif merged is entries.Merge.OUTDATED_INCARNATION:
            self._counters.stale_records += 1
            if is_new and record.instance == digest.sender:
                return self._correct(group, record)
        return []

    def _defend_incarnation(
        self, record: ttypes.MemberRecord, now: float
    ) -> list[messages.Send]:
        """Rises above an incarnation that another process has used."""
        own = self._own
        if records.from_record(record, own.service, now) is None:
            return []
        is_own = record.process_id == own.process_id
        if is_own or record.incarnation < own.incarnation:
            return []
        # Two processes with one name would otherwise outbid each other with
        # each datagram.
        if now - self._defended_at < self._settings.interval_s:
            return []
        self._defended_at = now
        self._counters.incarnation_conflicts += 1
        own.incarnation = record.incarnation + 1
        own.heartbeat += 1
        return self._push(now)

    def _correct(
        self, group: group_module.MemberGroup, record: ttypes.MemberRecord
    ) -> list[messages.Send]:
        """Tells a restarted node that its incarnation is too low."""
        known = group.record_of(record.instance)
        if group is not self._group or known is None:
            return []
        digest = self._builder.correction(known)
        return [messages.Send(record.host, record.gossip_port, digest)]

    def _answer(self, digest: ttypes.Digest, now: float) -> list[messages.Send]:
        record = digest.records[0]
        member = records.from_record(record, digest.service_name, now)
        if member is None or member.instance != digest.sender:
            return []
        address = group_module.Address(member.host, member.gossip_port)
        if digest.service_name != self._own.service:
            self._subscribers.add(address, now)
        reply = self._builder.answer(self._group, digest, now)
        return messages.send_all([address], reply)

    def _push(self, now: float) -> list[messages.Send]:
        """Sends the own record to all peers and subscribers."""
        self._throttle.note_push(now)
        peers = self._group.live_addresses(now)
        sends = []
        for addresses in (peers, list(self._subscribers.addresses())):
            limit = len(addresses)
            if limit > _MAX_PUSH_GROUP:
                limit = _PUSH_SAMPLE
            targets = messages.sample(self._random, addresses, limit)
            sends += messages.send_all(targets, self._builder.announcement())
        return sends
