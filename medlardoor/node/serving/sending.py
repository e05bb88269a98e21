"""One attempt of a call at another node, with its bookkeeping."""

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
    """What to send to which node.

    Attributes:
        service: Service of the receiving node.
        member: The receiving node.
        call: Context of the call to send; its budget is set here.
        request: Head of the request.
        body: Body of the request, replayable.
        reply: Receives the answer.
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
    """Sends a call once and settles its budget, levels and node health.

    Args:
        node: Parts of this node.
        active: The call that the attempt belongs to; pays for its retries.
        attempt: What to send.

    Returns:
        `Ok` if an answer was relayed, else why there is none.
    """
    share = active.budget.reserve()
    call = dataclasses.replace(attempt.call, budget=share)
    node.nodes.started(attempt.member, anyio.current_time())
    # A cancelled attempt says nothing about the health of the node.
    healthy = True
    try:
        report, sent = await node.forwarder.send(
            attempt.member, call, attempt.request, attempt.body, attempt.reply
        )
        healthy = report is not None
    finally:
        node.nodes.finished(attempt.member, healthy, anyio.current_time())
    if report is not None:
        active.budget.return_unspent(report.unspent_budget, share)
        _note_path_level(node, active, attempt, report.path_level)
    return sent


def _note_path_level(
    node: parts.NodeParts,
    active: calls.ActiveCall,
    attempt: Attempt,
    path_level: int,
) -> None:
    """Notes the level of a called service.

    Levels of peers of the own service are left out: two peers would report
    each other's level back and neither would ever fall.
    """
    if attempt.service == node.board.service:
        return
    active.path_level = max(active.path_level, path_level)
    node.paths.observe(
        attempt.service, attempt.call.kind, path_level, anyio.current_time()
    )
