"""Tests of the platform's settings file."""

import pytest

from medlardoor.mesh import settings as mesh_settings
from medlardoor.platform import settings

TEXT = """\
self.node=sidecar-hobart-a-1
self.ip=10.1.0.8
self.zone=hobart-a
self.service=huvo11a
self.appAddr=10.1.0.8:8301
self.limits.memoryMb=300
network.listen.inbound=10.1.0.8:8300
network.listen.outbound=10.1.0.8:8304
network.listen.ready=10.1.0.8:8302
network.listen.control=10.1.0.8:8306
network.internalPorts=7620,7635
network.seeds=
platform.platform.address=10.200.1.7:8309
terms.bounds.grace=6s
terms.bounds.budgetRatio=0.2
terms.bounds.budgetWindow=10s
terms.bounds.budgetSlack=47
terms.bounds.config=2500ms
some.field.of.the.future=1
"""


def test_settings_become_those_of_the_product():
    """A field of the platform ends up in another setting."""
    mesh = settings.to_mesh(settings.parse("node.conf", TEXT).unwrap())
    address = mesh_settings.Address
    assert mesh.instance == "sidecar-hobart-a-1"
    assert mesh.failure_domain == "hobart-a"
    assert mesh.placement.failure_domain == "hobart-a"
    assert mesh.upstream == address("10.1.0.8", 8301)
    assert mesh.link_address == address("10.1.0.8", 8300)
    assert mesh.caller_address == address("10.1.0.8", 8304)
    assert mesh.metrics_address == address("10.1.0.8", 7635)
    assert mesh.stop.grace_s == 6.0
    assert mesh.documents.in_force_s == 2.5
    # The nodes keep to a part of the bound by themselves.
    assert mesh.retries.ratio < 0.2
    assert mesh.retries.slack < 47


@pytest.mark.parametrize(
    ("line", "size"),
    [
        ("", 1_048_576),
        ("platform.platform.valueBytes=2097152\n", 2_097_152),
    ],
)
def test_size_of_the_largest_object_is_the_platforms(line, size):
    """A size of our own made a document unreadable that the store accepts."""
    loaded = settings.parse("node.conf", TEXT + line).unwrap()
    assert loaded.platform.platform.valueBytes == size


def test_watches_end_within_the_bound():
    """A silent watch lasts longer than a change may take."""
    for in_force_s in (0.5, 2.0, 13.0):
        documents = mesh_settings.DocumentSettings(in_force_s)
        assert documents.watch_s + documents.overdue_s < in_force_s


def test_tiny_bound_does_not_flood_the_store():
    """A bound of zero makes a node call the store without a pause."""
    assert mesh_settings.DocumentSettings(0.0).watch_s >= 0.2


def test_faults_name_field_and_line():
    """A wrong setting is reported without its place."""
    text = TEXT.replace("10.1.0.8:8304", "nowhere").replace("=6s", "=6h")
    failure = settings.parse("node.conf", text).unwrap_err()
    assert [(f.path, f.line) for f in failure.faults] == [
        ("network.listen.outbound", 8),
        ("terms.bounds.grace", 14),
    ]


def test_missing_field_is_a_fault():
    """A node starts without knowing its service."""
    text = TEXT.replace("self.service=huvo11a\n", "")
    failure = settings.parse("node.conf", text).unwrap_err()
    assert [f.path for f in failure.faults] == ["self.service"]


def test_missing_file_is_a_fault(tmp_path):
    """A node without a settings file ends with a traceback."""
    assert settings.load(str(tmp_path / "none")).is_err()


@pytest.mark.parametrize(
    ("text", "seconds"), [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0)]
)
def test_durations(text, seconds):
    """A time is taken in the wrong unit."""
    assert settings.durations_s(text) == seconds


@pytest.mark.parametrize("text", ["", "5", "s", "-1s", "1m", "1.2.3s"])
def test_invalid_durations(text):
    """A time without a unit is taken for some unit."""
    with pytest.raises(ValueError, match="number"):
        settings.durations_s(text)


@pytest.mark.parametrize(
    ("max_descriptors", "connections"),
    [(4_100, 2_925), (8_192, 5_994), (220, 101), (40, 15), (1, 1)],
)
def test_descriptors_are_kept_from_callers(
    monkeypatch, max_descriptors, connections
):
    """Connections of callers take the descriptors of links and upstream."""
    monkeypatch.setattr(
        settings.resource, "getrlimit", lambda _: (20_000, 20_000)
    )
    clients = settings.client_settings(max_descriptors)
    assert clients.max_connections == connections


def test_limit_of_the_process_counts_if_it_is_lower(monkeypatch):
    """A process takes more descriptors than it was started with."""
    monkeypatch.setattr(settings.resource, "getrlimit", lambda _: (220, 220))
    assert settings.client_settings(4_100).max_connections == 101
