"""The directory object of a service and the rules for writing it."""

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
# Delay before a write, for each live member with a lower id. A write takes
# milliseconds; a failure is detected after 6 s.
_WRITER_STAGGER_S = 3.0
# Interval at which the writer rereads the object, to correct one that is
# damaged or was rewritten by a partitioned member. 430 services make fewer than
# two of these reads a second.
_AUDIT_INTERVAL_S = 240.0
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
    """Conditional update that this node has to make now."""

    value: bytes
    expected_version: int


class DirectoryController:
    """Decides when and what this node writes to the directory object.

    The live member with the lowest id writes. Each member after it waits
    longer, so that a failed writer is replaced. Conditional updates make
    concurrent writes harmless.

    Args:
        settings: Minimum time between two writes.
        gossip_controller: Source of the live members; gets the members in the
            directory as seeds.
    """

    def __init__(
        self,
        settings: settings_module.GossipSettings,
        gossip_controller: gossip.GossipController,
    ):
        self._settings = settings
        self._gossip = gossip_controller
        self._stored: Directory | None = None
        self._version = 0
        self._is_read = False
        self._mismatch_since: float | None = None
        self._last_attempt_at = float("-inf")
        self._last_read_at = float("-inf")

    @property
    def key(self) -> str:
        """Key of the directory object."""
        return f"directory/{self._gossip.own.service}"

    @property
    def directory(self) -> Directory | None:
        """Directory as last read or written by this node."""
        return self._stored

    def record_read(
        self, directory: Directory | None, version: int, now: float
    ) -> None:
        """Records the stored directory and uses its members as seeds.

        Args:
            directory: Content; None if there is none or it is invalid.
            version: Version of the object, 0 if there is no object.
            now: Current time, in seconds.
        """
        self._last_read_at = now
        self._is_read = True
        self._stored = directory
        self._version = version
        if directory is not None:
            service = self._gossip.own.service
            self._gossip.add_seeds(service, directory.seeds(), now)

    def require_read(self) -> None:
        """Requires a read, after a write that conflicted or got no answer."""
        self._is_read = False

    def needs_read(self, now: float) -> bool:
        """Whether to read the object before the next decision.

        A node that does not have the lowest id does not see every write, so it
        checks whether one of its predecessors has written before it writes.
        """
        if self._gossip.needs_directory_read(self._gossip.own.service, now):
            return True
        if not self._may_write(now):
            return False
        if now - self._last_attempt_at < self._settings.directory_interval_s:
            return False
        if not self._is_read or now - self._last_read_at >= _AUDIT_INTERVAL_S:
            return True
        since = self._mismatch_since
        if since is None or self._writer_position(now) == 0:
            return False
        return self._last_read_at < since

    def next_write(self, now: float) -> DirectoryWrite | None:
        """Returns the update to make now; None if there is none.

        There is at most one update per `directory_interval_s`.

        Args:
            now: Current time, in seconds.
        """
        desired = self.desired(now)
        if not self._is_read or self._stored == desired:
            return None
        if not self._may_write(now):
            return None
        if now - self._last_attempt_at < self._settings.directory_interval_s:
            return None
        self._last_attempt_at = now
        value = desired.model_dump_json().encode()
        return DirectoryWrite(value, self._version)

    def desired(self, now: float) -> Directory:
        """Directory that lists the live members, the lowest ids first.

        A node without live peers may be partitioned, so it only adds itself to
        the stored entries.
        """
        own = self._gossip.own
        live = self._gossip.live_members(now)
        entries = {
            member.instance: _entry(member)
            for member in [*live, own]
            if member.state < topics.MemberState.LEAVING
        }
        if not live and self._stored is not None:
            for entry in self._stored.entries:
                entries.setdefault(entry.instance, entry)
        listed = sorted(entries.values(), key=lambda entry: entry.instance)
        return Directory(
            service=own.service, entries=tuple(listed[:MAX_ENTRIES])
        )

    def _may_write(self, now: float) -> bool:
        """Whether the members with lower ids have had time to write."""
        if self._gossip.own.state >= topics.MemberState.LEAVING:
            return False
        if self._is_read and self._stored == self.desired(now):
            # Only the member with the lowest id audits an object that matches.
            self._mismatch_since = None
            return self._writer_position(now) == 0
        if self._mismatch_since is None:
            self._mismatch_since = now
        waited_s = now - self._mismatch_since
        return waited_s >= self._writer_position(now) * _WRITER_STAGGER_S

    def _writer_position(self, now: float) -> int:
        """Number of live members with a lower id, which write first."""
        own = self._gossip.own
        return sum(
            member.instance < own.instance
            and member.state < topics.MemberState.LEAVING
            for member in self._gossip.live_members(now)
        )


class DirectoryTask:
    """Reads and writes the directory object as the controller decides.

    Args:
        controller: Decides about reads and writes.
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
        """Runs until cancelled.

        Args:
            interval_s: Time between two decisions, in seconds.
        """
        while True:
            await self.step()
            await anyio.sleep(interval_s + self._backoff_s)

    async def step(self) -> None:
        """Makes one decision and the platform calls that it requires."""
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
            self._update_backoff(True)
            written = Directory.model_validate_json(write.value)
            controller.record_read(written, answer.ok_value, now)
            return
        # Read the object before any retry: after a lost answer the write may
        # have succeeded, and after a conflict another node has written.
        controller.require_read()
        is_conflict = isinstance(answer.err_value, errors.StoreConflict)
        self._update_backoff(is_conflict)
        await self.read()

    async def read(
        self,
    ) -> result.Result[Directory | None, errors.StoreUnavailable]:
        """Reads the directory of the own service, for example to join.

        Returns:
            The directory; None if there is none or its content is invalid.
        """
        answer = await self._store.read(self._controller.key)
        self._update_backoff(answer.is_ok())
        if answer.is_err():
            return answer
        now = anyio.current_time()
        found = answer.ok_value
        if found is None:
            self._controller.record_read(None, 0, now)
            return result.Ok(None)
        parsed = parse_directory(found)
        if parsed.is_err():
            self._controller.record_read(None, found.version, now)
            return result.Ok(None)
        self._controller.record_read(parsed.ok_value, found.version, now)
        return result.Ok(parsed.ok_value)

    def _update_backoff(self, answered: bool) -> None:
        """Raises the delay while the platform is unavailable, with jitter."""
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
    """Reads the directory of a called service.

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
