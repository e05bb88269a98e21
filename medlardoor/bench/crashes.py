"""Rule of section 2.8 for requests that crash upstreams, in short.

The bench needs the rule and not its messages: suspicions of one service are
shared by its instances at once, and a request stands for its fingerprint.
"""

import collections

from medlardoor.bench import fakes, workload

__all__ = ["CrashRule", "SuspectGate"]

MAX_CRASHES = 3


class CrashRule:
    """Crash counts of the requests of one service."""

    def __init__(self):
        self._counts: dict[int, int] = {}

    def is_suspect(self, request: workload.Request) -> bool:
        """Whether the request was running when an upstream crashed."""
        return id(request) in self._counts

    def is_quarantined(self, request: workload.Request) -> bool:
        """Whether the request may not run any more."""
        return self._counts.get(id(request), 0) >= MAX_CRASHES

    def crashed(self, calls: list[fakes.Call]) -> None:
        """Notes the calls that were running when an upstream crashed."""
        for call in calls:
            key = id(call.request)
            self._counts[key] = self._counts.get(key, 0) + 1

    def succeeded(self, request: workload.Request) -> None:
        """Clears a suspect."""
        self._counts.pop(id(request), None)


class SuspectGate:
    """Lets one suspect at a time through in one instance."""

    def __init__(self):
        self._running: fakes.Call | None = None
        self._waiting: collections.deque[fakes.Call] = collections.deque()

    def enter(self, call: fakes.Call) -> bool:
        """Whether a suspect may go on; otherwise it waits here."""
        if self._running is None:
            self._running = call
            return True
        self._waiting.append(call)
        return False

    def leave(self, call: fakes.Call) -> fakes.Call | None:
        """Notes the end of a call; returns the suspect to try next."""
        if call is not self._running:
            return None
        self._running = None
        while self._waiting:
            waiting = self._waiting.popleft()
            if not waiting.cancelled:
                return waiting
        return None
