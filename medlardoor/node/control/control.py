"""Control requests between nodes, served on the peer listener."""

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
        board: Shared state of the node.
        key: Key of the cluster, from which the control key is derived.
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
        received_authorization = request.header(AUTHORIZATION_HEADER) or b""
        expected = _authorization(self._key, request.path)
        if not self._key.same(received_authorization, expected):
            await _refuse(
                reply, "The medlardoor-authorization header is not valid."
            )
            return
        if request.path != DOCUMENT_PATH or request.method != "GET":
            await _refuse(
                reply, f"The only control request is GET {DOCUMENT_PATH}."
            )
            return
        await self._send_document(reply)

    async def _send_document(self, reply: exchange.Reply) -> None:
        policy = self._board.policy
        if policy.version == 0:
            await _refuse(reply, "This node has not adopted a document yet.")
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
            return result.Err(codec.MalformedMessage("response ended early"))
    return result.Err(
        codec.MalformedMessage(
            f"no complete response within {FETCH_TIMEOUT_S} s"
        )
    )


async def _read_transfer(
    response: transport_module.Response, key: authentication.ClusterKey
) -> result.Result[ttypes.DocumentTransfer, codec.MalformedMessage]:
    data = bytearray()
    try:
        async for chunk in response.chunks():
            data += chunk
            if len(data) > MAX_TRANSFER_BYTES:
                return result.Err(
                    codec.MalformedMessage(
                        f"response exceeds {MAX_TRANSFER_BYTES} bytes"
                    )
                )
    finally:
        await response.aclose()
    received_mac = (
        exchange.header_value(response.headers, AUTHORIZATION_HEADER) or b""
    )
    expected = key.mac(bytes(data)).hex().encode()
    if response.status != 200 or not key.same(received_mac, expected):
        return result.Err(
            codec.MalformedMessage(
                f"invalid MAC, or status {response.status} instead of 200"
            )
        )
    decoded = codec.decode(ttypes.DocumentTransfer, bytes(data))
    if decoded.is_err():
        return decoded
    transfer = decoded.ok()
    value = transfer.value or b""
    if hashlib.sha256(value).digest() != transfer.digest:
        return result.Err(
            codec.MalformedMessage("digest does not match the document")
        )
    if not transfer.version or transfer.version < 1:
        return result.Err(
            codec.MalformedMessage("version is missing or less than 1")
        )
    return result.Ok(transfer)


def _authorization(key: authentication.ClusterKey, path: str) -> bytes:
    return key.mac(path.encode()).hex().encode()


async def _refuse(reply: exchange.Reply, detail: str) -> None:
    refusal = errors.Refusal(
        errors.Outcome.NOT_RUN, errors.Reason.INVALID_REQUEST, detail
    )
    await problems.send_problem(reply, refusal)
