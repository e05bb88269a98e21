"""Tests of issue, authentication and expiry of keys."""

import pytest

from medlardoor import errors
from medlardoor.config import settings as settings_module
from medlardoor.ledger import keys

SETTINGS = settings_module.LedgerSettings(keep_s=64.0)


def _issuer(secret="cluster-key-of-tests", process_id="p1"):
    return keys.KeyIssuer(SETTINGS, "order 1.a", process_id, secret)


def test_any_node_parses_the_owner_of_a_key():
    """A node that cannot parse a key cannot forward to its owner."""
    (key,) = _issuer().issue(1, 0.0)
    parsed = _issuer(process_id="other").parse(f'"{key}"').unwrap()
    assert parsed == keys.ParsedKey("order 1.a", "p1", 1)
    assert key.isascii()
    assert " " not in key


@pytest.mark.parametrize(
    "change",
    [
        lambda key: key.replace(".p1.", ".p2."),
        lambda key: key.replace(".1.", ".2."),
        lambda key: key[:-2] + ("AA" if key[-2:] != "AA" else "BB"),
        lambda key: key[1:],
        lambda key: key.rpartition(".")[0],
        lambda key: "x" * 300,
        lambda key: "é",
        lambda key: "",
    ],
)
def test_forged_keys_are_refused(change):
    """A forged key could occupy a record or name another owner."""
    (key,) = _issuer().issue(1, 0.0)
    refusal = _issuer().parse(change(key)).unwrap_err()
    assert refusal.reason is errors.Reason.KEY_INVALID
    assert refusal.outcome is errors.Outcome.NOT_RUN
    assert _issuer(secret="another-cluster").parse(key).is_err()


def test_batches_are_bounded():
    """A request for many keys blocks the node for long."""
    issued = _issuer().issue(1_000_000, 0.0)
    assert len(issued) == len(set(issued)) == keys.MAX_KEYS_PER_BATCH
    assert len(_issuer().issue(0, 0.0)) == 1


def test_unused_keys_expire_by_age():
    """Keys that never expire let the bitmap of used keys grow without bound."""
    issuer = _issuer()
    issuer.issue(10, 0.0)
    for now in range(1, 64):
        issuer.issue(1, float(now))
    assert issuer.low_water == 0
    issuer.expire(64.0)
    assert 10 <= issuer.low_water <= 11
    issuer.expire(64.0 + 64.0)
    assert issuer.low_water == issuer.last_issued


def test_checkpoints_stay_bounded(monkeypatch):
    """Issuing keys quickly grows checkpoints or outstanding keys unbounded."""
    monkeypatch.setattr(keys, "MAX_OUTSTANDING_KEYS", 1_000)
    issuer = _issuer()
    for i in range(2_000):
        issuer.issue(1, i * 0.05)
    assert issuer.last_issued - issuer.low_water <= 1_000
    assert len(issuer._checkpoints) <= keys.CHECKPOINTS_PER_LIFETIME + 2
