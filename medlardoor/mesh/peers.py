"""Other nodes as targets of runs."""

import asyncio
import collections.abc
import dataclasses
import itertools

from medlardoor import errors
from medlardoor.membership import departures, neighbours
from medlardoor.mesh import links, remote_upstream, runs, statuses
from medlardoor.mesh import settings as settings_module
from medlardoor.routing import placement
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["PROBE_CALL_ID", "Peer"]

# Status interval assumed for a node before its first status, in seconds.
DEFAULT_STATUS_INTERVAL_S = 0.4

# A cancellation with this identifier is a probe, which the node sends back. No
# call uses the identifier.
PROBE_CALL_ID = 0

# A link is probed when its oldest call has waited for the first of these times,
# and closed when the probe is not answered within the second. In seconds.
PROBE_AFTER_S = 1.0
PROBE_TIMEOUT_S = 1.5

# A node counts as unreachable when its pause between dials has grown to this,
# in seconds.
UNREACHABLE_PAUSE_S = 0.4


class Peer(runs.RunTarget):
    """Another node as a target of runs.

    Args:
        node: Instance, service and failure domain of the node.
        address: Address on which the node accepts links.
        headers: Names of HTTP headers.
        count_nodes: Returns the number of known nodes, including this one.
    """

    def __init__(
        self,
        node: neighbours.KnownNode,
        address: settings_module.Address,
        headers: settings_module.HeaderNames,
        count_nodes: collections.abc.Callable[[], int],
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
        self.last_reached_at: float | None = None
        self.outstanding_calls: dict[int, _PeerCall] = {}
        # When the outstanding probe was sent, in seconds; None without one.
        self.probed_at: float | None = None
        # Departures of upstreams that the node has acknowledged. They are sent
        # back to the node after a restart.
        self.departures = departures.DepartureList(
            departures.MAX_TOLD_DEPARTURES
        )
        # Incarnation of the node to which they were last sent back.
        self.reminded_incarnation: int | None = None
        # Whether the node has announced that it ends in a planned stop.
        self.has_departed = False
        # Incarnation of the node that has stopped to lend tokens.
        self.stopped_lender_incarnation: int | None = None
        # Pause between two status messages of the node, in seconds.
        self.status_interval_s = DEFAULT_STATUS_INTERVAL_S
        # Incarnation of the node that has passed on a response of its upstream
        # and so knows what the upstream says of itself.
        self._informed_incarnation: int | None = None
        self._remote_upstream = remote_upstream.RemoteUpstream(headers)
        self._count_nodes = count_nodes
        self._loop = asyncio.get_running_loop()

    @property
    def upstream_id(self) -> str:
        """Identifier of the usable upstream of the node; empty without one."""
        status = self.status
        if status is None or status.leaving or not status.upstream_id:
            return ""
        if self._remote_upstream.has_left(status.upstream_id):
            return ""
        return status.upstream_id

    def run(
        self,
        run: runs.Run,
        report: collections.abc.Callable[[runs.RunResult], None],
    ) -> runs.RunHandle:
        """Sends a run to the node; see `RunTarget`."""
        handle = _PeerCall(self, run, report)
        link = self.link
        if (
            link is None
            or not link.is_open
            or link.is_congested
            or not link.may_send(len(run.body))
        ):
            handle.report(
                runs.RunResult(
                    errors.Outcome.NOT_RUN, errors.Reason.NODE_UNREACHABLE
                )
            )
            return handle
        now = self._loop.time()
        if not self._may_send(now):
            handle.report(
                runs.RunResult(errors.Outcome.NOT_RUN, errors.Reason.OVERLOAD)
            )
            return handle
        handle.sent_at = now
        self.outstanding_calls[handle.call_id] = handle
        link.send(ttypes.Frame(call=statuses.to_call(run, handle.call_id, now)))
        return handle

    def _may_send(self, now: float) -> bool:
        """Counts a request if the limit of the upstream allows it.

        Nodes that apply the limits of their upstreams see the requests of all
        nodes. For others, each node keeps to an equal share, and also for one
        that has just started: it learns of a limit with its first response.
        """
        status = self.status
        if status is None:
            return True
        is_informed = status.incarnation == self._informed_incarnation
        if status.applies_limits and is_informed:
            return True
        upstream_id = status.upstream_id or ""
        if not self._remote_upstream.allows(upstream_id, now):
            return False
        self._remote_upstream.count_request(upstream_id, now)
        return True

    def probe_has_timed_out(self, now: float) -> bool:
        """Probes the path to the node when an answer is slow to arrive.

        The status messages of the node only show that the return path works.

        Args:
            now: Current time, in seconds.

        Returns:
            Whether the outstanding probe has timed out.
        """
        if self.probed_at is not None:
            return now - self.probed_at > PROBE_TIMEOUT_S
        oldest = next(iter(self.outstanding_calls.values()), None)
        if oldest is not None and now - oldest.sent_at > PROBE_AFTER_S:
            self.probed_at = now
            probe = ttypes.RunCancel(id=PROBE_CALL_ID)
            self.link.send(ttypes.Frame(cancel=probe))
        return False

    def silent_intervals(self, now: float) -> float:
        """Returns the silence of the open link, in status intervals.

        Args:
            now: Current time, in seconds.
        """
        return (now - self.link.last_received_at) / self.status_interval_s

    def apply_status(self, status: ttypes.NodeStatus) -> None:
        """Applies a status message of the node."""
        before = self.status
        if (
            before is not None
            and before.incarnation == status.incarnation
            and before.upstream_id != status.upstream_id
        ):
            # Its node takes an upstream that returns for a later start.
            self._remote_upstream.forget(before.upstream_id or "")
        self.status = status
        if status.interval_ms:
            self.status_interval_s = status.interval_ms / 1_000
        statuses.update_candidate(self.candidate, status, self._loop.time())

    @property
    def is_reachable(self) -> bool:
        """Whether the node counts as reachable; see `UNREACHABLE_PAUSE_S`."""
        return self.redial_pause_s < UNREACHABLE_PAUSE_S

    def to_known_node(self) -> neighbours.KnownNode:
        """Returns the node as input to the choice of neighbours."""
        return dataclasses.replace(self.node, is_reachable=self.is_reachable)

    def to_address(self) -> ttypes.NodeAddress:
        """Returns the address of the node as a message."""
        return ttypes.NodeAddress(
            self.instance,
            self.address.host,
            self.address.port,
            self.node.service,
            self.node.failure_domain,
        )

    def call_answered(self, answer: ttypes.RunAnswer) -> None:
        """Reports the result of a run; ignores an unknown call."""
        handle = self.outstanding_calls.pop(answer.id, None)
        if handle is not None:
            result = statuses.to_result(answer)
            self._observe_response(result, handle.sent_at)
            handle.report(result)

    def call_failed(self, call_id: int, reason: errors.Reason) -> None:
        """Reports that the answer to a call was not received.

        Args:
            call_id: Identifier of the call on its link.
            reason: Why it was not received.
        """
        handle = self.outstanding_calls.pop(call_id, None)
        if handle is not None:
            handle.report(
                runs.RunResult(errors.Outcome.UNKNOWN, reason, offered=True)
            )

    def _observe_response(self, result: runs.RunResult, sent_at: float) -> None:
        """Remembers what a response says of the upstream."""
        if result.outcome is errors.Outcome.ANSWERED and self.status:
            self._informed_incarnation = self.status.incarnation
            self._remote_upstream.observe(
                self.status.upstream_id or "",
                result.headers,
                self._count_nodes(),
                sent_at,
                self._loop.time(),
            )

    def fail_calls(self, only_idempotent: bool = False) -> None:
        """Reports an unknown outcome for calls in progress.

        Args:
            only_idempotent: Whether to fail only the calls that can be sent
                again to another node.
        """
        calls = [
            handle
            for handle in self.outstanding_calls.values()
            if handle.run.idempotent or not only_idempotent
        ]
        for handle in calls:
            self.outstanding_calls.pop(handle.call_id, None)
            handle.report(
                runs.RunResult(
                    errors.Outcome.UNKNOWN,
                    errors.Reason.NODE_UNREACHABLE,
                    offered=True,
                )
            )


class _PeerCall(runs.RunHandle):
    """A call to another node."""

    __slots__ = ("call_id", "peer", "report", "run", "sent_at")

    _call_ids = itertools.count(1)

    def __init__(
        self,
        peer: Peer,
        run: runs.Run,
        report: collections.abc.Callable[[runs.RunResult], None],
    ):
        self.call_id = next(self._call_ids) & 0x7FFFFFFF
        self.peer = peer
        self.run = run
        self.report = report
        self.sent_at = 0.0

    def cancel(self) -> None:
        """Ends the call and sends a cancellation to the node."""
        if self.peer.outstanding_calls.pop(self.call_id, None) is None:
            return
        if self.peer.link is not None:
            cancel = ttypes.RunCancel(id=self.call_id)
            self.peer.link.send(ttypes.Frame(cancel=cancel))
