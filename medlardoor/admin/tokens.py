"""Access to the administration API: a token per team."""

import collections.abc
import dataclasses
import hmac
import ipaddress
import urllib.parse

__all__ = ["LOOPBACK_TEAM", "AccessControl", "AccessRequest"]

# Name of the author of changes when no token is set.
LOOPBACK_TEAM = "loopback"
_SCHEME = "bearer"


@dataclasses.dataclass(frozen=True, slots=True)
class AccessRequest:
    """What access is decided on.

    Attributes:
        authorization: Value of the Authorization header, or empty.
        peer_host: IP address of the peer, or empty if it is not known.
        host: Value of the Host header, or empty.
        origin: Value of the Origin header, or empty.
    """

    authorization: str
    peer_host: str
    host: str = ""
    origin: str = ""


class AccessControl:
    """Finds the team of a request.

    Args:
        tokens: Token by team; without any only loopback peers have access.
    """

    def __init__(self, tokens: collections.abc.Mapping[str, str]):
        # An empty token would let in every request without one.
        self._tokens = {
            team: token.encode() for team, token in tokens.items() if token
        }
        self._needs_token = bool(tokens)

    def team_of(self, request: AccessRequest) -> str | None:
        """Name of the team, or None if the request has no access."""
        if _is_cross_site(request):
            return None
        if self._needs_token:
            return self._team_of_token(request.authorization)
        local = _is_loopback(request.peer_host) and _names_address(request.host)
        return LOOPBACK_TEAM if local else None

    def _team_of_token(self, authorization):
        scheme, _, token = authorization.partition(" ")
        if scheme.lower() != _SCHEME:
            return None
        given = token.strip().encode()
        found = None
        # All tokens are compared, so that the time does not tell which one
        # is close.
        for team, expected in self._tokens.items():
            if hmac.compare_digest(given, expected):
                found = team
        return found


def _is_loopback(host):
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def _names_address(host):
    """Whether Host is an IP address or localhost.

    A page of another site may point a name of its own at 127.0.0.1 and then
    reach the node from a browser on this machine.
    """
    name = urllib.parse.urlsplit(f"//{host}").hostname or ""
    if name == "localhost":
        return True
    try:
        ipaddress.ip_address(name)
    except ValueError:
        return False
    return True


def _is_cross_site(request):
    """Whether a browser sent it for a page of another site."""
    if not request.origin:
        return False
    return urllib.parse.urlsplit(request.origin).netloc != request.host
