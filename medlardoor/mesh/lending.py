"""Exchange of tokens between nodes; see `teams.lender`."""

import collections
import collections.abc
import dataclasses
import itertools

from medlardoor.mesh import clock, documents, links, pledging
from medlardoor.mesh import roster as roster_module
from medlardoor.mesh import settings as settings_module
from medlardoor.teams import keys, lender, limiter, sharding, stock
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["TokenLending"]

_Report = collections.abc.Callable[[limiter.Grant], None]


@dataclasses.dataclass(slots=True, eq=False)
class _PendingRequest:
    """A request for a token without an answer.

    Attributes:
        team: The team.
        is_urgent: Whether the request may use the last tokens.
        report: Called with the answer.
        started_at: When the token was first wanted, in seconds.
        lender: Node that was asked.
        asked_at: When it was asked, in seconds.
    """

    team: keys.Team
    is_urgent: bool
    report: _Report
    started_at: float
    lender: str = ""
    asked_at: float = 0.0


class TokenLending(limiter.TeamLimiter):
    """Gets tokens from the lenders of their teams, and lends tokens itself.

    Args:
        settings: Settings of the node.
        holder: Holds the document in force.
        roster: The other nodes and the links to them.
        has_listed: Returns whether this node has read the list of nodes.
        knows_all: Returns whether it surely knows all of them.
        status_changed: Called when this node begins or ends to lend.
    """

    def __init__(
        self,
        settings: settings_module.MeshSettings,
        holder: documents.DocumentHolder,
        roster: roster_module.Roster,
        has_listed: collections.abc.Callable[[], bool],
        knows_all: collections.abc.Callable[[], bool],
        status_changed: collections.abc.Callable[[], None],
    ):
        self._instance = settings.instance
        self._settings = settings.limits
        self._holder = holder
        self._roster = roster
        self._lender = lender.Lender(settings.limits)
        self._pledges = pledging.PledgeExchange(
            settings,
            roster,
            self._lender,
            has_listed,
            knows_all,
            status_changed,
        )
        self._stock = stock.TokenStock(settings.limits)
        self._teams: dict[str, keys.Team] = {}
        self._teams_by_shard: dict[int, list[keys.Team]] = {}
        self._pending: dict[int, _PendingRequest] = {}
        # Requests that wait until there is a lender with pledges.
        self._waiting: list[_PendingRequest] = []
        self._request_ids = itertools.count(1)
        self._returned: collections.Counter[str] = collections.Counter()
        holder.listen(self._adopt_limits)

    @property
    def can_lend(self) -> bool:
        """Whether other nodes may pledge their shares to this one."""
        return self._pledges.can_lend

    def take(self, team: keys.Team, is_urgent: bool, report: _Report) -> None:
        """Takes a token; see `TeamLimiter`."""
        now = clock.now()
        grant = self._stock.take(team.name, is_urgent, now)
        if grant is not None:
            report(grant)
        else:
            self._ask(_PendingRequest(team, is_urgent, report, now), now)

    def give_back(self, team: keys.Team) -> None:
        """Returns a token; see `TeamLimiter`."""
        if team.name in self._teams:
            self._returned[team.name] += 1

    def tick(self) -> None:
        """Performs periodic work; must be called several times a second."""
        now = clock.now()
        if self._teams:
            self._pledges.tick(now)
        # Requests may still wait after the last limit has been lifted.
        self._fail_overdue(now)
        waiting, self._waiting = self._waiting, []
        for pending in waiting:
            self._ask(pending, now)
        self._flush_returned()
        for shard, teams in self._teams_by_shard.items():
            self._lender.refresh(shard, teams, now)

    def stop(self) -> None:
        """Ends lending at the start of a planned stop."""
        self._pledges.stop()

    def depart(self) -> None:
        """Ends the use of this node's shares when the process ends."""
        self._pledges.depart()

    def frame_received(
        self, link: links.Link, sender: str | None, frame: ttypes.Frame
    ) -> None:
        """Handles a message about limits.

        Args:
            link: Link of the message.
            sender: Node at the other end if this node has dialled the link.
            frame: The message.
        """
        if frame.token_request is not None:
            self._on_token_request(link, frame.token_request)
        elif frame.token_grant is not None:
            self._on_token_grant(frame.token_grant)
        elif frame.pledge is not None:
            self._pledges.receive_pledge(link, frame.pledge)
        elif frame.pledge_answer is not None and sender is not None:
            is_released = bool(frame.pledge_answer.released)
            self._pledges.receive_answer(sender, is_released)

    def link_closed(self, link: links.Link, dialled: str | None) -> None:
        """Ends the exchange on a link.

        Args:
            link: The closed link.
            dialled: Node at the other end if this node has dialled the link.
        """
        self._pledges.link_closed(link, dialled)
        if dialled is not None:
            # The lender may have lent a token, which is lost then.
            for request_id in [
                n for n, each in self._pending.items() if each.lender == dialled
            ]:
                self._waiting.append(self._pending.pop(request_id))

    def shares(self) -> dict[int, float]:
        """Part of the limits of each shard that this node may lend."""
        now = clock.now()
        return {
            shard: self._lender.share(shard, now)
            for shard in range(self._settings.shards)
        }

    def _adopt_limits(self) -> None:
        table = self._holder.table
        self._teams = {
            team.name: team
            for team in table.document.teams or ()
            if team.rate_per_s > 0
        }
        self._teams_by_shard = collections.defaultdict(list)
        for team in self._teams.values():
            self._teams_by_shard[self._shard(team.name)].append(team)
        self._lender.retain(self._teams)
        self._stock.clear()
        self._release_unlimited()
        self._roster.keep_lenders(self._settings if self._teams else None)

    def _release_unlimited(self) -> None:
        """Ends the exchange about teams whose limits have been lifted.

        Their requests are admitted in the next tick. A lender may never answer
        them, since it may have been stopped or killed.
        """
        for request_id, pending in list(self._pending.items()):
            if pending.team.name not in self._teams:
                self._waiting.append(self._pending.pop(request_id))
        for name in list(self._returned):
            if name not in self._teams:
                del self._returned[name]

    def _shard(self, team: str) -> int:
        return sharding.shard_of(team, self._settings.shards)

    def _ask(self, pending: _PendingRequest, now: float) -> None:
        """Asks the lender of a team for a token, or waits for a lender."""
        team = self._teams.get(pending.team.name)
        if team is None:
            # The limit was removed while the request waited.
            pending.report(limiter.Grant(True))
            return
        shard = self._shard(team.name)
        instance = self._pledges.lender_of(shard)
        if instance == self._instance:
            grant = self._lender.lend(team, shard, pending.is_urgent, now)
            self._settle(pending, grant)
            return
        link = None if instance is None else self._roster.open_link(instance)
        if link is None:
            self._waiting.append(pending)
            return
        pending.lender = instance
        pending.asked_at = now
        request_id = next(self._request_ids) & 0x7FFFFFFF
        self._pending[request_id] = pending
        request = ttypes.TokenRequest(
            id=request_id,
            team=team.name,
            urgent=pending.is_urgent or None,
            extra=self._stock.wanted_extra(team.name) or None,
            returned=self._returned.pop(team.name, None),
        )
        link.send(ttypes.Frame(token_request=request))

    def _settle(self, pending: _PendingRequest, grant: limiter.Grant) -> None:
        """Reports an answer, or waits until the lender can give one."""
        if grant.is_granted or grant.is_limited:
            pending.report(grant)
        else:
            self._waiting.append(pending)

    def _on_token_request(
        self, link: links.Link, message: ttypes.TokenRequest
    ) -> None:
        team = self._teams.get(message.team or "")
        now = clock.now()
        grant = limiter.Grant(False)
        extra = 0
        if team is not None:
            shard = self._shard(team.name)
            if message.returned and message.returned > 0:
                self._lender.give_back(team, shard, message.returned, now)
            if not message.id:
                return
            grant = self._lender.lend(team, shard, bool(message.urgent), now)
            if grant.is_granted and message.extra and message.extra > 0:
                extra = self._lender.lend_for_later(
                    team, shard, message.extra, now
                )
        answer = ttypes.TokenGrant(
            id=message.id,
            granted=grant.is_granted or None,
            limited=grant.is_limited or None,
            wait_ms=int(grant.wait_s * 1_000) or None,
            extra=extra or None,
        )
        link.send(ttypes.Frame(token_grant=answer))

    def _on_token_grant(self, message: ttypes.TokenGrant) -> None:
        pending = self._pending.pop(message.id, None)
        if pending is None:
            return
        name = pending.team.name
        if message.granted and message.extra and message.extra > 0:
            self._stock.add(name, message.extra, pending.asked_at)
        wait_s = max(0, message.wait_ms or 0) / 1_000
        if message.limited:
            now = clock.now()
            self._stock.record_refusal(name, pending.is_urgent, wait_s, now)
        grant = limiter.Grant(
            bool(message.granted), bool(message.limited), wait_s
        )
        self._settle(pending, grant)

    def _fail_overdue(self, now: float) -> None:
        """Reports to overdue requests that no token could be got for them."""
        latest = now - self._settings.request_timeout_s
        overdue = [
            self._pending.pop(request_id)
            for request_id, pending in list(self._pending.items())
            if pending.started_at < latest
        ]
        overdue += [p for p in self._waiting if p.started_at < latest]
        self._waiting = [p for p in self._waiting if p.started_at >= latest]
        for pending in overdue:
            pending.report(limiter.Grant(False))

    def _flush_returned(self) -> None:
        """Returns tokens that no later request has returned."""
        returned, self._returned = self._returned, collections.Counter()
        for name, count in returned.items():
            team = self._teams.get(name)
            if team is None:
                continue
            instance = self._pledges.lender_of(self._shard(name))
            if instance == self._instance:
                shard = self._shard(name)
                self._lender.give_back(team, shard, count, clock.now())
                continue
            link = (
                None if instance is None else self._roster.open_link(instance)
            )
            if link is not None:
                request = ttypes.TokenRequest(id=0, team=name, returned=count)
                link.send(ttypes.Frame(token_request=request))
