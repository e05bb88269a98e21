"""Schedule of directory rereads."""

import dataclasses
import random as random_module

__all__ = ["RereadSchedule"]

_MIN_REREAD_S = 5.0
_MAX_REREAD_S = 60.0


@dataclasses.dataclass(slots=True)
class _Reread:
    due_at: float
    delay_s: float = _MIN_REREAD_S


class RereadSchedule:
    """Schedules rereads of a directory while no member of the service is live.

    Each reread doubles the delay of the next one. This node may be the only one
    of its service, and the platform would otherwise get a read every few
    seconds from each node without peers.

    Args:
        initial_delay_s: Time without a live member before the first reread, in
            seconds.
        random: Source of jitter, so that nodes do not read simultaneously.
    """

    def __init__(self, initial_delay_s: float, random: random_module.Random):
        self._initial_delay_s = initial_delay_s
        self._random = random
        self._rereads: dict[str, _Reread] = {}

    def start(self, service: str, now: float) -> None:
        """Starts the schedule of a service unless it has one."""
        self._rereads.setdefault(service, _Reread(now + self._initial_delay_s))

    def stop(self, service: str) -> None:
        """Ends the schedule of a service."""
        self._rereads.pop(service, None)

    def record_contact(self, service: str, now: float) -> None:
        """Resets the schedule because a member of the service is live."""
        reread = self._rereads.get(service)
        if reread is not None:
            reread.due_at = now + self._initial_delay_s
            reread.delay_s = _MIN_REREAD_S

    def is_due(self, service: str, now: float) -> bool:
        """Whether to reread now; if so, schedules the next reread."""
        reread = self._rereads.get(service)
        if reread is None or now < reread.due_at:
            return False
        reread.due_at = now + reread.delay_s * self._random.uniform(0.8, 1.2)
        reread.delay_s = min(reread.delay_s * 2, _MAX_REREAD_S)
        return True
