"""Load client for tests and demonstrations; not part of the system.

Requests arrive as a seeded Poisson process whether or not earlier ones were
answered (open loop).
"""

import collections
import random
import statistics
import time

import anyio

from medlardoor.standins import connections, load_request, output, records
from medlardoor.standins import settings as settings_module

__all__ = ["LoadClient", "run_load"]

PROGRESS_INTERVAL_S = 1.0


class LoadClient:
    """Sends the load that the settings describe.

    Args:
        settings: Settings of the load client.
    """

    def __init__(self, settings: settings_module.LoadSettings):
        self._settings = settings
        self._record = records.RecordFile(settings.record)
        self._record.write_start(seed=settings.seed)
        self._pool = connections.ConnectionPool()
        self._sender = load_request.RequestSender(
            settings, self._pool, self._record
        )
        self._outstanding = 0
        self._sent = 0
        self._counts = collections.defaultdict(collections.Counter)
        self._latencies_ms = collections.defaultdict(list)
        self._attempts = 0
        self._max_attempts = 0

    async def run(self) -> dict:
        """Runs all phases, waits for the last answers, gives a summary."""
        began_at = anyio.current_time()
        await self._sender.fill_key_stocks()
        async with anyio.create_task_group() as progress:
            progress.start_soon(self._report_progress)
            async with anyio.create_task_group() as group:
                for phase in self._settings.phases:
                    self._record.write("phase", phase=phase.name)
                    await self._run_phase(phase, group)
                self._record.write("phase", phase="")
            progress.cancel_scope.cancel()
        await self._pool.aclose()
        self._record.close()
        return self._summary(anyio.current_time() - began_at)

    async def _run_phase(self, phase, group):
        ends_at = anyio.current_time() + phase.duration_s
        async with anyio.create_task_group() as arrivals:
            for kind in self._settings.kinds:
                if phase.rates.get(kind.name, 0.0) > 0:
                    arrivals.start_soon(
                        self._arrive, phase, kind, ends_at, group
                    )
            arrivals.start_soon(anyio.sleep_until, ends_at)

    async def _arrive(self, phase, kind, ends_at, group):
        rate = phase.rates[kind.name]
        chance = random.Random(
            f"{self._settings.seed}/{phase.name}/{kind.name}"
        )
        at = anyio.current_time()
        for number in range(1, 1_000_000_000):
            at += chance.expovariate(rate)
            if at >= ends_at:
                return
            # One pass of the event loop may take longer than the gap between
            # arrivals; requests that are due do not wait for another pass.
            if at > anyio.current_time():
                await anyio.sleep_until(at)
            request = load_request.Request(
                kind=kind,
                phase=phase.name,
                request_id=(
                    f"{self._settings.seed}-{phase.name}-{kind.name}-{number}"
                ),
                arrived_at=at,
            )
            group.start_soon(self._send, request)

    async def _send(self, request):
        self._sent += 1
        if self._outstanding >= self._settings.max_outstanding:
            self._finish(request, "failed", "client_limit")
            return
        self._outstanding += 1
        try:
            await self._sender.send(request)
        finally:
            self._outstanding -= 1
        self._finish(request, request.outcome, request.reason)

    def _finish(self, request, outcome, reason):
        # The clock of uvloop, which `arrived_at` is taken from, is the same
        # clock in whole milliseconds.
        latency_ms = (time.monotonic() - request.arrived_at) * 1_000
        name = request.kind.name
        self._counts[name][outcome] += 1
        if outcome == "whole":
            self._latencies_ms[name].append(latency_ms)
        self._attempts += request.attempts
        self._max_attempts = max(self._max_attempts, request.attempts)
        self._record.write(
            "request",
            id=request.request_id,
            kind=name,
            phase=request.phase,
            key=request.key,
            outcome=outcome,
            status=request.status,
            reason=reason,
            latency_ms=round(latency_ms, 3),
            attempts=request.attempts,
        )

    async def _report_progress(self):
        began_at = anyio.current_time()
        for number in range(1, 1_000_000):
            await anyio.sleep_until(began_at + number * PROGRESS_INTERVAL_S)
            output.print_event(
                "progress",
                t_s=number * PROGRESS_INTERVAL_S,
                sent=self._sent,
                outstanding=self._outstanding,
                outcomes=self._outcomes(),
            )

    def _outcomes(self):
        total = collections.Counter()
        for counts in self._counts.values():
            total.update(counts)
        return dict(total)

    def _summary(self, duration_s):
        return {
            "requests": self._sent,
            "attempts": self._attempts,
            "attempts_max_per_request": self._max_attempts,
            "duration_s": round(duration_s, 3),
            "outcomes": self._outcomes(),
            "kinds": {
                name: {**counts, **_quantiles(self._latencies_ms[name])}
                for name, counts in self._counts.items()
            },
        }


def run_load(settings: settings_module.LoadSettings) -> None:
    """Runs the load client and prints its summary as the last line."""

    async def run():
        return await LoadClient(settings).run()

    summary = anyio.run(run, backend_options={"use_uvloop": True})
    output.print_event("summary", **summary)


def _quantiles(latencies_ms):
    if len(latencies_ms) < 2:
        return {}
    cuts = statistics.quantiles(latencies_ms, n=100)
    return {"p50_ms": round(cuts[49], 3), "p99_ms": round(cuts[98], 3)}
