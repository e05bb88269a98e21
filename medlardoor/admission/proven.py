"""Concurrency that an upstream has sustained without queueing."""

from medlardoor.config import settings as settings_module

__all__ = ["ProvenConcurrency"]


class ProvenConcurrency:
    """Highest concurrency without queueing over a sliding period.

    The period is between a half and a whole baseline window long.

    Args:
        settings: Admission settings; `baseline_window_s` is used.
    """

    def __init__(self, settings: settings_module.AdmissionSettings):
        self._half_window_s = settings.baseline_window_s / 2
        self._half_began_at: float | None = None
        self._current_highest = 0.0
        self._previous_highest = 0.0

    @property
    def highest(self) -> float:
        """Highest recent concurrency without queueing; 0 if none recorded."""
        return max(self._current_highest, self._previous_highest)

    def record(self, mean_in_flight: float, now: float) -> None:
        """Records the concurrency of a window without queueing.

        Args:
            mean_in_flight: Mean concurrency in the window.
            now: Current time, in seconds.
        """
        if self._half_began_at is None:
            self._half_began_at = now
        if now - self._half_began_at >= self._half_window_s:
            self._half_began_at = now
            self._previous_highest = self._current_highest
            self._current_highest = 0.0
        self._current_highest = max(self._current_highest, mean_in_flight)
