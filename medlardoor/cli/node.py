"""Command line of the node process."""

import sys

from medlardoor.cli import settings_option
from medlardoor.config import settings as settings_module
from medlardoor.node import main as node_main

__all__ = ["NodeCommand", "main"]


class NodeCommand(settings_option.SettingsCommand):
    """Runs the node process."""

    name = "node"
    description = "Run the process beside one upstream."

    def handle(self) -> int:
        """Checks the settings and runs the node."""
        return self.run_with_settings(
            settings_module.NodeSettings, node_main.run
        )


def main() -> int:
    """Runs the node with the options of the command line."""
    return settings_option.run_single("medlardoor-node", NodeCommand())


if __name__ == "__main__":
    sys.exit(main())
