"""Generated input for what the platform and its upstreams send."""

import asyncio
import json

import hypothesis
from hypothesis import strategies

from medlardoor.membership import announcements
from medlardoor.mesh import handlers
from medlardoor.mesh.tests import fuzzing
from medlardoor.platform import documents, heartbeats, objects, settings
from medlardoor.platform.tests import test_documents, test_settings

JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=True)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(
                ["metadata", "name", "revision", "spec", "items", "events"]
                + ["object", "currentRev", "deleted", "service", "address"]
                + ["slots", "state", "sequence", "born", "coldLeft"]
            ),
            inner,
            max_size=5,
        )
    ),
    max_leaves=12,
)


@hypothesis.given(value=JSON, changes=fuzzing.mutations)
@fuzzing.examples(150)
def test_answers_of_the_store(value, changes):
    """An answer of the store raises in the task that reads it."""
    data = fuzzing.mutate(json.dumps(value).encode(), changes)

    async def parse_all():
        parser = objects.ObjectParser()
        parser.parse_object(data)
        await parser.parse_events("config/main", data)
        await parser.parse_page("config/main", data)

    asyncio.run(parse_all())


@hypothesis.given(changes=fuzzing.mutations)
@fuzzing.examples(200)
def test_spoilt_documents(changes):
    """A spoilt document raises instead of being refused."""
    value = json.dumps(test_documents.CONFIG).encode()
    documents.ConfigDecoder().decode(fuzzing.mutate(value, changes))


@hypothesis.given(changes=fuzzing.mutations)
@fuzzing.examples(200)
def test_spoilt_settings(changes):
    """A spoilt settings file raises instead of being refused."""
    text = fuzzing.mutate(test_settings.TEXT.encode(), changes)
    settings.parse("node.conf", text.decode("latin-1"))


@hypothesis.given(
    path=strategies.sampled_from([b"Heartbeat", b"Deregister", b"Other"]),
    value=JSON,
    changes=fuzzing.mutations,
)
@fuzzing.examples(200)
def test_heartbeats(path, value, changes):
    """A heartbeat raises, or one that names no upstream is used."""
    parsed = settings.parse("node.conf", test_settings.TEXT).unwrap()
    register = announcements.UpstreamRegister()
    handler = heartbeats.HeartbeatHandler(
        settings.to_mesh(parsed), register, lambda change: None
    )
    beat = {
        "service": "huvo11a",
        "address": "10.1.0.8:8301",
        "slots": 5,
        "state": "ready",
        "sequence": 1,
        "born": 1,
    }
    if isinstance(value, dict):
        beat.update(value)
    body = fuzzing.mutate(json.dumps(beat).encode(), changes)
    statuses = []

    async def play():
        handler.handle(
            handlers.Request(
                b"POST", b"/Instances.%b/i-1" % path, b"x", [], body, 0.0
            ),
            lambda response: statuses.append(response.status),
        )

    asyncio.run(play())
    assert len(statuses) == 1
    if statuses[0] != 200:
        assert register.current is None
