"""Discovery of nodes and persistent node state in the platform's store."""

import collections.abc
import ipaddress
import random

import anyio
import logbook
import pydantic

from medlardoor import errors, logs
from medlardoor.membership import departures as departures_module
from medlardoor.membership import neighbours
from medlardoor.mesh import settings as settings_module
from medlardoor.mesh import supervision
from medlardoor.store import client
from medlardoor.wire import ranges

__all__ = ["InstanceObject", "Presence"]

_LOG = logbook.Logger("presence")

INSTANCE_KEY_PREFIX = "instances/"

# Intervals between two reads of the list of nodes, in seconds. Status messages
# on links carry new addresses; the list only adds nodes that they have missed.
# It is read less often while enough linked nodes watch the store, and more
# often without an open link.
LIST_INTERVAL_S = 20.0
COVERED_LIST_INTERVAL_S = 300.0
ISOLATED_LIST_INTERVAL_S = 2.0

# Entries that the nodes of the whole fleet verify per second after a return of
# the store. Each takes a read, and a write if it was lost; the smallest store
# in use serves 400 writes per second.
VERIFICATIONS_PER_S = 100

MIN_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 1.0


class StoredDeparture(pydantic.BaseModel):
    """Departure of an upstream, as in `departures.Departure`."""

    model_config = pydantic.ConfigDict(extra="ignore", strict=True)

    upstream_id: str
    born_ms: int = pydantic.Field(ge=0, le=ranges.MAX_SEQUENCE)


class InstanceObject(pydantic.BaseModel):
    """Stored object of a node.

    Attributes:
        host: IP address of the node.
        port: TCP port of its link listener.
        service: Service of its upstream.
        failure_domain: Failure domain of the instance.
        left_id: Last upstream whose departure the node has acknowledged. Nodes
            of earlier builds know of this one only.
        left_born_ms: Start of that upstream, in milliseconds of Unix time; 0
            if unknown.
        departures: Departures that the node has acknowledged, the last one
            last.
    """

    model_config = pydantic.ConfigDict(extra="ignore", strict=True)

    host: str
    port: int = pydantic.Field(ge=1, le=65_535)
    service: str
    failure_domain: str
    left_id: str = ""
    left_born_ms: int = pydantic.Field(default=0, ge=0, le=ranges.MAX_SEQUENCE)
    departures: list[StoredDeparture] = []

    def all_departures(self) -> departures_module.DepartureList:
        """Returns the departures, also one that an earlier build has stored."""
        found = _new_departures()
        for item in self.departures:
            found.add(
                departures_module.Departure(item.upstream_id, item.born_ms)
            )
        if self.left_id:
            found.add(
                departures_module.Departure(self.left_id, self.left_born_ms)
            )
        return found

    @pydantic.field_validator("host")
    @classmethod
    def _is_address(cls, value: str) -> str:
        ipaddress.ip_address(value)
        return value


class Presence:
    """Writes the object of this node and reads those of other nodes.

    Args:
        settings: Settings of the node.
        store: The platform's store.
        record_node: Called with each other node in the store and its address.
        restore_departure: Called with the identifier and the start time of an
            upstream whose departure an earlier process of this node has
            acknowledged.
        has_open_link: Returns whether a link to another node is open.
        is_covered: Returns whether enough nodes that watch the store are
            linked, so that this node learns of new nodes from them.
        count_nodes: Returns the number of known nodes, including this one.
        generator: Random number generator for the jitter of pauses.
    """

    def __init__(
        self,
        settings: settings_module.MeshSettings,
        store: client.ObjectStore,
        record_node: collections.abc.Callable[
            [neighbours.KnownNode, settings_module.Address], None
        ],
        restore_departure: collections.abc.Callable[[str, int], None],
        has_open_link: collections.abc.Callable[[], bool],
        is_covered: collections.abc.Callable[[], bool],
        count_nodes: collections.abc.Callable[[], int],
        generator: random.Random,
    ):
        self._store = store
        self._record_node = record_node
        self._restore_departure = restore_departure
        self._has_open_link = has_open_link
        self._is_covered = is_covered
        self._count_nodes = count_nodes
        self._generator = generator
        self._instance = settings.instance
        self._key = INSTANCE_KEY_PREFIX + settings.instance
        address = settings.advertised_address
        self._desired = InstanceObject(
            host=address.host,
            port=address.port,
            service=settings.service,
            failure_domain=settings.failure_domain,
        )
        self._departures = _new_departures()
        self._last_written: InstanceObject | None = None
        self._version = 0
        self._changed = anyio.Event()
        self._has_listed = False
        self._has_read_own = False
        self._was_registered = False
        self._has_tried_to_write = False
        self._must_verify = False
        self._is_removed = False

    @property
    def has_read_own(self) -> bool:
        """Whether the object of an earlier process has been taken over."""
        return self._has_read_own

    @property
    def was_registered(self) -> bool:
        """Whether an earlier process of this instance had stored its object.

        The instances that started together with the first one are then in the
        list too, so it is complete.
        """
        return self._was_registered

    @property
    def has_listed(self) -> bool:
        """Whether the objects of other nodes were read at least once."""
        return self._has_listed

    def record_departure(self, upstream_id: str, born_ms: int) -> None:
        """Stores the announced departure of an upstream.

        Args:
            upstream_id: Identifier of the upstream.
            born_ms: Start of the upstream, in milliseconds of Unix time.
        """
        self._departures.add(departures_module.Departure(upstream_id, born_ms))
        self._update_departures()
        self._wake()

    def _update_departures(self) -> None:
        """Takes the known departures into the object to be stored."""
        found = list(self._departures)
        if not found:
            return
        self._desired = self._desired.model_copy(
            update={
                "left_id": found[-1].upstream_id,
                "left_born_ms": found[-1].born_ms,
                "departures": [
                    StoredDeparture(
                        upstream_id=item.upstream_id, born_ms=item.born_ms
                    )
                    for item in found
                ],
            }
        )

    def verify(self) -> None:
        """Has the stored object verified, and written again if it was lost.

        Called when the store has returned from an older copy.
        """
        self._must_verify = True
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def run(self) -> None:
        """Maintains the object of this node and reads the others."""
        async with anyio.create_task_group() as group:
            for task in (self._keep_own, self._keep_listing):
                group.start_soon(supervision.keep_running, task)

    async def _keep_own(self) -> None:
        # The first write succeeds only if there is no object yet. Otherwise the
        # object of an earlier process is read and merged into the new one.
        while True:
            changed = self._changed
            await self._retry_until_done(self._write_own)
            self._has_read_own = True
            await changed.wait()
            if self._must_verify:
                await self._wait_for_turn()
                self._must_verify = False
                await self._retry_until_done(self._read_own)

    async def _wait_for_turn(self) -> None:
        """Spreads the verifications of the fleet over time.

        A departure is stored at once.
        """
        longest_s = self._count_nodes() / VERIFICATIONS_PER_S
        with anyio.move_on_after(self._generator.uniform(0.0, longest_s)):
            await self._changed.wait()

    async def _keep_listing(self) -> None:
        while True:
            await self._retry_until_done(self._list_others)
            wait_s = (
                LIST_INTERVAL_S
                if self._has_open_link()
                else ISOLATED_LIST_INTERVAL_S
            )
            if self._is_covered():
                wait_s = COVERED_LIST_INTERVAL_S
            await anyio.sleep(wait_s * self._generator.uniform(0.8, 1.2))

    async def remove(self) -> None:
        """Deletes the object of this node when the instance is removed."""
        self._is_removed = True
        await self._store.delete(self._key)

    async def _retry_until_done(
        self,
        step: collections.abc.Callable[[], collections.abc.Awaitable[bool]],
    ) -> None:
        pause_s = MIN_RETRY_PAUSE_S
        while not await step():
            await anyio.sleep(pause_s * self._generator.uniform(0.7, 1.3))
            pause_s = min(MAX_RETRY_PAUSE_S, pause_s * 2)

    async def _read_own(self) -> bool:
        read = await self._store.read(self._key)
        if read.is_err():
            return False
        stored = read.ok_value
        if stored is None:
            self._version = 0
            self._last_written = None
            return True
        self._version = stored.version
        known = self._last_written = _parse(stored)
        if known is not None:
            self._take_over(known.all_departures())
        return True

    def _take_over(self, stored: departures_module.DepartureList) -> None:
        """Adds stored departures before those that this process recorded."""
        merged = _new_departures()
        for departure in stored:
            self._restore_departure(departure.upstream_id, departure.born_ms)
            merged.add(departure)
        for departure in self._departures:
            merged.add(departure)
        self._departures = merged
        self._update_departures()

    async def _write_own(self) -> bool:
        desired = self._desired
        if self._is_removed or desired == self._last_written:
            return True
        value = desired.model_dump_json().encode()
        updated = await self._store.update(self._key, value, self._version)
        if not self._has_tried_to_write:
            # A later conflict may come from a write whose answer was lost.
            self._has_tried_to_write = True
            self._was_registered = updated.is_err() and isinstance(
                updated.err_value, errors.StoreConflict
            )
        if updated.is_ok():
            self._version = updated.ok_value
            self._last_written = desired
            return True
        # The write may have been applied, or an earlier process wrote last.
        await self._read_own()
        return self._desired == self._last_written

    async def _list_others(self) -> bool:
        listed = await self._store.list(INSTANCE_KEY_PREFIX)
        if listed.is_err():
            return False
        for stored in listed.ok_value:
            known = _parse(stored)
            if known is not None:
                node = neighbours.KnownNode(
                    stored.key.removeprefix(INSTANCE_KEY_PREFIX),
                    known.service,
                    known.failure_domain,
                )
                address = settings_module.Address(known.host, known.port)
                self._record_node(node, address)
        self._has_listed = True
        return True


def _new_departures() -> departures_module.DepartureList:
    return departures_module.DepartureList(
        departures_module.MAX_TOLD_DEPARTURES
    )


def _parse(stored: client.StoredObject) -> InstanceObject | None:
    """Parses the stored object of a node; None if it is invalid."""
    try:
        return InstanceObject.model_validate_json(stored.value)
    except pydantic.ValidationError as error:
        logs.log_event(
            _LOG,
            logbook.WARNING,
            "instance_object_invalid",
            key=stored.key,
            faults=error.error_count(),
        )
        return None
