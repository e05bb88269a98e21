"""Adoption of documents: the controller of the policy topic."""

import abc
import dataclasses
import enum
import hashlib
import random as random_module

import result

from medlardoor import errors
from medlardoor.adoption import isolation
from medlardoor.blackboard import board as board_module
from medlardoor.blackboard import topics
from medlardoor.config import policy as policy_module
from medlardoor.config import settings as settings_module
from medlardoor.membership import gossip
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = [
    "Adopted",
    "AdoptionController",
    "AdoptionPhase",
    "Fetch",
    "Ignored",
    "ObjectParser",
    "ParsedObject",
    "Rejected",
]

# A document is fetched in milliseconds; a peer that takes longer is probably
# gone.
_FETCH_TIMEOUT_S = 1.0
# With no success after several peers, the platform is read instead.
_OVERDUE_S = 3.0


class AdoptionPhase(enum.Enum):
    """Whether the node may serve under its document."""

    NO_DOCUMENT = "no_document"
    IN_FORCE = "in_force"
    ISOLATED = "isolated"


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedObject:
    """Policies of one document object."""

    policy: policy_module.Policy
    trial: policy_module.Policy | None = None


class ObjectParser(abc.ABC):
    """Parser of the platform object ``documents/<environment>``."""

    @abc.abstractmethod
    def parse(
        self, value: bytes
    ) -> result.Result[ParsedObject, errors.InvalidInput]:
        """Parses and checks the object; never raises for wrong input."""

    @abc.abstractmethod
    async def prepare(self, value: bytes) -> None:
        """Does the long part of `parse` in steps beside other work."""


@dataclasses.dataclass(frozen=True, slots=True)
class Adopted:
    """The document is in force now."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ignored:
    """The document is not newer than the one in force."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The object is wrong; the document in force stays."""

    failure: errors.InvalidInput


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """Request to fetch the document from a peer.

    Attributes:
        member: Node to ask at its peer listener.
        version: Version that it announced.
    """

    member: topics.Member
    version: int


@dataclasses.dataclass(slots=True)
class _Attempt:
    """The fetch in progress, or the last one that brought no newer version."""

    instance: str
    at: float
    is_open: bool = True


class AdoptionController:
    """Writes the `policy` topic.

    Versions only ever grow: a document that is not newer than the one in
    force is ignored, wherever it comes from.

    Args:
        settings: Isolation time.
        board: Blackboard of the node.
        random: Source of randomness for the choice of peers.
        gossip_controller: Source of live members; not written to.
        parser: Parser of the document object.
    """

    def __init__(
        self,
        settings: settings_module.GossipSettings,
        board: board_module.Blackboard,
        random: random_module.Random,
        gossip_controller: gossip.GossipController,
        parser: ObjectParser,
    ):
        self._settings = settings
        self._board = board
        self._topic = board.policy
        self._random = random
        self._gossip = gossip_controller
        self._parser = parser
        self._rule = isolation.IsolationRule(settings, board.membership)
        self._rejected_version = 0
        self._seen_version = 0
        self._seen_at = 0.0
        self._attempt: _Attempt | None = None

    @property
    def phase(self) -> AdoptionPhase:
        """Whether the node may serve; as of the last `tick`."""
        if self._topic.policy is None:
            return AdoptionPhase.NO_DOCUMENT
        if self._topic.isolated:
            return AdoptionPhase.ISOLATED
        return AdoptionPhase.IN_FORCE

    @property
    def newest_judged_version(self) -> int:
        """Greatest version that was adopted or rejected."""
        return max(self._topic.version, self._rejected_version)

    def refusal(self) -> errors.Refusal | None:
        """Why requests are refused now; None if they are not."""
        if self.phase is AdoptionPhase.NO_DOCUMENT:
            return errors.Refusal(
                errors.Outcome.NOT_RUN,
                errors.Reason.NO_CONFIGURATION,
                "The node has no document yet.",
            )
        if self.phase is AdoptionPhase.ISOLATED:
            return errors.Refusal(
                errors.Outcome.NOT_RUN,
                errors.Reason.ISOLATED,
                "The node may be cut off from a newer document.",
            )
        return None

    def is_watcher(self, now: float) -> bool:
        """Whether this node is one of the two watchers of its service.

        They are the live member with the lowest id and the lowest one of
        another failure domain, so that one domain that is cut off from the
        platform does not hold both.

        Args:
            now: Current time, in seconds.
        """
        own = self._gossip.own
        members = [
            (member.instance, member.failure_domain)
            for member in self._gossip.live_members(now)
            if member.state < topics.MemberState.LEAVING
        ]
        members.append((own.instance, own.failure_domain))
        members.sort()
        first, first_domain = members[0]
        elsewhere = [m for m in members[1:] if m[1] != first_domain]
        second = (elsewhere or members[1:])[:1]
        return own.instance == first or own.instance in [m[0] for m in second]

    def offer(
        self, version: int, value: bytes, now: float
    ) -> Adopted | Ignored | Rejected:
        """Adopts a document object if it is valid and newer.

        Args:
            version: Platform version of the object.
            value: Content of the object.
            now: Current time, in seconds.
        """
        if version <= self._topic.version:
            return Ignored(version)
        parsed = self._parser.parse(value)
        if parsed.is_err():
            self._rejected_version = max(self._rejected_version, version)
            return Rejected(parsed.err_value)
        self._topic.policy = parsed.ok_value.policy
        self._topic.trial = parsed.ok_value.trial
        self._topic.version = version
        self._topic.value = value
        self._topic.digest = hashlib.sha256(value).digest()
        self._attempt = None
        if self._seen_version > version:
            self._seen_at = now
        return Adopted(version)

    def offer_transfer(
        self, transfer: ttypes.DocumentTransfer, now: float
    ) -> Adopted | Ignored | Rejected:
        """Adopts what a peer has sent, after a check of its digest.

        A damaged transfer does not mark the version as wrong: another peer
        may send it intact.

        Args:
            transfer: Body of the peer's answer.
            now: Current time, in seconds.
        """
        if self._attempt is not None:
            self._attempt.is_open = False
        value = transfer.value or b""
        if hashlib.sha256(value).digest() != transfer.digest:
            fault = errors.Fault("$", 0, "content with the stated SHA-256")
            return Rejected(errors.InvalidInput("document of a peer", (fault,)))
        return self.offer(transfer.version or 0, value, now)

    def fetch_failed(self, instance: str) -> None:
        """Notes that a peer did not send the document."""
        if self._attempt is not None and self._attempt.instance == instance:
            self._attempt.is_open = False

    def see_version(
        self, version: int, member: topics.Member | None, now: float
    ) -> Fetch | None:
        """Notes a version that another node mentioned.

        Args:
            version: Version in a gossip record, a call or an answer.
            member: Node that has it; None if its address is not known.
            now: Current time, in seconds.

        Returns:
            The fetch to make; None if the version is not newer, or if a fetch
            is already in progress.
        """
        if version <= self.newest_judged_version:
            return None
        self._note_version(version, now)
        return self._next_fetch(member, now)

    def tick(self, now: float) -> Fetch | None:
        """Evaluates the isolation rule and repeats a fetch that failed.

        Args:
            now: Current time, in seconds.

        Returns:
            The fetch to make, if any.
        """
        for member in self._known_members():
            self._note_version(member.document_version, now)
        self._evaluate_isolation(now)
        if self._seen_version <= self.newest_judged_version:
            return None
        return self._next_fetch(None, now)

    def confirm(self, now: float) -> None:
        """Notes that the platform has no version above the judged ones.

        The version in force counts as confirmed unless a newer one exists
        that was rejected here.

        Args:
            now: Current time, in seconds.
        """
        self.note_platform_contact(now)
        if self._rejected_version < self._topic.version:
            self._topic.confirmed_at = now

    def note_platform_contact(self, now: float) -> None:
        """Notes that the platform answered, whatever it answered."""
        self._rule.note_platform_contact(now)

    def needs_contact(self, now: float) -> bool:
        """Whether this node may soon count as cut off.

        Args:
            now: Current time, in seconds.
        """
        return self._rule.needs_contact(now)

    async def prepare(self, value: bytes) -> None:
        """Parses an object in steps, so that `offer` is short."""
        await self._parser.prepare(value)

    def is_overdue(self, now: float) -> bool:
        """Whether peers did not deliver a newer version within seconds."""
        if self._seen_version <= self.newest_judged_version:
            return False
        return now - self._seen_at > _OVERDUE_S

    def _next_fetch(
        self, preferred: topics.Member | None, now: float
    ) -> Fetch | None:
        attempt = self._attempt
        last = None
        if attempt is not None:
            if attempt.is_open and now - attempt.at < _FETCH_TIMEOUT_S:
                return None
            last = attempt.instance
        sources = self._sources(now)
        if preferred is not None:
            sources.insert(0, preferred)
        others = [member for member in sources if member.instance != last]
        if not others:
            others = sources
            # The only source is asked again at most once in the timeout.
            if attempt is not None and now - attempt.at < _FETCH_TIMEOUT_S:
                return None
        if not others:
            return None
        chosen = self._random.choice(others)
        if preferred is not None and preferred.instance != last:
            chosen = preferred
        self._attempt = _Attempt(chosen.instance, now)
        return Fetch(chosen, self._seen_version)

    def _sources(self, now: float) -> list[topics.Member]:
        """Members that have a newer document, live ones if there are any."""
        having = [
            member
            for member in self._known_members()
            if member.document_version > self.newest_judged_version
            and member.state is not topics.MemberState.LEFT
        ]
        heard = [
            member
            for member in having
            if now - member.heard_at <= self._settings.suspect_after_s
        ]
        return heard or having

    def _note_version(self, version: int, now: float) -> None:
        if self._seen_version <= self.newest_judged_version < version:
            self._seen_at = now
        self._seen_version = max(self._seen_version, version)

    def _known_members(self) -> list[topics.Member]:
        membership = self._board.membership
        found = list(membership.members.values())
        for members in membership.services.values():
            found += members.values()
        return found

    def _evaluate_isolation(self, now: float) -> None:
        """An isolated node serves again once it has caught up."""
        cut_off = self._rule.evaluate(now)
        is_behind = self._seen_version > self.newest_judged_version
        was_isolated = self._topic.isolated
        self._topic.isolated = cut_off or (was_isolated and is_behind)
