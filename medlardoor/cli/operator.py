"""The operator command `medlardoor`.

Exit codes, see `operator_base.ExitCode`: 0 done or valid, 1 invalid or
refused, 2 wrong command line, 3 another operator was first, 4 the node or
the platform did not answer.
"""

import sys

from cleo import application, exceptions
from cleo.io import io as base_io

import medlardoor
from medlardoor.cli import (
    explain_command,
    new_key_command,
    operator_base,
    operator_commands,
    promote_command,
)

__all__ = ["create_application", "main", "run"]

COMMANDS = (
    operator_commands.CheckCommand,
    operator_commands.DiffCommand,
    promote_command.PromoteCommand,
    operator_commands.StatusCommand,
    operator_commands.HistoryCommand,
    operator_commands.RefusalsCommand,
    explain_command.ExplainCommand,
    new_key_command.NewKeyCommand,
)


def create_application() -> application.Application:
    """Builds the application with all commands."""
    created = application.Application("medlardoor", medlardoor.__version__)
    created.auto_exits(False)
    created.catch_exceptions(False)
    for command_class in COMMANDS:
        created.add(command_class())
    return created


def run(created: application.Application, io: base_io.IO | None = None) -> int:
    """Runs one command line and returns its exit code.

    Args:
        created: The application.
        io: Input and outputs; those of the process by default.
    """
    try:
        if io is None:
            return created.run()
        return created.run(io.input, io.output, io.error_output)
    except exceptions.CleoError as error:
        sys.stderr.write(f"{error}\n")
        return int(operator_base.ExitCode.USAGE)


def main():
    """Entry point of the console script."""
    sys.exit(run(create_application()))


if __name__ == "__main__":
    main()
