"""Property test of G1, G4 and G5 with several owners, restarts and expiry."""

import collections
import dataclasses
from unittest import mock

import hypothesis
from hypothesis import strategies

from medlardoor import errors
from medlardoor.config import settings as settings_module
from medlardoor.ledger import keys, records, state, usage

NODES = 2
BUDGET = 2
SETTINGS = settings_module.LedgerSettings(
    keep_s=60.0, max_records=3, max_bytes=100_000
)
ANSWER = state.Answer(200, (), b"done")


@dataclasses.dataclass
class Node:
    """Simulated process with its clock and its runs in progress."""

    issuer: keys.KeyIssuer
    ledger: records.Ledger
    now: float = 0.0
    running: list = dataclasses.field(default_factory=list)


class Cluster:
    """Sends requests to the owners of their keys and records the runs."""

    def __init__(self, idempotent):
        self.idempotent = idempotent
        self.starts = 0
        self.issued = []
        # Maps a successor key to the first key of its request.
        self.first_key = {}
        self.reported_not_run = set()
        self.ran = collections.Counter()
        self.dispatched = collections.Counter()
        self.nodes = [self.start(name) for name in range(NODES)]

    def start(self, name):
        self.starts += 1
        process_id = f"p{self.starts}"
        issuer = keys.KeyIssuer(SETTINGS, str(name), process_id, "s" * 16)
        return Node(issuer, records.Ledger(SETTINGS, issuer))

    def issue(self, choice):
        node = self.nodes[choice % NODES]
        self.issued += node.issuer.issue(1 + choice % 8, node.now)

    def send(self, choice):
        if not self.issued:
            return
        key = self.issued[choice % len(self.issued)]
        owner = int(key.split(".")[0])
        # One request in four reaches a node that does not own its key.
        name = owner if choice % 4 else (owner + 1) % NODES
        node = self.nodes[name]
        decision = node.ledger.begin(
            key, b"d", node.now, BUDGET, self.idempotent
        )
        if isinstance(decision, records.Run):
            assert key not in self.reported_not_run, "ran after not-run"
            assert not any(key in n.running for n in self.nodes)
            node.running.append(key)
        elif isinstance(decision, records.Denied):
            self.report(key, decision.refusal.outcome)
            self.add_successor(key, decision.refusal.next_key)

    def finish(self, choice):
        node = self.nodes[choice % NODES]
        if not node.running:
            return
        key = node.running.pop(choice % len(node.running))
        end = choice // NODES % 4
        outcome = (
            errors.Outcome.ANSWERED,
            errors.Outcome.UNKNOWN,
            errors.Outcome.NOT_RUN,
            errors.Outcome.NOT_RUN,
        )[end]
        request = self.first_key.get(key, key)
        self.ran[request] += end < 2
        self.dispatched[request] += end < 3
        answer = ANSWER if end == 0 else None
        self.report(
            key,
            node.ledger.complete(key, outcome, answer, node.now, end < 3),
        )
        self.add_successor(key, node.ledger.successor_of(key))

    def add_successor(self, key, successor):
        """Issues the successor; attempts with older keys are still sent."""
        if successor and successor not in self.first_key:
            self.first_key[successor] = self.first_key.get(key, key)
            self.issued.append(successor)

    def restart(self, choice):
        name = choice % NODES
        # The upstream may complete requests dispatched by the ended process.
        lost = [self.first_key.get(k, k) for k in self.nodes[name].running]
        self.ran.update(lost)
        self.dispatched.update(lost)
        self.nodes[name] = self.start(name)

    def pause(self, choice):
        self.nodes[choice % NODES].now += (0.5, 5.0, 40.0, 70.0)[
            choice // NODES % 4
        ]

    def report(self, key, outcome):
        if outcome is errors.Outcome.NOT_RUN:
            self.reported_not_run.add(key)
            request = self.first_key.get(key, key)
            assert self.ran[request] == 0, "not-run reported, but it ran"
            running = {
                self.first_key.get(k, k)
                for node in self.nodes
                for k in node.running
            }
            assert request not in running

    def check(self):
        assert max(self.dispatched.values(), default=0) <= 1 + BUDGET
        if not self.idempotent:
            assert max(self.ran.values(), default=0) <= 1, "ran twice"


# Restarts are rare, so that most processes run until their keys expire.
OPERATIONS = ("issue", "send", "send", "send", "finish", "finish", "pause")
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from((*OPERATIONS * 5, "restart")),
        strategies.integers(0, 23),
    ),
    min_size=20,
    max_size=120,
)


@hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
@hypothesis.given(idempotent=strategies.booleans(), steps=STEPS)
def test_no_interleaving_breaks_the_guarantees(idempotent, steps):
    """G1, G4, G5: a request runs too often or is falsely reported not run."""
    # With small chunks, bitmap chunks are freed within one example.
    with mock.patch.object(usage, "KEYS_PER_CHUNK", 8):
        cluster = Cluster(idempotent)
        cluster.issue(2)
        for operation, choice in steps:
            getattr(cluster, operation)(choice)
            cluster.check()
