"""Passive health: members that refused connections rest for a while."""

import dataclasses
import random

__all__ = ["PassiveHealth"]

_FIRST_REST_S = 1.0
_MAX_REST_S = 8.0

# Spread of the rest, so that nodes do not all come back to a member at once.
_MIN_SPREAD = 0.8
_MAX_SPREAD = 1.2


@dataclasses.dataclass(slots=True)
class _Rest:
    until: float
    length_s: float


class PassiveHealth:
    """Rests of members, by instance name.

    Args:
        generator: Source of the spread.
    """

    def __init__(self, generator: random.Random):
        self._generator = generator
        self._rests: dict[str, _Rest] = {}

    def failed(self, instance: str, now: float) -> None:
        """Takes a member out at once, longer each time in a row.

        Failures during a rest belong to calls that were already on their way
        and do not lengthen it.

        Args:
            instance: The member.
            now: Current time, in seconds.
        """
        rest = self._rests.get(instance)
        if rest is not None and now < rest.until:
            return
        length_s = _FIRST_REST_S
        if rest is not None:
            length_s = min(_MAX_REST_S, rest.length_s * 2)
        spread = self._generator.uniform(_MIN_SPREAD, _MAX_SPREAD)
        until = now + min(_MAX_REST_S, length_s * spread)
        self._rests[instance] = _Rest(until, length_s)

    def succeeded(self, instance: str) -> None:
        """Ends the rest of a member that answered.

        Args:
            instance: The member.
        """
        self._rests.pop(instance, None)

    def rests_until(self, instance: str) -> float:
        """When the rest of a member ends, in seconds; 0 if there is none."""
        rest = self._rests.get(instance)
        return rest.until if rest is not None else 0.0
