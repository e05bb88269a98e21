"""Checks settings files and documents of the users' platform."""

import sys

from cleo import helpers
from cleo.commands import command
import result

from medlardoor import errors
from medlardoor.cli import settings_option
from medlardoor.config import files, routes
from medlardoor.platform import documents, settings

__all__ = ["PlatformCheckCommand", "main"]


class PlatformCheckCommand(command.Command):
    """Says what is wrong with a settings file or a document."""

    name = "check"
    description = "Check a settings file or a document of the platform."
    options = [
        helpers.option("settings", None, "Settings file.", flag=False),
        helpers.option("document", None, "Document, as JSON.", flag=False),
    ]

    def handle(self) -> int:
        """Checks the files that are given."""
        checks = {
            self.option("settings"): settings.load,
            self.option("document"): _load_document,
        }
        status = settings_option.EXIT_OK
        for path, check in checks.items():
            if path is None:
                continue
            checked = check(path)
            if checked.is_ok():
                self.line(f"{path} is valid.")
                self._warn(path, checked.ok_value)
                continue
            status = settings_option.EXIT_INVALID
            for fault in checked.err_value.faults:
                place = f"{path}:{fault.line}" if fault.line else path
                self.line_error(f"{place}: {fault.path}: {fault.expected}")
        return status

    def _warn(self, path: str, checked: object) -> None:
        """Names what is valid and yet may not be meant so."""
        if not isinstance(checked, routes.RouteDocument):
            return
        for kind in checked.unknown_kinds:
            self.line_error(
                f"{path}: unknown kind {kind!r}: its requests run once at most"
            )


def _load_document(path: str) -> result.Result[object, errors.InvalidInput]:
    text = files.read_text(path)
    return text.and_then(
        lambda found: documents.ConfigDecoder().decode(found.encode())
    )


def main() -> int:
    """Checks the files of the command line."""
    return settings_option.run_single(
        "medlardoor-platform-check", PlatformCheckCommand()
    )


if __name__ == "__main__":
    sys.exit(main())
