"""Tests of a store in which another writer has left unreadable objects."""

import json

import pytest

from medlardoor.platform import objects
from medlardoor.platform.tests import serving
from medlardoor.standins import object_store

pytestmark = pytest.mark.anyio

UNREADABLE = [
    pytest.param({"host": "\ud800"}, id="surrogate"),
    pytest.param(json.loads("[" * 250 + "]" * 250), id="deep"),
]


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def standin():
    return object_store.StandinStore()


@pytest.fixture
async def client(standin):
    async with serving.serve(standin) as client:
        yield client


@pytest.mark.parametrize("spec", UNREADABLE)
async def test_unreadable_object_hides_no_other(client, standin, spec):
    """No node found any other after a restart: one object was unreadable."""
    for name in ("a", "b"):
        standin.put("instances", name, {"host": name})
    standin.put("instances", "bad", spec)
    standin.put("instances", "c", {"host": "c"})
    listed = (await client.list("instances/")).unwrap()
    assert [each.key for each in listed] == [
        "instances/a",
        "instances/b",
        "instances/c",
    ]
    # The same object counts again only when it has changed.
    await client.list("instances/")
    assert client.unreadable_objects == 1
    standin.put("instances", "bad", spec)
    await client.list("instances/")
    assert client.unreadable_objects == 2


@pytest.mark.parametrize("spec", UNREADABLE)
async def test_unreadable_neighbour_hides_no_document(client, standin, spec):
    """A watch must deliver the document beside an unreadable object."""
    version = standin.put("config", "main", {"n": 1})
    standin.put("config", "other", spec)
    standin.put("config", "main", {"n": 2})
    found = (await client.watch("config/main", version, 1.0)).unwrap()
    assert json.loads(found.value) == {"n": 2}


@pytest.mark.parametrize("spec", UNREADABLE)
async def test_unreadable_own_object_can_be_replaced(client, standin, spec):
    """A node must find the version of its own object to write it again."""
    standin.put("instances", "a", spec)
    read = (await client.read("instances/a")).unwrap()
    assert json.loads(read.value) is None
    await client.update("instances/a", b'{"host": "a"}', read.version)
    assert standin.spec("instances", "a") == {"host": "a"}


async def test_list_goes_on_behind_unreadable_objects():
    """The next part of a list is asked for after an unreadable last object."""
    bad = '{"metadata": {"name": "z", "revision": 1}, "spec": "\\ud800"}'
    parser = objects.ObjectParser()
    text = f'{{"items": [{bad}], "hasMore": true, "currentRev": 4}}'
    page = (await parser.parse_page("instances/", text.encode())).unwrap()
    assert (page.items, page.hasMore, page.last_name) == ((), True, "z")


async def test_unreadable_object_is_logged_when_it_changes(monkeypatch):
    """A permanent fault in the store must not fill the log."""
    logged = []
    monkeypatch.setattr(
        objects.logs, "log_event", lambda *_, **fields: logged.append(fields)
    )
    parser = objects.ObjectParser()
    for value in ("\\ud800", "\\ud800", "\\ud801"):
        text = f'{{"items": [{{"name": "a", "spec": "{value}"}}]}}'
        (await parser.parse_page("instances/", text.encode())).unwrap()
    assert [fields["name"] for fields in logged] == ["a", "a"]
    assert all(fields["reason"] for fields in logged)
