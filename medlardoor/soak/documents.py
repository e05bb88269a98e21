"""The document that the operator of a soak run writes."""

import typing

from medlardoor.soak import callers

__all__ = ["KINDS", "MAX_ATTEMPTS", "SERVICES", "TEAMS", "make_document"]

SERVICES = ("orders", "stock")
MAX_ATTEMPTS = 2

KINDS = (
    callers.CallKind("order", "orders", True, 1.0),
    callers.CallKind("read", "stock", False, 2.0),
    callers.CallKind("browse", "stock", False, 1.0),
)
TEAMS = (
    callers.CallTeam("shops", "key-of-shops", 1_000, 1_000, 2.0),
    # Sends about two and a half times its limit.
    callers.CallTeam("riders", "key-of-riders", 10, 10, 1.0),
)
_PRIORITIES = {"order": 0, "read": 1, "browse": 2}


def make_document(
    version: int, services: dict[str, str], unsafe_attempts: int
) -> dict[str, typing.Any]:
    """Returns a document in the form of the platform.

    Args:
        version: The operator's number of the document.
        services: Services of kinds that are moved.
        unsafe_attempts: Number of upstreams to which an unsafe request may go.
    """
    rules = [
        {
            "name": kind.name,
            "kind": "unsafe" if kind.is_unsafe else "safe",
            "targetLatency": "500ms",
            "priority": _PRIORITIES[kind.name],
            "match": {"pathPrefix": f"/{kind.name}/"},
            "action": {
                "service": services.get(kind.name, kind.service),
                "timeout": "2000ms",
                "maxAttempts": unsafe_attempts
                if kind.is_unsafe
                else MAX_ATTEMPTS,
            },
        }
        for kind in KINDS
    ]
    return {
        "version": version,
        "tenants": [
            {
                "name": team.name,
                "apiKeys": [team.key],
                "ratePerS": team.rate_per_s,
                "burst": team.burst,
            }
            for team in TEAMS
        ],
        "listeners": [{"host": "soak.example", "rules": rules}],
        "clusters": [{"name": name} for name in SERVICES],
    }
