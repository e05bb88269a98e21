"""The directory object of a service: who writes it, when and what."""

import dataclasses
import random as random_module

import anyio
import pydantic
import result

from medlardoor import errors
from medlardoor.blackboard import topics
from medlardoor.config import settings as settings_module
from medlardoor.membership import gossip
from medlardoor.membership import group as group_module
from medlardoor.store import client

__all__ = [
    "MAX_ENTRIES",
    "Directory",
    "DirectoryController",
    "DirectoryEntry",
    "DirectoryTask",
    "DirectoryWrite",
    "parse_directory",
    "read_directory",
]

MAX_ENTRIES = 64
# Time that each live member with a lower id is given before this node writes
# in its place; a write takes milliseconds, a failure is noticed after 6 s.
_TURN_S = 3.0
# Read-back by the writer, so that a directory damaged or rewritten by a cut
# off member is corrected: 430 services make under two such reads a second.
_AUDIT_S = 240.0
_MAX_BACKOFF_S = 30.0


class DirectoryEntry(pydantic.BaseModel):
    """One member of a service.

    Unknown keys are allowed, so that nodes of two releases can share the
    object.
    """

    model_config = pydantic.ConfigDict(frozen=True)

    instance: str = pydantic.Field(min_length=1, max_length=64)
    incarnation: int = pydantic.Field(ge=0)
    host: str = pydantic.Field(min_length=1, max_length=64)
    peer_port: int = pydantic.Field(ge=1, le=65_535)
    gossip_port: int = pydantic.Field(ge=1, le=65_535)
    failure_domain: str = ""


class Directory(pydantic.BaseModel):
    """Content of ``directory/<service>``."""

    model_config = pydantic.ConfigDict(frozen=True)

    service: str
    entries: tuple[DirectoryEntry, ...] = pydantic.Field(
        default=(), max_length=MAX_ENTRIES
    )

    def seeds(self) -> tuple[group_module.Address, ...]:
        """Gossip addresses of the entries."""
        return tuple(
            group_module.Address(entry.host, entry.gossip_port)
            for entry in self.entries
        )


def parse_directory(
    found: client.StoredObject,
) -> result.Result[Directory, errors.InvalidInput]:
    """Validates a directory object."""
    try:
        return result.Ok(Directory.model_validate_json(found.value))
    except pydantic.ValidationError as error:
        faults = tuple(
            errors.Fault(
                ".".join(["$", *(str(part) for part in row["loc"])]),
                0,
                row["msg"],
            )
            for row in error.errors()
        )
        return result.Err(errors.InvalidInput(found.key, faults))


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryWrite:
    """A conditional update that this node should make now."""

    value: bytes
    expected_version: int


class DirectoryController:
    """Decides when this node writes the directory object and what.

    The live member with the lowest id writes; each further one waits longer,
    so that a dead writer is replaced. Conditional updates make it harmless
    that two nodes write at once.

    Args:
        settings: Shortest time between two writes.
        gossip_controller: Source of the live members; not written to.
    """

    def __init__(
        self,
        settings: settings_module.GossipSettings,
        gossip_controller: gossip.GossipController,
    ):
        self._settings = settings
        self._gossip = gossip_controller
        self._known: Directory | None = None
        self._version = 0
        self._is_read = False
        self._differs_since: float | None = None
        self._attempt_at = float("-inf")
        self._read_at = float("-inf")

    @property
    def key(self) -> str:
        """Key of the directory object."""
        return f"directory/{self._gossip.own.service}"

    @property
    def directory(self) -> Directory | None:
        """Directory as it was last read or written by this node."""
        return self._known

    def note_read(
        self, directory: Directory | None, version: int, now: float
    ) -> None:
        """Takes over what is stored; members that it lists become seeds.

        Args:
            directory: Content; None if there is none or it is not valid.
            version: Version of the object, 0 if there is no object.
            now: Current time, in seconds.
        """
        self._read_at = now
        self._is_read = True
        self._known = directory
        self._version = version
        if directory is not None:
            service = self._gossip.own.service
            self._gossip.add_seeds(service, directory.seeds(), now)

    def note_uncertain(self) -> None:
        """Requires a read: a write met another version or got no answer."""
        self._is_read = False

    def needs_read(self, now: float) -> bool:
        """Whether to read the object before the next decision.

        A node that is not the lowest one does not see each write, so it looks
        whether its predecessors have written before it writes.
        """
        if self._gossip.wants_directory(self._gossip.own.service, now):
            return True
        if not self._has_turn(now):
            return False
        if now - self._attempt_at < self._settings.directory_interval_s:
            return False
        if not self._is_read or now - self._read_at >= _AUDIT_S:
            return True
        since = self._differs_since
        if since is None or self._order(now) == 0:
            return False
        return self._read_at < since

    def next_write(self, now: float) -> DirectoryWrite | None:
        """The update to make now; at most one in `directory_interval_s`.

        Args:
            now: Current time, in seconds.
        """
        wanted = self.wanted(now)
        if not self._is_read or self._known == wanted:
            return None
        if not self._has_turn(now):
            return None
        if now - self._attempt_at < self._settings.directory_interval_s:
            return None
        self._attempt_at = now
        value = wanted.model_dump_json().encode()
        return DirectoryWrite(value, self._version)

    def wanted(self, now: float) -> Directory:
        """The directory as it should be: live members, lowest ids first.

        A node that hears nobody may be cut off, so it only adds itself.
        """
        own = self._gossip.own
        live = self._gossip.live_members(now)
        entries = {
            member.instance: _entry(member)
            for member in [*live, own]
            if member.state < topics.MemberState.LEAVING
        }
        if not live and self._known is not None:
            for entry in self._known.entries:
                entries.setdefault(entry.instance, entry)
        listed = sorted(entries.values(), key=lambda entry: entry.instance)
        return Directory(
            service=own.service, entries=tuple(listed[:MAX_ENTRIES])
        )

    def _has_turn(self, now: float) -> bool:
        """Whether the members with lower ids had time to write before."""
        if self._gossip.own.state >= topics.MemberState.LEAVING:
            return False
        if self._is_read and self._known == self.wanted(now):
            # Only the lowest member audits an object that looks right.
            self._differs_since = None
            return self._order(now) == 0
        if self._differs_since is None:
            self._differs_since = now
        waited_s = now - self._differs_since
        return waited_s >= self._order(now) * _TURN_S

    def _order(self, now: float) -> int:
        own = self._gossip.own
        return sum(
            member.instance < own.instance
            and member.state < topics.MemberState.LEAVING
            for member in self._gossip.live_members(now)
        )


class DirectoryTask:
    """Reads and writes the directory object as the controller decides.

    Args:
        controller: Decisions.
        store: Client of the platform.
        random: Source of randomness for the backoff.
    """

    def __init__(
        self,
        controller: DirectoryController,
        store: client.ObjectStore,
        random: random_module.Random,
    ):
        self._controller = controller
        self._store = store
        self._random = random
        self._backoff_s = 0.0

    async def run(self, interval_s: float = 1.0) -> None:
        """Works until it is cancelled.

        Args:
            interval_s: Time between two decisions, in seconds.
        """
        while True:
            await self.step()
            await anyio.sleep(interval_s + self._backoff_s)

    async def step(self) -> None:
        """Takes one decision and makes the calls that it needs."""
        controller = self._controller
        if controller.needs_read(anyio.current_time()):
            reading = await self.read()
            if reading.is_err():
                return
        write = controller.next_write(anyio.current_time())
        if write is None:
            return
        answer = await self._store.update(
            controller.key, write.value, write.expected_version
        )
        now = anyio.current_time()
        if answer.is_ok():
            self._note_answer(True)
            written = Directory.model_validate_json(write.value)
            controller.note_read(written, answer.ok_value, now)
            return
        # After a lost answer the object is read back before anything is
        # repeated; after a conflict somebody else's version is read.
        controller.note_uncertain()
        is_conflict = isinstance(answer.err_value, errors.StoreConflict)
        self._note_answer(is_conflict)
        await self.read()

    async def read(
        self,
    ) -> result.Result[Directory | None, errors.StoreUnavailable]:
        """Reads the own directory, for example to join at the start."""
        answer = await self._store.read(self._controller.key)
        self._note_answer(answer.is_ok())
        if answer.is_err():
            return answer
        now = anyio.current_time()
        found = answer.ok_value
        if found is None:
            self._controller.note_read(None, 0, now)
            return result.Ok(None)
        parsed = parse_directory(found)
        if parsed.is_err():
            self._controller.note_read(None, found.version, now)
            return result.Ok(None)
        self._controller.note_read(parsed.ok_value, found.version, now)
        return result.Ok(parsed.ok_value)

    def _note_answer(self, answered: bool) -> None:
        """Backs off while the platform is away, with jitter."""
        if answered:
            self._backoff_s = 0.0
            return
        base_s = min(max(self._backoff_s * 2, 1.0), _MAX_BACKOFF_S)
        self._backoff_s = base_s * self._random.uniform(0.5, 1.0)


def _entry(member: topics.Member) -> DirectoryEntry:
    return DirectoryEntry(
        instance=member.instance,
        incarnation=member.incarnation,
        host=member.host,
        peer_port=member.peer_port,
        gossip_port=member.gossip_port,
        failure_domain=member.failure_domain,
    )


async def read_directory(
    store: client.ObjectStore, service: str
) -> result.Result[
    Directory | None, errors.StoreUnavailable | errors.InvalidInput
]:
    """Reads the directory of a service that this node calls.

    Args:
        store: Client of the platform.
        service: Name of the called service.

    Returns:
        The directory, or None if there is none yet.
    """
    answer = await store.read(f"directory/{service}")
    if answer.is_err() or answer.ok_value is None:
        return answer
    return parse_directory(answer.ok_value)
