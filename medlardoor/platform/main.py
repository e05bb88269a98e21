"""Entry point of the program that the platform starts beside each upstream."""

import signal
import sys
import types

__all__ = ["main"]


def main() -> int:
    """Runs the node with the settings file from the environment."""
    # A SIGHUP during the imports, which take half a second, would otherwise
    # end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # httpcore imports Trio where it is installed. The node runs on asyncio, and
    # Trio costs about 0.04 s of processor time at the start and 4 MB.
    sys.modules["trio"] = None
    # httpcore also imports the certificates for HTTPS, and with them the
    # modules for archives: about 0.05 s. The store is called without TLS.
    sys.modules["certifi"] = types.ModuleType("certifi")
    from medlardoor.platform import program

    return program.run()


if __name__ == "__main__":
    sys.exit(main())
