"""Command line of the stand-ins."""

import sys

from cleo import application, helpers
from cleo.commands import command
from cleo.io.inputs import argv_input

from medlardoor.standins import platform

__all__ = ["main", "run_platform"]


class PlatformCommand(command.Command):
    """Runs the stand-in of the platform."""

    name = "platform"
    description = "Run the stand-in of the platform's object API."
    options = [
        helpers.option(
            "host", None, "IP address.", flag=False, default="127.0.0.1"
        ),
        helpers.option(
            "port", None, "TCP port, 0 for any.", flag=False, default="0"
        ),
    ]

    def handle(self) -> int:
        """Serves until the process is asked to stop."""
        platform.serve(self.option("host"), int(self.option("port")))
        return 0


def run_platform() -> int:
    """Entry point of ``medlardoor-standin-platform``."""
    app = application.Application("medlardoor-standin-platform")
    app.add(PlatformCommand())
    arguments = [sys.argv[0], PlatformCommand.name, *sys.argv[1:]]
    return app.run(argv_input.ArgvInput(arguments))


def main() -> int:
    """Entry point of ``python -m medlardoor.cli.standins``."""
    app = application.Application("medlardoor-standins")
    app.add(PlatformCommand())
    return app.run()


if __name__ == "__main__":
    raise SystemExit(main())
