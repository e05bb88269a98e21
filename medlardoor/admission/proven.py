"""Concurrency that an upstream has run without queueing."""

from medlardoor.config import settings as settings_module

__all__ = ["ProvenConcurrency"]


class ProvenConcurrency:
    """Highest concurrency of the last one to two half baseline windows.

    Args:
        settings: Settings of admission; `baseline_window_s` is used.
    """

    def __init__(self, settings: settings_module.AdmissionSettings):
        self._half_s = settings.baseline_window_s / 2
        self._began_at: float | None = None
        self._current = 0.0
        self._previous = 0.0

    @property
    def highest(self) -> float:
        """Highest recent concurrency without queueing; 0 if none was seen."""
        return max(self._current, self._previous)

    def record(self, in_flight: float, now: float) -> None:
        """Notes a window without queueing.

        Args:
            in_flight: Mean concurrency in the window.
            now: Current time, in seconds.
        """
        if self._began_at is None:
            self._began_at = now
        if now - self._began_at >= self._half_s:
            self._began_at = now
            self._previous = self._current
            self._current = 0.0
        self._current = max(self._current, in_flight)
