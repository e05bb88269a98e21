"""Heartbeats of the local upstream as announcements."""

import time
import typing

import logbook
import pydantic

from medlardoor import logs
from medlardoor.membership import announcements
from medlardoor.mesh import handlers, observing
from medlardoor.mesh import settings as mesh_settings
from medlardoor.platform import names, settings
from medlardoor.wire import ranges

__all__ = ["HeartbeatHandler"]

_LOG = logbook.Logger("heartbeats")

_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_JSON = b"content-type: application/json\r\n"


class _Beat(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", strict=True)

    service: str
    address: str
    slots: int = pydantic.Field(ge=0, le=ranges.MAX_COUNT)
    state: typing.Literal["ready", "draining"]
    coldLeft: str = "0ms"  # noqa: N815
    sequence: int = pydantic.Field(ge=0, le=ranges.MAX_SEQUENCE)
    # Start of the upstream, in milliseconds of Unix time.
    born: int = pydantic.Field(default=0, ge=0, le=ranges.MAX_SEQUENCE)


class _Leave(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", strict=True)

    born: int = pydantic.Field(default=0, ge=0, le=ranges.MAX_SEQUENCE)


class HeartbeatHandler(observing.InternalHandler):
    """Serves the address at which the local upstream reports itself.

    Args:
        settings: Settings of the node.
        register: What is known of the upstream.
        changed: Called with what a heartbeat has changed.
    """

    def __init__(
        self,
        mesh: mesh_settings.MeshSettings,
        register: announcements.UpstreamRegister,
        changed: typing.Callable[[announcements.UpstreamChange], None],
    ):
        self._service = mesh.service
        self._address = mesh.upstream
        self._register = register
        self._changed = changed

    def handle(
        self,
        request: handlers.Request,
        reply: handlers.Reply,
    ) -> None:
        """Handles a heartbeat or the announcement of an end."""
        target = request.target.partition(b"?")[0]
        status = _NOT_FOUND
        if request.method == b"POST":
            if target.startswith(names.BEAT_PATH):
                upstream_id = target.removeprefix(names.BEAT_PATH)
                status = self._beat(upstream_id.decode("latin-1"), request)
            elif target.startswith(names.LEAVE_PATH):
                upstream_id = target.removeprefix(names.LEAVE_PATH)
                status = self._leave(upstream_id.decode("latin-1"), request)
        reply(handlers.Response(status, _JSON, b"{}"))

    def _beat(self, upstream_id: str, request: handlers.Request) -> int:
        try:
            beat = _Beat.model_validate_json(request.body)
            cold_s = settings.durations_s(beat.coldLeft)
        except ValueError as error:
            return self._invalid(upstream_id, type(error).__name__)
        host, _, port = beat.address.rpartition(":")
        expected = self._address
        if beat.service != self._service or port != str(expected.port):
            return self._invalid(upstream_id, "another service or address")
        if host != expected.host or not upstream_id:
            return self._invalid(upstream_id, "another service or address")
        announcement = announcements.Announcement(
            upstream_id=upstream_id,
            born_ms=beat.born,
            sequence=beat.sequence,
            slots=beat.slots,
            draining=beat.state == "draining",
            cold_s=cold_s,
        )
        self._changed(self._announce(announcement, request.received_at))
        return _OK

    def _leave(self, upstream_id: str, request: handlers.Request) -> int:
        born_ms = 0
        if request.body:
            try:
                born_ms = _Leave.model_validate_json(request.body).born
            except ValueError as error:
                return self._invalid(upstream_id, type(error).__name__)
        if not born_ms:
            born_ms = self._departed_start_ms(upstream_id)
        change = self._register.deregister(upstream_id, born_ms)
        _log_change(change, upstream_id, born_ms, "deregister")
        self._changed(change)
        return _OK

    def _departed_start_ms(self, upstream_id: str) -> int:
        """Returns the start that a deregistration without one is about.

        It is that of the upstream in use. For any other, every start until now
        has ended; a later heartbeat of one of them must not bring it back.
        """
        current = self._register.current
        if current is not None and current.upstream_id == upstream_id:
            return current.born_ms
        return time.time_ns() // 1_000_000

    def _announce(
        self, announcement: announcements.Announcement, now: float
    ) -> announcements.UpstreamChange:
        change = self._register.apply_heartbeat(announcement, now)
        _log_change(
            change, announcement.upstream_id, announcement.born_ms, "heartbeat"
        )
        return change

    def _invalid(self, upstream_id: str, detail: str) -> int:
        logs.log_event(
            _LOG,
            logbook.WARNING,
            "heartbeat_invalid",
            upstream_id=upstream_id[:64],
            detail=detail,
        )
        return _BAD_REQUEST


def _log_change(
    change: announcements.UpstreamChange,
    upstream_id: str,
    born_ms: int,
    source: str,
) -> None:
    if change is announcements.UpstreamChange.NONE:
        return
    logs.log_event(
        _LOG,
        logbook.INFO,
        f"upstream_{change.value}",
        upstream_id=upstream_id,
        born_ms=born_ms,
        source=source,
    )
