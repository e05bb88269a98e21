"""What nodes tell a node of their service that may have just started."""

from collections import abc

from medlardoor.blackboard import board as board_module
from medlardoor.quarantine import fingerprints
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["make_update", "valid_quarantines", "valid_suspicions"]

# Longest list that `wire.codec` decodes.
MAX_QUARANTINES = 256

# A node that starts is told by each node of its service. 64 suspicions are
# those of a crash with 64 requests in flight, and take less than 2 KB.
MAX_SUSPICIONS = 64
MAX_CRASH_IDS = 64


def make_update(
    board: board_module.Blackboard,
    suspected_at: abc.Mapping[bytes, float],
    crash_ids: abc.Collection[int],
    now: float,
) -> ttypes.QuarantineUpdate | None:
    """Returns the quarantines and suspicions, with the time of each.

    Quarantines that last longest, and suspects with most crashes, come first if
    there are too many.

    Args:
        board: Blackboard; the topic `quarantine` is read.
        suspected_at: Time of the last crash of each suspect, in seconds.
        crash_ids: Identifiers of the crashes that were counted, oldest first.
        now: Clock of the times, in seconds.

    Returns:
        The update; None if there is nothing to tell.
    """
    topic = board.quarantine
    if not topic.quarantined and not topic.suspects:
        return None
    ends = sorted(topic.quarantined.items(), key=lambda entry: -entry[1])
    ends = ends[:MAX_QUARANTINES]
    suspects = sorted(
        topic.suspects.items(),
        key=lambda entry: (-entry[1], -suspected_at[entry[0]]),
    )
    # A crash that is reported to the receiver again must not count twice.
    newest_ids = list(crash_ids)[-MAX_CRASH_IDS:] if suspects else []
    return ttypes.QuarantineUpdate(
        board.service,
        quarantined=[fingerprint for fingerprint, _ in ends],
        cleared=[],
        remaining_ms=[int((end - now) * 1_000) for _, end in ends],
        suspects=[
            ttypes.Suspicion(
                fingerprint,
                crashes,
                int((now - suspected_at[fingerprint]) * 1_000),
            )
            for fingerprint, crashes in suspects[:MAX_SUSPICIONS]
        ],
        crash_ids=newest_ids,
    )


def valid_quarantines(
    update: ttypes.QuarantineUpdate,
) -> list[tuple[bytes, float]]:
    """Returns the well-formed quarantines, with the seconds that are left."""
    entries = zip(
        update.quarantined or [], update.remaining_ms or [], strict=False
    )
    return [
        (fingerprint, left_ms / 1_000)
        for fingerprint, left_ms in entries
        if len(fingerprint) == fingerprints.FINGERPRINT_BYTES
    ]


def valid_suspicions(
    update: ttypes.QuarantineUpdate,
) -> list[ttypes.Suspicion]:
    """Returns the suspicions of an update whose fields have valid values."""
    return [
        suspicion
        for suspicion in update.suspects or []
        if len(suspicion.fingerprint or b"") == fingerprints.FINGERPRINT_BYTES
        and (suspicion.crashes or 0) > 0
        and suspicion.age_ms is not None
        and suspicion.age_ms >= 0
    ]
