"""Command line of the stand-ins; not part of the system."""

import sys

from cleo import application
from cleo.commands import command
import cleo.helpers
from cleo.io.inputs import argv_input

from medlardoor.standins import load, server
from medlardoor.standins import settings as settings_module

__all__ = ["LoadCommand", "UpstreamCommand", "main", "run_load", "run_upstream"]


def _settings_option():
    return cleo.helpers.option(
        "settings", None, "Settings file, JSON", flag=False
    )


class UpstreamCommand(command.Command):
    """Runs an upstream stand-in."""

    name = "upstream"
    description = "Runs an upstream stand-in"
    options = [_settings_option()]  # noqa: RUF012

    def handle(self) -> int:
        """Runs until SIGTERM or SIGINT."""
        server.run_upstream(
            settings_module.read_settings(
                self.option("settings"),
                settings_module.UpstreamStandinSettings,
            )
        )
        return 0


class LoadCommand(command.Command):
    """Runs the load client."""

    name = "load"
    description = "Sends load and verifies each answer"
    options = [_settings_option()]  # noqa: RUF012

    def handle(self) -> int:
        """Runs all phases and prints a summary."""
        load.run_load(
            settings_module.read_settings(
                self.option("settings"), settings_module.LoadSettings
            )
        )
        return 0


def _run(command_line):
    app = application.Application("medlardoor-standins")
    for each in (UpstreamCommand(), LoadCommand()):
        app.add(each)
    return app.run(argv_input.ArgvInput(command_line))


def run_upstream() -> int:
    """Runs the upstream stand-in with the options of the command line."""
    return _run([sys.argv[0], "upstream", *sys.argv[1:]])


def run_load() -> int:
    """Runs the load client with the options of the command line."""
    return _run([sys.argv[0], "load", *sys.argv[1:]])


def main() -> int:
    """Runs the command that the command line names."""
    return _run(sys.argv)


if __name__ == "__main__":
    sys.exit(main())
