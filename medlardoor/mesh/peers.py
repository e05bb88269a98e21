"""Another node as a target of runs."""

import asyncio
import collections.abc
import dataclasses
import itertools

from medlardoor import errors
from medlardoor.membership import neighbours
from medlardoor.mesh import links, runs, statuses
from medlardoor.mesh import settings as settings_module
from medlardoor.routing import placement
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["PROBE_NUMBER", "Peer"]

# Pause between statuses that is assumed before the first one, in seconds.
DEFAULT_INTERVAL_S = 0.4

# No run has this number; the node answers its cancellation with the same one.
PROBE_NUMBER = 0

# A link is probed when a call has waited so long for its answer, and closed
# when the probe has waited so long. In seconds.
PROBE_AFTER_S = 1.0
PROBE_TIMEOUT_S = 1.5

# A node whose pause between dials has grown so far is taken for unreachable,
# in seconds.
UNREACHABLE_PAUSE_S = 0.4


class Peer(runs.RunTarget):
    """Another node.

    Args:
        node: Its instance, service and failure domain.
        address: Where it accepts links.
    """

    def __init__(
        self, node: neighbours.KnownNode, address: settings_module.Address
    ):
        self.node = node
        self.instance = node.instance
        self.address = address
        self.status: ttypes.NodeStatus | None = None
        self.candidate = placement.Candidate(node.instance, node.failure_domain)
        self.link: links.Link | None = None
        self.is_dialling = False
        self.redial_at = 0.0
        self.redial_pause_s = 0.0
        self.reached_at: float | None = None
        self.calls: dict[int, _PeerRun] = {}
        # When an unanswered probe of the link was sent, in seconds.
        self.probed_at: float | None = None
        # Last leaving of its upstream that the node has acknowledged. A
        # restarted node is told of it.
        self.left: ttypes.UpstreamLeft | None = None
        # Start of the node that was told last.
        self.reminded: int | None = None
        # Pause between two statuses of the node, in seconds.
        self.interval_s = DEFAULT_INTERVAL_S
        self._loop = asyncio.get_running_loop()

    def run(
        self,
        run: runs.Run,
        report: collections.abc.Callable[[runs.RunResult], None],
    ) -> runs.RunHandle:
        """Sends a run to the node; see `RunTarget`."""
        handle = _PeerRun(self, run, report)
        link = self.link
        if link is None or not link.is_open or link.is_congested:
            handle.report(
                runs.RunResult(
                    errors.Outcome.NOT_RUN, errors.Reason.NODE_UNREACHABLE
                )
            )
            return handle
        now = self._loop.time()
        handle.sent_at = now
        self.calls[handle.number] = handle
        link.send(ttypes.Frame(call=statuses.to_call(run, handle.number, now)))
        return handle

    def probe(self, now: float) -> bool:
        """Checks the way to the node while an answer is long in coming.

        Statuses of the node show only that the way back is open.

        Args:
            now: Current time, in seconds.

        Returns:
            Whether the way is broken: a probe was not answered.
        """
        if self.probed_at is not None:
            return now - self.probed_at > PROBE_TIMEOUT_S
        oldest = next(iter(self.calls.values()), None)
        if oldest is not None and now - oldest.sent_at > PROBE_AFTER_S:
            self.probed_at = now
            probe = ttypes.RunCancel(id=PROBE_NUMBER)
            self.link.send(ttypes.Frame(cancel=probe))
        return False

    def silent_intervals(self, now: float) -> float:
        """Pauses between statuses for which an open link has been silent.

        Args:
            now: Current time, in seconds.
        """
        return (now - self.link.heard_at) / self.interval_s

    def take_status(self, status: ttypes.NodeStatus) -> None:
        """Applies what the node says of itself."""
        self.status = status
        if status.interval_ms:
            self.interval_s = status.interval_ms / 1_000
        statuses.update_candidate(self.candidate, status, self._loop.time())

    @property
    def is_reachable(self) -> bool:
        """Whether recent attempts to reach the node succeeded."""
        return self.redial_pause_s < UNREACHABLE_PAUSE_S

    def describe(self) -> neighbours.KnownNode:
        """The node, as the choice of neighbours sees it."""
        return dataclasses.replace(self.node, is_reachable=self.is_reachable)

    def to_address(self) -> ttypes.NodeAddress:
        """The node's address, as it is told to others."""
        return ttypes.NodeAddress(
            self.instance,
            self.address.host,
            self.address.port,
            self.node.service,
            self.node.failure_domain,
        )

    def answered(self, answer: ttypes.RunAnswer) -> None:
        """Hands on the result of a run."""
        handle = self.calls.pop(answer.id, None)
        if handle is not None:
            handle.report(statuses.to_result(answer))

    def fail_calls(self, only_idempotent: bool = False) -> None:
        """Ends runs whose results cannot arrive, or not in time.

        Args:
            only_idempotent: Ends only those that can be repeated elsewhere.
        """
        calls = [
            handle
            for handle in self.calls.values()
            if handle.run.idempotent or not only_idempotent
        ]
        for handle in calls:
            self.calls.pop(handle.number, None)
            handle.report(
                runs.RunResult(
                    errors.Outcome.UNKNOWN,
                    errors.Reason.NODE_UNREACHABLE,
                    offered=True,
                )
            )


class _PeerRun(runs.RunHandle):
    """A run on another node."""

    __slots__ = ("number", "peer", "report", "run", "sent_at")

    _numbers = itertools.count(1)

    def __init__(
        self,
        peer: Peer,
        run: runs.Run,
        report: collections.abc.Callable[[runs.RunResult], None],
    ):
        self.number = next(self._numbers) & 0x7FFFFFFF
        self.peer = peer
        self.run = run
        self.report = report
        self.sent_at = 0.0

    def cancel(self) -> None:
        """Tells the node that nobody waits any more."""
        if self.peer.calls.pop(self.number, None) is None:
            return
        if self.peer.link is not None:
            cancel = ttypes.RunCancel(id=self.number)
            self.peer.link.send(ttypes.Frame(cancel=cancel))
