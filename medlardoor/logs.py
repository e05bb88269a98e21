"""JSON-lines logs through logbook, with a limit on repeated lines."""

import dataclasses
import json
import sys

import anyio
import logbook

__all__ = ["JsonLinesHandler", "RepeatLimiter", "log_event", "set_up"]

# One line a second for each event keeps a log readable while a fault lasts.
REPEAT_WINDOW_S = 10.0
MAX_REPEATS = 10
MAX_TRACKED_EVENTS = 1_000


@dataclasses.dataclass(slots=True)
class _Window:
    started_at: float
    count: int = 0
    suppressed: int = 0


class RepeatLimiter:
    """Limits how often lines of the same event are written.

    Args:
        window_s: Length of a window, in seconds.
        max_repeats: Lines of one event that a window may hold.
    """

    def __init__(
        self,
        window_s: float = REPEAT_WINDOW_S,
        max_repeats: int = MAX_REPEATS,
    ):
        self._window_s = window_s
        self._max_repeats = max_repeats
        self._windows: dict[str, _Window] = {}

    def admit(self, event: str, now: float) -> int | None:
        """Decides whether a line may be written.

        Args:
            event: Name of the event.
            now: Current time, in seconds.

        Returns:
            None if the line is suppressed, else the number of lines that were
            suppressed in the window before.
        """
        window = self._windows.get(event)
        if window is None or now - window.started_at >= self._window_s:
            suppressed = window.suppressed if window else 0
            if len(self._windows) >= MAX_TRACKED_EVENTS:
                self._windows.clear()
            self._windows[event] = _Window(now, 1)
            return suppressed
        window.count += 1
        if window.count > self._max_repeats:
            window.suppressed += 1
            return None
        return 0


class JsonLinesHandler(logbook.StreamHandler):
    """Writes each record as one JSON object in one line."""

    def format(self, record: logbook.LogRecord) -> str:
        """Renders a record as JSON."""
        line = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "channel": record.channel,
            "event": record.message,
        }
        line.update(record.extra.get("fields") or {})
        return json.dumps(line, default=str)


_LIMITER = RepeatLimiter()


def set_up(level: str) -> None:
    """Sends all logs of the process to standard error as JSON lines.

    Args:
        level: Lowest level that is written, such as ``INFO``.
    """
    handler = JsonLinesHandler(sys.stderr, level=level.upper())
    handler.push_application()


def log_event(
    logger: logbook.Logger, level: int, event: str, **fields: object
) -> None:
    """Writes one event unless its limit is reached.

    Args:
        logger: Logger of the channel.
        level: A logbook level, such as `logbook.INFO`.
        event: Name of the event in snake case.
        **fields: Further members of the JSON object, among them ``chain_id``
            and ``request_id`` where they are known.
    """
    suppressed = _LIMITER.admit(event, anyio.current_time())
    if suppressed is None:
        return
    if suppressed:
        fields["suppressed"] = suppressed
    logger.log(level, event, extra={"fields": fields})
