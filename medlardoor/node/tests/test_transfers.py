"""Tests of document transfers between nodes on fake transports."""

import hashlib

import anyio
import pytest
import result

from medlardoor.node.control import control
from medlardoor.node.tests import inprocess
from medlardoor.wire import authentication, codec
from medlardoor.wire.generated.medlardoor_messages import ttypes

NEWER = inprocess.document_object(
    importance_classes=["orders", "stock", "other"]
)
PATH = "/.medlardoor/document"


def _response(node, key=None, digest=None, version=5, change=None, status=200):
    transfer = ttypes.DocumentTransfer(
        version, digest or hashlib.sha256(NEWER).digest(), NEWER
    )
    data = codec.encode(transfer)
    key = key or node.parts.cluster_key
    code = key.derive("control").mac(data).hex().encode()
    if change is not None:
        data = change(data)
    headers = [(control.AUTHORIZATION_HEADER, code)]
    return inprocess.PlainResponse(status, headers, data)


async def _offer(node, response):
    async def handle(address, request):
        return result.Ok(response)

    node.nodes.handler = handle
    node.add_member("order", document_version=5)
    task = node.parts.configuration_task
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(task.run)
        await anyio.sleep(0.5)
        tasks.cancel_scope.cancel()
    assert node.nodes.sent


@inprocess.test
async def test_authentic_transfer_is_adopted(node):
    """Control of the tests below: an authentic transfer is adopted."""
    await _offer(node, _response(node))
    assert node.board.policy.version == 5


BAD = {
    "other key": {"key": authentication.ClusterKey("another key of nodes")},
    "control key itself": {
        "key": authentication.ClusterKey("x" * 32).derive("control")
    },
    "wrong digest": {"digest": b"x" * 32},
    "damaged": {"change": lambda data: data[:-9] + b"x" + data[-8:]},
    "truncated": {"change": lambda data: data[:-1]},
    "extended": {"change": lambda data: data + b"x"},
    "empty": {"change": lambda data: b""},
    "endless": {"change": lambda data: data + b"x" * 2_000_000},
    "no version": {"version": None},
    "negative version": {"version": -7},
    "status": {"status": 503},
}


@pytest.mark.parametrize("name", BAD)
def test_bad_transfer_is_not_adopted(name):
    """A forged or damaged document must not be adopted."""

    async def check(node):
        await _offer(node, _response(node, **BAD[name]))
        assert node.board.policy.version == 1

    inprocess.run(check)


@inprocess.test
async def test_older_version_is_never_adopted(node):
    """A peer must not bring back an older document."""
    now = anyio.current_time()
    node.parts.adoption.offer(9, NEWER, now)
    for version in (1, 5, 8, 9):
        response = _response(node, version=version)
        node.nodes.handler = _handler(response)
        member = node.add_member("order", document_version=100)
        fetched = await control.fetch_document(
            node.nodes, member, node.parts.cluster_key
        )
        assert fetched.is_ok()
        node.parts.adoption.offer_transfer(fetched.ok(), now)
        assert node.board.policy.version == 9


def _handler(response):
    async def handle(address, request):
        return result.Ok(response)

    return handle


@pytest.mark.parametrize("code", ["", "00", "\xff", "a" * 5_000])
def test_document_is_only_for_nodes(code):
    """A client without the cluster key must not read the document."""

    async def check(node):
        caller = inprocess.Caller(
            node.apps.peer, "GET", PATH, medlardoor_authorization=code
        )
        await caller.run()
        assert caller.status == 400

    inprocess.run(check)


@inprocess.test
async def test_nodes_exchange_the_document(node):
    """A node must accept the document response of another node."""
    key = node.parts.cluster_key.derive("control")
    code = key.mac(PATH.encode()).hex()
    caller = inprocess.Caller(
        node.apps.peer, "GET", PATH, medlardoor_authorization=code
    )
    await caller.run()
    assert caller.status == 200
    headers = [
        (name.encode(), value.encode())
        for name, value in caller.headers.items()
    ]
    node.nodes.handler = _handler(
        inprocess.PlainResponse(200, headers, caller.body)
    )
    fetched = await control.fetch_document(
        node.nodes, node.add_member(), node.parts.cluster_key
    )
    assert fetched.ok().version == 1
    assert fetched.ok().value == inprocess.document_object()
