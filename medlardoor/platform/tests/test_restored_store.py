"""Tests of a node's documents when the store returns from an older copy."""

import json
import random

import anyio
import pytest

from medlardoor.mesh import document_watch, documents, settings
from medlardoor.platform import documents as platform_documents
from medlardoor.platform import names
from medlardoor.platform.tests import serving
from medlardoor.standins import object_store
from medlardoor.store import versions

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
async def unwatched():
    standin = object_store.StandinStore()
    async with serving.serve(standin) as client:
        yield Watched(standin, client)


@pytest.fixture
async def watched(unwatched):
    async with anyio.create_task_group() as group:
        group.start_soon(unwatched.watch.run)
        yield unwatched
        group.cancel_scope.cancel()


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


async def test_older_copy_does_not_replace_the_document(watched):
    """A node goes back to a document that was replaced before the return."""
    await watched.publish_in_turn(1)
    older = watched.standin.copy()
    await watched.publish_in_turn(2, 3)
    watched.standin.restore(older)
    await anyio.sleep(2 * SETTINGS.in_force_s)
    assert watched.number == 3
    assert watched.client.era == 2


async def test_lost_changes_written_again_do_not_go_back(watched):
    """Changes written again one by one bring the earlier ones back."""
    await watched.publish_in_turn(1)
    older = watched.standin.copy()
    await watched.publish_in_turn(2, 3, 4)
    seen = set()
    watched.holder.listen(lambda: seen.add(watched.number))
    watched.standin.restore(older)
    for number in (2, 3, 4):
        watched.publish(number)
        await anyio.sleep(0.2)
    assert (watched.number, seen) == (4, set())
    watched.publish(5)
    await watched.wait_for(5, SETTINGS.in_force_s)


async def test_number_given_out_again_replaces_the_lost_document(watched):
    """A change with the number of a lost one is taken for that one."""
    await watched.publish_in_turn(1)
    older = watched.standin.copy()
    await watched.publish_in_turn(2)
    watched.standin.restore(older)
    watched.standin.put(
        *names.CONFIG_KEY.split("/"),
        {
            "version": 2,
            "listeners": [{"host": "changed.example"}],
            "limits": {},
        },
    )
    version = versions.compose(2, watched.standin._revision)
    with anyio.move_on_after(SETTINGS.in_force_s):
        while watched.holder.version.stored != version:  # noqa: ASYNC110
            await anyio.sleep(0.01)
    assert b"changed.example" in watched.holder.value


async def test_second_return_hides_no_change(watched):
    """A return is taken for the first one that a node has noticed."""
    await watched.publish_in_turn(1)
    older = watched.standin.copy()
    for number in (10, 20):
        await watched.publish_in_turn(number)
        watched.standin.restore(older)
        await anyio.sleep(0.2)
    watched.publish(30)
    await watched.wait_for(30, SETTINGS.in_force_s)


async def _known(watched, number):
    """Publishes a document and returns its version, known to the client."""
    watched.publish(number)
    return (await watched.client.read(names.CONFIG_KEY)).unwrap().version


async def test_watch_reports_changes_up_to_a_revision_given_out_again(
    unwatched,
):
    """Changes are skipped whose revisions the node has seen in another era."""
    older = unwatched.standin.copy()
    for number in range(1, 5):
        version = await _known(unwatched, number)
    unwatched.standin.restore(older)
    unwatched.publish(9)
    for name in "abcdef":
        unwatched.standin.put("config", name, {})
    found = await unwatched.client.watch(names.CONFIG_KEY, version, 0.5)
    assert json.loads(found.unwrap().value)["version"] == 9


async def test_update_of_a_revision_given_out_again_conflicts(unwatched):
    """A write replaces an object that happens to have the expected revision."""
    older = unwatched.standin.copy()
    client = unwatched.client
    version = (await client.update("instances/a", b"1", 0)).unwrap()
    unwatched.standin.restore(older)
    unwatched.standin.put("instances", "a", 2)
    await client.read("instances/a")
    assert (await client.update("instances/a", b"3", version)).is_err()
    assert unwatched.standin.spec("instances", "a") == 2


async def test_answer_of_an_earlier_era_is_a_failure(unwatched):
    """A late answer from before the return is taken for the store's state."""
    older = unwatched.standin.copy()
    unwatched.standin.restore(older)
    await _known(unwatched, 1)
    unwatched.standin.era = 1
    assert (await unwatched.client.read(names.CONFIG_KEY)).is_err()
    assert (await unwatched.client.list("config/")).is_err()


@pytest.mark.parametrize(
    "era", [b"", b"-1", b"x", b"2.5", b"777777", b"9" * 40]
)
async def test_malformed_era_counts_as_the_known_one(unwatched, era):
    """One malformed header cuts a node off from the store."""
    version = await _known(unwatched, 1)
    unwatched.standin.era_text = era
    assert await _known(unwatched, 1) > version
    assert unwatched.client.era == 1
