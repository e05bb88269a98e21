"""Command that tells where a request would go now, without sending it."""

import urllib.parse

from cleo import helpers

from medlardoor.cli import explain_rendering, operator_base, replies

__all__ = ["METRICS_VARIABLE", "ExplainCommand"]

METRICS_VARIABLE = "MEDLARDOOR_METRICS"


class ExplainCommand(operator_base.OperatorCommand):
    """Asks the metrics address of a node about a request."""

    name = "explain"
    description = "Tells where a request would go now, and why."
    arguments = [
        helpers.argument("host", "Host of the request."),
        helpers.argument("path", "Path of the request."),
    ]
    options = [
        helpers.option("team", None, "Name of the team.", flag=False),
        helpers.option(
            "metrics",
            None,
            f"Metrics address, http://host:port (or {METRICS_VARIABLE}).",
            flag=False,
        ),
        helpers.option("json", None, "Print one JSON object."),
    ]
    address_option = "metrics"
    address_variable = METRICS_VARIABLE

    def token(self) -> str:
        """Empty: the metrics address asks for no token."""
        return ""

    async def report(self) -> operator_base.Report:
        """Asks the node."""
        host, path = self.argument("host"), self.argument("path")
        if not host or not path.startswith("/"):
            return operator_base.message(
                operator_base.ExitCode.USAGE,
                "Give a host and a path that begins with a slash.",
            )
        parameters = {"host": host, "path": path}
        team = self.option("team")
        if team:
            parameters["team"] = team
        return await self.show(
            f"/explain?{urllib.parse.urlencode(parameters)}",
            replies.ExplainReply,
            explain_rendering.explanation,
        )
