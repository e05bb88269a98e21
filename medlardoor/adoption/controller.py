"""Controller that adopts documents and writes the policy topic."""

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

# A fetch takes milliseconds; a peer that takes longer has probably failed.
_FETCH_TIMEOUT_S = 1.0
# After this time without delivery by a peer, the platform is read instead.
_PEER_DELIVERY_TIMEOUT_S = 3.0


class AdoptionPhase(enum.Enum):
    """Whether the node may serve under its document."""

    NO_DOCUMENT = "no_document"
    IN_FORCE = "in_force"
    ISOLATED = "isolated"


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedObject:
    """Policies of one document object.

    Attributes:
        policy: Policy to enforce.
        trial: Policy on trial; None if there is none.
    """

    policy: policy_module.Policy
    trial: policy_module.Policy | None = None


class ObjectParser(abc.ABC):
    """Parser of the platform object ``documents/<environment>``."""

    @abc.abstractmethod
    def parse(
        self, value: bytes
    ) -> result.Result[ParsedObject, errors.InvalidInput]:
        """Parses and checks the object; never raises for invalid input."""

    @abc.abstractmethod
    async def prepare(self, value: bytes) -> None:
        """Does the slow part of `parse` in steps that let other tasks run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Adopted:
    """The document is now in force."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ignored:
    """The document is not newer than the one in force."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The object is invalid; the document in force is kept."""

    failure: errors.InvalidInput


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """Request to fetch the document from a peer.

    Attributes:
        member: Node whose peer listener receives the request.
        version: Newest version that any node has reported.
    """

    member: topics.Member
    version: int


@dataclasses.dataclass(slots=True)
class _Attempt:
    """Last fetch since a document was adopted; it may still be in progress."""

    instance: str
    started_at: float
    is_in_progress: bool = True


class AdoptionController:
    """Writes the `policy` topic.

    Versions only increase: a document that is not newer than the one in force
    is ignored, whatever its source.

    Args:
        settings: Isolation and suspicion times.
        board: Blackboard of the node.
        random: Source of randomness for the choice of peers.
        gossip_controller: Source of live members; not modified.
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
        self._isolation_rule = isolation.IsolationRule(
            settings, board.membership
        )
        self._rejected_version = 0
        self._newest_seen_version = 0
        self._newer_version_seen_at = 0.0
        self._attempt: _Attempt | None = None

    @property
    def phase(self) -> AdoptionPhase:
        """Whether the node may serve, as of the last `tick`."""
        if self._topic.policy is None:
            return AdoptionPhase.NO_DOCUMENT
        if self._topic.isolated:
            return AdoptionPhase.ISOLATED
        return AdoptionPhase.IN_FORCE

    @property
    def newest_evaluated_version(self) -> int:
        """Greatest version that was adopted or rejected."""
        return max(self._topic.version, self._rejected_version)

    def refusal(self) -> errors.Refusal | None:
        """Refusal of all requests in this phase; None if they are admitted."""
        if self.phase is AdoptionPhase.NO_DOCUMENT:
            return errors.Refusal(
                errors.Outcome.NOT_RUN,
                errors.Reason.NO_CONFIGURATION,
                "This node has not received a configuration document yet.",
            )
        if self.phase is AdoptionPhase.ISOLATED:
            return errors.Refusal(
                errors.Outcome.NOT_RUN,
                errors.Reason.ISOLATED,
                "This node is isolated and may lack a newer document.",
            )
        return None

    def is_watcher(self, now: float) -> bool:
        """Whether this node is one of the two watchers of its service.

        These are the live member with the lowest id and the one with the lowest
        id in another failure domain, so that a failure domain that loses its
        connection to the platform does not contain both.

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
        if self._newest_seen_version > version:
            self._newer_version_seen_at = now
        return Adopted(version)

    def offer_transfer(
        self, transfer: ttypes.DocumentTransfer, now: float
    ) -> Adopted | Ignored | Rejected:
        """Adopts a document from a peer after a check of its digest.

        A damaged transfer does not reject the version, because another peer may
        send it intact.

        Args:
            transfer: Response of the peer.
            now: Current time, in seconds.
        """
        if self._attempt is not None:
            self._attempt.is_in_progress = False
        value = transfer.value or b""
        if hashlib.sha256(value).digest() != transfer.digest:
            fault = errors.Fault("$", 0, "content matching its SHA-256 digest")
            return Rejected(
                errors.InvalidInput("document from a peer", (fault,))
            )
        return self.offer(transfer.version or 0, value, now)

    def record_failed_fetch(self, instance: str) -> None:
        """Records that a peer did not send the document."""
        if self._attempt is not None and self._attempt.instance == instance:
            self._attempt.is_in_progress = False

    def observe_version(
        self, version: int, member: topics.Member | None, now: float
    ) -> Fetch | None:
        """Records a version that another node reports.

        Args:
            version: Version in a gossip record, a call or an answer.
            member: Node that has it; None if its address is unknown.
            now: Current time, in seconds.

        Returns:
            The fetch to make; None if the version is not newer, if a fetch is
            already in progress, or if there is no peer to ask now.
        """
        if version <= self.newest_evaluated_version:
            return None
        self._record_version(version, now)
        return self._next_fetch(member, now)

    def tick(self, now: float) -> Fetch | None:
        """Evaluates the isolation rule and retries a failed fetch.

        Args:
            now: Current time, in seconds.

        Returns:
            The fetch to make, if any.
        """
        for member in self._known_members():
            self._record_version(member.document_version, now)
        self._evaluate_isolation(now)
        if self._newest_seen_version <= self.newest_evaluated_version:
            return None
        return self._next_fetch(None, now)

    def confirm(self, now: float) -> None:
        """Records that the platform has no version above the evaluated ones.

        The version in force counts as confirmed unless this node has rejected a
        newer one.

        Args:
            now: Current time, in seconds.
        """
        self.record_platform_contact(now)
        if self._rejected_version < self._topic.version:
            self._topic.confirmed_at = now

    def record_platform_contact(self, now: float) -> None:
        """Records that the platform answered, whatever the answer was."""
        self._isolation_rule.record_platform_contact(now)

    def needs_contact(self, now: float) -> bool:
        """Whether this node will soon be isolated if it has no contact.

        Args:
            now: Current time, in seconds.
        """
        return self._isolation_rule.needs_contact(now)

    async def prepare(self, value: bytes) -> None:
        """Parses an object in steps, so that `offer` takes little time."""
        await self._parser.prepare(value)

    def is_peer_delivery_overdue(self, now: float) -> bool:
        """Whether peers have failed to deliver a newer version in time."""
        if self._newest_seen_version <= self.newest_evaluated_version:
            return False
        return now - self._newer_version_seen_at > _PEER_DELIVERY_TIMEOUT_S

    def _next_fetch(
        self, preferred: topics.Member | None, now: float
    ) -> Fetch | None:
        attempt = self._attempt
        last = None
        if attempt is not None:
            if (
                attempt.is_in_progress
                and now - attempt.started_at < _FETCH_TIMEOUT_S
            ):
                return None
            last = attempt.instance
        sources = self._sources(now)
        if preferred is not None:
            sources.insert(0, preferred)
        others = [member for member in sources if member.instance != last]
        if not others:
            others = sources
            # A single source gets at most one request per timeout.
            if (
                attempt is not None
                and now - attempt.started_at < _FETCH_TIMEOUT_S
            ):
                return None
        if not others:
            return None
        chosen = self._random.choice(others)
        if preferred is not None and preferred.instance != last:
            chosen = preferred
        self._attempt = _Attempt(chosen.instance, now)
        return Fetch(chosen, self._newest_seen_version)

    def _sources(self, now: float) -> list[topics.Member]:
        """Members with a newer document, suspect ones only if all are."""
        holders = [
            member
            for member in self._known_members()
            if member.document_version > self.newest_evaluated_version
            and member.state is not topics.MemberState.LEFT
        ]
        live_holders = [
            member
            for member in holders
            if now - member.heard_at <= self._settings.suspect_after_s
        ]
        return live_holders or holders

    def _record_version(self, version: int, now: float) -> None:
        if self._newest_seen_version <= self.newest_evaluated_version < version:
            self._newer_version_seen_at = now
        self._newest_seen_version = max(self._newest_seen_version, version)

    def _known_members(self) -> list[topics.Member]:
        membership = self._board.membership
        found = list(membership.members.values())
        for members in membership.services.values():
            found += members.values()
        return found

    def _evaluate_isolation(self, now: float) -> None:
        """Updates the isolation, which ends once the node has caught up."""
        lacks_contact = self._isolation_rule.is_contact_overdue(now)
        is_behind = self._newest_seen_version > self.newest_evaluated_version
        was_isolated = self._topic.isolated
        self._topic.isolated = lacks_contact or (was_isolated and is_behind)
