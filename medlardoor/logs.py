"""JSON Lines logging with logbook and rate limits for each event."""

import dataclasses
import json
import os
import sys
import traceback
import typing

import anyio
import logbook

__all__ = [
    "BoundedStream",
    "JsonLinesHandler",
    "RepeatLimiter",
    "log_event",
    "log_exception",
    "log_request",
    "set_up",
]

# An average of one line per second and event keeps the log readable during a
# lasting fault.
REPEAT_WINDOW_S = 10.0
MAX_REPEATS = 10
MAX_TRACKED_EVENTS = 1_000

# Limits of lines about single requests: enough lines to find most requests of a
# minute with faults, at about 30 microseconds of processor time per line.
REQUEST_WINDOW_S = 1.0
MAX_REQUEST_REPEATS = 60

# Maximum size of the lines that wait in the process for a slow log reader.
MAX_UNWRITTEN_BYTES = 262_144

# Maximum number of bytes that are written at once.
MAX_WRITE_BYTES = 65_536


@dataclasses.dataclass(slots=True)
class _RepeatWindow:
    started_at: float
    count: int = 0
    suppressed: int = 0


class RepeatLimiter:
    """Limits how often lines of the same event are written.

    Args:
        window_s: Length of a window, in seconds.
        max_repeats: Maximum number of lines of one event in a window.
    """

    def __init__(
        self,
        window_s: float = REPEAT_WINDOW_S,
        max_repeats: int = MAX_REPEATS,
    ):
        self._window_s = window_s
        self._max_repeats = max_repeats
        self._windows: dict[str, _RepeatWindow] = {}

    def admit(self, event: str, now: float) -> int | None:
        """Decides whether a line may be written.

        Args:
            event: Name of the event.
            now: Current time, in seconds.

        Returns:
            None if the line is suppressed, else the number of lines that were
            suppressed in the previous window.
        """
        window = self._windows.get(event)
        if window is None or now - window.started_at >= self._window_s:
            suppressed = window.suppressed if window else 0
            if len(self._windows) >= MAX_TRACKED_EVENTS:
                self._windows.clear()
            self._windows[event] = _RepeatWindow(now, 1)
            return suppressed
        window.count += 1
        if window.count > self._max_repeats:
            window.suppressed += 1
            return None
        return 0


class JsonLinesHandler(logbook.StreamHandler):
    """Writes each record as a JSON object on a single line."""

    def format(self, record: logbook.LogRecord) -> str:
        """Formats a record as JSON."""
        line = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "channel": record.channel,
            "event": record.message,
        }
        line.update(record.extra.get("fields") or {})
        return json.dumps(line, default=str)


class BoundedStream:
    """Text stream that drops lines instead of blocking on a slow reader.

    Args:
        descriptor: File descriptor; it is set to non-blocking mode.
        max_bytes: Maximum number of buffered bytes.
    """

    def __init__(self, descriptor: int, max_bytes: int = MAX_UNWRITTEN_BYTES):
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._unwritten = bytearray()
        self._is_flushing = False
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of lines dropped so far."""
        return self._dropped

    def write(self, text: str) -> None:
        """Writes a line, or drops it if the buffer is full."""
        data = text.encode()
        if len(self._unwritten) + len(data) > self._max_bytes:
            self.flush()
            if len(self._unwritten) + len(data) > self._max_bytes:
                self._dropped += 1
                return
        self._unwritten += data
        self.flush()

    def flush(self) -> None:
        """Writes buffered bytes until the descriptor takes no more.

        A call by a signal handler during another call does nothing: the bytes
        are written by the interrupted one.
        """
        if self._is_flushing:
            return
        self._is_flushing = True
        try:
            self._write_buffered()
        finally:
            self._is_flushing = False

    def _write_buffered(self) -> None:
        while self._unwritten:
            # A copy, since the buffer cannot grow while the kernel reads it.
            part = self._unwritten[:MAX_WRITE_BYTES]
            try:
                written = os.write(self._descriptor, part)
            except BlockingIOError:
                return
            except OSError:
                # The log cannot be written, so the error cannot be logged.
                self._unwritten.clear()
                return
            if not written:
                return
            del self._unwritten[:written]


_LIMITER = RepeatLimiter()
_REQUEST_LIMITER = RepeatLimiter(REQUEST_WINDOW_S, MAX_REQUEST_REPEATS)


def set_up(level: str, stream: typing.TextIO | BoundedStream | None = None):
    """Writes all logs of the process to a stream as JSON Lines.

    Args:
        level: Lowest level that is written, such as ``INFO``.
        stream: Destination; standard error if it is None.
    """
    handler = JsonLinesHandler(stream or sys.stderr, level=level.upper())
    handler.push_application()


def log_event(
    logger: logbook.Logger, level: int, event: str, **fields: object
) -> None:
    """Writes an event unless the rate limit of its name is reached.

    Args:
        logger: Logger of the channel.
        level: A logbook level, such as `logbook.INFO`.
        event: Name of the event in snake case.
        **fields: Further members of the JSON object, including ``chain_id``
            and ``request_id`` if they are known.
    """
    _log(_LIMITER, logger, level, event, fields)


def log_exception(
    logger: logbook.Logger, event: str, error: Exception, **fields: object
) -> None:
    """Writes an event about an unexpected exception, with its traceback.

    Args:
        logger: Logger of the channel.
        event: Name of the event in snake case.
        error: The exception.
        **fields: Further members of the JSON object.
    """
    log_event(
        logger,
        logbook.ERROR,
        event,
        **fields,
        error=repr(error),
        traceback="".join(traceback.format_exception(error)),
    )


def log_request(
    logger: logbook.Logger, level: int, event: str, **fields: object
) -> None:
    """Writes an event about a request unless the request limit is reached.

    Args:
        logger: Logger of the channel.
        level: A logbook level, such as `logbook.INFO`.
        event: Name of the event in snake case.
        **fields: Further members of the JSON object, including ``request_id``.
    """
    _log(_REQUEST_LIMITER, logger, level, event, fields)


def _log(
    limiter: RepeatLimiter,
    logger: logbook.Logger,
    level: int,
    event: str,
    fields: dict[str, object],
) -> None:
    suppressed = limiter.admit(event, anyio.current_time())
    if suppressed is None:
        return
    if suppressed:
        fields["suppressed"] = suppressed
    logger.log(level, event, extra={"fields": fields})
