"""What the responses of the local upstream say of the upstream itself."""

import asyncio
import collections.abc

import logbook

from medlardoor import logs
from medlardoor.admission import waiting
from medlardoor.membership import announcements
from medlardoor.mesh import (
    http_messages,
    limit_log,
    response_origin,
    upstream_connection,
)
from medlardoor.mesh import settings as settings_module
from medlardoor.routing import speeds

__all__ = ["ResponseObserver"]

_LOG = logbook.Logger("upstream")

# Value of the header of an upstream that is about to stop.
LEAVING_VALUE = b"1"


class ResponseObserver:
    """Applies the load, the limit and the leaving that responses name.

    Args:
        headers: Names of HTTP headers.
        register: State that the upstream has announced.
        queue: Queue of the upstream, which keeps to its slots and its limit.
        report_change: Called when a response changes what is known of the
            upstream.
    """

    def __init__(
        self,
        headers: settings_module.HeaderNames,
        register: announcements.UpstreamRegister,
        queue: waiting.AdmissionQueue,
        report_change: collections.abc.Callable[
            [announcements.UpstreamChange], None
        ],
    ):
        self._limit_header = headers.rate_limit.lower()
        self._load_header = headers.load.lower()
        self._leaving_header = headers.leaving.lower()
        self._register = register
        self._queue = queue
        self._named_limit = queue.named_limit
        self._report_change = report_change
        self._limit_log = limit_log.LimitLog()
        self._speed = speeds.SpeedEstimate(speeds.SpeedSettings())
        self._loop = asyncio.get_running_loop()

    @property
    def speed(self) -> speeds.SpeedEstimate:
        """Estimate of the upstream's current processing time."""
        return self._speed

    def observe(
        self,
        response: upstream_connection.UpstreamResponse,
        sent_to: announcements.Announcement | None,
        sent_at: float,
    ) -> None:
        """Applies a response.

        Args:
            response: The response.
            sent_to: Last announcement of the upstream when the request was
                sent.
            sent_at: When the request was given a slot, in seconds.
        """
        current = self._register.current
        if (
            response.status == response_origin.MISDIRECTED_STATUS
            or current is None
            or not current.is_same_start(sent_to)
        ):
            # The response is not one of the upstream in use.
            return
        if response.header(self._leaving_header) == LEAVING_VALUE:
            self._apply_leaving(current)
        self._apply_limit(response, sent_at)

    def observe_load(
        self, response: upstream_connection.UpstreamResponse
    ) -> None:
        """Applies the load report of a response.

        Args:
            response: The response.
        """
        report = http_messages.parse_load_reports(
            response.header_values(self._load_header)
        )
        if report is None:
            return
        if report.slots > 0:
            self._queue.set_slots(report.slots)
        if report.time_percent is not None:
            self._speed.observe(report.time_percent, self._loop.time())

    def tick(self) -> None:
        """Logs changes of the limit; must be called several times a second."""
        current = self._register.current
        self._limit_log.note(
            "" if current is None else current.upstream_id,
            self._named_limit.rate_per_s,
        )

    def _apply_leaving(self, current: announcements.Announcement) -> None:
        """Ends the use of the upstream, as if a heartbeat had said so."""
        change = self._register.record_leaving(
            current.upstream_id, self._loop.time()
        )
        if change is announcements.UpstreamChange.LEAVING:
            logs.log_event(
                _LOG,
                logbook.INFO,
                "upstream_leaving",
                upstream_id=current.upstream_id,
                born_ms=current.born_ms,
                source="response",
            )
            self._report_change(change)

    def _apply_limit(
        self, response: upstream_connection.UpstreamResponse, sent_at: float
    ) -> None:
        """Applies the limit that a response names, or its absence."""
        value = response.header(self._limit_header)
        rate_per_s = None
        if value is not None:
            rate_per_s = http_messages.parse_decimal(value)
            if rate_per_s is None:
                logs.log_event(
                    _LOG,
                    logbook.WARNING,
                    "upstream_limit_invalid",
                    value=value[:32].decode("latin-1"),
                )
                return
        self._named_limit.observe(rate_per_s, sent_at, self._loop.time())
