"""Authentication of messages between nodes with a shared key."""

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
        """Returns the message authentication code, `MAC_BYTES` long."""
        return hmac.digest(self._secret, data, "sha256")[:MAC_BYTES]

    def verify(self, data: bytes, mac: bytes) -> bool:
        """Returns whether `mac` matches `data`; compares in constant time."""
        return hmac.compare_digest(self.mac(data), mac)

    @staticmethod
    def same(first: bytes, second: bytes) -> bool:
        """Returns whether two codes are equal; compares in constant time."""
        return hmac.compare_digest(first, second)

    def derive(self, purpose: str) -> "ClusterKey":
        """Derives a key whose codes are valid for one purpose only."""
        digest = hashlib.sha256(self._secret + b"/" + purpose.encode())
        return ClusterKey(digest.hexdigest())
