"""Control requests between nodes on the peer listener."""

import hashlib

import anyio
import result

from medlardoor import errors
from medlardoor.blackboard import board as board_module
from medlardoor.blackboard import topics
from medlardoor.calls import exchange, problems
from medlardoor.node.transport import transport as transport_module
from medlardoor.wire import authentication, codec
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["CONTROL_PREFIX", "ControlApp", "fetch_document"]

CONTROL_PREFIX = "/.medlardoor/"
DOCUMENT_PATH = "/.medlardoor/document"
AUTHORIZATION_HEADER = b"medlardoor-authorization"
FETCH_TIMEOUT_S = 2.0
MAX_TRANSFER_BYTES = 1_100_000


class ControlApp:
    """ASGI application for control requests of other nodes.

    Args:
        board: Shared state.
        key: Key of the cluster; one for this purpose is derived from it.
    """

    def __init__(
        self, board: board_module.Blackboard, key: authentication.ClusterKey
    ):
        self._board = board
        self._key = key.derive("control")

    async def __call__(self, scope, receive, send) -> None:
        """Handles one control request."""
        request = exchange.Request.from_scope(scope)
        reply = exchange.Reply(send)
        presented = request.header(AUTHORIZATION_HEADER) or b""
        expected = _authorization(self._key, request.path)
        if not self._key.same(presented, expected):
            await _refuse(reply, "The request is not from a node.")
            return
        if request.path != DOCUMENT_PATH or request.method != "GET":
            await _refuse(reply, "There is no such control request.")
            return
        await self._send_document(reply)

    async def _send_document(self, reply: exchange.Reply) -> None:
        policy = self._board.policy
        if policy.version == 0:
            await _refuse(reply, "This node has no document yet.")
            return
        transfer = ttypes.DocumentTransfer(
            version=policy.version,
            digest=hashlib.sha256(policy.value).digest(),
            value=policy.value,
        )
        data = codec.encode(transfer)
        await reply.send_complete(
            200,
            [(AUTHORIZATION_HEADER, self._key.mac(data).hex().encode())],
            data,
        )


async def fetch_document(
    transport: transport_module.Transport,
    member: topics.Member,
    key: authentication.ClusterKey,
) -> result.Result[ttypes.DocumentTransfer, errors.Failure]:
    """Fetches the document object that another node has adopted.

    Args:
        transport: Connections to other nodes.
        member: Node to ask.
        key: Key of the cluster.

    Returns:
        The authenticated object with its version.
    """
    purpose_key = key.derive("control")
    request = transport_module.OutgoingRequest(
        "GET",
        DOCUMENT_PATH.encode(),
        [
            (b"host", member.host.encode()),
            (AUTHORIZATION_HEADER, _authorization(purpose_key, DOCUMENT_PATH)),
        ],
    )
    with anyio.move_on_after(FETCH_TIMEOUT_S):
        sent = await transport.send(
            transport_module.Address(member.host, member.peer_port),
            request,
            FETCH_TIMEOUT_S,
        )
        if sent.is_err():
            return sent
        try:
            return await _read_transfer(sent.ok(), purpose_key)
        except exchange.TruncatedAnswer:
            return result.Err(codec.MalformedMessage("truncated"))
    return result.Err(codec.MalformedMessage("no answer in time"))


async def _read_transfer(
    response: transport_module.Response, key: authentication.ClusterKey
) -> result.Result[ttypes.DocumentTransfer, codec.MalformedMessage]:
    data = bytearray()
    try:
        async for chunk in response.chunks():
            data += chunk
            if len(data) > MAX_TRANSFER_BYTES:
                return result.Err(codec.MalformedMessage("too long"))
    finally:
        await response.aclose()
    code = exchange.header_value(response.headers, AUTHORIZATION_HEADER) or b""
    expected = key.mac(bytes(data)).hex().encode()
    if response.status != 200 or not key.same(code, expected):
        return result.Err(codec.MalformedMessage("not authentic"))
    decoded = codec.decode(ttypes.DocumentTransfer, bytes(data))
    if decoded.is_err():
        return decoded
    transfer = decoded.ok()
    value = transfer.value or b""
    if hashlib.sha256(value).digest() != transfer.digest:
        return result.Err(codec.MalformedMessage("wrong digest"))
    if not transfer.version or transfer.version < 1:
        return result.Err(codec.MalformedMessage("no version"))
    return result.Ok(transfer)


def _authorization(key: authentication.ClusterKey, path: str) -> bytes:
    return key.mac(path.encode()).hex().encode()


async def _refuse(reply: exchange.Reply, detail: str) -> None:
    refusal = errors.Refusal(
        errors.Outcome.NOT_RUN, errors.Reason.INVALID_REQUEST, detail
    )
    await problems.send_problem(reply, refusal)
