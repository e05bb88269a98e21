"""Tests of loading settings files."""

import pytest

from medlardoor.config import jsonc, loading, settings

TEXT = """{
  // Settings of a test.
  "environment": "test", "service": "order", "instance": "order-1",
  "failure_domain": "a", "cluster_key": "0123456789abcdef",
  "upstream": {"port": 8080},
  "seed_addresses": ["127.0.0.1:7000"],
}"""


def test_settings_are_loaded(tmp_path):
    """Valid settings must be accepted, and arrays read as tuples."""
    path = tmp_path / "node.jsonc"
    path.write_text(TEXT)
    loaded = loading.load_settings(path, settings.NodeSettings).unwrap()
    assert loaded.seed_addresses == ("127.0.0.1:7000",)
    assert loaded.upstream.slots == 64


def test_faults_have_path_and_line(tmp_path):
    """Faults of settings must carry the JSON path and the line."""
    path = tmp_path / "node.jsonc"
    path.write_text(
        TEXT.replace("8080", '"80",\n"slot": 3').replace('"order-1"', "1")
    )
    failure = loading.load_settings(path, settings.NodeSettings).unwrap_err()
    assert failure.source == str(path)
    assert [(fault.path, fault.line) for fault in failure.faults] == [
        ("$.instance", 3),
        ("$.upstream.port", 5),
        ("$.upstream.slot", 6),
    ]


@pytest.mark.parametrize(
    "content", [None, b"\xff", b" " * (jsonc.MAX_TEXT_BYTES + 1)]
)
def test_unreadable_file_is_a_fault(tmp_path, content):
    """Missing, binary and very large files must not raise an exception."""
    path = tmp_path / "node.jsonc"
    if content is not None:
        path.write_bytes(content)
    assert loading.load_settings(path, settings.NodeSettings).is_err()
