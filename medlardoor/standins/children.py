"""Child calls of the upstream stand-in; not part of the system."""

import dataclasses
import itertools
import json
import secrets

import anyio
import result

from medlardoor import errors
from medlardoor.standins import connections, digests
from medlardoor.standins import settings as settings_module

__all__ = ["ChildCaller", "ChildFailed", "ParentCall"]


@dataclasses.dataclass(frozen=True, slots=True)
class ParentCall:
    """What child calls take over from the request that causes them.

    Attributes:
        target: Path and query of the request.
        request_id: Value of X-Request-ID.
        call_token: Value of Medlardoor-Call, or the empty string.
        deadline: When the time of the request is over, in seconds.
    """

    target: str
    request_id: str
    call_token: str
    deadline: float


@dataclasses.dataclass(frozen=True)
class ChildFailed(errors.Failure):
    """A child call without a whole answer.

    Attributes:
        service: Service that was called.
        status: Status code of the child; 0 if there was no answer.
        detail: Detail of the child's problem document.
        outcome: Outcome that the child's answer states, or empty.
        reason: Reason that the child's answer states, or empty.
    """

    service: str
    status: int
    detail: str
    outcome: str = ""
    reason: str = ""

    @property
    def message(self) -> str:
        """One sentence for a log line or an operator."""
        return self.detail or f"{self.service} answered {self.status}."


class ChildCaller:
    """Makes the child calls of a stand-in.

    Args:
        settings: Settings of the upstream stand-in.
        pool: Connections to use.

    Attributes:
        egress: Address that controlled calls are sent to.
    """

    def __init__(
        self,
        settings: settings_module.UpstreamStandinSettings,
        pool: connections.ConnectionPool,
    ):
        self._settings = settings
        self._pool = pool
        self._turn = itertools.count(settings.seed)
        self._runs = itertools.count(1)
        self._prefix = secrets.token_hex(3)
        self.egress = settings.egress

    async def run(self, parent: ParentCall) -> result.Result[int, ChildFailed]:
        """Makes all child calls of a request.

        The calls of each run have request ids of their own, so that a record
        with one id twice shows a retry of the call and not of its parent.

        Returns:
            The number of calls, or the first failure.
        """
        done = 0
        run = f"{self._prefix}{next(self._runs)}"
        for number, child in enumerate(self._settings.children):
            if not parent.target.startswith(child.on_path):
                continue
            outcome = await self._run_group(child, parent, f"{run}.{number}")
            if outcome.is_err():
                return outcome
            done += child.count
        return result.Ok(done)

    async def _run_group(self, child, parent, run):
        failures = []

        async def call(index):
            outcome = await self._call(child, parent, f"{run}.{index}")
            if outcome.is_err():
                failures.append(outcome)

        if child.parallel:
            async with anyio.create_task_group() as group:
                for index in range(child.count):
                    group.start_soon(call, index)
        else:
            for index in range(child.count):
                await call(index)
                if failures:
                    break
        return failures[0] if failures else result.Ok(child.count)

    async def _call(self, child, parent, serial):
        request_id = f"{parent.request_id}/{child.service}.{serial}"
        identity = digests.RequestIdentity(
            child.method, child.path, request_id, digests.body_digest(b"")
        )
        addresses = self._settings.direct.get(child.service)
        if not addresses:
            return await self._attempt(child, parent, identity, self.egress)
        outcome = None
        for _ in range(1 + self._settings.direct_retries):
            address = addresses[next(self._turn) % len(addresses)]
            outcome = await self._attempt(child, parent, identity, address)
            if outcome.is_ok():
                break
        return outcome

    async def _attempt(self, child, parent, identity, address):
        left_s = parent.deadline - anyio.current_time()
        if left_s <= 0:
            return result.Err(
                ChildFailed(child.service, 0, "No time left for the call.")
            )
        headers = {
            "X-Request-ID": identity.request_id,
            "grpc-timeout": digests.format_timeout(left_s),
        }
        if not self._settings.direct.get(child.service):
            headers["Host"] = child.service
        if parent.call_token:
            headers["Medlardoor-Call"] = parent.call_token
        message = connections.Message(child.method, child.path, headers)
        exchange = await self._pool.exchange(address, message, left_s)
        return _judge(child.service, identity, exchange)


def _judge(service, identity, exchange):
    if exchange.is_err():
        detail = f"{service}: {exchange.err_value.message}"
        return result.Err(ChildFailed(service, 0, detail))
    answer = exchange.ok_value
    if answer.status >= 300:
        return result.Err(_failure_of(service, answer))
    if not digests.verify_answer(identity, answer.body, 0):
        detail = f"{service} sent an answer to another request."
        return result.Err(ChildFailed(service, answer.status, detail))
    return result.Ok(1)


def _failure_of(service, answer):
    """Failure with outcome and reason of the deepest call that failed."""
    try:
        problem = json.loads(answer.body)
    except ValueError:
        problem = {}
    if not isinstance(problem, dict):
        problem = {}
    return ChildFailed(
        service,
        answer.status,
        str(problem.get("detail", "")),
        str(problem.get("outcome") or problem.get("child_outcome", "")),
        str(problem.get("reason") or problem.get("child_reason", "")),
    )
