"""Tests of which other nodes' watches a node relies on."""

import types
import zlib

import pytest

from medlardoor.mesh import coverage, settings, store_era
from medlardoor.mesh.tests import group
from medlardoor.store import memory
from medlardoor.wire.generated.medlardoor_messages import ttypes

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def _watching_node(instance, era):
    status = ttypes.NodeStatus(watches=True, failure_domain="d1", store_era=era)
    return types.SimpleNamespace(
        instance=instance, status=status, silent_intervals=lambda now: 0.0
    )


def _is_covered(own_era, *eras):
    """Whether a node is covered by watching nodes with these eras."""
    known = store_era.StoreEra(memory.MemoryObjectStore())
    known.record(own_era, "store")
    # The nodes that come first in the common order watch on behalf of others.
    *names, last = sorted(
        (f"n{number}" for number in range(len(eras) + 1)),
        key=lambda name: zlib.crc32(name.encode()),
    )
    nodes = [_watching_node(*each) for each in zip(names, eras, strict=True)]
    own = types.SimpleNamespace(
        instance=last, failure_domain="d1", links=settings.LinkSettings()
    )
    roster = types.SimpleNamespace(dialled_links=dict(enumerate(nodes)))
    return coverage.WatchCoverage(own, roster, known).is_covered


async def test_watch_of_an_earlier_era_covers_no_node():
    """A change is missed behind watches that have not followed a return."""
    assert _is_covered(2, 2, 2)
    assert not _is_covered(2, 2, 1)


async def test_watch_of_an_earlier_build_covers_no_node():
    """A change is missed behind watches of builds that ignore a return."""
    assert not _is_covered(2, 2, None)
    assert _is_covered(None, None, None)


async def test_node_behind_is_covered_by_those_ahead():
    """All nodes watch while they hear of a return one after the other."""
    assert _is_covered(1, 2, 2)


async def test_malformed_era_of_a_node_changes_nothing():
    """All nodes watch for good since one of them has sent a wrong era."""
    known = store_era.StoreEra(memory.MemoryObjectStore())
    known.record(2, "store")
    known.record(777_777, "node")
    assert known.current == 2


async def test_return_is_heard_of_from_other_nodes():
    """A node that makes no calls does not notice that the store returned."""
    async with group.run_group() as nodes:
        eras = [m.node._era for m in nodes.members.values()]
        heard = []
        eras[0].listen(lambda: heard.append(eras[0].current))
        await group.wait_until(lambda: all(e.current == 0 for e in eras))
        eras[1].record(3, "store")
        await group.wait_until(lambda: all(e.current == 3 for e in eras))
        assert heard == [3]
