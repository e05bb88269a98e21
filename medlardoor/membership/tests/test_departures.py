"""Orders of the messages that an upstream's starts send, with restarts."""

import dataclasses

import hypothesis
from hypothesis import stateful, strategies

from medlardoor.membership import announcements, departures
from medlardoor.mesh.tests import fuzzing

UpstreamChange = announcements.UpstreamChange

# Identifiers of starts; a later start may have that of an earlier one.
identifiers = strategies.sampled_from(("i-1", "i-2"))
# Messages of three starts, with two heartbeats each.
MAX_MESSAGES = 9

# Whether a start drains, deregisters, or ends without a word.
endings = strategies.sampled_from((True, False, None))


@dataclasses.dataclass
class _Start:
    """One start of the upstream at the address.

    Attributes:
        upstream_id: Identifier of the upstream.
        born_ms: Its start, in milliseconds.
        sequence: Number of its last heartbeat.
        leaves: Whether it has sent a message that it leaves.
        has_left: Whether such a message was acknowledged.
    """

    upstream_id: str
    born_ms: int
    sequence: int = 0
    leaves: bool = False
    has_left: bool = False

    def next_heartbeat(self):
        self.sequence += 1
        return announcements.Announcement(
            self.upstream_id,
            self.born_ms,
            self.sequence,
            slots=8,
            draining=self.leaves,
        )


class Departures(stateful.RuleBasedStateMachine):
    """Delivers the messages of successive starts late, in any order, doubled.

    After an acknowledged end of a start, no message of it or of an earlier one
    brings it back, and a later start is used.
    """

    def __init__(self):
        super().__init__()
        self.register = announcements.UpstreamRegister()
        self.stored = departures.DepartureList(departures.MAX_TOLD_DEPARTURES)
        # Pairs of a start and its heartbeat; None for its deregistration.
        self.messages = []
        # The last start; it listens at the address.
        self.live = None

    @stateful.initialize(
        starts=strategies.lists(
            strategies.tuples(identifiers, strategies.integers(1, 2), endings),
            min_size=2,
            max_size=3,
        )
    )
    def send(self, starts):
        """Each start sends its messages, which are all still on their way."""
        for number, (upstream_id, heartbeats, ending) in enumerate(starts, 1):
            start = self.live = _Start(upstream_id, number * 1_000)
            for _ in range(heartbeats):
                self.messages.append((start, start.next_heartbeat()))
            start.leaves = ending is not None
            if ending is not None:
                last = start.next_heartbeat() if ending else None
                self.messages.append((start, last))

    @stateful.rule(numbers=strategies.permutations(range(MAX_MESSAGES)))
    def deliver(self, numbers):
        """Messages arrive in any order; they may arrive again."""
        for number in numbers:
            if number < len(self.messages):
                self._deliver(*self.messages[number])
                self.departed_start_gets_no_requests()

    @stateful.rule()
    def restart_node(self):
        """The node starts again, and reads the departures from the store."""
        self.register = announcements.UpstreamRegister()
        for departure in self.stored:
            self.register.restore_departure(
                departure.upstream_id, departure.born_ms
            )

    @stateful.precondition(lambda self: not self.live.leaves)
    @stateful.rule()
    def deliver_fresh_heartbeat(self):
        """A start that does not leave is in use after its next heartbeat."""
        self._deliver(self.live, self.live.next_heartbeat())
        assert self.register.is_usable
        assert self.register.current.born_ms == self.live.born_ms

    @stateful.invariant()
    def departed_start_gets_no_requests(self):
        """Requests reach the live start if they are for its identifier."""
        register = self.register
        is_live_in_use = (
            self.live is not None
            and register.is_usable
            and register.current.upstream_id == self.live.upstream_id
        )
        assert not (is_live_in_use and self.live.has_left)

    def _deliver(self, start, heartbeat):
        if heartbeat is None:
            change = self.register.deregister(start.upstream_id, start.born_ms)
        else:
            change = self.register.apply_heartbeat(heartbeat, 0.0)
        if heartbeat is None or heartbeat.draining:
            start.has_left = True
        if change in (UpstreamChange.LEAVING, UpstreamChange.LEFT):
            self.stored.add(self.register.last_departure)


TestDepartures = Departures.TestCase
TestDepartures.settings = hypothesis.settings(
    fuzzing.examples(600), stateful_step_count=6
)
