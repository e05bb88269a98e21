"""A call to one upstream and its result, as data classes."""

import abc
import collections.abc
import dataclasses

from medlardoor import errors

__all__ = ["Run", "RunHandle", "RunResult", "RunTarget"]


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """A request that one upstream is asked to run.

    Attributes:
        service: Service that is to run it.
        attempt_id: Identifier that the caller gave this attempt.
        method: HTTP method.
        target: Path and query.
        headers: Encoded header lines that go to the upstream unchanged.
        body: Complete body.
        deadline: When the caller stops waiting, in seconds of the local clock.
        objective_deadline: When the response-time objective passes, in seconds.
        level: Importance of the chain; see `levels.level_of`.
        idempotent: Whether it may run more than once.
        repeated: Whether this or a run above it is a repeat, so that its calls
            count as repeats.
        nested: Whether a run in progress makes the request, so that work would
            be lost with it.
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


@dataclasses.dataclass(slots=True, eq=False)
class RunResult:
    """How a run ended.

    Attributes:
        outcome: What is known about the run.
        reason: Why there is no answer of the upstream; None with an answer.
        status: HTTP status of the answer.
        headers: Encoded header lines of the answer.
        body: Complete body of the answer.
        offered: Whether the request was sent to the upstream.
        running: Requests that run on the upstream; -1 if not known.
        waiting: Requests that wait for it; -1 if not known.
        level: Admission level of the upstream's node.
        path_level: Highest admission level that the calls of this run met.
        made_calls: Whether the run has made calls of its own.
        waited_s: How long it and its calls have waited for slots, in seconds.
        leaf_s: Time of slots that it took at the end of its chain: that of all
            its calls without calls of their own, or its own without any.
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
    leaf_s: float = 0.0


class RunHandle(abc.ABC):
    """A run in progress."""

    __slots__ = ()

    @abc.abstractmethod
    def cancel(self) -> None:
        """Ends the run; its result is not reported any more."""


class RunTarget(abc.ABC):
    """Something that runs requests: the local upstream or another node."""

    @abc.abstractmethod
    def run(
        self,
        run: Run,
        report: collections.abc.Callable[[RunResult], None],
    ) -> RunHandle:
        """Starts a run.

        Args:
            run: The request.
            report: Called once with the result, perhaps before this returns.
        """
