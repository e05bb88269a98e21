"""Fingerprints of requests that may crash an upstream."""

import hashlib

__all__ = [
    "BODY_PREFIX_BYTES",
    "FINGERPRINT_BYTES",
    "fingerprint",
    "well_formed",
]

BODY_PREFIX_BYTES = 65_536
FINGERPRINT_BYTES = 16


def fingerprint(
    kind: str, method: str, target: str, body_prefix: bytes
) -> bytes:
    """Hashes the fields that identify a request for crash attribution.

    Args:
        kind: Kind of request.
        method: HTTP method.
        target: Path and query.
        body_prefix: Start of the body; only the first `BODY_PREFIX_BYTES`
            bytes are hashed.

    Returns:
        Digest of `FINGERPRINT_BYTES` bytes.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for field in (kind, method, target):
        data = field.encode()
        # The length prefix keeps the boundaries of the fields distinct.
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    digest.update(body_prefix[:BODY_PREFIX_BYTES])
    return digest.digest()


def well_formed(values: list[bytes] | None) -> list[bytes]:
    """Returns the fingerprints of a message that have the right length."""
    return [value for value in values or [] if len(value) == FINGERPRINT_BYTES]
