"""Checks the credentials of callers' requests."""

import result

from medlardoor import errors
from medlardoor.config import routes as routes_module
from medlardoor.mesh import handlers
from medlardoor.mesh import settings as settings_module
from medlardoor.teams import keys

__all__ = ["CredentialChecker"]


class CredentialChecker:
    """Finds the team of a request that enters the graph.

    Args:
        names: Names of HTTP headers.
    """

    def __init__(self, names: settings_module.HeaderNames):
        self._header = names.credentials.lower()
        self._scheme = names.credential_scheme.lower()
        self._call_separator = names.call_separator

    def check(
        self,
        request: handlers.Request,
        attempt_id: bytes,
        route: routes_module.Route,
        table: routes_module.RouteTable,
    ) -> result.Result[keys.Team | None, errors.Reason]:
        """Returns the team of a request.

        Args:
            request: A request that no run in progress has made.
            attempt_id: Identifier of the request.
            route: Route of the request.
            table: Routes and teams in force.

        Returns:
            The team; None if the document has no teams, or if the route is
            public and the request has no known key. Otherwise the reason to
            refuse the request.
        """
        if not table.has_teams:
            return result.Ok(None)
        values = [
            value for name, value in request.headers if name == self._header
        ]
        parsed = keys.parse_credentials(values, self._scheme)
        team = None
        if parsed.is_ok() and parsed.ok_value is not None:
            team = table.find_team(parsed.ok_value)
        if team is not None or route.is_public:
            return result.Ok(team)
        if not values and self._call_separator in attempt_id:
            # Probably a call of a run that has ended in the meantime. Calls
            # have no key, so this is no fault of the caller.
            return result.Err(errors.Reason.CANCELLED)
        if not values:
            return result.Err(errors.Reason.CREDENTIALS_MISSING)
        return result.Err(errors.Reason.CREDENTIALS_INVALID)
