"""Sends one attempt of a call to another node and records its result."""

import dataclasses

import anyio
import result

from medlardoor import errors
from medlardoor.blackboard import topics
from medlardoor.calls import context, exchange
from medlardoor.node import parts
from medlardoor.node.serving import calls

__all__ = ["Attempt", "send_attempt"]


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a call at one node.

    Attributes:
        service: Service that the receiving node belongs to.
        member: Receiving node.
        call: Context of the call. `send_attempt` sends a copy that carries the
            retry budget reserved for the attempt.
        request: Head of the request.
        body: Body of the request, replayable.
        reply: Receives the response.
    """

    service: str
    member: topics.Member
    call: context.CallContext
    request: exchange.Request
    body: exchange.RequestBody
    reply: exchange.Reply


async def send_attempt(
    node: parts.NodeParts, active: calls.ActiveCall, attempt: Attempt
) -> result.Result[None, errors.Refusal]:
    """Sends a call once and updates its budget, path level and node health.

    Args:
        node: Parts of this node.
        active: Call that the attempt belongs to; its budget covers retries.
        attempt: Attempt to send.

    Returns:
        `Ok` if a response was relayed, else the refusal.
    """
    budget_share = active.budget.reserve()
    call = dataclasses.replace(attempt.call, budget=budget_share)
    node.nodes.started(attempt.member, anyio.current_time())
    # A cancelled attempt is no evidence that the node is unhealthy.
    healthy = True
    try:
        report, sent = await node.forwarder.send(
            attempt.member, call, attempt.request, attempt.body, attempt.reply
        )
        healthy = report is not None
    finally:
        node.nodes.finished(attempt.member, healthy, anyio.current_time())
    if report is not None:
        active.budget.return_unspent(report.unspent_budget, budget_share)
        _record_path_level(node, active, attempt, report.path_level)
    return sent


def _record_path_level(
    node: parts.NodeParts,
    active: calls.ActiveCall,
    attempt: Attempt,
    path_level: int,
) -> None:
    """Records the admission level that a called service reported.

    Levels from peers of this node's own service are ignored: two peers would
    report each other's level back, and neither level would ever fall.
    """
    if attempt.service == node.board.service:
        return
    active.path_level = max(active.path_level, path_level)
    node.paths.observe(
        attempt.service, attempt.call.kind, path_level, anyio.current_time()
    )
