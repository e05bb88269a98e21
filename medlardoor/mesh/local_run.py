"""One request on its way to the local upstream."""

import asyncio
import collections.abc
import typing

from medlardoor import errors
from medlardoor.admission import waiting
from medlardoor.mesh import runs
from medlardoor.mesh import upstream_connection as connection_module

if typing.TYPE_CHECKING:
    from medlardoor.mesh import local_upstream

__all__ = ["LocalRun"]


class LocalRun(runs.RunHandle, connection_module.ConnectionEvents):
    """One request on its way through the room to the upstream."""

    __slots__ = (
        "_connection",
        "_is_cancelled",
        "_leaf_s",
        "_made_calls",
        "_owner",
        "_path_level",
        "_report",
        "buffered",
        "holds_slot",
        "run",
        "ticket",
        "was_sent",
    )

    def __init__(
        self,
        owner: "local_upstream.LocalUpstream",
        run: runs.Run,
        report: collections.abc.Callable[[runs.RunResult], None],
    ):
        self._owner = owner
        self._report = report
        self._connection: connection_module.UpstreamConnection | None = None
        self._is_cancelled = False
        self._path_level = 0
        self._made_calls = False
        self._leaf_s = 0.0
        self.run = run
        self.ticket = waiting.Ticket(
            run.level, run.deadline, run.goal_by, self, run.nested
        )
        self.holds_slot = False
        self.was_sent = False
        # Bytes that are held for the body.
        self.buffered = 0

    def finish(self, result: runs.RunResult) -> None:
        """Reports the result unless the run was cancelled."""
        if not self._is_cancelled:
            self._is_cancelled = True
            if not self.holds_slot:
                self._owner.release(self)
            result.path_level = self._path_level
            result.made_calls = self._made_calls
            now = asyncio.get_running_loop().time()
            result.waited_s = self._waited_s(now)
            result.leaf_slot_s = self._leaf_s
            if self.holds_slot and not self._made_calls:
                result.leaf_slot_s = now - self.ticket.started_at
            self._report(result)

    def note_call(self) -> None:
        """Notes that the run makes a call of its own."""
        self._made_calls = True

    def note_path(self, level: int) -> None:
        """Notes an admission level that a call of this run has met."""
        self._path_level = max(self._path_level, level)

    def note_waited(self, waited_s: float) -> None:
        """Notes how long a call of this run has waited.

        Args:
            waited_s: Wait for slots, in seconds.
        """
        self.ticket.calls_waited_s += waited_s

    def note_leaf(self, leaf_slot_s: float) -> None:
        """Notes what a call of this run took at the end of the chain.

        Args:
            leaf_slot_s: Time of slots, in seconds.
        """
        self._leaf_s += leaf_slot_s

    def cancel(self) -> None:
        """Ends the run.

        A request that must not run twice is not interrupted once it was sent:
        its effect is wanted, even if its caller does not see the answer.
        """
        self._is_cancelled = True
        if not self.was_sent:
            self._owner.room.withdraw(self.ticket)
            self._owner.release(self)
            if self.holds_slot:
                self._owner.ended(self, good=False, broken=False)
            return
        if self._connection is not None and self.run.idempotent:
            connection = self._connection
            self._connection = None
            connection.abort()
            self._owner.ended(self, good=False, broken=False)

    def send_on(self, connection: connection_module.UpstreamConnection) -> None:
        """Sends the request, unless nobody waits for it any more."""
        message = None
        if not self._is_cancelled:
            message = self._owner.encode(self.run)
        if message is None:
            self._owner.put_back(connection)
            self._owner.ended(self, good=False, broken=False)
            self.finish(_not_sent(errors.Reason.DEADLINE_EXCEEDED))
            return
        self.was_sent = True
        self._connection = connection
        self._owner.note_started(self)
        run = self.run
        connection.send(message, run.attempt_id, run.method == b"HEAD", self)

    def give_up(self) -> None:
        """Ends a run whose answer is overdue."""
        self._connection.abort()
        self.broken(self._connection, connection_module.Break.OVERDUE)

    def connect_failed(self, detail: str, refused: bool) -> None:
        """Reports that there was no connection to send the request on."""
        self._owner.ended(self, good=False, broken=False)
        self._owner.connect_failed(detail, refused)
        self.finish(_not_sent(errors.Reason.UPSTREAM_UNAVAILABLE))

    def answered(
        self,
        connection: connection_module.UpstreamConnection,
        answer: connection_module.UpstreamAnswer,
    ) -> None:
        """Reports the answer of the upstream."""
        self._connection = None
        result = self._owner.to_result(self.run, answer)
        self._owner.put_back(connection)
        self.finish(result)
        self._owner.ended(self, good=True, broken=False)

    def _waited_s(self, now: float) -> float:
        """How long the run and its calls have waited, in seconds."""
        ticket = self.ticket
        if not ticket.offered_at:
            return 0.0
        until = ticket.started_at if self.holds_slot else now
        return until - ticket.offered_at + ticket.calls_waited_s

    def broken(
        self,
        connection: connection_module.UpstreamConnection,
        reason: connection_module.Break,
    ) -> None:
        """Reports that the connection ended without an answer."""
        self._connection = None
        self._owner.note_broken(self, reason)
        result = runs.RunResult(
            errors.Outcome.UNKNOWN, errors.Reason.UPSTREAM_FAILED, offered=True
        )
        self.finish(result)
        self._owner.ended(self, good=False, broken=True)


def _not_sent(reason: errors.Reason) -> runs.RunResult:
    return runs.RunResult(errors.Outcome.NOT_RUN, reason)
