"""Tests of a node's documents when the store returns from an older copy."""

import asyncio
import contextlib
import random

import anyio
import pytest

from medlardoor.mesh import (
    document_watch,
    documents,
    server_connection,
    settings,
)
from medlardoor.platform import documents as platform_documents
from medlardoor.platform import names, store
from medlardoor.standins import object_store

pytestmark = pytest.mark.anyio

SETTINGS = settings.DocumentSettings(in_force_s=1.0)

# Time for adoptions that no bound limits, in seconds.
ADOPTION_TIMEOUT_S = 5.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Watched:
    """A store and the documents of a node that watches it."""

    def __init__(self, standin, client):
        self.standin = standin
        self.client = client
        self.holder = documents.DocumentHolder(
            platform_documents.ConfigDecoder()
        )
        self.watch = document_watch.DocumentWatch(
            SETTINGS,
            client,
            names.CONFIG_KEY,
            self.holder,
            lambda: False,
            lambda: None,
            random.Random(1),
        )

    @property
    def number(self):
        """Number of the document in force; 0 without one."""
        table = self.holder.table
        return 0 if table is None else table.document.version

    def publish(self, number):
        self.standin.put(
            *names.CONFIG_KEY.split("/"), {"version": number, "listeners": []}
        )

    async def wait_for(self, number, timeout_s=ADOPTION_TIMEOUT_S):
        with anyio.move_on_after(timeout_s):
            while self.number != number:  # noqa: ASYNC110
                await anyio.sleep(0.01)
        assert self.number == number, f"{number} not in force in {timeout_s} s"

    async def publish_in_turn(self, *numbers):
        for number in numbers:
            self.publish(number)
            await self.wait_for(number)


@pytest.fixture
async def watched():
    async with _watch_store() as watched:
        yield watched


@contextlib.asynccontextmanager
async def _watch_store():
    standin = object_store.StandinStore()
    connections = set()
    server = await asyncio.get_running_loop().create_server(
        lambda: server_connection.ServerConnection(standin, connections),
        "127.0.0.1",
        0,
    )
    host, port = server.sockets[0].getsockname()
    client = store.PlatformStore(settings.Address(host, port))
    watched = Watched(standin, client)
    async with anyio.create_task_group() as group:
        group.start_soon(watched.watch.run)
        yield watched
        group.cancel_scope.cancel()
    server.close()
    await client.aclose()


@pytest.mark.parametrize("lost_changes", [1, 2, 5])
async def test_change_after_a_return_is_in_force_in_time(watched, lost_changes):
    """A change with a revision that was given out before is ignored."""
    await watched.publish_in_turn(1)
    older = watched.standin.copy()
    await watched.publish_in_turn(*range(2, 2 + lost_changes))
    watched.standin.restore(older)
    await anyio.sleep(0.2)
    watched.publish(100)
    await watched.wait_for(100, SETTINGS.in_force_s)
