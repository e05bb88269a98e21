"""One soak run: traffic, faults, checks and the recovery at its end."""

import dataclasses
import pathlib
import random

import anyio

from medlardoor.soak import crashing, documents, evidence, faults, world

__all__ = ["Report", "run"]

# After the last fault, service must be back within this time, in seconds.
RECOVER_S = 15.0
OBSERVED_S = 4.0

# The upstreams and callers run in this process, so service is observed again
# if it stood still meanwhile.
MAX_OBSERVATIONS = 4

# Share of requests that are served then. Some are refused where the last fault
# has left fewer upstreams.
RECOVERED_SHARE = 0.95


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Result of a run.

    Attributes:
        seed: Seed of the run.
        findings: Broken promises.
        outcomes: Number of requests by kind and outcome.
        faults: What was injected, and when.
        directory: Where the logs of the nodes are.
    """

    seed: int
    findings: tuple[evidence.Finding, ...]
    outcomes: dict[str, int]
    faults: tuple[str, ...]
    directory: pathlib.Path


async def run(
    seed: int,
    minutes: float,
    directory: pathlib.Path,
    *,
    has_returns: bool = False,
    has_late_copies: bool = False,
    has_crashing_request: bool = False,
    build: pathlib.Path | None = None,
) -> Report:
    """Runs the system with faults.

    Args:
        seed: Seed of all random draws.
        minutes: How long faults are injected.
        directory: Where settings and logs are written.
        has_returns: Whether the store returns from older copies.
        has_late_copies: Whether upstreams shed and repeat answers late.
        has_crashing_request: Whether a request that crashes upstreams is sent.
        build: Sources of the nodes; None for those of the soak.
    """
    generator = random.Random(seed)
    window_s = evidence.LIMIT_WINDOW_S
    ledger = evidence.Ledger(
        {
            team.name: team.rate_per_s * window_s + team.burst
            for team in documents.TEAMS
        }
    )
    series = None
    made = world.World(
        directory,
        ledger,
        generator,
        lambda member: series.is_calm(member),
        build,
    )
    if has_late_copies:
        # An upstream that has shed a request gets it again.
        made.unsafe_attempts = 1
    series = faults.FaultSeries(made, generator)
    async with anyio.create_task_group() as group:
        try:
            await made.start(group)
            group.start_soon(series.watch_own_stalls)
            until_s = ledger.now_s + minutes * 60
            if has_returns:
                returns = random.Random(~seed)
                group.start_soon(series.return_store, until_s, returns)
            if has_late_copies:
                copies = random.Random(f"late copies {seed}")
                group.start_soon(series.repeat_answers, until_s, copies)
            if has_crashing_request:
                draws = random.Random(f"crashing {seed}")
                trouble = crashing.CrashingRequest(made, draws, series.log)
                group.start_soon(trouble.run, until_s)
            await series.run(until_s)
            await anyio.sleep(RECOVER_S)
            for _ in range(MAX_OBSERVATIONS):
                begun_s = ledger.now_s
                for member in made.members:
                    member.caller.recent.clear()
                await anyio.sleep(OBSERVED_S)
                if series.stalled_at < begun_s:
                    break
            _check_recovery(made, ledger)
        finally:
            group.cancel_scope.cancel()
            made.close()
    return Report(
        seed,
        tuple(ledger.findings),
        dict(sorted(ledger.outcomes.items())),
        tuple(series.log),
        directory,
    )


def _check_recovery(made: world.World, ledger: evidence.Ledger) -> None:
    for member in made.members:
        recent = member.caller.recent
        if not recent or sum(recent) < RECOVERED_SHARE * len(recent):
            ledger.report(
                evidence.Promise.RECOVERY,
                f"{member.name}: {sum(recent)} of {len(recent)} served",
            )
