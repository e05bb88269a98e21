"""Idempotency keys: issue, authentication and expiry.

A key is the text ``<instance>.<process id>.<sequence>.<MAC>``. Any node can
check the MAC and find the owner; only the owner, the process that issued the
key, knows whether the sequence number was issued and has not expired.
"""

import base64
import collections
import dataclasses
import urllib.parse

import result

from medlardoor import errors
from medlardoor.config import settings as settings_module
from medlardoor.ledger import refusals
from medlardoor.wire import authentication

__all__ = ["MAX_BATCH", "KeyIssuer", "ParsedKey"]

MAX_BATCH = 256
MAX_KEY_BYTES = 256

# A key lives at most 1/64 longer than the setting says, for a list of at most
# 66 checkpoints.
CHECKPOINTS_PER_LIFETIME = 64

# Bounds the bitmap of used keys in `records.Ledger` to 512 KiB. At the default
# lifetime of 600 s one node may issue about 7,000 keys a second.
MAX_OUTSTANDING = 4_194_304


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedKey:
    """An authentic key.

    Attributes:
        instance: Instance of the owner.
        process_id: Process that issued the key.
        sequence: Number of the key, counted from 1 by its owner.
    """

    instance: str
    process_id: str
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Checkpoint:
    """Highest sequence number issued up to a time of the local clock."""

    at: float
    sequence: int


class KeyIssuer:
    """Issues the keys of one process and checks the keys of all.

    Issued keys take no memory: the owner remembers the last sequence number
    and a low-water mark below which all unused keys have expired.

    Args:
        settings: Settings of the ledger; keys expire after `keep_s`.
        instance: Name of the own instance.
        process_id: Random identifier of the own process, without dots.
        secret: Value of the setting `cluster_key`.
    """

    def __init__(
        self,
        settings: settings_module.LedgerSettings,
        instance: str,
        process_id: str,
        secret: str,
    ):
        self._settings = settings
        self._instance = instance
        self._process_id = process_id
        self._prefix = f"{urllib.parse.quote(instance, safe='')}.{process_id}"
        self._key = authentication.ClusterKey(secret).derive("idempotency-key")
        self._last_issued = 0
        self._low_water = 0
        self._checkpoints: collections.deque[_Checkpoint] = collections.deque()

    @property
    def last_issued(self) -> int:
        """Highest sequence number issued so far."""
        return self._last_issued

    @property
    def low_water(self) -> int:
        """Highest sequence number that has expired."""
        return self._low_water

    def issue(self, count: int, now: float) -> tuple[str, ...]:
        """Issues keys.

        Args:
            count: Number of keys, cut to the range from 1 to `MAX_BATCH`.
            now: Local clock, in seconds.

        Returns:
            The keys, in order of their sequence numbers.
        """
        count = min(max(count, 1), MAX_BATCH)
        first = self._last_issued + 1
        self._last_issued += count
        self.expire(now)
        return tuple(self._seal(first + i) for i in range(count))

    def key_of(self, sequence: int) -> str:
        """The key that was issued with a sequence number."""
        return self._seal(sequence)

    def parse(self, key: str) -> result.Result[ParsedKey, errors.Refusal]:
        """Checks the form and the MAC of a key of any node.

        Args:
            key: Value of the ``Idempotency-Key`` header, with or without the
                quotation marks of a structured field string.

        Returns:
            The parts of the key, or a refusal if no node issued it.
        """
        if len(key) > MAX_KEY_BYTES or not key.isascii():
            return result.Err(refusals.invalid())
        body, _, mac = key.strip().strip('"').rpartition(".")
        if not self._key.verify(body.encode(), _decode_mac(mac)):
            return result.Err(refusals.invalid())
        instance, process_id, sequence = body.rsplit(".", 2)
        return result.Ok(
            ParsedKey(urllib.parse.unquote(instance), process_id, int(sequence))
        )

    def owns(self, parsed: ParsedKey) -> bool:
        """Whether this process is the owner that a key names."""
        return (
            parsed.process_id == self._process_id
            and parsed.instance == self._instance
        )

    def was_issued(self, sequence: int) -> bool:
        """Whether this process has issued the sequence number."""
        return 0 < sequence <= self._last_issued

    def expire(self, now: float) -> None:
        """Moves the low-water mark up to the keys that are too old.

        Args:
            now: Local clock, in seconds.
        """
        keep = self._settings.keep_s
        checkpoints = self._checkpoints
        while checkpoints and now - checkpoints[0].at >= keep:
            self._raise_low_water(checkpoints.popleft().sequence)
        covered = checkpoints[-1].sequence if checkpoints else self._low_water
        spacing = keep / CHECKPOINTS_PER_LIFETIME
        due = not checkpoints or now - checkpoints[-1].at >= spacing
        if due and self._last_issued > covered:
            checkpoints.append(_Checkpoint(now, self._last_issued))
        self._raise_low_water(self._last_issued - MAX_OUTSTANDING)

    def _raise_low_water(self, sequence: int) -> None:
        self._low_water = max(self._low_water, sequence)

    def _seal(self, sequence: int) -> str:
        body = f"{self._prefix}.{sequence}"
        mac = base64.urlsafe_b64encode(self._key.mac(body.encode()))
        return f"{body}.{mac.decode().rstrip('=')}"


def _decode_mac(text: str) -> bytes:
    """Decodes a MAC; empty if the text is not base64."""
    try:
        return base64.urlsafe_b64decode(text + "==")
    except ValueError:
        return b""
