"""Tests of keys, their digests and the credentials of requests."""

import hypothesis
from hypothesis import strategies
import pytest

from medlardoor import errors
from medlardoor.teams import keys

INVALID = errors.Reason.CREDENTIALS_INVALID


def _parse(*values):
    return keys.parse_credentials(values, b"token")


def test_key_selects_its_team():
    """A caller is taken for a member of another team."""
    digests = [(keys.digest_of(b"k1"), keys.digest_of(b"k2")), ()]
    teams = [keys.Team("a", digests[0]), keys.Team("b", digests[1])]
    table = keys.KeyTable(teams)
    assert table.find(b"k1").name == table.find(b"k2").name == "a"
    assert table.find(b"k3") is None


def test_digest_is_not_a_key():
    """Whoever reads a document can use the digests in it as keys."""
    digest = keys.digest_of(b"k1")
    table = keys.KeyTable([keys.Team("a", (digest,))])
    for attempt in (
        digest,
        digest.hex().encode(),
        b"sha256:" + digest.hex().encode(),
    ):
        assert table.find(attempt) is None


def test_scheme_is_compared_without_case():
    """A caller whose library writes the scheme differently is refused."""
    for value in (b"Token k1", b"token k1", b" TOKEN  k1 "):
        assert _parse(value).ok_value == b"k1"
    assert _parse().ok_value is None


@pytest.mark.parametrize(
    "values",
    [
        [b"Token k1", b"Token k1"],
        [b"Token k1", b"Token k2"],
        [b"Bearer k1"],
        [b"Token"],
        [b"Token "],
        [b""],
        [b"k1"],
        [b"Token k 1"],
        [b"Token k\xc3\xa9"],
        [b"Token k\x00"],
        [b"Token " + b"k" * (keys.MAX_KEY_BYTES + 1)],
    ],
)
def test_malformed_credentials_are_refused(values):
    """Doubled, foreign, long or non-ASCII credentials are taken for a key."""
    assert _parse(*values).err_value is INVALID


@hypothesis.given(strategies.lists(strategies.binary(max_size=600), max_size=3))
def test_any_credentials_give_a_key_or_a_reason(values):
    """Arbitrary bytes raise, or become a key with a line break."""
    parsed = _parse(*values)
    if parsed.is_ok() and parsed.ok_value is not None:
        assert b"\n" not in parsed.ok_value
        assert len(parsed.ok_value) <= keys.MAX_KEY_BYTES
    elif parsed.is_err():
        assert parsed.err_value is INVALID


def test_written_digest_can_be_read_back():
    """A document that passed through a node selects no team any more."""
    text = keys.digest_text("k1")
    assert keys.parse_digest(text) == keys.digest_of(b"k1")
    assert keys.digest_text(text) == text
    for broken in ("sha256:00", "sha256:xx", "00" * 32):
        with pytest.raises(ValueError, match=r"hex|sha256"):
            keys.parse_digest(broken)
