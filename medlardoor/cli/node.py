"""Command line of the node process."""

import sys

from cleo import application, helpers
from cleo.commands import command
from cleo.io.inputs import argv_input

from medlardoor.config import loading
from medlardoor.config import settings as settings_module
from medlardoor.node import main as node_main

__all__ = ["NodeCommand", "main"]

EXIT_OK = 0
EXIT_INVALID = 1


class NodeCommand(command.Command):
    """Runs the node process."""

    name = "node"
    description = "Run the process beside one upstream."
    options = [
        helpers.option(
            "settings", None, "Settings file, JSON with comments.", flag=False
        ),
        helpers.option("check", None, "Check the settings and exit."),
    ]

    def handle(self) -> int:
        """Checks the settings and runs the node."""
        path = self.option("settings")
        if not path:
            self.line_error("Expected --settings FILE.")
            return EXIT_INVALID
        loaded = loading.load_settings(path, settings_module.NodeSettings)
        if loaded.is_err():
            for fault in loaded.err().faults:
                self.line_error(
                    f"{path}:{fault.line}: {fault.path}: {fault.expected}"
                )
            return EXIT_INVALID
        if self.option("check"):
            self.line(f"{path} is valid.")
            return EXIT_OK
        node_main.run(loaded.ok())
        return EXIT_OK


def main() -> int:
    """Runs the node with the options of the command line."""
    app = application.Application("medlardoor-node")
    # A crash of the process must leave its whole traceback in the log.
    app.catch_exceptions(False)
    app.add(NodeCommand())
    arguments = [sys.argv[0], NodeCommand.name, *sys.argv[1:]]
    return app.run(argv_input.ArgvInput(arguments))


if __name__ == "__main__":
    sys.exit(main())
