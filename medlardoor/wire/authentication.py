"""Authentication of messages between nodes by a shared key."""

import hashlib
import hmac

__all__ = ["MAC_BYTES", "ClusterKey"]

MAC_BYTES = 16


class ClusterKey:
    """Shared secret of all nodes of one environment.

    Args:
        secret: Value of the setting `cluster_key`.
    """

    def __init__(self, secret: str):
        self._secret = secret.encode()

    def mac(self, data: bytes) -> bytes:
        """Message authentication code of `data`, `MAC_BYTES` long."""
        return hmac.digest(self._secret, data, "sha256")[:MAC_BYTES]

    def verify(self, data: bytes, mac: bytes) -> bool:
        """Whether `mac` belongs to `data`, compared in constant time."""
        return hmac.compare_digest(self.mac(data), mac)

    @staticmethod
    def same(first: bytes, second: bytes) -> bool:
        """Compares two codes in constant time."""
        return hmac.compare_digest(first, second)

    def derive(self, purpose: str) -> "ClusterKey":
        """Key for one purpose, so that codes cannot be used for another."""
        digest = hashlib.sha256(self._secret + b"/" + purpose.encode())
        return ClusterKey(digest.hexdigest())
