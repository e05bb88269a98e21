"""Task that sends and receives gossip messages on the UDP socket."""

import socket

import anyio
import anyio.abc
import logbook

from medlardoor import logs
from medlardoor.blackboard import board as board_module
from medlardoor.blackboard import topics
from medlardoor.config import settings as settings_module
from medlardoor.membership import gossip, messages
from medlardoor.quarantine import controller as quarantine_controller
from medlardoor.wire import authentication, codec
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["GossipTask"]

PUBLISH_INTERVAL_S = 0.1

_LOG = logbook.Logger("medlardoor.gossip")


class GossipTask:
    """Runs the gossip controller on a UDP socket.

    Args:
        settings: Gossip intervals.
        board: Shared state of the node.
        controller: Gossip controller.
        quarantine: Receives crash reports and quarantine updates.
        key: Key that authenticates datagrams.
        sock: Bound UDP socket.
    """

    def __init__(
        self,
        settings: settings_module.GossipSettings,
        board: board_module.Blackboard,
        controller: gossip.GossipController,
        quarantine: quarantine_controller.QuarantineController,
        key: authentication.ClusterKey,
        sock: socket.socket,
    ):
        self._settings = settings
        self._board = board
        self._controller = controller
        self._quarantine = quarantine
        self._key = key
        self._socket = sock
        self._udp: anyio.abc.UDPSocket | None = None
        # Tasks must not write to the socket concurrently.
        self._send_lock = anyio.Lock()
        self._stop_state: topics.MemberState | None = None
        self._traffic = board.traffic

    @property
    def state(self) -> topics.MemberState:
        """Member state that the node announces.

        A node that has no document or is isolated, or whose upstream is not
        serving, announces STARTING: it receives no new requests and can serve
        again without a new incarnation.
        """
        if self._stop_state is not None:
            return self._stop_state
        policy = self._board.policy
        upstream_state = self._board.load.upstream_state
        if policy.policy is None or policy.isolated:
            return topics.MemberState.STARTING
        if upstream_state is not topics.UpstreamState.SERVING:
            return topics.MemberState.STARTING
        return topics.MemberState.SERVING

    async def run(self) -> None:
        """Sends and receives gossip until cancelled."""
        self._udp = await anyio.abc.UDPSocket.from_socket(self._socket)
        async with self._udp, anyio.create_task_group() as tasks:
            tasks.start_soon(self._tick)
            tasks.start_soon(self._publish_periodically)
            async for data, _ in self._udp:
                await self._receive(data)

    async def announce_stop(self, state: topics.MemberState) -> None:
        """Announces immediately that the node is leaving or has left."""
        self._stop_state = state
        await self.publish()

    async def publish(self) -> None:
        """Publishes the current state and load, and sends urgent digests."""
        limits = self._board.limits
        load = messages.LoadReport(
            slots=limits.limit,
            in_flight=limits.in_flight,
            queued=limits.queued,
            level=limits.effective_level,
            document_version=self._board.policy.version,
            warmth_percent=limits.warmth_percent,
            refused_rank=limits.refused_rank,
        )
        now = anyio.current_time()
        state = self.state
        if state is not self._board.membership.state:
            logs.log_event(
                _LOG, logbook.INFO, "member_state", state=state.name.lower()
            )
        await self.send_all(self._controller.publish(state, load, now))

    async def send_all(self, sends: list[messages.Send]) -> None:
        """Sends digests; failed sends are not retried before the next round."""
        for send in sends:
            message = ttypes.Message(digest=send.digest)
            await self._send(message, send.host, send.port)

    async def push(self, message: ttypes.Message) -> None:
        """Sends a message to all known members of the service of this node."""
        for member in list(self._board.membership.members.values()):
            await self._send(message, member.host, member.gossip_port)

    async def _send(
        self, message: ttypes.Message, host: str, port: int
    ) -> None:
        data = codec.seal_datagram(message, self._key)
        if self._udp is None or len(data) > codec.MAX_DATAGRAM_BYTES:
            return
        self._traffic.sent_bytes += len(data)
        self._traffic.sent_datagrams += 1
        try:
            async with self._send_lock:
                await self._udp.sendto(data, host, port)
        except (OSError, ValueError) as error:
            # uvloop raises ValueError for an address that is not numeric.
            logs.log_event(
                _LOG,
                logbook.WARNING,
                "datagram_not_sent",
                error=type(error).__name__,
            )

    async def _tick(self) -> None:
        while True:
            now = anyio.current_time()
            await self.send_all(self._controller.tick(now))
            await anyio.sleep(self._settings.interval_s)

    async def _publish_periodically(self) -> None:
        while True:
            await self.publish()
            await anyio.sleep(PUBLISH_INTERVAL_S)

    async def _receive(self, data: bytes) -> None:
        self._traffic.received_bytes += len(data)
        opened = codec.open_datagram(data, self._key)
        if opened.is_err():
            self._traffic.malformed += 1
            logs.log_event(
                _LOG,
                logbook.WARNING,
                "datagram_malformed",
                detail=opened.err().detail,
            )
            return
        message = opened.ok()
        now = anyio.current_time()
        if message.digest is not None:
            await self.send_all(self._controller.receive(message.digest, now))
        elif message.crash_report is not None:
            self._quarantine.receive_crash_report(message.crash_report, now)
        elif message.quarantine_update is not None:
            self._quarantine.receive_update(message.quarantine_update, now)
