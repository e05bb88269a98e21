"""Property tests of the order of documents across returns of the store."""

import functools

import anyio
import hypothesis
from hypothesis import strategies

from medlardoor.mesh import documents
from medlardoor.mesh.tests import group
from medlardoor.store import memory

NODES = 3

_nodes = strategies.integers(0, NODES - 1)
_steps = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("publish"), strategies.integers(1, 3)
        ),
        strategies.tuples(strategies.just("copy")),
        strategies.tuples(strategies.just("restore")),
        strategies.tuples(strategies.just("write again")),
        strategies.tuples(strategies.just("read"), _nodes),
        strategies.tuples(strategies.just("transfer"), _nodes, _nodes),
        strategies.tuples(strategies.just("restart"), _nodes),
    ),
    max_size=40,
)


class Fleet:
    """Holders of a few nodes and the store that they read."""

    def __init__(self):
        self.table = memory.ObjectTable()
        self.older = self.table.copy()
        self.number = 0
        self.holders = [self._make_holder() for _ in range(NODES)]
        self.publish(1)

    def _make_holder(self):
        return documents.DocumentHolder(group.Decoder())

    def publish(self, step):
        """Writes a document with a higher number than all before."""
        self.number += step
        self.write_again()

    def write_again(self):
        known = self.table.read(group.DOCUMENT_KEY)
        version = known.version if known else 0
        lines = [f"version {self.number}", *group.DOCUMENT]
        self.table.update(
            group.DOCUMENT_KEY, "\n".join(lines).encode(), version
        ).unwrap()

    def copy(self):
        self.older = self.table.copy()

    def restore(self):
        self.table.restore(self.older)

    def read(self, node):
        found = self.table.read(group.DOCUMENT_KEY)
        if found is not None:
            self.holders[node].offer(found.version, found.value, "store")

    def transfer(self, sender, receiver):
        holder = self.holders[sender]
        if holder.table is not None:
            self.holders[receiver].offer(
                holder.version.stored, holder.value, "node"
            )

    def restart(self, node):
        self.holders[node] = self._make_holder()

    def numbers(self):
        return [holder.version.number for holder in self.holders]


def property_of_steps(check):
    """Makes a property test of a check; log lines need an event loop."""

    @functools.wraps(check)
    def test(steps):
        async def main():
            check(steps)

        anyio.run(main)

    settings = hypothesis.settings(deadline=None)
    return hypothesis.given(steps=_steps)(settings(test))


def _run(steps):
    """Runs steps; no node may go back but by a restart."""
    fleet = Fleet()
    for name, *arguments in steps:
        before = fleet.numbers()
        getattr(fleet, name.replace(" ", "_"))(*arguments)
        after = fleet.numbers()
        if name == "restart":
            before[arguments[0]] = 0
        assert all(new >= old for new, old in zip(after, before, strict=True))
    return fleet


@property_of_steps
def test_no_node_goes_back_to_an_earlier_document(steps):
    """A return, a copy or a slow node brings an earlier document back."""
    _run(steps)


@property_of_steps
def test_all_nodes_come_to_the_newest_document(steps):
    """Nodes keep different documents, each of which they take for newest."""
    fleet = _run(steps)
    newest = max(fleet.numbers())
    found = fleet.table.read(group.DOCUMENT_KEY)
    if found is not None:
        number = int(found.value.split()[1])
        newest = max(newest, number)
    for node in range(NODES):
        fleet.read(node)
    for sender in range(NODES):
        for receiver in range(NODES):
            fleet.transfer(sender, receiver)
    assert fleet.numbers() == [newest] * NODES


@property_of_steps
def test_change_after_any_history_is_adopted(steps):
    """A change is ignored since its place in the store was given out before."""
    fleet = _run(steps)
    fleet.publish(1)
    for node in range(NODES):
        fleet.read(node)
    assert fleet.numbers() == [fleet.number] * NODES
