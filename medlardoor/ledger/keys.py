"""Issue, authentication and expiry of idempotency keys.

A key is the text ``<instance>.<process id>.<sequence>.<MAC>``. Any node can
verify the MAC and identify the owner, the process that issued the key. Only
the owner can determine whether the sequence number was issued and has expired.
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

__all__ = ["MAX_KEYS_PER_BATCH", "KeyIssuer", "ParsedKey"]

MAX_KEYS_PER_BATCH = 256
MAX_KEY_BYTES = 256

# Keys expire at most 1/64 of their lifetime late; the list of checkpoints has
# at most 66 entries.
CHECKPOINTS_PER_LIFETIME = 64

# Bounds the bitmap of used keys in `records.Ledger` to 512 KiB. At the
# default lifetime of 600 s this allows about 7,000 keys per second and node.
MAX_OUTSTANDING_KEYS = 4_194_304


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedKey:
    """Parts of an idempotency key whose MAC is valid.

    Attributes:
        instance: Instance of the owner.
        process_id: Identifier of the process that issued the key.
        sequence: Sequence number of the key; the owner's first key has 1.
    """

    instance: str
    process_id: str
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Checkpoint:
    """Highest sequence number issued up to a time of the local clock.

    Attributes:
        recorded_at: Local clock, in seconds.
        sequence: Highest sequence number issued by then.
    """

    recorded_at: float
    sequence: int


class KeyIssuer:
    """Issues the keys of one process and verifies the keys of all processes.

    Issued keys take no memory: the owner stores only the last sequence number
    and a low-water mark; unused keys up to the mark have expired.

    Args:
        settings: Settings of the ledger; keys expire after `keep_s`.
        instance: Name of the instance of this node.
        process_id: Random identifier of this process, without dots.
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
        self._mac_key = authentication.ClusterKey(secret).derive(
            "idempotency-key"
        )
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
            count: Number of keys, clamped to the range from 1 to
                `MAX_KEYS_PER_BATCH`.
            now: Local clock, in seconds.

        Returns:
            The keys, in order of their sequence numbers.
        """
        count = min(max(count, 1), MAX_KEYS_PER_BATCH)
        first = self._last_issued + 1
        self._last_issued += count
        self.expire(now)
        return tuple(self._encode(first + i) for i in range(count))

    def key_of(self, sequence: int) -> str:
        """Returns the key with a sequence number."""
        return self._encode(sequence)

    def parse(self, key: str) -> result.Result[ParsedKey, errors.Refusal]:
        """Parses a key issued by any node and verifies its MAC.

        Args:
            key: Value of the ``Idempotency-Key`` header, with or without the
                quotation marks of a structured field string.

        Returns:
            The parts of the key, or a refusal if the key is too long, not
            ASCII, or its MAC is not valid.
        """
        if len(key) > MAX_KEY_BYTES or not key.isascii():
            return result.Err(refusals.invalid())
        body, _, mac = key.strip().strip('"').rpartition(".")
        if not self._mac_key.verify(body.encode(), _decode_mac(mac)):
            return result.Err(refusals.invalid())
        instance, process_id, sequence = body.rsplit(".", 2)
        return result.Ok(
            ParsedKey(urllib.parse.unquote(instance), process_id, int(sequence))
        )

    def owns(self, parsed: ParsedKey) -> bool:
        """Whether this process issued the key, according to its text."""
        return (
            parsed.process_id == self._process_id
            and parsed.instance == self._instance
        )

    def was_issued(self, sequence: int) -> bool:
        """Whether this process has issued the sequence number."""
        return 0 < sequence <= self._last_issued

    def expire(self, now: float) -> None:
        """Raises the low-water mark to the last key that has expired.

        Args:
            now: Local clock, in seconds.
        """
        lifetime_s = self._settings.keep_s
        checkpoints = self._checkpoints
        while checkpoints and now - checkpoints[0].recorded_at >= lifetime_s:
            self._raise_low_water(checkpoints.popleft().sequence)
        last_recorded = (
            checkpoints[-1].sequence if checkpoints else self._low_water
        )
        spacing_s = lifetime_s / CHECKPOINTS_PER_LIFETIME
        is_due = (
            not checkpoints or now - checkpoints[-1].recorded_at >= spacing_s
        )
        if is_due and self._last_issued > last_recorded:
            checkpoints.append(_Checkpoint(now, self._last_issued))
        self._raise_low_water(self._last_issued - MAX_OUTSTANDING_KEYS)

    def _raise_low_water(self, sequence: int) -> None:
        self._low_water = max(self._low_water, sequence)

    def _encode(self, sequence: int) -> str:
        body = f"{self._prefix}.{sequence}"
        mac = base64.urlsafe_b64encode(self._mac_key.mac(body.encode()))
        return f"{body}.{mac.decode().rstrip('=')}"


def _decode_mac(text: str) -> bytes:
    """Decodes a MAC; returns empty bytes if the text is not base64."""
    try:
        return base64.urlsafe_b64decode(text + "==")
    except ValueError:
        return b""
