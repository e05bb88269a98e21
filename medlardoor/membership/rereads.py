"""When the directory of a service has to be reread."""

import dataclasses
import random as random_module

__all__ = ["RereadSchedule"]

_MIN_REREAD_S = 5.0
_MAX_REREAD_S = 60.0


@dataclasses.dataclass(slots=True)
class _Reread:
    at: float
    delay_s: float = _MIN_REREAD_S


class RereadSchedule:
    """Spaces out rereads while no member of a service answers.

    Each reread doubles the time to the next one, because a service may well
    have this one node only, and the platform would otherwise get a read every
    few seconds from each such node.

    Args:
        patience_s: Silence before the first reread, in seconds.
        random: Source of randomness, so that nodes do not read in step.
    """

    def __init__(self, patience_s: float, random: random_module.Random):
        self._patience_s = patience_s
        self._random = random
        self._rereads: dict[str, _Reread] = {}

    def start(self, service: str, now: float) -> None:
        """Notes that members of the service are being asked from now on."""
        self._rereads.setdefault(service, _Reread(now + self._patience_s))

    def stop(self, service: str) -> None:
        """Forgets a service."""
        self._rereads.pop(service, None)

    def note_contact(self, service: str, now: float) -> None:
        """Notes that a member of the service is live."""
        reread = self._rereads.get(service)
        if reread is not None:
            reread.at = now + self._patience_s
            reread.delay_s = _MIN_REREAD_S

    def is_due(self, service: str, now: float) -> bool:
        """Whether to reread now; a positive answer sets the next time."""
        reread = self._rereads.get(service)
        if reread is None or now < reread.at:
            return False
        reread.at = now + reread.delay_s * self._random.uniform(0.8, 1.2)
        reread.delay_s = min(reread.delay_s * 2, _MAX_REREAD_S)
        return True
