"""Attribution of upstream crashes to requests."""

import collections.abc
import dataclasses
import itertools

import logbook

from medlardoor import logs
from medlardoor.blackboard import board as board_module
from medlardoor.mesh import runs
from medlardoor.quarantine import controller as quarantine_module
from medlardoor.quarantine import fingerprints
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["CrashTracker"]

_LOG = logbook.Logger("crashes")

# A request whose connection broke counts as in flight at a crash if the
# upstream is found to have terminated within this time, in seconds.
CRASH_WINDOW_S = 1.0

# Number of crashes from which suspect requests run one at a time. A crash makes
# all requests in flight suspect, so a single crash is too weak a reason.
MIN_CRASHES_TO_SERIALIZE = 2


@dataclasses.dataclass(slots=True, eq=False)
class _InFlight:
    """A request in flight, and when its connection broke, in seconds."""

    run: runs.Run
    broken_at: float | None = None


class CrashTracker:
    """Reports the requests in flight at a crash to the quarantine.

    Fingerprints are computed only after a crash, while there are suspects, and
    for a sample of the answered requests, since they cost more than the rest of
    the bookkeeping.

    Args:
        quarantine: Decides which requests are suspect or quarantined.
        board: Blackboard; the topic ``quarantine`` is read.
        publish: Sends a frame to all nodes.
    """

    def __init__(
        self,
        quarantine: quarantine_module.QuarantineController,
        board: board_module.Blackboard,
        publish: collections.abc.Callable[[ttypes.Frame], None],
    ):
        self._quarantine = quarantine
        self._topic = board.quarantine
        self._publish = publish
        self._in_flight: dict[object, _InFlight] = {}
        self._call_ids = itertools.count(1)

    def may_start(self, run: runs.Run, now: float) -> bool:
        """Whether a request may be sent to the upstream.

        Args:
            run: The request.
            now: Current time, in seconds.
        """
        topic = self._topic
        if not topic.quarantined and not topic.suspects:
            return True
        fingerprint = _fingerprint(run)
        verdict = self._quarantine.check(fingerprint, now)
        if isinstance(verdict, quarantine_module.Quarantined):
            return False
        if topic.suspects.get(fingerprint, 0) < MIN_CRASHES_TO_SERIALIZE:
            return True
        return not any(
            topic.suspects.get(_fingerprint(entry.run), 0)
            >= MIN_CRASHES_TO_SERIALIZE
            for entry in self._in_flight.values()
        )

    def started(self, key: object, run: runs.Run, now: float) -> None:
        """Records that a request is being sent.

        Args:
            key: Identifies the run.
            run: The request.
            now: Current time, in seconds.
        """
        self._in_flight[key] = _InFlight(run)

    def finished(
        self, key: object, has_run: bool, is_broken: bool, now: float
    ) -> None:
        """Records that a run has ended.

        Args:
            key: Identifies the run.
            has_run: Whether a complete response was received that was not a
                rejection; an upstream that sheds a request proves nothing.
            is_broken: Whether the exchange ended without a response.
            now: Current time, in seconds.
        """
        if is_broken:
            entry = self._in_flight.get(key)
            if entry is not None:
                entry.broken_at = now
            return
        entry = self._in_flight.pop(key, None)
        if entry is None or not has_run:
            return
        answered = self._quarantine.answered
        if not self._topic.suspects and not answered.is_sample_due(now):
            return
        fingerprint = _fingerprint(entry.run)
        if fingerprint not in self._topic.suspects:
            if answered.is_sample_due(now):
                answered.record(fingerprint, now)
            return
        call_id = next(self._call_ids)
        self._quarantine.started(call_id, fingerprint, now)
        update = self._quarantine.finished(call_id, True, now)
        if update is not None:
            self._publish(ttypes.Frame(quarantine_update=update))

    def upstream_terminated(self, now: float) -> None:
        """Records that the upstream terminated without a planned stop."""
        entries = self._in_flight
        self._in_flight = {}
        suspect_count = 0
        for entry in entries.values():
            if (
                entry.broken_at is None
                or now - entry.broken_at <= CRASH_WINDOW_S
            ):
                self._quarantine.started(
                    next(self._call_ids), _fingerprint(entry.run), now
                )
                suspect_count += 1
        if not suspect_count:
            return
        report = self._quarantine.upstream_crashed(now)
        logs.log_event(
            _LOG, logbook.WARNING, "upstream_crashed", in_flight=suspect_count
        )
        if report is not None:
            self._publish(ttypes.Frame(crash_report=report))

    def make_handover(self, now: float) -> ttypes.Frame | None:
        """Returns what a node that has just started must know.

        Args:
            now: Current time, in seconds.

        Returns:
            The suspicions and quarantines of the service; None if there are
            none.
        """
        update = self._quarantine.to_update(now)
        if update is None:
            return None
        return ttypes.Frame(quarantine_update=update)

    def receive_report(self, report: ttypes.CrashReport, now: float) -> None:
        """Processes a crash report from another node."""
        self._quarantine.receive_crash_report(report, now)

    def receive_update(
        self, update: ttypes.QuarantineUpdate, now: float
    ) -> None:
        """Applies a quarantine update from another node."""
        self._quarantine.receive_update(update, now)

    def tick(self, now: float) -> None:
        """Discards broken connections that no crash followed in time."""
        oldest = now - CRASH_WINDOW_S
        expired = [
            key
            for key, entry in self._in_flight.items()
            if entry.broken_at is not None and entry.broken_at < oldest
        ]
        for key in expired:
            del self._in_flight[key]


def _fingerprint(run: runs.Run) -> bytes:
    return fingerprints.fingerprint(
        run.service, run.method.decode(), run.target.decode("latin-1"), run.body
    )
