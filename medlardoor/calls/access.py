"""Access of outside callers to the kinds of a team by keys."""

import dataclasses

import result

from medlardoor import errors
from medlardoor.calls import exchange
from medlardoor.config import policy as policy_module
from medlardoor.teams import keys

__all__ = ["CREDENTIALS_HEADER", "SCHEME", "check_key"]

CREDENTIALS_HEADER = b"authorization"
SCHEME = b"bearer"


def check_key(
    policy: policy_module.Policy, team: str, request: exchange.Request
) -> result.Result[exchange.Request, errors.Refusal]:
    """Checks that a caller belongs to the team of a kind.

    Args:
        policy: Policy in force.
        team: Team of the kind.
        request: Request of an outside caller.

    Returns:
        The request without its key, or a refusal if the team has keys and the
        request has none of them.

    References:
        RFC 6750, "The OAuth 2.0 Authorization Framework: Bearer Token Usage".
    """
    if team not in policy.teams:
        return result.Ok(request)
    values = [
        value for name, value in request.headers if name == CREDENTIALS_HEADER
    ]
    parsed = keys.parse_credentials(values, SCHEME)
    if parsed.is_err():
        return _refuse(
            parsed.err_value, "Expected one Authorization header: Bearer KEY."
        )
    if parsed.ok_value is None:
        return _refuse(
            errors.Reason.CREDENTIALS_MISSING,
            f"Requests to team {team} need a key: Authorization: Bearer KEY.",
        )
    found = policy.keys.find(parsed.ok_value)
    if found is None or found.name != team:
        return _refuse(
            errors.Reason.CREDENTIALS_INVALID,
            f"The key is not one of team {team}.",
        )
    headers = [
        header for header in request.headers if header[0] != CREDENTIALS_HEADER
    ]
    return result.Ok(dataclasses.replace(request, headers=headers))


def _refuse(reason: errors.Reason, detail: str) -> result.Err[errors.Refusal]:
    return result.Err(errors.Refusal(errors.Outcome.NOT_RUN, reason, detail))
