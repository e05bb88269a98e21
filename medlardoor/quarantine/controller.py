"""Attribution of upstream crashes to the requests that cause them."""

import dataclasses
import random as random_module

import result

from medlardoor import errors
from medlardoor.blackboard import board as board_module
from medlardoor.quarantine import answers, fingerprints, handover, objects
from medlardoor.quarantine import settings as settings_module
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["Allowed", "QuarantineController", "Quarantined", "Suspect"]

# Longest list that `wire.codec` decodes. A report of more than 64 fingerprints
# does not fit in a datagram and is sent as a control request to the peer
# listener.
MAX_REPORTED_FINGERPRINTS = 256

# Number of ids kept to detect resent crash reports. Reports are resent within
# seconds; 1,024 ids cover a crash of every node of a large service.
MAX_CRASH_IDS = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class Allowed:
    """The request is not suspect."""


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """The request may have crashed an upstream.

    Attributes:
        may_start: False while another suspect runs on this node.
    """

    may_start: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """The request has crashed upstreams and is refused.

    Attributes:
        refusal: Refusal to return to the caller.
    """

    refusal: errors.Refusal


class QuarantineController:
    """Attributes crashes to requests; writes the topic `quarantine`.

    A crash is attributed to the suspects in flight, or to all fingerprints in
    flight if none of them is suspect. Suspects run one at a time on a node, so
    a second crash by the same request is attributed to that request alone.
    Crashes at the same moment count once for a request that has run well,
    unless it was the only one in flight.

    Args:
        settings: Limits and durations.
        board: Blackboard of the node.
        random: Seeded source of crash ids.
    """

    def __init__(
        self,
        settings: settings_module.QuarantineSettings,
        board: board_module.Blackboard,
        random: random_module.Random,
    ):
        self._settings = settings
        self._board = board
        self._topic = board.quarantine
        self._random = random
        self._suspected_at: dict[bytes, float] = {}
        self._in_flight: dict[int, bytes] = {}
        self._answered = answers.AnsweredRequests()
        self._crash_ids: dict[int, None] = {}
        # Ended quarantines, with the time in seconds from which on a platform
        # object may renew them. An outdated object must not do so earlier.
        self._renewable_at: dict[bytes, float] = {}
        self._revision = 0

    @property
    def revision(self) -> int:
        """Number that grows with each change of the quarantined set."""
        return self._revision

    @property
    def answered(self) -> answers.AnsweredRequests:
        """Sample of the requests that upstreams have answered."""
        return self._answered

    @property
    def has_suspect_in_flight(self) -> bool:
        """Whether a suspect is running on this node."""
        suspects = self._topic.suspects
        return any(f in suspects for f in self._in_flight.values())

    def check(
        self, fingerprint: bytes, now: float
    ) -> Allowed | Suspect | Quarantined:
        """Decides whether a request may start.

        Args:
            fingerprint: Fingerprint of the request.
            now: Local clock, in seconds.
        """
        # Ended entries are only removed by `expire`: it visits all entries and
        # is therefore kept off the request path.
        if self._topic.quarantined.get(fingerprint, now) > now:
            return Quarantined(
                errors.Refusal(
                    errors.Outcome.NOT_RUN,
                    errors.Reason.QUARANTINED,
                    "Requests like this one have crashed upstreams.",
                )
            )
        suspected_at = self._suspected_at.get(fingerprint)
        if suspected_at is None:
            return Allowed()
        if now - suspected_at < self._settings.suspicion_s:
            return Suspect(not self.has_suspect_in_flight)
        return Allowed()

    def started(self, call_id: int, fingerprint: bytes, now: float) -> None:
        """Records that a request was dispatched to the upstream."""
        self._in_flight[call_id] = fingerprint

    def finished(
        self, call_id: int, is_success: bool, now: float
    ) -> ttypes.QuarantineUpdate | None:
        """Records that a request is no longer running on the upstream.

        Args:
            call_id: Identifier that was passed to `started`.
            is_success: Whether the upstream gave a complete response.
            now: Local clock, in seconds.

        Returns:
            The update to push to all nodes of the service if a suspect was
            cleared; None otherwise.
        """
        fingerprint = self._in_flight.pop(call_id, None)
        if not is_success or fingerprint is None:
            return None
        self._answered.record(fingerprint, now)
        if fingerprint not in self._topic.suspects:
            return None
        self._clear_suspicion(fingerprint)
        return ttypes.QuarantineUpdate(
            self._board.service, quarantined=[], cleared=[fingerprint]
        )

    def upstream_crashed(self, now: float) -> ttypes.CrashReport | None:
        """Attributes a crash of the local upstream to requests in flight.

        All calls in flight are removed; a later `finished` for one of them has
        no effect.

        Returns:
            The report to push to all nodes of the service, or None if nothing
            was in flight.
        """
        self.expire(now)
        # Latest start first: a crash usually follows shortly after the start of
        # the request that causes it.
        in_flight = list(dict.fromkeys(reversed(self._in_flight.values())))
        self._in_flight.clear()
        suspects = [f for f in in_flight if f in self._topic.suspects]
        attributed = suspects or in_flight
        if not attributed:
            return None
        report = ttypes.CrashReport(
            self._board.service,
            self._board.instance,
            self._random.getrandbits(63),
            attributed[:MAX_REPORTED_FINGERPRINTS],
        )
        self._record_crash_id(report.crash_id)
        self._attribute_crash(attributed, now)
        return report

    def receive_crash_report(
        self, report: ttypes.CrashReport, now: float
    ) -> bool:
        """Counts a reported crash unless it was already counted.

        Returns:
            Whether the report was new and from this node's service.
        """
        if report.service_name != self._board.service:
            return False
        if report.crash_id in self._crash_ids:
            return False
        self._record_crash_id(report.crash_id)
        self._attribute_crash(
            fingerprints.well_formed(report.fingerprints), now
        )
        return True

    def receive_update(
        self, update: ttypes.QuarantineUpdate, now: float
    ) -> bool:
        """Applies the update of another node of the service.

        An update can clear a suspicion but cannot end a quarantine.

        Returns:
            Whether the update was from this node's service.
        """
        if update.service_name != self._board.service:
            return False
        for fingerprint in fingerprints.well_formed(update.cleared):
            self._clear_suspicion(fingerprint)
        if update.remaining_ms is not None:
            self.expire(now)
            for fingerprint, left_s in handover.valid_quarantines(update):
                self._take_over(fingerprint, left_s, now)
            for suspicion in handover.valid_suspicions(update):
                self._take_over_suspicion(suspicion, now)
            for crash_id in update.crash_ids or []:
                self._record_crash_id(crash_id)
            return True
        for fingerprint in fingerprints.well_formed(update.quarantined):
            if fingerprint not in self._topic.quarantined:
                self._quarantine(fingerprint, self._settings.quarantine_s, now)
        return True

    def to_update(self, now: float) -> ttypes.QuarantineUpdate | None:
        """Returns what a node that may have just started must know.

        Args:
            now: Local clock, in seconds.

        Returns:
            All quarantines and suspicions; None if there are none.
        """
        self.expire(now)
        return handover.make_update(
            self._board, self._suspected_at, self._crash_ids, now
        )

    def expire(self, now: float) -> None:
        """Removes suspicions and quarantines that have ended.

        Args:
            now: Local clock, in seconds.
        """
        oldest = now - self._settings.suspicion_s
        for fingerprint, suspected_at in list(self._suspected_at.items()):
            if suspected_at <= oldest:
                self._clear_suspicion(fingerprint)
        for fingerprint, end in list(self._topic.quarantined.items()):
            if end <= now:
                del self._topic.quarantined[fingerprint]
                self._renewable_at[fingerprint] = (
                    now + self._settings.quarantine_s
                )
                self._revision += 1
        for fingerprint, end in list(self._renewable_at.items()):
            if end <= now:
                del self._renewable_at[fingerprint]

    def to_object(self, now: float) -> bytes:
        """Returns the value of the platform object ``quarantine/<service>``."""
        self.expire(now)
        return objects.encode(self._topic.quarantined, now)

    def merge_object(
        self, value: bytes, now: float
    ) -> result.Result[int, errors.InvalidInput]:
        """Adds the quarantines of a platform object that this node lacks.

        The age of the object is unknown. An existing quarantine therefore
        keeps its end, and a quarantine that has ended on this node is not
        renewed.

        Args:
            value: Value of the platform object.
            now: Local clock, in seconds.

        Returns:
            Number of added quarantines, or the faults of the object.
        """
        parsed = objects.parse(value)
        if parsed.is_err():
            return parsed
        self.expire(now)
        remaining = parsed.unwrap().remaining_s
        added = sum(
            self._take_over(bytes.fromhex(fingerprint_hex), left_s, now)
            for fingerprint_hex, left_s in remaining.items()
        )
        return result.Ok(added)

    def is_covered_by(self, value: bytes, now: float) -> bool:
        """Whether an object contains all quarantined fingerprints.

        Args:
            value: Value of the platform object; empty if there is no object.
            now: Local clock, in seconds.
        """
        self.expire(now)
        return objects.covers(value, self._topic.quarantined)

    def _take_over(
        self, fingerprint: bytes, remaining_s: float, now: float
    ) -> bool:
        """Adds a quarantine unless it is known, or has ended on this node.

        Two nodes that tell each other would renew it for ever otherwise.

        Returns:
            Whether it was added.
        """
        if (
            fingerprint in self._topic.quarantined
            or fingerprint in self._renewable_at
            or remaining_s <= 0
        ):
            return False
        duration_s = min(remaining_s, self._settings.quarantine_s)
        self._quarantine(fingerprint, duration_s, now)
        return True

    def _take_over_suspicion(
        self, suspicion: ttypes.Suspicion, now: float
    ) -> None:
        """Adds a suspicion or the crashes that this node has not counted."""
        fingerprint = suspicion.fingerprint
        counted_at = now - suspicion.age_ms / 1_000
        if (
            fingerprint in self._topic.quarantined
            or now - counted_at >= self._settings.suspicion_s
        ):
            return
        self._topic.suspects[fingerprint] = max(
            self._topic.suspects.get(fingerprint, 0),
            min(suspicion.crashes, self._settings.max_crashes - 1),
        )
        self._suspected_at[fingerprint] = max(
            self._suspected_at.get(fingerprint, counted_at), counted_at
        )
        self._evict_suspects()

    def _record_crash_id(self, crash_id: int) -> None:
        self._crash_ids[crash_id] = None
        while len(self._crash_ids) > MAX_CRASH_IDS:
            del self._crash_ids[next(iter(self._crash_ids))]

    def _attribute_crash(self, attributed: list[bytes], now: float) -> None:
        for fingerprint in attributed:
            if len(attributed) == 1 or self._answered.is_new_evidence(
                fingerprint, self._suspected_at.get(fingerprint), now
            ):
                self._add_crash(fingerprint, now)
        self._evict_suspects()

    def _add_crash(self, fingerprint: bytes, now: float) -> None:
        if fingerprint in self._topic.quarantined:
            return
        crashes = self._topic.suspects.get(fingerprint, 0) + 1
        if crashes >= self._settings.max_crashes:
            self._quarantine(fingerprint, self._settings.quarantine_s, now)
            return
        self._topic.suspects[fingerprint] = crashes
        self._suspected_at[fingerprint] = now

    def _quarantine(
        self, fingerprint: bytes, duration_s: float, now: float
    ) -> None:
        self._clear_suspicion(fingerprint)
        self._renewable_at.pop(fingerprint, None)
        quarantined = self._topic.quarantined
        quarantined[fingerprint] = now + duration_s
        if len(quarantined) > self._settings.max_suspects:
            del quarantined[min(quarantined, key=quarantined.get)]
        self._revision += 1

    def _clear_suspicion(self, fingerprint: bytes) -> None:
        self._topic.suspects.pop(fingerprint, None)
        self._suspected_at.pop(fingerprint, None)

    def _evict_suspects(self) -> None:
        """Evicts excess suspects: fewest crashes first, then oldest first."""
        suspects = self._topic.suspects
        excess = len(suspects) - self._settings.max_suspects
        if excess <= 0:
            return
        by_crash_count = sorted(
            suspects, key=lambda f: (suspects[f], self._suspected_at[f])
        )
        for fingerprint in by_crash_count[:excess]:
            self._clear_suspicion(fingerprint)
