"""Attribution of upstream crashes to the requests that cause them."""

import collections
import dataclasses
import random as random_module

import result

from medlardoor import errors
from medlardoor.blackboard import board as board_module
from medlardoor.quarantine import fingerprints, objects
from medlardoor.quarantine import settings as settings_module
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["Allowed", "QuarantineController", "Quarantined", "Suspect"]

# Longest list that `wire.codec` decodes. Reports of more than 64 fingerprints
# exceed a datagram and travel as a control request on the peer listener.
MAX_REPORTED = 256

# Crash reports arrive once by push and perhaps again by resends within
# seconds; 1,024 ids cover a crash of every node of a large service.
MAX_CRASH_IDS = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class Allowed:
    """The request is not under suspicion."""


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """The request may have crashed an upstream.

    Attributes:
        may_start: False while another suspect runs on this node.
    """

    may_start: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """The request has crashed upstreams and is refused."""

    refusal: errors.Refusal


class QuarantineController:
    """Writes the topic `quarantine` of the blackboard.

    A crash blames the suspects in flight, or all fingerprints in flight if no
    suspect is among them. As suspects run one at a time per node, the second
    crash by the same request blames it alone.

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
        self._crash_ids: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        # Ended quarantines by the time until which an outdated platform
        # object must not renew them.
        self._ended: dict[bytes, float] = {}
        self._revision = 0

    @property
    def revision(self) -> int:
        """Grows when the set of quarantined fingerprints changes."""
        return self._revision

    @property
    def suspect_in_flight(self) -> bool:
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
        # Entries that are over stay until `expire`, which is not on the path
        # of a request because it visits all of them.
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
            return Suspect(not self.suspect_in_flight)
        return Allowed()

    def started(self, call_id: int, fingerprint: bytes, now: float) -> None:
        """Notes that a request was dispatched to the upstream."""
        self._in_flight[call_id] = fingerprint

    def finished(
        self, call_id: int, success: bool, now: float
    ) -> ttypes.QuarantineUpdate | None:
        """Notes that a request is no longer running on the upstream.

        Args:
            call_id: Call given to `started`.
            success: Whether the upstream gave a complete answer.
            now: Local clock, in seconds.

        Returns:
            The update to push to all nodes of the service if a suspect was
            cleared.
        """
        fingerprint = self._in_flight.pop(call_id, None)
        if not success or fingerprint not in self._topic.suspects:
            return None
        self._clear(fingerprint)
        return ttypes.QuarantineUpdate(
            self._board.service, quarantined=[], cleared=[fingerprint]
        )

    def upstream_crashed(self, now: float) -> ttypes.CrashReport | None:
        """Blames requests in flight for a crash of the local upstream.

        All calls in flight are forgotten; a later `finished` for one of them
        has no effect.

        Returns:
            The report to push to all nodes of the service, or None if nothing
            was in flight.
        """
        self.expire(now)
        # The latest start first: a crash usually follows it within moments.
        in_flight = list(dict.fromkeys(reversed(self._in_flight.values())))
        self._in_flight.clear()
        suspects = [f for f in in_flight if f in self._topic.suspects]
        blamed = suspects or in_flight
        if not blamed:
            return None
        report = ttypes.CrashReport(
            self._board.service,
            self._board.instance,
            self._random.getrandbits(63),
            blamed[:MAX_REPORTED],
        )
        self._remember_crash(report.crash_id)
        self._count_crash(blamed, now)
        return report

    def receive_crash_report(
        self, report: ttypes.CrashReport, now: float
    ) -> bool:
        """Counts a crash once, however often its report arrives.

        Returns:
            Whether the report was new and of the own service.
        """
        if report.service_name != self._board.service:
            return False
        if report.crash_id in self._crash_ids:
            return False
        self._remember_crash(report.crash_id)
        self._count_crash(_valid(report.fingerprints), now)
        return True

    def receive_update(
        self, update: ttypes.QuarantineUpdate, now: float
    ) -> bool:
        """Applies what another node of the service has decided.

        A cleared fingerprint loses its suspicion, never its quarantine.

        Returns:
            Whether the update was of the own service.
        """
        if update.service_name != self._board.service:
            return False
        for fingerprint in _valid(update.cleared):
            self._clear(fingerprint)
        for fingerprint in _valid(update.quarantined):
            if fingerprint not in self._topic.quarantined:
                self._quarantine(fingerprint, self._settings.quarantine_s, now)
        return True

    def expire(self, now: float) -> None:
        """Ends suspicions and quarantines that are over.

        Args:
            now: Local clock, in seconds.
        """
        oldest = now - self._settings.suspicion_s
        for fingerprint, at in list(self._suspected_at.items()):
            if at <= oldest:
                self._clear(fingerprint)
        for fingerprint, end in list(self._topic.quarantined.items()):
            if end <= now:
                del self._topic.quarantined[fingerprint]
                self._ended[fingerprint] = now + self._settings.quarantine_s
                self._revision += 1
        for fingerprint, end in list(self._ended.items()):
            if end <= now:
                del self._ended[fingerprint]

    def to_object(self, now: float) -> bytes:
        """Value of the platform object ``quarantine/<service>``."""
        self.expire(now)
        remaining = {
            fingerprint.hex(): round(end - now, 3)
            for fingerprint, end in self._topic.quarantined.items()
        }
        model = objects.QuarantineObject(remaining_s=remaining)
        return model.model_dump_json().encode()

    def merge_object(
        self, value: bytes, now: float
    ) -> result.Result[int, errors.InvalidInput]:
        """Adds quarantines that only the platform knows.

        The age of the object is not known. A known quarantine keeps its own
        end, and one that has ended here is not renewed.

        Args:
            value: Value of the platform object.
            now: Local clock, in seconds.

        Returns:
            Number of quarantines that were added.
        """
        parsed = objects.parse(value)
        if parsed.is_err():
            return parsed
        self.expire(now)
        added = 0
        for text, remaining_s in parsed.unwrap().remaining_s.items():
            fingerprint = bytes.fromhex(text)
            known = fingerprint in self._topic.quarantined
            if known or fingerprint in self._ended or remaining_s <= 0:
                continue
            duration = min(remaining_s, self._settings.quarantine_s)
            self._quarantine(fingerprint, duration, now)
            added += 1
        return result.Ok(added)

    def is_covered_by(self, value: bytes, now: float) -> bool:
        """Whether an object already holds all quarantined fingerprints.

        Args:
            value: Value of the platform object; empty if there is none.
            now: Local clock, in seconds.
        """
        self.expire(now)
        if not self._topic.quarantined:
            return True
        parsed = objects.parse(value)
        if parsed.is_err():
            return False
        stored = parsed.unwrap().remaining_s
        return all(f.hex() in stored for f in self._topic.quarantined)

    def _remember_crash(self, crash_id: int) -> None:
        self._crash_ids[crash_id] = None
        while len(self._crash_ids) > MAX_CRASH_IDS:
            self._crash_ids.popitem(last=False)

    def _count_crash(self, blamed: list[bytes], now: float) -> None:
        for fingerprint in blamed:
            self._blame(fingerprint, now)
        self._trim_suspects()

    def _blame(self, fingerprint: bytes, now: float) -> None:
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
        self._clear(fingerprint)
        self._ended.pop(fingerprint, None)
        quarantined = self._topic.quarantined
        quarantined[fingerprint] = now + duration_s
        if len(quarantined) > self._settings.max_suspects:
            del quarantined[min(quarantined, key=quarantined.get)]
        self._revision += 1

    def _clear(self, fingerprint: bytes) -> None:
        self._topic.suspects.pop(fingerprint, None)
        self._suspected_at.pop(fingerprint, None)

    def _trim_suspects(self) -> None:
        """Drops the least blamed, then the oldest suspects."""
        suspects = self._topic.suspects
        excess = len(suspects) - self._settings.max_suspects
        if excess <= 0:
            return
        by_weight = sorted(
            suspects, key=lambda f: (suspects[f], self._suspected_at[f])
        )
        for fingerprint in by_weight[:excess]:
            self._clear(fingerprint)


def _valid(values: list[bytes] | None) -> list[bytes]:
    """Fingerprints of the right length."""
    return [
        value
        for value in values or []
        if len(value) == fingerprints.FINGERPRINT_BYTES
    ]
