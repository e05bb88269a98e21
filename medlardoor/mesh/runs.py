"""Requests that are sent to an upstream, and their results."""

import abc
import collections.abc
import dataclasses

from medlardoor import errors

__all__ = ["Run", "RunHandle", "RunResult", "RunTarget"]


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """A request in the form that is sent to an upstream.

    Attributes:
        service: Name of the service that the upstream belongs to.
        attempt_id: Identifier that the caller gave the request.
        method: HTTP method.
        target: Path and query.
        headers: Encoded header lines that the upstream receives unchanged.
        body: Complete body.
        deadline: When the caller stops waiting, in seconds of the event loop's
            clock.
        objective_deadline: When the response-time objective passes, in seconds
            of the same clock.
        level: Admission level of the chain; see `levels.level_of`.
        idempotent: Whether the request may run more than once.
        repeated: Whether this run or one above it in the chain is a retry. Its
            calls count as retries then.
        nested: Whether a run in progress made the request. The work of that run
            is lost if the request fails.
        team: Name of the team whose caller's request the chain serves; empty if
            it is unknown.
    """

    service: str
    attempt_id: bytes
    method: bytes
    target: bytes
    headers: bytes
    body: bytes
    deadline: float
    objective_deadline: float
    level: int
    idempotent: bool
    repeated: bool = False
    nested: bool = False
    team: bytes = b""


@dataclasses.dataclass(slots=True, eq=False)
class RunResult:
    """Result of a run.

    Attributes:
        outcome: Whether the upstream responded, and if not, whether the request
            may have run.
        reason: Why there is no response for the caller; None if there is one.
        status: HTTP status of the response.
        headers: Encoded header lines of the response.
        body: Complete body of the response.
        offered: Whether the request was sent to the upstream.
        running: Number of requests that run on the upstream; -1 if unknown.
        waiting: Number of requests that wait for a slot of the upstream; -1 if
            unknown.
        level: Admission level of the upstream's node.
        path_level: Highest admission level reported for the calls of the run.
        made_calls: Whether the run made calls of its own.
        waited_s: Time that the run and its calls waited for slots, in seconds.
        leaf_slot_s: Time that the leaves of the call chain held slots, in
            seconds. A leaf is a run that makes no calls.
        time_percent: Processing time of the upstream in percent of the usual;
            0 if unknown.
    """

    outcome: errors.Outcome
    reason: errors.Reason | None = None
    status: int = 0
    headers: bytes = b""
    body: bytes = b""
    offered: bool = False
    running: int = -1
    waiting: int = -1
    level: int = 0
    path_level: int = 0
    made_calls: bool = False
    waited_s: float = 0.0
    leaf_slot_s: float = 0.0
    time_percent: int = 0


class RunHandle(abc.ABC):
    """A run in progress."""

    __slots__ = ()

    @abc.abstractmethod
    def cancel(self) -> None:
        """Cancels the run; its result is no longer reported."""


class RunTarget(abc.ABC):
    """A destination of runs: the local upstream or another node."""

    @abc.abstractmethod
    def run(
        self,
        run: Run,
        report: collections.abc.Callable[[RunResult], None],
    ) -> RunHandle:
        """Starts a run.

        Args:
            run: The request.
            report: Called once with the result, possibly before this method
                returns.

        Returns:
            A handle to cancel the run.
        """
