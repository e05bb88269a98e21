"""Callers that resend hard."""

from collections import abc
import functools

from medlardoor import errors
from medlardoor.bench import fakes, workload

__all__ = ["Callers"]

MAX_ATTEMPTS = 4

# A caller whose request crashes upstreams does not give up within the run.
_CRASHING_ATTEMPTS = 1_000

# Pause before a resend by callers that do not follow the hint.
_PAUSE_S = 0.1

# Share of callers that follow `Retry-After`.
_FOLLOWS_HINT = 0.5


class Callers:
    """Poisson arrivals of each kind; each request is resent until answered.

    A refused or failed attempt is sent again after a short pause, or after
    the hint by half of the callers. After a time-out the attempt is sent
    again at once. An order whose outcome is unknown is not sent again if the
    answers state outcomes, because the caller then knows that it may run
    twice.

    Args:
        world: The world that they call.
        rate: Requests a second at a time in seconds, over all kinds.
        states_outcomes: Whether answers say if a request was run.
    """

    def __init__(
        self,
        world: fakes.World,
        rate: abc.Callable[[float], float],
        states_outcomes: bool,
    ):
        self._world = world
        self._rate = rate
        self._states_outcomes = states_outcomes

    def start(self) -> None:
        """Begins the arrivals."""
        for kind in self._world.company.kinds:
            self._schedule(kind)

    def send_crashing(self) -> None:
        """Sends a request that crashes upstreams, again and again."""
        kind = self._world.company.kinds[-1]
        request = workload.Request(kind, self._world.simulator.now)
        request.crashes = True
        self._attempt(request)

    def _schedule(self, kind: workload.KindSpec) -> None:
        simulator = self._world.simulator
        rate = max(1e-6, self._rate(simulator.now) * kind.share)
        gap_s = self._world.generator.expovariate(rate)
        simulator.after(gap_s, self._arrive, kind)

    def _arrive(self, kind: workload.KindSpec) -> None:
        request = workload.Request(kind, self._world.simulator.now)
        self._world.recorder.arrived(request)
        self._attempt(request)
        self._schedule(kind)

    def _attempt(self, request: workload.Request) -> None:
        request.attempts += 1
        known = self._world.instances[request.kind.path[0]]
        first = int(self._world.generator.random() * len(known))
        instances = known[first:] + known[:first]
        deadline = self._world.simulator.now + request.kind.timeout_s
        self._send(request, instances, deadline)

    def _send(self, request, instances, deadline) -> None:
        call = fakes.Call(request, 0, deadline, None)
        call.on_reply = functools.partial(
            self._replied, request, instances[1:], deadline
        )
        self._world.send(instances[0], call)
        timeout_s = deadline - self._world.simulator.now
        self._world.simulator.after(timeout_s, self._timed_out, call)

    def _replied(self, request, others, deadline, reply) -> None:
        now = self._world.simulator.now
        if reply.outcome is errors.Outcome.ANSWERED:
            if request.answered_at is None:
                request.answered_at = now
                request.first_answer = request.attempts == 1
                request.useful_s = reply.work_s
                self._world.recorder.answered(request)
            return
        if reply.reason is errors.Reason.NODE_UNREACHABLE and others:
            self._send(request, others, deadline)
            return
        request.refused += 1
        self._resend(request, reply)

    def _resend(self, request, reply) -> None:
        if request.attempts >= _most_attempts(request):
            return
        unknown = reply.outcome is errors.Outcome.UNKNOWN
        if unknown and self._states_outcomes and not request.kind.idempotent:
            return
        generator = self._world.generator
        pause_s = _PAUSE_S
        if reply.retry_after_s and generator.random() < _FOLLOWS_HINT:
            pause_s = reply.retry_after_s
        pause_s *= generator.uniform(0.5, 1.5)
        self._world.simulator.after(pause_s, self._attempt, request)

    def _timed_out(self, call) -> None:
        if call.on_reply is None or call.cancelled:
            return
        call.on_reply = None
        self._world.cancel(call)
        request = call.request
        if request.attempts >= _most_attempts(request):
            return
        if self._states_outcomes and not request.kind.idempotent:
            return
        self._attempt(request)


def _most_attempts(request: workload.Request) -> int:
    return _CRASHING_ATTEMPTS if request.crashes else MAX_ATTEMPTS
