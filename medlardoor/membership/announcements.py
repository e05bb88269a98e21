"""State of the local upstream as announced by its heartbeats."""

import dataclasses
import enum

from medlardoor.membership import departures

__all__ = [
    "Announcement",
    "UpstreamChange",
    "UpstreamRegister",
]

# Upstreams that have left are kept to reject their late heartbeats. One address
# sees far fewer starts than this within the delay of a heartbeat.
MAX_LEFT_UPSTREAMS = 64

# Time for which a later start is not used after a response has said that the
# upstream leaves, in seconds. The response does not name its start, and a
# heartbeat sent before it can be delayed by seconds.
LEAVING_HOLD_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """One heartbeat of an upstream.

    Attributes:
        upstream_id: Identifier of the upstream.
        born_ms: Start of the upstream, in milliseconds of Unix time; 0 if not
            reported.
        sequence: Sequence number; increases with each heartbeat of one start.
        slots: Requests that the upstream can run concurrently.
        draining: Whether the upstream is about to stop.
        cold_s: Time for which the upstream is slow after its start, in seconds.
    """

    upstream_id: str
    born_ms: int
    sequence: int
    slots: int
    draining: bool
    cold_s: float = 0.0

    def is_same_start(self, other: "Announcement | None") -> bool:
        """Whether another heartbeat is of the same start of the upstream."""
        return (
            other is not None
            and self.upstream_id == other.upstream_id
            and self.born_ms == other.born_ms
        )


class UpstreamChange(enum.Enum):
    """Effect of an announcement on the state of the upstream.

    ``LEFT`` is the departure of an upstream that is not the one in use, as
    after a restart of the node. The one in use is not affected.
    """

    NONE = "none"
    LEFT = "left"
    STARTED = "started"
    RESTARTED = "restarted"
    LEAVING = "leaving"
    OUTDATED = "outdated"


class UpstreamRegister:
    """Tracks the state of the upstream beside the node.

    A heartbeat can be delayed by seconds and arrive after its sender has
    announced its departure, or after another start at the same address. Starts
    are ordered by their time, heartbeats of one start by their sequence number.
    After a departure, only a later start of the same upstream is accepted.
    """

    def __init__(self):
        self._current: Announcement | None = None
        self._is_leaving = False
        self._departures = departures.DepartureList(MAX_LEFT_UPSTREAMS)
        self._last_departure: departures.Departure | None = None
        self._cold_until = 0.0
        # Upstream that leaves as its responses say, until a message that names
        # its start, and when the hold on its later starts ends.
        self._held_id = ""
        self._held_until = 0.0

    @property
    def current(self) -> Announcement | None:
        """Last announcement of the upstream in use; None if there is none."""
        return self._current

    @property
    def is_leaving(self) -> bool:
        """Whether the upstream has announced that it stops."""
        return self._is_leaving

    @property
    def is_usable(self) -> bool:
        """Whether new requests may be sent to the upstream."""
        return self._current is not None and not self._is_leaving

    @property
    def last_departure(self) -> departures.Departure | None:
        """Departure that the last ``LEAVING`` or ``LEFT`` was about."""
        return self._last_departure

    def cold_s(self, now: float) -> float:
        """Time for which the upstream is still slow, in seconds."""
        return max(0.0, self._cold_until - now)

    def apply_heartbeat(
        self, announcement: Announcement, now: float
    ) -> UpstreamChange:
        """Applies a heartbeat.

        Args:
            announcement: The heartbeat.
            now: Current time, in seconds.
        """
        current = self._current
        if current is None:
            return self._start(announcement, now)
        if self._is_newer_start(announcement, current):
            change = self._start(announcement, now)
            return (
                UpstreamChange.RESTARTED
                if change is UpstreamChange.STARTED
                else change
            )
        if (
            announcement.upstream_id != current.upstream_id
            or announcement.born_ms < current.born_ms
            or announcement.sequence <= current.sequence
        ):
            return UpstreamChange.OUTDATED
        self._current = announcement
        if announcement.draining:
            self._held_id = ""
            if not self._is_leaving:
                return self._leave(current.born_ms)
        return UpstreamChange.NONE

    def deregister(self, upstream_id: str, born_ms: int) -> UpstreamChange:
        """Applies the announcement that an upstream stops.

        Args:
            upstream_id: Identifier of the upstream.
            born_ms: Start of the upstream, as in `Announcement`; the current
                time if the message has none.
        """
        current = self._current
        if current is None or current.upstream_id != upstream_id:
            is_new = self._record_departure(upstream_id, born_ms)
            return UpstreamChange.LEFT if is_new else UpstreamChange.OUTDATED
        if born_ms < current.born_ms:
            return UpstreamChange.OUTDATED
        self._held_id = ""
        # A start that has not been announced yet may leave, and be announced
        # by a late heartbeat after that.
        return self._leave(born_ms)

    def record_leaving(self, upstream_id: str, now: float) -> UpstreamChange:
        """Applies a response that says that its upstream leaves.

        Args:
            upstream_id: Identifier of the upstream.
            now: Current time, in seconds.
        """
        current = self._current
        if current is None or current.upstream_id != upstream_id:
            return UpstreamChange.OUTDATED
        if self._is_leaving:
            return UpstreamChange.NONE
        self._held_id = upstream_id
        self._held_until = now + LEAVING_HOLD_S
        return self._leave(current.born_ms)

    def restore_departure(self, upstream_id: str, born_ms: int) -> None:
        """Restores a departure that an earlier process of this node stored.

        Args:
            upstream_id: Upstream whose departure was acknowledged.
            born_ms: Its start, as in `Announcement`.
        """
        self._record_departure(upstream_id, born_ms)
        current = self._current
        if current is not None and self._has_left(current):
            self._is_leaving = True

    def record_replacement(self, upstream_id: str) -> None:
        """Records that another upstream answers at the address.

        Args:
            upstream_id: Upstream that it has replaced.
        """
        current = self._current
        if current is not None and current.upstream_id == upstream_id:
            self._record_departure(upstream_id, current.born_ms)
            self._current = None
            self._is_leaving = False

    def _start(self, announcement: Announcement, now: float) -> UpstreamChange:
        if self._has_left(announcement):
            return UpstreamChange.OUTDATED
        is_held = announcement.upstream_id == self._held_id
        if is_held and not announcement.draining and now < self._held_until:
            return UpstreamChange.OUTDATED
        self._held_id = ""
        self._current = announcement
        self._is_leaving = False
        self._cold_until = now + announcement.cold_s
        if announcement.draining:
            return self._leave(announcement.born_ms)
        return UpstreamChange.STARTED

    def _leave(self, born_ms: int) -> UpstreamChange:
        """Ends the use of the current upstream.

        Args:
            born_ms: Start that leaves: that of the current upstream or a later
                one under its identifier.
        """
        self._is_leaving = True
        is_new = self._record_departure(self._current.upstream_id, born_ms)
        return UpstreamChange.LEAVING if is_new else UpstreamChange.NONE

    def _is_newer_start(
        self, announcement: Announcement, current: Announcement
    ) -> bool:
        if announcement.born_ms != current.born_ms:
            return announcement.born_ms > current.born_ms
        # If the start times do not differ, another identifier is a new start
        # only after the current upstream has announced its departure.
        return (
            announcement.upstream_id != current.upstream_id and self._is_leaving
        )

    def _has_left(self, announcement: Announcement) -> bool:
        return self._departures.includes(
            announcement.upstream_id, announcement.born_ms
        )

    def _record_departure(self, upstream_id: str, born_ms: int) -> bool:
        """Records a departure; returns whether it was not known."""
        departure = departures.Departure(upstream_id, born_ms)
        is_new = self._departures.add(departure)
        if is_new:
            self._last_departure = departure
        return is_new
