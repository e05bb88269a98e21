"""Periodic tasks of a node."""

import typing

import anyio
import logbook

from medlardoor import logs
from medlardoor.blackboard import topics
from medlardoor.node import parts

__all__ = ["DRAIN_CHECK_INTERVAL_S", "Maintenance"]

DRAIN_CHECK_INTERVAL_S = 0.05
EXPIRY_INTERVAL_S = 5.0

_LOG = logbook.Logger("medlardoor.maintenance")


class Maintenance:
    """Calls the time-dependent controllers at regular intervals.

    Args:
        node: Parts of this node.
        in_progress: Returns the number of requests and runs in progress.
    """

    def __init__(
        self, node: parts.NodeParts, in_progress: typing.Callable[[], int]
    ):
        self._node = node
        self._in_progress = in_progress

    async def adapt_admission(self) -> None:
        """Updates the admission controller until cancelled."""
        while True:
            self._node.gate.tick()
            await anyio.sleep(self._node.settings.admission.interval_s)

    async def expire_records(self) -> None:
        """Drops expired ledger and quarantine records until cancelled."""
        while True:
            await anyio.sleep(EXPIRY_INTERVAL_S)
            now = anyio.current_time()
            self._node.ledger.expire(now)
            self._node.quarantine.expire(now)

    async def wait_drained(self) -> None:
        """Waits until a planned stop has finished."""
        node = self._node
        phase = node.drain.phase
        while phase is not topics.Phase.FINISHED:
            await anyio.sleep(DRAIN_CHECK_INTERVAL_S)
            previous_phase = phase
            phase = node.drain.tick(
                self._in_progress(), node.gate.queued, anyio.current_time()
            )
            if phase is not previous_phase:
                logs.log_event(
                    _LOG, logbook.INFO, "drain_phase", phase=phase.value
                )
