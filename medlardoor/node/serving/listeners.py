"""Listening sockets of a node."""

import json
import socket

from medlardoor.config import settings as settings_module
from medlardoor.node.serving import servers

__all__ = ["Listeners"]


class Listeners:
    """Listeners of a node, bound before its other parts are built.

    Args:
        settings: Settings with the addresses and limits of the listeners.
    """

    def __init__(self, settings: settings_module.NodeSettings):
        limits = settings.listeners
        self._caller = servers.HttpListener(settings.caller, limits)
        self._peer = servers.HttpListener(settings.peer, limits)
        self._egress = servers.HttpListener(settings.egress, limits)
        self._admin = servers.HttpListener(
            settings_module.AddressSettings(
                host=settings.admin.host, port=settings.admin.port
            ),
            limits,
        )
        self._gossip = _bind_datagram_socket(settings.gossip)

    @property
    def caller(self) -> servers.HttpListener:
        """Listener for requests of outside callers."""
        return self._caller

    @property
    def peer(self) -> servers.HttpListener:
        """Listener for calls and control requests of other nodes."""
        return self._peer

    @property
    def egress(self) -> servers.HttpListener:
        """Listener for outgoing calls of the local upstream."""
        return self._egress

    @property
    def admin(self) -> servers.HttpListener:
        """Listener for the administration API."""
        return self._admin

    @property
    def gossip(self) -> socket.socket:
        """UDP socket for gossip within the group."""
        return self._gossip

    @property
    def gossip_port(self) -> int:
        """UDP port for gossip within the group."""
        return self._gossip.getsockname()[1]

    def http_listeners(self) -> tuple[servers.HttpListener, ...]:
        """Returns the listeners that serve HTTP."""
        return (self._caller, self._peer, self._egress, self._admin)

    def description(self) -> str:
        """Returns a JSON line with all ports for the parent process."""
        return json.dumps(
            {
                "event": "listening",
                "caller_port": self._caller.port,
                "peer_port": self._peer.port,
                "egress_port": self._egress.port,
                "admin_port": self._admin.port,
                "gossip_port": self.gossip_port,
            }
        )


def _bind_datagram_socket(
    address: settings_module.AddressSettings,
) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind((address.host, address.port))
    return sock
