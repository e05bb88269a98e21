"""Asynchronous waiting for decisions of the admission controller."""

import dataclasses

import anyio
import result

from medlardoor import errors
from medlardoor.admission import controller
from medlardoor.calls import context

__all__ = ["Gate"]


@dataclasses.dataclass(slots=True)
class _Waiter:
    """Queued call and the decision that ended its wait."""

    event: anyio.Event
    is_started: bool = False
    refusal: errors.Refusal | None = None


class Gate:
    """Suspends queued calls until the admission controller decides on them.

    Args:
        admission: Controller that starts or drops the queued calls.
    """

    def __init__(self, admission: controller.AdmissionController):
        self._admission = admission
        self._waiters: dict[int, _Waiter] = {}

    @property
    def queued(self) -> int:
        """Number of queued calls."""
        return len(self._waiters)

    async def enter(
        self, call: context.CallContext
    ) -> result.Result[None, errors.Refusal]:
        """Waits until the call may run on the local upstream.

        Returns:
            `Ok` if the call may run, in which case `leave` must be called
            exactly once; else the refusal.
        """
        now = anyio.current_time()
        decision = self._admission.offer(call, now)
        if isinstance(decision, controller.Admitted):
            return result.Ok(None)
        if isinstance(decision, controller.Refused):
            return result.Err(decision.refusal)
        waiter = _Waiter(anyio.Event())
        self._waiters[call.call_id] = waiter
        try:
            await waiter.event.wait()
        except BaseException:
            self._abandon(call, waiter)
            raise
        finally:
            self._waiters.pop(call.call_id, None)
        if waiter.refusal is not None:
            return result.Err(waiter.refusal)
        return result.Ok(None)

    def leave(
        self, call: context.CallContext, completion: controller.Completion
    ) -> None:
        """Reports to the controller that an admitted call has ended."""
        now = anyio.current_time()
        self._apply(self._admission.finish(call.call_id, completion, now))

    def tick(self) -> None:
        """Lets the controller adapt and drop calls queued for too long."""
        self._apply(self._admission.tick(anyio.current_time()))

    def _abandon(self, call: context.CallContext, waiter: _Waiter) -> None:
        now = anyio.current_time()
        if waiter.is_started:
            # The call was started and cancelled at the same time; its slot must
            # be released.
            completion = controller.Completion(
                latency_s=0.0, outcome=errors.Outcome.NOT_RUN, shed=False
            )
            self._apply(self._admission.finish(call.call_id, completion, now))
        elif waiter.refusal is None:
            self._apply(self._admission.cancel(call.call_id, now))

    def _apply(self, actions) -> None:
        for action in actions:
            waiter = self._waiters.get(action.call_id)
            if waiter is None:
                continue
            if isinstance(action, controller.Start):
                waiter.is_started = True
            else:
                waiter.refusal = action.refusal
            waiter.event.set()
