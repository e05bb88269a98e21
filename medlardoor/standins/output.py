"""Lines that the stand-ins print for the process that started them."""

import json
import sys
import typing

__all__ = ["print_event"]


def print_event(event: str, **fields: typing.Any) -> None:
    """Prints a JSON line on standard output."""
    sys.stdout.write(json.dumps({"event": event, **fields}) + "\n")
    sys.stdout.flush()
