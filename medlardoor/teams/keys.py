"""Keys by which callers prove their team.

A key is a secret. Only its digests are kept: a SHA-256 digest in documents, and
a digest with a secret of the process in the table that requests are looked up
in. The time of a lookup therefore shows nothing about a key.
"""

import collections.abc
import dataclasses
import hashlib
import secrets

import result

from medlardoor import errors

__all__ = [
    "DIGEST_PREFIX",
    "KeyTable",
    "Team",
    "digest_of",
    "digest_text",
    "fingerprint",
    "parse_digest",
    "parse_credentials",
]

# Begins the written form of a digest, in place of a key.
DIGEST_PREFIX = "sha256:"

MAX_KEY_BYTES = 512

_DIGEST_BYTES = 32
_SECRET_BYTES = 32
_TABLE_DIGEST_BYTES = 16
_FINGERPRINT_CHARACTERS = 8
_FIRST_VISIBLE = 0x21
_LAST_VISIBLE = 0x7E


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A team of the document.

    Attributes:
        name: Name of the team.
        key_digests: SHA-256 digests of the keys of its callers.
        priority: Rank of its requests; 0 is the most urgent. None if the team
            has no rank of its own.
        rate_per_s: Maximum mean rate of its requests over all nodes, in
            requests per second; 0 for no limit.
        burst: Number of requests above the rate that may come at once.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


def digest_of(key: bytes) -> bytes:
    """Returns the SHA-256 digest of a key."""
    return hashlib.sha256(key).digest()


def digest_text(key: str) -> str:
    """Returns the written form of a key's digest.

    Args:
        key: A key, or the written form of its digest, which is returned as is.
    """
    if key.startswith(DIGEST_PREFIX):
        return key
    return DIGEST_PREFIX + digest_of(key.encode()).hex()


def parse_digest(text: str) -> bytes:
    """Returns the digest of its written form.

    Raises:
        ValueError: The text is not the written form of a digest.
    """
    digest = bytes.fromhex(text.removeprefix(DIGEST_PREFIX))
    if not text.startswith(DIGEST_PREFIX) or len(digest) != _DIGEST_BYTES:
        raise ValueError(f"expected {DIGEST_PREFIX} and 64 hexadecimal digits")
    return digest


def fingerprint(key: bytes) -> str:
    """Returns a short identifier of a key for logs."""
    return digest_of(key).hex()[:_FINGERPRINT_CHARACTERS]


def parse_credentials(
    values: collections.abc.Sequence[bytes], scheme: bytes
) -> result.Result[bytes | None, errors.Reason]:
    """Reads the key from the credentials of a request (RFC 9110, 11.4).

    Args:
        values: Values of all ``Authorization`` headers of the request.
        scheme: Expected authentication scheme, in lower case.

    Returns:
        The key; None without credentials. `errors.Reason.CREDENTIALS_INVALID`
        if they are doubled, use another scheme, or contain no valid key.
    """
    if not values:
        return result.Ok(None)
    invalid = result.Err(errors.Reason.CREDENTIALS_INVALID)
    if len(values) > 1:
        return invalid
    found_scheme, _, key = values[0].strip(b" \t").partition(b" ")
    key = key.strip(b" \t")
    if found_scheme.lower() != scheme or not 0 < len(key) <= MAX_KEY_BYTES:
        return invalid
    if not all(_FIRST_VISIBLE <= byte <= _LAST_VISIBLE for byte in key):
        return invalid
    return result.Ok(key)


class KeyTable:
    """Finds the team that holds a key.

    Args:
        teams: The teams; no key belongs to two of them.
    """

    def __init__(self, teams: collections.abc.Iterable[Team]):
        self._secret = secrets.token_bytes(_SECRET_BYTES)
        self._teams: dict[bytes, Team] = {
            self._table_digest(digest): team
            for team in teams
            for digest in team.key_digests
        }

    def find(self, key: bytes) -> Team | None:
        """Returns the team that holds a key, if any."""
        return self._teams.get(self._table_digest(digest_of(key)))

    def _table_digest(self, digest: bytes) -> bytes:
        return hashlib.blake2b(
            digest, digest_size=_TABLE_DIGEST_BYTES, key=self._secret
        ).digest()
