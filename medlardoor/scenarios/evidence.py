"""What the stand-ins and the runner recorded, as typed rows.

All times are seconds of the monotonic clock of the machine, which is the same
for all processes.
"""

import dataclasses
import json
import pathlib
import typing

__all__ = [
    "Attempt",
    "Evidence",
    "Promotion",
    "Request",
    "Run",
    "VersionSample",
    "read_all",
    "read_load",
    "read_runs",
]

Row = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a request on an upstream.

    Attributes:
        service: Service of the upstream.
        instance: Name of the upstream.
        request_id: Id of the call; children extend the id of their parent.
        key: Idempotency key, or the empty string.
        began_at: Start of the run.
        end: How it ended; empty if the upstream recorded no end.
    """

    service: str
    instance: str
    request_id: str
    key: str
    began_at: float
    end: str = ""

    @property
    def root_id(self) -> str:
        """Id of the caller's request that this run belongs to."""
        return self.request_id.split("/", 1)[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a caller.

    Attributes:
        request_id: Id of the request, the same for all attempts.
        kind: Kind of request.
        key: Idempotency key, or the empty string.
        outcome: What the caller was told, or found.
        reason: Reason of a refusal.
        began_at: When it was sent.
        ended_at: When its answer was complete.
    """

    request_id: str
    kind: str
    key: str
    outcome: str
    reason: str
    began_at: float
    ended_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller with its final outcome."""

    request_id: str
    kind: str
    key: str
    outcome: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class VersionSample:
    """Document version that a node reported; 0 if it has none."""

    node: str
    at: float
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Promotion:
    """A version that was accepted."""

    version: int
    at: float


@dataclasses.dataclass(slots=True)
class Evidence:
    """All that the checkers may look at.

    Attributes:
        runs: Runs on all upstreams.
        sheds: Requests that upstreams refused, as runs without an end.
        attempts: Attempts of all load clients.
        requests: Requests of all load clients.
        versions: Versions polled by the runner.
        promotions: Versions accepted, in order.
        marks: Times of faults and stops by name of the process.
    """

    runs: list[Run] = dataclasses.field(default_factory=list)
    sheds: list[Run] = dataclasses.field(default_factory=list)
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    requests: list[Request] = dataclasses.field(default_factory=list)
    versions: list[VersionSample] = dataclasses.field(default_factory=list)
    promotions: list[Promotion] = dataclasses.field(default_factory=list)
    marks: dict[str, float] = dataclasses.field(default_factory=dict)


def _rows(path: pathlib.Path) -> typing.Iterator[tuple[float, Row]]:
    """Rows with their times; a file may hold several starts."""
    if not path.exists():
        return
    started_at = 0.0
    text = path.read_text()
    # The writer may be in the middle of the last line.
    for line in text[: text.rfind("\n") + 1].splitlines():
        row = json.loads(line)
        if row["event"] == "process_start":
            started_at = row["monotonic_s"]
        yield started_at + row["t_ms"] / 1_000, row


def read_runs(path: pathlib.Path) -> tuple[list[Run], list[Run]]:
    """Reads the runs and the refusals in the record of one upstream."""
    runs: list[Run] = []
    sheds: list[Run] = []
    running: dict[str, list[Run]] = {}
    start: Row = {}
    for at, row in _rows(path):
        if row["event"] == "process_start":
            start = row
            running = {}
        elif row["event"] in ("start", "shed"):
            service, instance = start["service"], start["instance"]
            run = Run(service, instance, row["id"], row["key"], at)
            if row["event"] == "shed":
                sheds.append(run)
                continue
            runs.append(run)
            running.setdefault(row["id"], []).append(run)
        elif row["event"] == "end" and running.get(row["id"]):
            running[row["id"]].pop(0).end = row["end"]
    return runs, sheds


def read_load(path: pathlib.Path) -> tuple[list[Attempt], list[Request]]:
    """Reads the record of one load client."""
    attempts = []
    requests = []
    for at, row in _rows(path):
        if row["event"] not in ("attempt", "request"):
            continue
        fields = (row["id"], row["kind"], row["key"], row["outcome"])
        if row["event"] == "request":
            requests.append(Request(*fields, row["reason"]))
            continue
        began_at = at - row["latency_ms"] / 1_000
        attempts.append(Attempt(*fields, row["reason"], began_at, at))
    return attempts, requests


def read_all(directory: pathlib.Path) -> Evidence:
    """Reads the records of all upstreams and load clients of a scenario."""
    evidence = Evidence()
    for path in sorted(directory.glob("upstream-*.jsonl")):
        runs, sheds = read_runs(path)
        evidence.runs += runs
        evidence.sheds += sheds
    for path in sorted(directory.glob("load-*.jsonl")):
        attempts, requests = read_load(path)
        evidence.attempts += attempts
        evidence.requests += requests
    return evidence
