"""Dispatch of calls to the local upstream and polling of its load."""

import json
import typing

import anyio
import logbook
import pydantic
import result

from medlardoor import errors, logs
from medlardoor.blackboard import board as board_module
from medlardoor.blackboard import topics
from medlardoor.calls import exchange, problems
from medlardoor.config import settings as settings_module
from medlardoor.node.serving import calls
from medlardoor.node.transport import forwarding
from medlardoor.node.transport import transport as transport_module

__all__ = ["CALL_HEADER", "LoadReport", "Upstream", "UpstreamMonitor"]

CALL_HEADER = b"medlardoor-call"
TEAM_HEADER = b"medlardoor-team"
TIMEOUT_HEADER = b"grpc-timeout"
TRACE_HEADER = b"traceparent"
MAX_REPORT_BYTES = 4_096
MAX_RETRY_AFTER_S = 60
MAX_RETRY_AFTER_DIGITS = 9

_LOG = logbook.Logger("medlardoor.upstream")


class LoadReport(pydantic.BaseModel):
    """Load report of an upstream; unknown fields are ignored."""

    slots: int | None = pydantic.Field(default=None, ge=1, le=1_000_000)
    in_use: int | None = pydantic.Field(default=None, ge=0)
    state: typing.Literal["serving", "draining", "starting"] = "serving"
    start_id: str = pydantic.Field(default="", max_length=128)


class Upstream:
    """Dispatches calls to the local upstream.

    Args:
        settings: Address and time-outs of the upstream.
        transport: Connections to the upstream.
    """

    def __init__(
        self,
        settings: settings_module.UpstreamSettings,
        transport: transport_module.Transport,
    ):
        self._settings = settings
        self._transport = transport
        self._address = transport_module.Address(settings.host, settings.port)

    @property
    def address(self) -> transport_module.Address:
        """Address of the upstream."""
        return self._address

    async def run(
        self,
        active: calls.ActiveCall,
        request: exchange.Request,
        body: exchange.RequestBody,
        reply: exchange.Reply,
    ) -> result.Result[
        float, errors.Refusal | transport_module.TransportFailure
    ]:
        """Sends one call to the upstream and relays the response.

        Returns:
            Time to the response head, in seconds; a refusal if the upstream
            shed the call; or the failure of the connection.
        """
        started_at = anyio.current_time()
        outgoing = transport_module.OutgoingRequest(
            method=request.method,
            target=request.target,
            headers=self._headers(active, request, started_at),
            body=body.chunks() if request.framing_headers else b"",
        )
        sent = await self._transport.send(
            self._address, outgoing, self._settings.connect_timeout_s
        )
        if sent.is_err():
            return sent
        response = sent.ok()
        latency_s = anyio.current_time() - started_at
        try:
            refusal = _shed_refusal(active, response)
            if refusal is not None:
                await forwarding.discard_body(response)
                return result.Err(refusal)
            await forwarding.relay(response, reply)
        finally:
            await response.aclose()
        return result.Ok(latency_s)

    def _headers(
        self,
        active: calls.ActiveCall,
        request: exchange.Request,
        now: float,
    ) -> exchange.Headers:
        left_ms = max(1, int((active.call.deadline - now) * 1_000))
        forwarded_headers = [
            header
            for header in exchange.without_hop_headers(request.headers)
            if header[0] not in (TIMEOUT_HEADER, b"content-length")
        ]
        if request.header(TRACE_HEADER) is None:
            forwarded_headers.append((TRACE_HEADER, _trace_parent(active)))
        return [
            *forwarded_headers,
            *request.framing_headers,
            (CALL_HEADER, active.token.encode()),
            (TEAM_HEADER, active.call.team.encode()),
            (TIMEOUT_HEADER, f"{left_ms}m".encode()),
        ]


def _trace_parent(active: calls.ActiveCall) -> bytes:
    """W3C trace context with the chain identifier as its trace identifier."""
    span_id = f"{active.call.call_id:016x}"[-16:]
    return f"00-{active.call.chain_id.hex()}-{span_id}-01".encode()


def _shed_refusal(
    active: calls.ActiveCall, response: transport_module.Response
) -> errors.Refusal | None:
    """Refusal if the response states that the call was not run.

    Its outcome is unknown if a child call was run or may have been run.
    """
    value = exchange.header_value(response.headers, problems.OUTCOME_HEADER)
    if value != errors.Outcome.NOT_RUN.value.encode():
        return None
    outcome = (
        errors.Outcome.UNKNOWN
        if active.may_have_children
        else errors.Outcome.NOT_RUN
    )
    retry_after = exchange.header_value(response.headers, b"retry-after")
    retry_after_ms = 0
    if retry_after is not None and retry_after.isdigit():
        # int() raises ValueError for more than 4,300 digits by default.
        seconds = int(retry_after[-MAX_RETRY_AFTER_DIGITS:])
        if len(retry_after) > MAX_RETRY_AFTER_DIGITS:
            seconds = MAX_RETRY_AFTER_S
        retry_after_ms = min(seconds, MAX_RETRY_AFTER_S) * 1_000
    return errors.Refusal(
        outcome,
        errors.Reason.UPSTREAM_SHED,
        "The upstream shed the request.",
        retry_after_ms,
    )


class UpstreamMonitor:
    """Polls the load report of the upstream and writes the topic ``load``.

    Args:
        settings: Address, path and interval of the polls.
        board: Shared state of the node.
        transport: Connections to the upstream.
        on_crash: Called once for each crash of the upstream.
        on_start: Called when the upstream has restarted.
    """

    def __init__(
        self,
        settings: settings_module.UpstreamSettings,
        board: board_module.Blackboard,
        transport: transport_module.Transport,
        on_crash: typing.Callable[[], None],
        on_start: typing.Callable[[], None],
    ):
        self._settings = settings
        self._board = board
        self._transport = transport
        self._on_crash = on_crash
        self._on_start = on_start
        self._probe_lock = anyio.Lock()

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            await self.probe()
            await anyio.sleep(self._settings.report_interval_s)

    async def probe(self) -> None:
        """Reads the report once and detects crashes and restarts.

        Concurrent callers share one probe, because a crash of the upstream
        fails all calls in flight at the same moment.
        """
        requested_at = anyio.current_time()
        async with self._probe_lock:
            report_at = self._board.load.report_at
            if report_at is not None and report_at > requested_at:
                return
            with anyio.move_on_after(self._settings.report_max_age_s):
                self._apply_report((await self._fetch_report()).ok())
                return
            # A report that takes longer than `report_max_age_s` is ignored.

    async def _fetch_report(self) -> result.Result[LoadReport, errors.Failure]:
        address = transport_module.Address(
            self._settings.host, self._settings.port
        )
        host = f"{address.host}:{address.port}".encode()
        sent = await self._transport.send(
            address,
            transport_module.OutgoingRequest(
                "GET",
                self._settings.report_path.encode(),
                [(b"host", host)],
            ),
            self._settings.connect_timeout_s,
        )
        if sent.is_err():
            return sent
        response = sent.ok()
        try:
            body = b""
            async for chunk in response.chunks():
                body += chunk
                if len(body) > MAX_REPORT_BYTES:
                    break
            if response.status != 200:
                return result.Ok(LoadReport())
            return result.Ok(LoadReport.model_validate(json.loads(body)))
        except (
            exchange.TruncatedAnswer,
            # Raised for deeply nested JSON.
            RecursionError,
            ValueError,
            pydantic.ValidationError,
        ):
            # An upstream that responds without a valid report is still alive.
            return result.Ok(LoadReport())
        finally:
            await response.aclose()

    def _apply_report(self, report: LoadReport | None) -> None:
        load = self._board.load
        if report is None:
            if load.upstream_state in (
                topics.UpstreamState.SERVING,
                topics.UpstreamState.DRAINING,
            ):
                self._record_unreachable(load)
            load.upstream_state = topics.UpstreamState.DOWN
            return
        # Without a start identifier a restart cannot be detected.
        start_id = report.start_id or load.start_id
        restarted = load.start_id and start_id != load.start_id
        if restarted and load.upstream_state is topics.UpstreamState.SERVING:
            self._on_crash()
        if load.upstream_state is not topics.UpstreamState.UNKNOWN and (
            restarted or load.upstream_state is topics.UpstreamState.DOWN
        ):
            logs.log_event(_LOG, logbook.INFO, "upstream_started")
            self._on_start()
        load.start_id = start_id
        load.reported_slots = report.slots
        load.reported_in_use = report.in_use
        load.report_at = anyio.current_time()
        load.upstream_state = (
            topics.UpstreamState.DRAINING
            if report.state == "draining"
            else topics.UpstreamState.SERVING
        )

    def _record_unreachable(self, load: topics.Load) -> None:
        planned = load.upstream_state is topics.UpstreamState.DRAINING
        logs.log_event(
            _LOG, logbook.WARNING, "upstream_unreachable", planned=planned
        )
        if not planned:
            self._on_crash()
