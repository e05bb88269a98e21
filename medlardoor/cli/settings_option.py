"""The ``--settings`` and ``--check`` options of all programs."""

import sys
import typing

from cleo import application, helpers
from cleo.commands import command
from cleo.io.inputs import argv_input
from cleo.io.inputs import option as cleo_option
import pydantic

from medlardoor.config import loading

__all__ = ["EXIT_INVALID", "EXIT_OK", "SettingsCommand", "run_single"]

EXIT_OK = 0
EXIT_INVALID = 1

Model = typing.TypeVar("Model", bound=pydantic.BaseModel)


class SettingsCommand(command.Command):
    """Command that loads a settings file, or only checks it."""

    options: typing.ClassVar[list[cleo_option.Option]] = [
        helpers.option(
            "settings", None, "Settings file, JSON with comments.", flag=False
        ),
        helpers.option("check", None, "Check the settings and exit."),
    ]

    def run_with_settings(
        self, model: type[Model], run: typing.Callable[[Model], None]
    ) -> int:
        """Loads the settings and runs the program with them.

        Args:
            model: Model that the file must pass.
            run: The program.

        Returns:
            Exit code: 0, or 1 if the settings are not valid.
        """
        path = self.option("settings")
        if not path:
            self.line_error("Expected --settings FILE.")
            return EXIT_INVALID
        loaded = loading.load_settings(path, model)
        if loaded.is_err():
            for fault in loaded.err().faults:
                self.line_error(
                    f"{path}:{fault.line}: {fault.path}: {fault.expected}"
                )
            return EXIT_INVALID
        if self.option("check"):
            self.line(f"{path} is valid.")
            return EXIT_OK
        run(loaded.ok())
        return EXIT_OK


def run_single(program: str, only: command.Command) -> int:
    """Runs a program that has one command, with the process's arguments.

    Args:
        program: Name of the program.
        only: Its command.
    """
    app = application.Application(program)
    # A crash of the process must leave its whole traceback in the log.
    app.catch_exceptions(False)
    app.add(only)
    arguments = [sys.argv[0], only.name, *sys.argv[1:]]
    return app.run(argv_input.ArgvInput(arguments))
