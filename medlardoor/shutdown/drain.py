"""Planned stop of a node and its upstream."""

from medlardoor.blackboard import board as board_module
from medlardoor.blackboard import topics
from medlardoor.config import settings as settings_module

__all__ = ["DrainController", "DrainPhase"]

DrainPhase = topics.Phase

# Maximum time of one tick that counts towards the drain timeout: a node that
# was paused must not abort its requests because the clock jumped.
MAX_TICK_S = 1.0


class DrainController:
    """Controls the phases of a planned stop; writes the topic `shutdown`.

    The phases are serving, forwarding (new requests go to peers), refusing
    (new requests are refused, requests in progress are completed) and
    finished. They follow in this order, and none is entered twice.

    Args:
        settings: Settings of the node; `forward_s` and `drain_timeout_s` are
            used.
        board: Blackboard of the node.
    """

    def __init__(
        self,
        settings: settings_module.NodeSettings,
        board: board_module.Blackboard,
    ):
        self._settings = settings
        self._topic = board.shutdown
        self._last_tick = 0.0
        self._waited_s = 0.0

    @property
    def phase(self) -> DrainPhase:
        """Current phase."""
        return self._topic.phase

    @property
    def is_draining(self) -> bool:
        """Whether a planned stop has begun."""
        return self._topic.phase is not DrainPhase.SERVING

    def begin(self, cause: str, now: float) -> bool:
        """Begins the stop; has no effect if it has already begun.

        Args:
            cause: Trigger of the stop, such as ``signal``.
            now: Local clock, in seconds.

        Returns:
            Whether this call began the stop.
        """
        if self.is_draining:
            return False
        self._topic.cause = cause
        self._last_tick = now
        self._enter(DrainPhase.FORWARDING, now)
        return True

    def tick(self, in_flight: int, queued: int, now: float) -> DrainPhase:
        """Moves to the next phase when its condition is met.

        Args:
            in_flight: Requests running on the upstream or forwarded to peers.
            queued: Requests waiting in the node.
            now: Local clock, in seconds.

        Returns:
            The phase after the tick.
        """
        if not self.is_draining or self.phase is DrainPhase.FINISHED:
            return self.phase
        self._waited_s += min(now - self._last_tick, MAX_TICK_S)
        self._last_tick = now
        # An idle node keeps running until its peers and callers have learned
        # that it is leaving; after an earlier exit their connections would be
        # reset.
        if now - self._topic.since >= self._settings.forward_s:
            self._leave_forwarding(now)
        if self.phase is DrainPhase.REFUSING:
            idle = in_flight == 0 and queued == 0
            if idle or self._waited_s >= self._settings.drain_timeout_s:
                self._enter(DrainPhase.FINISHED, now)
        return self.phase

    def _leave_forwarding(self, now: float) -> None:
        if self.phase is DrainPhase.FORWARDING:
            self._enter(DrainPhase.REFUSING, now)

    def _enter(self, phase: DrainPhase, now: float) -> None:
        self._topic.phase = phase
        self._topic.since = now
