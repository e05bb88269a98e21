"""Command line of the stand-ins; not part of the system."""

import sys

from cleo import application, helpers
from cleo.commands import command
from cleo.io.inputs import argv_input

from medlardoor.cli import settings_option
from medlardoor.standins import load, platform, server
from medlardoor.standins import settings as settings_module

__all__ = [
    "LoadCommand",
    "PlatformCommand",
    "UpstreamCommand",
    "main",
    "run_load",
    "run_platform",
    "run_upstream",
]


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


class UpstreamCommand(settings_option.SettingsCommand):
    """Runs an upstream stand-in."""

    name = "upstream"
    description = "Run an upstream stand-in."

    def handle(self) -> int:
        """Runs until SIGTERM or SIGINT."""
        return self.run_with_settings(
            settings_module.UpstreamStandinSettings, server.run_upstream
        )


class LoadCommand(settings_option.SettingsCommand):
    """Runs the load client."""

    name = "load"
    description = "Send load and verify each answer."

    def handle(self) -> int:
        """Runs all phases and prints a summary."""
        return self.run_with_settings(
            settings_module.LoadSettings, load.run_load
        )


def _run(command_line: list[str]) -> int:
    app = application.Application("medlardoor-standins")
    for each in (PlatformCommand(), UpstreamCommand(), LoadCommand()):
        app.add(each)
    return app.run(argv_input.ArgvInput(command_line))


def run_platform() -> int:
    """Runs the platform stand-in with the options of the command line."""
    program = "medlardoor-standin-platform"
    return settings_option.run_single(program, PlatformCommand())


def run_upstream() -> int:
    """Runs the upstream stand-in with the options of the command line."""
    program = "medlardoor-standin-upstream"
    return settings_option.run_single(program, UpstreamCommand())


def run_load() -> int:
    """Runs the load client with the options of the command line."""
    program = "medlardoor-standin-load"
    return settings_option.run_single(program, LoadCommand())


def main() -> int:
    """Runs the command that the command line names."""
    return _run(sys.argv)


if __name__ == "__main__":
    sys.exit(main())
