"""Upstream stand-in for tests and demonstrations; not part of the system.

An ASGI application that behaves like an instance of a service: it runs
requests in a limited number of slots, calls other services, reports its load
and shows faults on demand.
"""

import dataclasses
import hashlib
import json
import math
import os
import random
import secrets

import anyio

from medlardoor.standins import answers, children, connections, digests, records
from medlardoor.standins import faults as faults_module
from medlardoor.standins import settings as settings_module

__all__ = ["UpstreamStandin"]

CRASH_STATUS = 70


@dataclasses.dataclass(slots=True)
class _Run:
    """One request while it is in the stand-in."""

    identity: digests.RequestIdentity
    key: str
    call_token: str
    arrived_at: float
    deadline: float
    started: bool = False
    sent: bool = False
    ended: bool = False


class UpstreamStandin:
    """ASGI application of an upstream stand-in.

    Args:
        settings: Settings of the stand-in.
    """

    def __init__(self, settings: settings_module.UpstreamStandinSettings):
        self._settings = settings
        self._random = random.Random(settings.seed)
        self._slots = anyio.Semaphore(settings.slots, fast_acquire=True)
        self._in_use = 0
        self._queued = 0
        self._present = 0
        self._draining = False
        self._refusing = False
        self._idle = None
        self._started_at = anyio.current_time()
        self._start_id = secrets.token_hex(8)
        self._faults = faults_module.Faults()
        self._reports = faults_module.LoadReports(self._start_id)
        self._record = records.RecordFile(settings.record)
        self._record.write_start(
            service=settings.service,
            instance=settings.instance,
            start_id=self._start_id,
        )
        self._pool = connections.ConnectionPool()
        self._children = children.ChildCaller(settings, self._pool)

    @property
    def state(self) -> str:
        """State for the load report."""
        if self._draining or self._faults.draining:
            return "draining"
        age_s = anyio.current_time() - self._started_at
        return "starting" if age_s < self._settings.starting_s else "serving"

    async def drain(self) -> None:
        """Reports ``draining``, then waits until no request is present.

        New requests are run for the grace time, so that none that was sent
        before the report was read is refused; after that they are refused as
        not run.
        """
        self._draining = True
        await anyio.sleep(self._settings.drain_grace_s)
        self._refusing = True
        if self._present:
            self._idle = anyio.Event()
            await self._idle.wait()

    async def aclose(self) -> None:
        """Closes the connections and the record file."""
        await self._pool.aclose()
        self._record.close()

    async def __call__(self, scope, receive, send) -> None:
        """Handles one request or lifespan event of ASGI."""
        if scope["type"] != "http":
            return
        if scope["path"] == "/load":
            await self._reports.answer(
                self._faults,
                faults_module.LoadReport(
                    self._settings.slots,
                    self._in_use,
                    self._queued,
                    self.state,
                ),
                receive,
                send,
            )
        elif scope["path"] == "/standin/faults":
            await self._set_faults(receive, send)
        elif scope["path"] == "/standin/egress":
            await self._set_egress(receive, send)
        else:
            await self._serve(scope, receive, send)

    async def _set_egress(self, receive, send):
        """Sets the egress address, known only after the node has started."""
        body = await answers.read_whole_body(receive)
        self._children.egress = body.decode("latin-1").strip()
        await answers.send_json(send, 200, {"egress": self._children.egress})

    async def _set_faults(self, receive, send):
        body = await answers.read_whole_body(receive)
        parsed = faults_module.parse_faults(body)
        if parsed.is_err():
            await answers.send_problem(send, 422, parsed.err_value.message)
            return
        self._faults = parsed.ok_value
        await answers.send_json(send, 200, self._faults.model_dump())

    async def _serve(self, scope, receive, send):
        arrived_at = anyio.current_time()
        headers = answers.decode_headers(scope)
        target = answers.target_of(scope)
        self._present += 1
        try:
            if self._must_shed():
                self._write_bare("shed", target, headers)
                await answers.send_shed(send)
                return
            body_sha256 = await self._read(target, headers, receive)
            if body_sha256 is None:
                return
            run = _run_of(
                scope["method"], target, headers, body_sha256, arrived_at
            )
            if math.isinf(run.deadline):
                run.deadline = (
                    arrived_at + self._settings.child_timeout_ms / 1_000
                )
            await self._run_until_disconnect(run, receive, send)
        finally:
            self._present -= 1
            if self._idle is not None and not self._present:
                self._idle.set()

    def _must_shed(self):
        if self.state == "starting" or self._refusing:
            return True
        limit = self._settings.queue_limit
        if limit is not None and self._queued >= limit and self._is_full():
            return True
        return self._random.random() < self._faults.shed

    def _is_full(self):
        return self._in_use >= self._settings.slots

    async def _read(self, target, headers, receive):
        """Reads the body as a stream; None if the caller disconnects."""
        marker = self._faults.crash_on.encode()
        if marker and marker in target.encode():
            self._crash(target, headers)
        hasher = hashlib.sha256()
        tail = b""
        try:
            async for chunk in answers.read_body(receive):
                hasher.update(chunk)
                if marker and marker in tail + chunk:
                    self._crash(target, headers)
                tail = (tail + chunk)[-len(marker) :] if marker else b""
        except answers.Disconnected:
            return None
        return hasher.hexdigest()

    def _crash(self, target, headers):
        self._write_bare("start", target, headers)
        os._exit(CRASH_STATUS)

    def _write_bare(self, event, target, headers):
        self._record.write(
            event,
            id=headers.get("x-request-id", ""),
            key=headers.get("idempotency-key", ""),
            target=target,
        )

    async def _run_until_disconnect(self, run, receive, send):
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(_watch, receive, group.cancel_scope)
                await self._run(run, send)
                group.cancel_scope.cancel()
        finally:
            if run.started and not run.ended:
                self._end(run, "cancelled")

    async def _run(self, run, send):
        self._queued += 1
        try:
            await self._slots.acquire()
        finally:
            self._queued -= 1
        self._in_use += 1
        try:
            run.started = True
            self._write("start", run)
            await anyio.sleep(self._service_time_s())
            called = await self._children.run(
                children.ParentCall(
                    run.identity.target,
                    run.identity.request_id,
                    run.call_token,
                    run.deadline,
                )
            )
        finally:
            self._in_use -= 1
            self._slots.release()
        if called.is_err():
            self._end(run, "failed", reason=called.err_value.message)
            await answers.send_child_failure(send, called.err_value)
            return
        self._end(run, "answered")
        await self._answer(run, called.ok_value, send)

    def _service_time_s(self):
        mean_ms = self._settings.mean_ms * self._faults.slow_factor
        age_s = anyio.current_time() - self._started_at
        if age_s < self._settings.cold_s:
            mean_ms *= self._settings.cold_factor
        if mean_ms <= 0:
            return 0.0
        # The mean of a lognormal distribution is exp(mu + sigma ** 2 / 2).
        sigma = self._settings.sigma
        mu = math.log(mean_ms) - sigma**2 / 2
        return self._random.lognormvariate(mu, sigma) / 1_000

    async def _answer(self, run, calls, send):
        head = {
            "digest": run.identity.digest,
            **dataclasses.asdict(run.identity),
            "service": self._settings.service,
            "instance": self._settings.instance,
            "start_id": self._start_id,
            "calls": calls,
        }
        padding = digests.padding_of(run.identity.target)
        await answers.send_padded(send, json.dumps(head), padding)

    def _write(self, event, run, **fields):
        self._record.write(
            event,
            id=run.identity.request_id,
            key=run.key,
            target=run.identity.target,
            **fields,
        )

    def _end(self, run, end, **fields):
        run.ended = True
        self._write("end", run, end=end, **fields)


async def _watch(receive, cancel_scope):
    """Cancels the run when the connection of the request is closed."""
    message = {"type": ""}
    while message["type"] != "http.disconnect":
        message = await receive()
    cancel_scope.cancel()


def _run_of(method, target, headers, body_sha256, arrived_at):
    identity = digests.RequestIdentity(
        method, target, headers.get("x-request-id", ""), body_sha256
    )
    timeout_s = digests.parse_timeout(headers.get("grpc-timeout", ""))
    return _Run(
        identity=identity,
        key=headers.get("idempotency-key", ""),
        call_token=headers.get("medlardoor-call", ""),
        arrived_at=arrived_at,
        deadline=math.inf if timeout_s is None else arrived_at + timeout_s,
    )
