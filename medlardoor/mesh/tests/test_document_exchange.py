"""Tests of the exchange of documents beside nodes of earlier builds."""

import pytest

from medlardoor.mesh import document_exchange, documents
from medlardoor.mesh.tests import group
from medlardoor.store import versions
from medlardoor.wire.generated.medlardoor_messages import ttypes

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class RecordingLink:
    """Link that records what is sent on it."""

    def __init__(self):
        self.frames = []

    def send(self, frame):
        self.frames.append(frame)


def _value(number):
    return "\n".join([f"version {number}", *group.DOCUMENT]).encode()


class Exchange:
    """An exchange whose node has document 5 of era 2, revision 22."""

    def __init__(self):
        self.holder = documents.DocumentHolder(group.Decoder())
        self.holder.offer(versions.compose(2, 22), _value(5), "store")
        self.exchange = document_exchange.DocumentExchange(
            self.holder, ttypes.NodeStatus
        )
        self.link = RecordingLink()

    def receive_status(self, **fields):
        """Returns the frames sent in answer to a status."""
        self.link.frames.clear()
        self.exchange._requested_at = -1.0
        status = ttypes.NodeStatus(**fields)
        self.exchange.synchronize(self.link, status, True)
        return self.link.frames


@pytest.fixture
async def exchange():
    return Exchange()


async def test_outdated_document_of_an_earlier_build_is_requested_once(
    exchange,
):
    """A node that missed a return has its document sent without end."""
    (request,) = exchange.receive_status(document_revision=40)
    assert request.status is not None
    transfer = ttypes.RouteTransfer(revision=40, value=_value(4))
    exchange.exchange.receive(transfer)
    assert exchange.receive_status(document_revision=40) == []
    assert exchange.holder.version.number == 5


async def test_newer_document_of_an_earlier_build_is_adopted(exchange):
    """A document is ignored since an earlier build does not name its era."""
    assert exchange.receive_status(document_revision=23)
    exchange.exchange.receive(
        ttypes.RouteTransfer(revision=23, value=_value(6))
    )
    assert exchange.holder.version.number == 6


async def test_earlier_build_gets_the_revision_without_its_era(exchange):
    """A node of an earlier build keeps a revision that the store never has."""
    (sent,) = exchange.receive_status(document_revision=21)
    assert (sent.routes.revision, sent.routes.value) == (22, _value(5))


async def test_invalid_document_is_requested_once(exchange):
    """A document that this node rejects is sent to it without end."""
    stored = versions.compose(2, 23)
    newer = {"document_number": 6, "document_stored": stored}
    assert exchange.receive_status(**newer)
    exchange.exchange.receive(ttypes.RouteTransfer(stored=stored, value=b""))
    assert exchange.receive_status(**newer) == []


@pytest.mark.parametrize("stored", [-1, 2**62])
async def test_number_that_is_no_version_is_ignored(exchange, stored):
    """One malformed transfer makes the comparison with statuses fail."""
    exchange.exchange.receive(
        ttypes.RouteTransfer(stored=stored, value=_value(9))
    )
    assert exchange.holder.version.number == 5
    assert exchange.receive_status(document_revision=22) == []
