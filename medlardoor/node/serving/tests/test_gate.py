"""Tests of `Gate` with a scripted admission controller."""

import anyio
import pytest

from medlardoor import errors
from medlardoor.admission import controller
from medlardoor.calls import context
from medlardoor.node.serving import gate

TIMEOUT_S = 5.0
REFUSAL = errors.Refusal(
    errors.Outcome.NOT_RUN, errors.Reason.OVERLOAD, "Busy."
)
DONE = controller.Completion(0.1, errors.Outcome.ANSWERED)


class ScriptedAdmission:
    """Returns one decision for all calls and the actions set by the test."""

    def __init__(self, decision):
        self._decision = decision
        self.actions = []
        self.finished = []
        self.cancelled = []

    def offer(self, call, now):
        return self._decision

    def finish(self, call_id, completion, now):
        self.finished.append((call_id, completion.outcome))
        return self._take()

    def cancel(self, call_id, now):
        self.cancelled.append(call_id)
        return self._take()

    def tick(self, now):
        return self._take()

    def _take(self):
        actions, self.actions = self.actions, []
        return actions


def call(call_id):
    return context.CallContext(b"c" * 16, call_id, "t", "k", 0, 0, 1e9)


def run(function):
    async def bounded():
        with anyio.fail_after(TIMEOUT_S):
            await function()

    anyio.run(bounded)


@pytest.mark.parametrize(
    "decision", [controller.Admitted(), controller.Refused(REFUSAL)]
)
def test_immediate_decision(decision):
    """A call that is admitted or refused at once must not wait."""

    async def body():
        entered = await gate.Gate(ScriptedAdmission(decision)).enter(call(1))
        assert entered.is_ok() == isinstance(decision, controller.Admitted)

    run(body)


@pytest.mark.parametrize(
    "action", [controller.Start(1), controller.Drop(1, REFUSAL)]
)
def test_queued_call_is_woken(action):
    """Starting or dropping a queued call must end its wait."""

    async def body():
        admission = ScriptedAdmission(controller.Queued())
        waiting = gate.Gate(admission)
        ended = []

        async def enter():
            ended.append(await waiting.enter(call(1)))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(enter)
            await anyio.wait_all_tasks_blocked()
            assert waiting.queued == 1
            admission.actions = [action]
            waiting.tick()
        assert ended[0].is_ok() == isinstance(action, controller.Start)
        assert waiting.queued == 0

    run(body)


def test_slot_passes_to_the_next_call():
    """The end of a call must start the next queued call."""

    async def body():
        admission = ScriptedAdmission(controller.Queued())
        waiting = gate.Gate(admission)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(waiting.enter, call(2))
            await anyio.wait_all_tasks_blocked()
            admission.actions = [controller.Start(2)]
            waiting.leave(call(1), DONE)
        assert admission.finished == [(1, errors.Outcome.ANSWERED)]

    run(body)


@pytest.mark.parametrize("started", [False, True])
def test_cancelled_while_queued(started):
    """A cancelled call must release its slot or its place in the queue.

    It may be cancelled just as it is started; a slot that is not released
    then is lost for good.
    """

    async def body():
        admission = ScriptedAdmission(controller.Queued())
        waiting = gate.Gate(admission)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(waiting.enter, call(1))
            await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()
            if started:
                admission.actions = [controller.Start(1)]
                waiting.tick()
        if started:
            assert admission.finished == [(1, errors.Outcome.NOT_RUN)]
        else:
            assert admission.cancelled == [1]
        assert waiting.queued == 0

    run(body)
