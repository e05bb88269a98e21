"""Baselines: no control, and fixed limits with FIFO queues at each hop."""

import collections
import functools

from medlardoor import errors
from medlardoor.bench import fakes

__all__ = ["FixedLimitInstance", "OpenInstance"]

# Attempts of one hop, as common client libraries are set up.
_HOP_ATTEMPTS = 2

# Length of the FIFO queue as a multiple of the slots.
_QUEUE_FACTOR = 2


class OpenInstance(fakes.Instance):
    """No control: every call goes to the upstream at once."""

    def admit(self, call: fakes.Call) -> None:
        """Runs a call."""
        self.dispatch(call)

    def ended(self, call: fakes.Call, reply: fakes.Reply) -> None:
        """Answers a call."""
        self.answer(call, reply)

    def call_next(self, call: fakes.Call) -> None:
        """Sends the outgoing call to instances in random order."""
        service = call.request.kind.path[call.hop + 1]
        instances = list(self._world.instances[service])
        self._world.generator.shuffle(instances)
        self._try(call, instances[:_HOP_ATTEMPTS])

    def _try(self, call, instances) -> None:
        on_reply = functools.partial(self._replied, call, instances[1:])
        child = fakes.Call(call.request, call.hop + 1, call.deadline, on_reply)
        call.children = [child]
        self._world.send(instances[0], child)

    def _replied(self, call, others, reply) -> None:
        if call not in self.active:
            return
        if reply.outcome is errors.Outcome.ANSWERED:
            call.child_s = reply.work_s
            self.complete(call, fakes.Reply(errors.Outcome.ANSWERED))
        elif others and (call.request.kind.idempotent or _not_run(reply)):
            call.request.retries += 1
            self._try(call, others)
        else:
            self.complete(call, fakes.Reply(reply.outcome, reply.reason))


class FixedLimitInstance(OpenInstance):
    """A fixed limit of the true slots and a bounded FIFO queue."""

    def __init__(self, world, spec, index):
        super().__init__(world, spec, index)
        self._in_flight = 0
        self._queue: collections.deque[fakes.Call] = collections.deque()

    def admit(self, call: fakes.Call) -> None:
        """Runs, queues or refuses a call."""
        if self._in_flight < self.spec.slots:
            self._in_flight += 1
            self.dispatch(call)
        elif len(self._queue) < self.spec.slots * _QUEUE_FACTOR:
            self._queue.append(call)
        else:
            self._world.recorder.refused(call)
            refusal = fakes.Reply(
                errors.Outcome.NOT_RUN, errors.Reason.OVERLOAD
            )
            self.answer(call, refusal)

    def ended(self, call: fakes.Call, reply: fakes.Reply) -> None:
        """Answers a call and starts the next one."""
        self.answer(call, reply)
        self._in_flight -= 1
        if self._queue and self._in_flight < self.spec.slots:
            self._in_flight += 1
            self.dispatch(self._queue.popleft())

    @property
    def queued(self) -> int:
        """Calls that wait for a slot, here and in the upstream."""
        return super().queued + len(self._queue)

    def fail(self) -> None:
        """Ends the instance; the queue is lost too."""
        self._queue.clear()
        super().fail()
        self._in_flight = 0


def _not_run(reply) -> bool:
    return reply.outcome is errors.Outcome.NOT_RUN
