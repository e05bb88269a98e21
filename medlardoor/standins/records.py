"""Record files of the stand-ins: JSON lines, written unbuffered."""

import json
import os
import pathlib
import time
import typing

__all__ = ["RecordFile", "read_records"]


class RecordFile:
    """Appends JSON lines to a file.

    Each line is one write, so that a process that crashes right after an
    event leaves the event on record.

    Args:
        path: Name of the file; nothing is recorded if it is empty.
    """

    def __init__(self, path: str):
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._descriptor = os.open(path, flags, 0o644) if path else None
        self._started_at = time.monotonic()

    @property
    def now_ms(self) -> float:
        """Time since the file was opened, in milliseconds."""
        return round((time.monotonic() - self._started_at) * 1_000, 3)

    def write_start(self, **fields: typing.Any) -> None:
        """Records the start of the process.

        The reading of the monotonic clock, which is the same for all
        processes of a machine, lets a reader align several files.
        """
        self.write("process_start", monotonic_s=self._started_at, **fields)

    def write(self, event: str, **fields: typing.Any) -> None:
        """Appends one event."""
        if self._descriptor is None:
            return
        line = json.dumps({"event": event, "t_ms": self.now_ms, **fields})
        os.write(self._descriptor, line.encode() + b"\n")

    def close(self) -> None:
        """Closes the file."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None


def read_records(path: str | pathlib.Path) -> list[dict[str, typing.Any]]:
    """Reads all events of a record file."""
    lines = pathlib.Path(path).read_text().splitlines()
    return [json.loads(line) for line in lines]
