"""Simulated time: a heap of events."""

from collections import abc
import heapq

__all__ = ["Simulator"]


class Simulator:
    """Runs events in the order of their time.

    Attributes:
        now: Current time, in seconds.
    """

    def __init__(self):
        self.now = 0.0
        self._events: list = []
        self._sequence = 0

    def after(self, delay_s: float, action: abc.Callable, *arguments) -> None:
        """Schedules an action.

        Args:
            delay_s: Time from now, in seconds.
            action: Called when the time comes.
            *arguments: Passed to the action.
        """
        self._sequence += 1
        event = (self.now + delay_s, self._sequence, action, arguments)
        heapq.heappush(self._events, event)

    def every(self, interval_s: float, action: abc.Callable) -> None:
        """Repeats an action, for the first time after one interval."""

        def repeat():
            action()
            self.after(interval_s, repeat)

        self.after(interval_s, repeat)

    def run(self, until: float) -> None:
        """Runs all events up to a time, in seconds."""
        events = self._events
        while events and events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(events)
            action(*arguments)
        self.now = until
