"""Fakes of upstreams, callers and the transport under simulated time."""

import abc
import collections
from collections import abc as collections_abc
import dataclasses
import random

from medlardoor import errors
from medlardoor.bench import simulation, workload

__all__ = [
    "Call",
    "FakeUpstream",
    "Instance",
    "Reply",
    "World",
]

NOT_RUN = errors.Outcome.NOT_RUN
UNKNOWN = errors.Outcome.UNKNOWN
ANSWERED = errors.Outcome.ANSWERED

# Shape of the gamma distribution of service times; the standard deviation is
# half the mean.
_SERVICE_SHAPE = 4

# A cold upstream takes this many times as long at first, and warms up evenly.
COLD_FACTOR = 5.0
COLD_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Answer to one call.

    Attributes:
        outcome: What is known about its run.
        reason: Why there is no answer, or None.
        unspent: Retries that were not spent.
        path_level: Admission level on the path below.
        retry_after_s: When to come back, in seconds; 0 if not stated.
        work_s: Upstream time behind the answer, in seconds.
    """

    outcome: errors.Outcome
    reason: errors.Reason | None = None
    unspent: int = 0
    path_level: int = 0
    retry_after_s: float = 0.0
    work_s: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """One call on its way through an instance.

    Attributes:
        request: The request that it belongs to.
        hop: Position in the path of the kind.
        deadline: When the caller stops waiting, in seconds.
        on_reply: Called once with the reply.
        context: What the control under test sends along, or None.
        cancelled: Whether the caller has gone.
        instance: Where it runs.
        children: Outgoing calls in progress.
        dispatched_at: When a node gave it to the upstream, in seconds.
        started_at: When its work on the upstream began, in seconds.
        own_s: Own work of the upstream, in seconds.
        child_s: Upstream time of answered outgoing calls, in seconds.
    """

    request: workload.Request
    hop: int
    deadline: float
    on_reply: collections_abc.Callable[[Reply], None] | None
    context: object = None
    cancelled: bool = False
    instance: "Instance | None" = None
    children: list["Call"] = dataclasses.field(default_factory=list)
    dispatched_at: float = 0.0
    started_at: float | None = None
    own_s: float = 0.0
    child_s: float = 0.0

    @property
    def service(self) -> str:
        """Service that the call is for."""
        return self.request.kind.path[self.hop]

    @property
    def is_last(self) -> bool:
        """Whether the path ends here."""
        return self.hop + 1 == len(self.request.kind.path)


class FakeUpstream:
    """Slots with a FIFO queue inside, as an overloaded server has it.

    Args:
        world: The world it belongs to.
        spec: Its service.

    Attributes:
        slots: Requests that really run at a time.
        slow_factor: Factor on service times.
        restarted_at: Last cold start, in seconds; None if warm from the start.
        waiting: Accepted calls that have no slot yet.
        running: Calls that have a slot.
    """

    def __init__(self, world: "World", spec: workload.ServiceSpec):
        self._world = world
        self._spec = spec
        self.slots = spec.slots
        self.slow_factor = 1.0
        self.restarted_at: float | None = None
        # Dictionaries and not sets, whose order changes from run to run.
        self.waiting: collections.deque[Call] = collections.deque()
        self.running: dict[Call, None] = {}

    def submit(self, call: Call) -> bool:
        """Accepts a call; False if there is no connection left."""
        if len(self.running) < self.slots:
            self._start(call)
            return True
        if len(self.running) + len(self.waiting) >= self._spec.connections:
            return False
        self.waiting.append(call)
        return True

    def release(self, call: Call) -> None:
        """Ends a call, finished or cancelled, and starts the next one."""
        if call not in self.running:
            if call in self.waiting:
                self.waiting.remove(call)
            return
        del self.running[call]
        spent_s = min(call.own_s, self._world.simulator.now - call.started_at)
        call.request.work_s += spent_s
        while self.waiting and len(self.running) < self.slots:
            self._start(self.waiting.popleft())

    def factor(self) -> float:
        """Factor on service times now, cold start included."""
        if self.restarted_at is None:
            return self.slow_factor
        age_s = self._world.simulator.now - self.restarted_at
        cold = max(0.0, 1.0 - age_s / COLD_S) * (COLD_FACTOR - 1.0)
        return self.slow_factor * (1.0 + cold)

    def _start(self, call: Call) -> None:
        self.running[call] = None
        call.started_at = self._world.simulator.now
        mean_s = self._spec.service_s * self.factor()
        call.own_s = self._world.generator.gammavariate(
            _SERVICE_SHAPE, mean_s / _SERVICE_SHAPE
        )
        self._world.simulator.after(call.own_s, self._worked, call)

    def _worked(self, call: Call) -> None:
        if call not in self.running:
            return
        bottleneck = self._world.company.bottleneck
        if call.request.crashes and call.service == bottleneck:
            self._world.recorder.crashed()
            call.instance.restart()
        else:
            call.instance.worked(call)


class Instance(abc.ABC):
    """An upstream with what stands in front of it.

    Args:
        world: The world it belongs to.
        spec: Its service.
        index: Position in the service; also its failure domain.

    Attributes:
        is_up: Whether it accepts connections.
        upstream: Its upstream.
        active: Calls that it has received and not answered.
    """

    def __init__(self, world: "World", spec: workload.ServiceSpec, index: int):
        self._world = world
        self.spec = spec
        self.index = index
        self.is_up = True
        self.upstream = FakeUpstream(world, spec)
        self.active: dict[Call, None] = {}

    @property
    def queued(self) -> int:
        """Calls that wait for a slot, here and in the upstream."""
        return len(self.upstream.waiting)

    def receive(self, call: Call) -> None:
        """Takes a call from the transport."""
        call.instance = self
        self.active[call] = None
        self.admit(call)

    @abc.abstractmethod
    def admit(self, call: Call) -> None:
        """Runs, queues or refuses a call."""

    @abc.abstractmethod
    def call_next(self, call: Call) -> None:
        """Sends the outgoing call of a call whose own work is done."""

    @abc.abstractmethod
    def ended(self, call: Call, reply: Reply) -> None:
        """Notes that the upstream has ended a call."""

    def dispatch(self, call: Call) -> None:
        """Gives a call to the upstream."""
        if not self.upstream.submit(call):
            reply = Reply(NOT_RUN, errors.Reason.UPSTREAM_UNAVAILABLE)
            self.ended(call, reply)

    def worked(self, call: Call) -> None:
        """Continues a call after the own work of the upstream."""
        if call.is_last:
            self.complete(call, Reply(ANSWERED))
        else:
            self.call_next(call)

    def complete(self, call: Call, reply: Reply) -> None:
        """Ends a call on the upstream."""
        self.upstream.release(call)
        if reply.outcome is ANSWERED:
            runs = call.request.runs
            runs[call.service] = runs.get(call.service, 0) + 1
            work_s = call.own_s + call.child_s
            reply = dataclasses.replace(reply, work_s=work_s)
        self.ended(call, reply)

    def answer(self, call: Call, reply: Reply) -> None:
        """Sends the reply to where the call came from, at most once."""
        if call not in self.active:
            return
        del self.active[call]
        delay_s = self._world.delay_s(call)
        self._world.simulator.after(delay_s, _deliver, call, reply)

    def fail(self) -> None:
        """Ends the instance: connections break and calls are lost."""
        self.is_up = False
        for call in list(self.active):
            self.upstream.release(call)
            for child in call.children:
                self._world.cancel(child)
            reply = Reply(UNKNOWN, errors.Reason.UPSTREAM_FAILED)
            self.answer(call, reply)

    def restart(self) -> None:
        """Ends the calls in progress and starts cold."""
        self.fail()
        self.upstream.restarted_at = self._world.simulator.now
        self.is_up = True


def _deliver(call: Call, reply: Reply) -> None:
    if call.on_reply is not None and not call.cancelled:
        on_reply, call.on_reply = call.on_reply, None
        on_reply(reply)


class World:
    """Instances, transport and time of one run.

    Args:
        company: The workload.
        seed: Seed of all random numbers.

    Attributes:
        simulator: The time.
        generator: Source of random numbers.
        instances: Instances by service.
        recorder: Notes what happens; see `measures`.
    """

    INSTANCES = 3

    def __init__(self, company: workload.Company, seed: int):
        self.company = company
        self.simulator = simulation.Simulator()
        self.generator = random.Random(seed)
        self.instances: dict[str, list[Instance]] = {}
        self.recorder = None
        self.crash_rules: dict = {}
        self.propagates_cancellation = True

    def build(self, make: collections_abc.Callable) -> None:
        """Creates the instances.

        Args:
            make: Called with world, service and index of each instance.
        """
        for spec in self.company.services.values():
            self.instances[spec.name] = [
                make(self, spec, index) for index in range(self.INSTANCES)
            ]

    def delay_s(self, call: Call) -> float:
        """Delay of the transport for a call, one way, in seconds."""
        return self.company.hop_s if call.hop else self.company.caller_s

    def send(self, instance: Instance, call: Call) -> None:
        """Sends a call to an instance."""
        self.simulator.after(self.delay_s(call), self._arrive, instance, call)

    def cancel(self, call: Call) -> None:
        """Closes the connection of a call."""
        call.cancelled = True
        instance = call.instance
        if not self.propagates_cancellation or instance is None:
            return
        if call in instance.active:
            del instance.active[call]
            for child in call.children:
                self.cancel(child)
            instance.upstream.release(call)
            instance.ended(call, Reply(UNKNOWN, errors.Reason.CANCELLED))

    def _arrive(self, instance: Instance, call: Call) -> None:
        if call.cancelled and self.propagates_cancellation:
            return
        if instance.is_up:
            instance.receive(call)
            return
        reply = Reply(NOT_RUN, errors.Reason.NODE_UNREACHABLE)
        self.simulator.after(self.delay_s(call), _deliver, call, reply)
