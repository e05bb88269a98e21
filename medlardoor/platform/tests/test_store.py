"""Tests of the store client against the stand-in of the platform's store."""

import json
import random
import urllib.parse

import anyio
import pytest

from medlardoor import errors
from medlardoor.mesh import presence, settings
from medlardoor.platform import settings as platform_settings
from medlardoor.platform import store
from medlardoor.platform.tests import serving, test_settings
from medlardoor.soak import relay
from medlardoor.standins import object_store
from medlardoor.store import versions

pytestmark = pytest.mark.anyio

Fault = object_store.StoreFault


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture(params=[None, 1])
async def standin(request):
    """A store without eras, and one that has not returned from a copy."""
    standin = object_store.StandinStore()
    standin.era = request.param
    return standin


def _put(standin, kind, name, spec):
    """Writes an object as the operator does; returns its version."""
    return versions.compose(standin.era or 0, standin.put(kind, name, spec))


@pytest.fixture
async def client(standin):
    async with serving.serve(standin) as client:
        yield client


async def test_object_is_created_and_replaced(client, standin):
    """An object of a node is never written, or not replaced."""
    first = (await client.update("instances/a", b'{"x": 1}', 0)).unwrap()
    second = (await client.update("instances/a", b'{"x": 2}', first)).unwrap()
    assert second > first
    assert standin.spec("instances", "a") == {"x": 2}
    read = (await client.read("instances/a")).unwrap()
    assert (json.loads(read.value), read.version) == ({"x": 2}, second)


async def test_update_with_an_old_version_changes_nothing(client, standin):
    """The later of two writers wins without knowing of the first."""
    first = (await client.update("instances/a", b"1", 0)).unwrap()
    await client.update("instances/a", b"2", first)
    assert (await client.update("instances/a", b"3", first)).is_err()
    assert (await client.update("instances/a", b"4", 0)).is_err()
    assert standin.spec("instances", "a") == 2


async def test_missing_object_is_none(client):
    """An object that does not exist is taken for a failure of the store."""
    assert (await client.read("config/main")).unwrap() is None
    assert (await client.list("instances/")).unwrap() == ()
    assert (await client.delete("instances/a")).is_ok()


async def test_watch_returns_the_latest_change(client, standin):
    """A change that comes during a watch, or before it, is missed."""
    version = _put(standin, "config", "main", {"n": 1})
    standin.put("config", "main", {"n": 2})
    latest = _put(standin, "config", "main", {"n": 3})
    found = (await client.watch("config/main", version, 1.0)).unwrap()
    assert (json.loads(found.value), found.version) == ({"n": 3}, latest)
    async with anyio.create_task_group() as group:

        async def change():
            await anyio.sleep(0.02)
            standin.put("config", "main", {"n": 4})

        group.start_soon(change)
        found = (await client.watch("config/main", latest, 2.0)).unwrap()
    assert json.loads(found.value) == {"n": 4}


async def test_watch_without_change_returns_none(client, standin):
    """A watch that ends without a change is taken for a failure."""
    version = _put(standin, "config", "main", {"n": 1})
    assert (await client.watch("config/main", version, 0.05)).unwrap() is None


def _largest(number):
    """Returns a content that makes an object as large as the store keeps."""
    empty = {"metadata": {"name": "main"}, "spec": {"n": number, "text": ""}}
    size = len(json.dumps(empty, separators=(",", ":")))
    return {"n": number, "text": "x" * (serving.VALUE_BYTES - size)}


async def test_largest_object_is_read(client, standin):
    """A document that the store had accepted never came into force."""
    version = _put(standin, "config", "main", {"n": 1})
    latest = _put(standin, "config", "main", _largest(2))
    read = (await client.read("config/main")).unwrap()
    assert (json.loads(read.value), read.version) == (_largest(2), latest)
    found = (await client.watch("config/main", version, 1.0)).unwrap()
    assert (json.loads(found.value), found.version) == (_largest(2), latest)


async def test_watch_with_many_large_versions_reads_the_last(client, standin):
    """A watch failed each time, since its versions exceed the limit."""
    version = _put(standin, "config", "main", {"n": 1})
    for number in range(2, 12):
        latest = _put(standin, "config", "main", _largest(number))
    found = (await client.watch("config/main", version, 1.0)).unwrap()
    assert (json.loads(found.value)["n"], found.version) == (11, latest)


async def test_response_above_the_limit_has_a_type_of_its_own(client, standin):
    """A response that can never be read is taken for a store that is away."""
    standin.put("config", "main", {"text": "x" * 3 * serving.VALUE_BYTES})
    failure = (await client.read("config/main")).unwrap_err()
    assert isinstance(failure, errors.StoreResponseTooLarge)
    assert failure.max_bytes == 2 * serving.VALUE_BYTES


async def test_silent_idle_connection_is_not_used_again(standin):
    """A call hangs on an idle connection that has stopped working."""
    standin.put("config", "main", {"n": 1})
    async with serving.serve(standin) as direct:
        target = urllib.parse.urlsplit(direct._base)
        between = relay.Relay((target.hostname, target.port))
        await between.listen("127.0.0.1", 0)
        host, port = between._server.sockets[0].getsockname()
        client = store.PlatformStore(
            settings.Address(host, port), serving.VALUE_BYTES
        )
        await client.read("config/main")
        between.silence()
        await anyio.sleep(1.0)
        read = await client.read("config/main")
        await client.aclose()
        between.close()
        assert read.is_ok(), read.err_value.message


async def _calls_of_watches(client, standin, version):
    """Number of calls that watching without a change takes in 0.3 s."""
    before = standin.calls
    with anyio.move_on_after(0.3):
        while True:
            found = await client.watch("config/main", version, 0.1)
            assert found.unwrap() is None
    return standin.calls - before


async def test_changes_of_other_objects_cost_few_calls(client, standin):
    """A change of another object makes a node ask again without a pause."""
    version = _put(standin, "config", "main", {"n": 1})
    standin.put("config", "other", {"n": 2})
    assert await _calls_of_watches(client, standin, version) <= 8
    latest = _put(standin, "config", "main", {"n": 3})
    found = (await client.watch("config/main", version, 1.0)).unwrap()
    assert found.version == latest


async def test_dropped_history_costs_few_calls(client, standin):
    """A node asks without a pause once the history of its version is gone."""
    version = _put(standin, "config", "main", {"n": 1})
    standin.put("instances", "a", {})
    standin.forget_history()
    assert await _calls_of_watches(client, standin, version) <= 8
    latest = _put(standin, "config", "main", {"n": 3})
    found = (await client.watch("config/main", version, 1.0)).unwrap()
    assert found.version == latest


async def test_forgotten_history_is_read_anew(client, standin):
    """A node keeps watching from a version whose history is gone."""
    version = _put(standin, "config", "main", {"n": 1})
    standin.put("config", "main", {"n": 2})
    standin.forget_history()
    found = (await client.watch("config/main", version, 1.0)).unwrap()
    assert json.loads(found.value) == {"n": 2}


async def test_objects_of_other_writers_are_skipped(client, standin):
    """An object that nobody can read hides all others."""
    standin.put("instances", "a", {"host": "h"})
    standin.put("instances", "b", ["not", "ours"])
    found = (await client.list("instances/")).unwrap()
    assert [o.key for o in found] == ["instances/a", "instances/b"]


async def test_list_reads_all_pages(client, standin):
    """Nodes behind the first page are never found."""
    for number in range(1_100):
        standin.put("instances", f"n{number:05}", {})
    assert len((await client.list("instances/")).unwrap()) == 1_100


@pytest.mark.parametrize("fault", [Fault.BUSY, Fault.LIMITED, Fault.SILENT])
async def test_refused_call_is_unavailable(client, standin, fault, monkeypatch):
    """A store that turns a node away ends the node's task."""
    monkeypatch.setattr(store, "CALL_TIMEOUT_S", 0.1)
    client._caller._timeout_s = 0.1
    standin.fault = fault
    for call in (
        client.read("config/main"),
        client.update("instances/a", b"1", 0),
        client.watch("config/main", 0, 0.05),
        client.list("instances/"),
        client.delete("instances/a"),
    ):
        assert (await call).is_err()


async def test_lost_answer_may_have_taken_effect(client, standin):
    """A write whose answer was lost is taken for one that did nothing."""
    client._caller._timeout_s = 0.1
    standin.fault = Fault.LOST
    assert (await client.update("instances/a", b"1", 0)).is_err()
    standin.fault = Fault.NONE
    assert (await client.read("instances/a")).unwrap().value == b"1"


async def test_watch_without_change_costs_one_call(client, standin):
    """Each watch is followed by a second call that waits for nothing."""
    _put(standin, "config", "main", {"n": 1})
    version = (await client.read("config/main")).unwrap().version
    before = standin.calls
    assert (await client.watch("config/main", version, 0.2)).unwrap() is None
    assert standin.calls - before == 1


async def test_lists_are_cheap(client, standin):
    """A list of all nodes costs the store as much as a read that is fresh."""
    standin.put("instances", "a", {})
    await client.list("instances/")
    assert (standin.calls, standin.stale_calls) == (1, 1)
    await client.read("instances/a")
    assert (standin.calls, standin.stale_calls) == (2, 1)


def _presence(client, restored):
    parsed = platform_settings.parse("node.conf", test_settings.TEXT)
    return presence.Presence(
        platform_settings.to_mesh(parsed.unwrap()),
        client,
        lambda node, address: None,
        lambda upstream_id, born_ms: restored.append((upstream_id, born_ms)),
        lambda: True,
        lambda: True,
        lambda: 1,
        random.Random(1),
    )


async def _run_presence(client, restored, until, note=None):
    own = _presence(client, restored)
    async with anyio.create_task_group() as group:
        group.start_soon(own.run)
        if note is not None:
            own.record_departure(*note)
        with anyio.fail_after(2.0):
            while not until():  # noqa: ASYNC110
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()


async def test_first_start_costs_one_call_for_the_own_object(client, standin):
    """A node asks for an object that cannot be there yet."""

    def is_done():
        return standin.calls - standin.stale_calls and standin.stale_calls

    await _run_presence(client, [], is_done)
    assert standin.calls - standin.stale_calls == 1


async def test_restart_does_not_forget_a_leaving(client, standin):
    """The first write of a restarted node replaces what was stored before."""

    def spec():
        return standin.spec("instances", "sidecar-hobart-a-1") or {}

    await _run_presence(
        client, [], lambda: spec().get("left_id") == "i-1", ("i-1", 5)
    )
    restored = []
    await _run_presence(client, restored, lambda: restored)
    assert restored == [("i-1", 5)]
    assert spec()["left_id"] == "i-1"
