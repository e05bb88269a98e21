"""What callers and upstreams saw, and the promises checked on it."""

import collections
import dataclasses
import time

__all__ = ["Finding", "Ledger", "Promise"]

# Time after an acknowledged leaving within which new requests may still come,
# as the platform's bound says, and what a busy test machine adds. In seconds.
DRAIN_S = 2.0
SLACK_S = 0.5

# Time after its confirmation in which a document comes into force, in seconds.
CONFIG_S = 2.0

# Bound on repeated arrivals at a service, as the platform's settings say.
BUDGET_RATIO = 0.2
BUDGET_SLACK = 47
BUDGET_WINDOW_S = 10.0

# Deadlines handed on may be so much longer than the caller's, in milliseconds.
DEADLINE_SLACK_MS = 500

# Window over which the limits of teams are checked, in seconds.
LIMIT_WINDOW_S = 5.0

MAX_FINDINGS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A promise that was broken.

    Attributes:
        promise: Short name of the promise.
        at_s: When it was seen, in seconds since the start.
        detail: What was seen.
    """

    promise: str
    at_s: float
    detail: str


class Promise:
    """Names of the promises."""

    WHOLE = "whole answer of its own"
    ONCE = "one run at most"
    REFUSAL = "refusal is true"
    LEAVING = "no work to a leaving upstream"
    STOP = "nothing cut at a planned stop"
    DOCUMENT = "no node handles requests by an outdated document"
    BUDGET = "retry bound"
    DEADLINE = "no more time than is left"
    RANK = "least urgent refused first"
    RECOVERY = "service is back"
    KEY = "the upstream learns the caller's team and no key"
    LIMIT = "limit of a team over all nodes"
    NAMED_LIMIT = "limit that an upstream names"
    EXIT = "no process ends by itself"
    QUARANTINE = "a request that crashes upstreams is kept out"


class Ledger:
    """Records events and checks promises as they come.

    Args:
        limits: Most requests of a team in a window of `LIMIT_WINDOW_S`.
    """

    def __init__(self, limits: dict[str, float] | None = None):
        self._limits = limits or {}
        # Team of each request; empty if its key is in no document.
        self._teams: dict[str, str] = {}
        self._asked_at: dict[str, float] = {}
        # Times at which requests were sent and first run, by team.
        self._team_runs: dict[str, collections.deque[tuple[float, float]]] = (
            collections.defaultdict(collections.deque)
        )
        self._started_at = time.monotonic()
        self._runs: dict[str, int] = collections.Counter()
        self._refused: set[str] = set()
        self._deadlines: dict[str, int] = {}
        self._unsafe: set[str] = set()
        self._left: dict[str, float] = {}
        self._arrivals: dict[str, collections.deque[tuple[float, bool]]] = (
            collections.defaultdict(collections.deque)
        )
        self._requests: dict[str, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )
        # Confirmed documents as times and services, by kind of request.
        self._confirmed: dict[str, list[tuple[float, str]]] = (
            collections.defaultdict(list)
        )
        # Service that has run a request.
        self._ran_at_service: dict[str, str] = {}
        self._seen: dict[str, set[str]] = collections.defaultdict(set)
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.findings: list[Finding] = []

    @property
    def now_s(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._started_at

    def report(self, promise: str, detail: str) -> None:
        """Records a broken promise."""
        if len(self.findings) < MAX_FINDINGS:
            self.findings.append(Finding(promise, self.now_s, detail))

    def asked(
        self,
        service: str,
        attempt: str,
        is_unsafe: bool,
        deadline_ms: int,
        team: str,
    ) -> None:
        """A caller sends a request."""
        self._teams[attempt] = team
        self._asked_at[attempt] = self.now_s
        self._deadlines[attempt] = deadline_ms
        self._requests[service].append(self.now_s)
        if is_unsafe:
            self._unsafe.add(attempt)

    def arrived(
        self, service: str, kind: str, attempt: str, upstream_id: str
    ) -> None:
        """A request has reached an upstream."""
        now = self.now_s
        if attempt not in self._deadlines:
            self.report(Promise.ONCE, f"{attempt}: nobody asked for it")
        left_at = self._left.get(upstream_id)
        if left_at is not None and now - left_at > DRAIN_S + SLACK_S:
            self.report(
                Promise.LEAVING,
                f"{attempt} reaches {upstream_id} {now - left_at:.2f} s after",
            )
        again = attempt in self._seen[service]
        self._seen[service].add(attempt)
        arrivals = self._arrivals[service]
        arrivals.append((now, again))
        while arrivals and arrivals[0][0] < now - BUDGET_WINDOW_S:
            arrivals.popleft()
        if again:
            self._check_budget(service, now)

    def ran(
        self,
        service: str,
        kind: str,
        attempt: str,
        upstream_id: str,
        deadline_ms: int,
    ) -> None:
        """An upstream begins to work on a request."""
        self._runs[attempt] += 1
        self._ran_at_service[attempt] = service
        if attempt in self._unsafe and self._runs[attempt] > 1:
            self.report(Promise.ONCE, f"{attempt} runs again at {upstream_id}")
        if attempt in self._refused and attempt in self._unsafe:
            self.report(Promise.REFUSAL, f"{attempt} runs after its refusal")
        asked = self._deadlines.get(attempt, 0)
        if deadline_ms > asked + DEADLINE_SLACK_MS:
            self.report(
                Promise.DEADLINE, f"{attempt}: {deadline_ms} of {asked} ms"
            )

    def ran_for(self, attempt: str, team: str, has_key: bool) -> None:
        """An upstream begins to work on a request of a team.

        Args:
            attempt: Identifier of the request.
            team: Team that the upstream was told.
            has_key: Whether the upstream was shown a key.
        """
        own = self._teams.get(attempt, "")
        if not own or team != own or has_key:
            self.report(Promise.KEY, f"{attempt} of {own!r} ran as {team!r}")
        if self._runs[attempt] > 1 or team not in self._limits:
            return
        now = self.now_s
        runs = self._team_runs[team]
        runs.append((self._asked_at.get(attempt, now), now))
        while runs and runs[0][1] < now - LIMIT_WINDOW_S:
            runs.popleft()
        count = sum(sent >= now - LIMIT_WINDOW_S for sent, _ in runs)
        if count > self._limits[team]:
            self.report(Promise.LIMIT, f"{team}: {count} requests in a window")

    def confirmed(self, kind: str, service: str) -> None:
        """The store has confirmed a document.

        Args:
            kind: Kind of request.
            service: Service that the document sends it to.
        """
        self._confirmed[kind].append((self.now_s, service))

    def check_document(self, kind: str, attempt: str) -> None:
        """Checks that a request of an undisturbed node ran as it should.

        Args:
            kind: Kind of the request.
            attempt: Identifier of the request.
        """
        sent_at = self._asked_at[attempt]
        latest = sent_at - CONFIG_S - SLACK_S
        outdated = [s for at, s in self._confirmed[kind] if at <= latest]
        allowed = {s for at, s in self._confirmed[kind] if at > latest}
        allowed.update(outdated[-1:])
        service = self._ran_at_service.get(attempt)
        if service is not None and service not in allowed:
            self.report(
                Promise.DOCUMENT,
                f"{attempt} ({kind}) ran at {service}, allowed {allowed}",
            )

    def refused(self, attempt: str) -> None:
        """A caller is told that its request has not run."""
        self._refused.add(attempt)
        if attempt in self._unsafe and self._runs[attempt]:
            self.report(Promise.REFUSAL, f"{attempt} has run")

    def acknowledged_leaving(self, upstream_id: str) -> None:
        """A node has acknowledged that an upstream leaves."""
        self._left.setdefault(upstream_id, self.now_s)

    def _check_budget(self, service: str, now: float) -> None:
        repeats = sum(again for _, again in self._arrivals[service])
        requests = self._requests[service]
        while requests and requests[0] < now - 2 * BUDGET_WINDOW_S:
            requests.popleft()
        allowed = BUDGET_RATIO * len(requests) + BUDGET_SLACK
        if repeats > allowed:
            self.report(
                Promise.BUDGET, f"{service}: {repeats} of {allowed:.0f} repeats"
            )
