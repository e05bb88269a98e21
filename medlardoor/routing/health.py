"""Passive health check: ejects members that refused or broke connections."""

import dataclasses
import random

__all__ = ["PassiveHealth"]

_BASE_EJECTION_S = 1.0
_MAX_EJECTION_S = 8.0

# Random factor on the ejection time, so that nodes do not all return to a
# member at once.
_MIN_JITTER = 0.8
_MAX_JITTER = 1.2


@dataclasses.dataclass(slots=True)
class _Ejection:
    """Ejection of one member.

    Attributes:
        until: End of the ejection, in seconds.
        base_s: Duration before jitter, in seconds.
    """

    until: float
    base_s: float


class PassiveHealth:
    """Ejections of members by instance name.

    Args:
        generator: Source of the jitter.
    """

    def __init__(self, generator: random.Random):
        self._generator = generator
        self._ejections: dict[str, _Ejection] = {}

    def record_failure(self, instance: str, now: float) -> None:
        """Ejects a member at once; consecutive ejections double in length.

        Failures during an ejection belong to calls that were already in
        flight and do not extend it.

        Args:
            instance: Instance name of the member.
            now: Current time, in seconds.
        """
        ejection = self._ejections.get(instance)
        if ejection is not None and now < ejection.until:
            return
        base_s = _BASE_EJECTION_S
        if ejection is not None:
            base_s = min(_MAX_EJECTION_S, ejection.base_s * 2)
        jitter = self._generator.uniform(_MIN_JITTER, _MAX_JITTER)
        until = now + min(_MAX_EJECTION_S, base_s * jitter)
        self._ejections[instance] = _Ejection(until, base_s)

    def record_success(self, instance: str) -> None:
        """Ends the ejection of a member that responded.

        Args:
            instance: Instance name of the member.
        """
        self._ejections.pop(instance, None)

    def ejected_until(self, instance: str) -> float:
        """End of the ejection of a member, in seconds; 0 if there is none."""
        ejection = self._ejections.get(instance)
        return ejection.until if ejection is not None else 0.0
