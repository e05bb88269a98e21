"""Networks of the loopback range that no other process uses."""

import errno
import random
import socket

__all__ = ["ReservedNetwork"]

# Host and port that mark a network as in use; nothing listens there.
_MARK_HOST = 254
_MARK_PORT = 8399

_MAX_DRAWS = 100


class ReservedNetwork:
    """A /24 network of 127.0.0.0/8, reserved until it is closed.

    Runs on one machine may draw the same network, or use the same seed. The
    kernel binds an address once only, and frees it when its process ends.

    Args:
        generator: Source of the draws.

    Attributes:
        prefix: First three numbers of its addresses, such as ``127.4.9``.

    Raises:
        OSError: No free network was found.
    """

    def __init__(self, generator: random.Random):
        # The draws of a run must not depend on what else runs, so only the
        # first network comes from its generator.
        first, second = generator.randrange(1, 250), generator.randrange(1, 250)
        self._mark = socket.socket()
        for draw in range(_MAX_DRAWS):
            self.prefix = f"127.{first}.{second}"
            try:
                self._mark.bind((f"{self.prefix}.{_MARK_HOST}", _MARK_PORT))
                return
            except OSError as error:
                if error.errno != errno.EADDRINUSE or draw == _MAX_DRAWS - 1:
                    self._mark.close()
                    raise
            own = random.SystemRandom()
            first, second = own.randrange(1, 250), own.randrange(1, 250)

    def close(self) -> None:
        """Lets other runs use the network."""
        self._mark.close()
