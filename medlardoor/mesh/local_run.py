"""Execution of one request on the local upstream."""

import asyncio
import collections.abc
import typing

from medlardoor import errors
from medlardoor.admission import waiting
from medlardoor.membership import announcements
from medlardoor.mesh import runs
from medlardoor.mesh import upstream_connection as connection_module

if typing.TYPE_CHECKING:
    from medlardoor.mesh import local_upstream

__all__ = ["LocalRun"]


class LocalRun(runs.RunHandle, connection_module.ConnectionEvents):
    """A request that waits for a slot or runs on the local upstream.

    Args:
        upstream: The local upstream.
        run: The request.
        report: Called once with the result, unless the run is cancelled.
    """

    __slots__ = (
        "_connection",
        "_is_settled",
        "_leaf_slot_s",
        "_made_calls",
        "_upstream",
        "_path_level",
        "_report",
        "buffered_bytes",
        "has_run",
        "holds_slot",
        "run",
        "sent_to",
        "ticket",
        "was_sent",
    )

    def __init__(
        self,
        upstream: "local_upstream.LocalUpstream",
        run: runs.Run,
        report: collections.abc.Callable[[runs.RunResult], None],
    ):
        self._upstream = upstream
        self._report = report
        self._connection: connection_module.UpstreamConnection | None = None
        # Whether the result was reported or the run was cancelled.
        self._is_settled = False
        self._path_level = 0
        self._made_calls = False
        self._leaf_slot_s = 0.0
        self.run = run
        self.ticket = waiting.Ticket(
            run.level, run.deadline, run.objective_deadline, self, run.nested
        )
        self.holds_slot = False
        self.was_sent = False
        # Whether a complete response has shown that the request has run.
        self.has_run = False
        # Last announcement of the upstream when the request was sent.
        self.sent_to: announcements.Announcement | None = None
        # Bytes of the body that are counted in the buffer budget.
        self.buffered_bytes = 0

    def finish(self, result: runs.RunResult) -> None:
        """Reports the result unless the run has been cancelled or reported."""
        if not self._is_settled:
            self._is_settled = True
            if not self.holds_slot:
                self._upstream.release_body(self)
            result.path_level = self._path_level
            result.made_calls = self._made_calls
            now = asyncio.get_running_loop().time()
            result.waited_s = self._waited_s(now)
            result.leaf_slot_s = self._leaf_slot_s
            result.time_percent = self._upstream.observer.speed.time_percent(
                now
            )
            if self.holds_slot and not self._made_calls:
                result.leaf_slot_s = now - self.ticket.started_at
            self._report(result)

    def record_nested_call(self) -> None:
        """Records that the run makes a call to another service."""
        self._made_calls = True

    def record_path_level(self, level: int) -> None:
        """Records an admission level reported for a call of this run."""
        self._path_level = max(self._path_level, level)

    def record_nested_wait(self, waited_s: float) -> None:
        """Adds the waiting time of a call of this run.

        Args:
            waited_s: Time that the call waited for slots, in seconds.
        """
        self.ticket.nested_wait_s += waited_s

    def record_leaf_time(self, leaf_slot_s: float) -> None:
        """Adds the slot time that a call used at the end of the chain.

        Args:
            leaf_slot_s: Slot time, in seconds.
        """
        self._leaf_slot_s += leaf_slot_s

    def cancel(self) -> None:
        """Cancels the run.

        A non-idempotent request is not interrupted once it has been sent: its
        effect is wanted even if the caller does not receive the response.
        """
        self._is_settled = True
        if not self.was_sent:
            self._upstream.admission_queue.withdraw(self.ticket)
            self._upstream.release_body(self)
            if self.holds_slot:
                self._upstream.run_ended(
                    self, is_answered=False, is_broken=False
                )
            return
        if self._connection is not None and self.run.idempotent:
            connection = self._connection
            self._connection = None
            connection.abort()
            self._upstream.run_ended(self, is_answered=False, is_broken=False)

    def send_on(self, connection: connection_module.UpstreamConnection) -> None:
        """Sends the request unless it was cancelled or can no longer run."""
        message = None
        if not self._is_settled:
            message = self._upstream.encode_request(self.run)
        if message is None:
            self._upstream.return_connection(connection)
            self._upstream.run_ended(self, is_answered=False, is_broken=False)
            self.finish(_not_run_result(errors.Reason.DEADLINE_EXCEEDED))
            return
        self.was_sent = True
        self._connection = connection
        self._upstream.record_sent(self)
        run = self.run
        connection.send(message, run.attempt_id, run.method == b"HEAD", self)

    def abort_overdue(self) -> None:
        """Aborts a run whose response is overdue."""
        self._connection.abort()
        self.exchange_broken(
            self._connection, connection_module.BreakReason.OVERDUE
        )

    def connect_failed(self, detail: str, is_refused: bool) -> None:
        """Reports that no connection to the upstream could be opened."""
        self._upstream.run_ended(self, is_answered=False, is_broken=False)
        self._upstream.connect_failed(detail, is_refused)
        self.finish(_not_run_result(errors.Reason.UPSTREAM_UNAVAILABLE))

    def response_received(
        self,
        connection: connection_module.UpstreamConnection,
        response: connection_module.UpstreamResponse,
    ) -> None:
        """Reports the response of the upstream."""
        self._connection = None
        self._upstream.observer.observe(
            response, self.sent_to, self.ticket.started_at
        )
        result = self._upstream.to_result(self, response)
        self.has_run = result.outcome is errors.Outcome.ANSWERED
        if result.outcome is errors.Outcome.NOT_RUN:
            connection.record_rejection(self.run.attempt_id)
        self._upstream.return_connection(connection)
        self.finish(result)
        self._upstream.run_ended(self, is_answered=True, is_broken=False)

    def _waited_s(self, now: float) -> float:
        """Returns the time that the run and its calls waited, in seconds."""
        ticket = self.ticket
        if not ticket.offered_at:
            return 0.0
        until = ticket.started_at if self.holds_slot else now
        return until - ticket.offered_at + ticket.nested_wait_s

    def exchange_broken(
        self,
        connection: connection_module.UpstreamConnection,
        reason: connection_module.BreakReason,
    ) -> None:
        """Reports that the exchange ended without a response."""
        self._connection = None
        self._upstream.record_broken(self, reason)
        result = runs.RunResult(
            errors.Outcome.UNKNOWN, errors.Reason.UPSTREAM_FAILED, offered=True
        )
        self.finish(result)
        self._upstream.run_ended(self, is_answered=False, is_broken=True)


def _not_run_result(reason: errors.Reason) -> runs.RunResult:
    return runs.RunResult(errors.Outcome.NOT_RUN, reason)
