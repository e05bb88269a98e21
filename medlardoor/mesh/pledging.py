"""Exchange of pledges between nodes; see `teams.lender` and `teams.pledger`."""

import collections.abc

import logbook

from medlardoor import logs
from medlardoor.mesh import clock, links
from medlardoor.mesh import roster as roster_module
from medlardoor.mesh import settings as settings_module
from medlardoor.teams import lender as lender_module
from medlardoor.teams import pledger as pledger_module
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["PledgeExchange"]

_LOG = logbook.Logger("lending")


# A longer pause between two ticks, in seconds, means that this process was
# stalled and could not read the answers of lenders.
STALL_THRESHOLD_S = 0.5


class PledgeExchange:
    """Pledges the shares of this node, and records those of other nodes.

    Args:
        settings: Settings of the node.
        roster: The other nodes and the links to them.
        lender: Lends tokens from the pledged shares.
        has_listed: Returns whether this node has read the list of nodes.
        knows_all: Returns whether it surely knows all of them, so that it need
            not wait for further ones.
        status_changed: Called when this node begins or ends to lend.
    """

    def __init__(
        self,
        settings: settings_module.MeshSettings,
        roster: roster_module.Roster,
        lender: lender_module.Lender,
        has_listed: collections.abc.Callable[[], bool],
        knows_all: collections.abc.Callable[[], bool],
        status_changed: collections.abc.Callable[[], None],
    ):
        self._instance = settings.instance
        self._settings = settings.limits
        self._roster = roster
        self._lender = lender
        self._has_listed = has_listed
        self._knows_all = knows_all
        self._status_changed = status_changed
        self._can_lend = False
        self._pledger = pledger_module.Pledger(settings.limits)
        self._channels: dict[links.Link, lender_module.PledgeChannel] = {}
        self._own_channel = lender.open_channel(self._instance)
        self._next_pledge_at = 0.0
        self._last_tick_at = 0.0
        self._last_preferred: list[str | None] = []
        self._lent_shards: set[int] = set()

    @property
    def can_lend(self) -> bool:
        """Whether other nodes may pledge their shares to this one."""
        return self._can_lend

    def lender_of(self, shard: int) -> str | None:
        """Node to ask for tokens of a shard, if there is one."""
        return self._pledger.lender_of(shard)

    def tick(self, now: float) -> None:
        """Sends the pledges that are due, at once when a lender changes.

        Args:
            now: Current time, in seconds.
        """
        self._check_readiness(now)
        if now - self._last_tick_at > STALL_THRESHOLD_S:
            self._pledger.restart_waiting(now)
        self._last_tick_at = now
        for lender in self._pledger.overdue(now):
            self._abort_link(lender)
        if (
            now >= self._next_pledge_at
            or self._preferred_lenders() != self._last_preferred
        ):
            self._send_pledges(now)

    def stop(self) -> None:
        """Ends lending and releases the shares that were pledged."""
        self._lender.stop()
        self._can_lend = False
        for link in self._channels:
            answer = ttypes.PledgeAnswer(released=True)
            link.send(ttypes.Frame(pledge_answer=answer))
        self._pledger.released(self._instance)
        self._send_pledges(clock.now())

    def depart(self) -> None:
        """Tells the lenders that this node ends and uses no share any more."""
        candidates = {
            instance
            for shard in range(self._settings.shards)
            for instance in self._roster.lender_candidates(shard)
        }
        for instance in candidates:
            link = self._roster.open_link(instance)
            if link is not None:
                pledge = ttypes.SharePledge(
                    instance=self._instance, shards=[], stamp=0, departs=True
                )
                link.send(ttypes.Frame(pledge=pledge))

    def link_closed(self, link: links.Link, dialled: str | None) -> None:
        """Ends the exchange on a link.

        Args:
            link: The closed link.
            dialled: Node at the other end if this node has dialled the link.
        """
        self._channels.pop(link, None)
        if dialled is not None:
            self._pledger.link_closed(dialled)

    def receive_pledge(
        self, link: links.Link, message: ttypes.SharePledge
    ) -> None:
        """Records and answers the pledge of another node."""
        if not message.instance:
            return
        if message.departs:
            self._lender.record_departure(message.instance)
            self._roster.record_departure(message.instance)
            return
        channel = self._channels.get(link)
        if channel is None:
            channel = self._lender.open_channel(message.instance)
            self._channels[link] = channel
        self._lender.record_pledge(
            channel, message.shards or (), message.stamp or 0, clock.now()
        )
        answer = ttypes.PledgeAnswer(released=self._lender.is_stopped or None)
        link.send(ttypes.Frame(pledge_answer=answer))

    def receive_answer(self, sender: str, is_released: bool) -> None:
        """Handles the answer to a pledge.

        Args:
            sender: The lender.
            is_released: Whether it has stopped and counts no share any more.
        """
        now = clock.now()
        if is_released:
            self._pledger.released(sender)
            self._roster.record_stopped_lender(sender)
            self._send_pledges(now)
        elif self._pledger.answered(sender, now):
            self._send_pledges(now)

    def _send_pledges(self, now: float) -> None:
        self._next_pledge_at = now + self._settings.pledge_interval_s
        for instance in self._roster.members():
            self._lender.record_member(instance, now)
        for instance in self._roster.departed():
            self._lender.forget_member(instance, now)
        self._last_preferred = self._preferred_lenders()
        is_due = False
        for pledge in self._pledger.update(self._last_preferred, now):
            if pledge.lender == self._instance:
                self._lender.record_pledge(
                    self._own_channel, pledge.shards, pledge.stamp, now
                )
                is_due |= self._pledger.answered(self._instance, now)
                continue
            message = ttypes.SharePledge(
                instance=self._instance,
                shards=sorted(pledge.shards),
                stamp=pledge.stamp,
            )
            link = self._roster.open_link(pledge.lender)
            if link is None:
                self._pledger.link_closed(pledge.lender)
            else:
                link.send(ttypes.Frame(pledge=message))
        if is_due:
            self._send_pledges(now)
        self._log_lending(now)

    def _abort_link(self, lender: str) -> None:
        """Closes the link to a lender that does not answer."""
        self._pledger.link_closed(lender)
        link = self._roster.open_link(lender)
        if link is not None:
            logs.log_event(
                _LOG, logbook.WARNING, "lender_silent", instance=lender
            )
            link.abort()

    def _preferred_lenders(self) -> list[str | None]:
        """Lender that each shard should have."""
        return [
            self._preferred_lender(shard)
            for shard in range(self._settings.shards)
        ]

    def _preferred_lender(self, shard: int) -> str | None:
        for instance in self._roster.lender_candidates(shard):
            if instance == self._instance:
                if self._can_lend:
                    return instance
            elif self._roster.may_lend(instance):
                return instance
        return None

    def _check_readiness(self, now: float) -> None:
        """Finds out whether this node knows enough others to lend."""
        if self._can_lend or self._lender.is_stopped or not self._has_listed():
            return
        if self._knows_all():
            self._lender.end_settling()
        if self._lender.is_settled(now):
            self._can_lend = True
            self._status_changed()

    def _log_lending(self, now: float) -> None:
        """Logs which shards this node starts or ceases to lend for."""
        lent = {
            shard
            for shard in range(self._settings.shards)
            if self._lender.share(shard, now) > 0
        }
        if lent != self._lent_shards:
            self._lent_shards = lent
            logs.log_event(
                _LOG,
                logbook.INFO,
                "lending_changed",
                shards=sorted(lent),
                pledges=len(self._lender.pledging_members),
            )
