"""Calls that another node sends on the link it has opened."""

import asyncio
import dataclasses

import logbook

from medlardoor import errors, logs
from medlardoor.mesh import links, local_upstream, runs, statuses
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["InboundCalls"]

_LOG = logbook.Logger("links")


class InboundCalls:
    """Runs the calls of one link on the local upstream, and answers them.

    Args:
        link: The link, opened by another node.
        local: The local upstream.
    """

    __slots__ = ("_handles", "_link", "_local", "_loop", "_may_be_unread")

    def __init__(self, link: links.Link, local: local_upstream.LocalUpstream):
        self._link = link
        self._local = local
        self._loop = asyncio.get_running_loop()
        # Runs by call identifier; None while a run is being started.
        self._handles: dict[int, runs.RunHandle | None] = {}
        self._may_be_unread = False

    @property
    def has_unread_answers(self) -> bool:
        """Whether the other node may have to receive a part of an answer."""
        if self._may_be_unread and not self._link.has_undelivered_data:
            self._may_be_unread = False
        return self._may_be_unread

    def run(self, call: ttypes.RunCall) -> None:
        """Runs a call, and sends its answer on the link.

        Args:
            call: The call.
        """
        call_id = call.id

        def report(result: runs.RunResult) -> None:
            self._handles.pop(call_id, None)
            if not self._link.may_send(len(result.body)):
                result = self._without_response(call, result)
            answer = statuses.to_answer(call_id, result)
            self._may_be_unread |= self._link.send(ttypes.Frame(answer=answer))

        self._handles[call_id] = None
        run = statuses.from_call(call, self._loop.time())
        handle = self._local.run(run, report)
        # The result may have been reported before `run` returned.
        if call_id in self._handles:
            self._handles[call_id] = handle

    def _without_response(
        self, call: ttypes.RunCall, result: runs.RunResult
    ) -> runs.RunResult:
        """Drops a response for which the link has no room."""
        logs.log_event(
            _LOG,
            logbook.WARNING,
            "answer_dropped",
            request_id=(call.attempt_id or b"").decode("latin-1"),
            reason=errors.Reason.BUFFERS_FULL.value,
            size=len(result.body),
        )
        return dataclasses.replace(
            result,
            outcome=errors.Outcome.UNKNOWN,
            reason=errors.Reason.BUFFERS_FULL,
            status=0,
            headers=b"",
            body=b"",
        )

    def refuse(self, call_id: int, reason: errors.Reason) -> None:
        """Answers a call that was not received, so that it has not run.

        Args:
            call_id: Identifier of the call on its link.
            reason: Why it was not received.
        """
        refusal = runs.RunResult(errors.Outcome.NOT_RUN, reason)
        answer = statuses.to_answer(call_id, refusal)
        self._link.send(ttypes.Frame(answer=answer))

    def cancel(self, call_id: int) -> None:
        """Cancels a call whose result nobody waits for."""
        handle = self._handles.pop(call_id, None)
        if handle is not None:
            handle.cancel()

    def cancel_all(self) -> None:
        """Cancels all calls, after the link has closed."""
        for handle in list(self._handles.values()):
            handle.cancel()
