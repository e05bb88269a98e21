"""Command line of the burn report."""

import dataclasses
import json
import sys

import anyio
from cleo import application, helpers
from cleo.commands import command
from cleo.io.inputs import argv_input
import httpcore
import result

from medlardoor import errors
from medlardoor.report import burn

__all__ = ["BurnCommand", "NodeUnavailable", "fetch_report", "main"]

PATH = "/v1/burn"
TIMEOUT_S = 5.0
MAX_BODY_BYTES = 4_000_000


@dataclasses.dataclass(frozen=True)
class NodeUnavailable(errors.Failure):
    """A node that gave no report.

    Attributes:
        node: URL of its administration listener.
        detail: What was received instead.
    """

    node: str
    detail: str

    @property
    def message(self) -> str:
        """One sentence for a log line or an operator."""
        return f"{self.node} gave no report: {self.detail}"


class BurnCommand(command.Command):
    """Shows the service-level burn of one node or several nodes."""

    name = "burn"
    description = "Show the service-level burn, merged over nodes."
    options = [
        helpers.option(
            "node",
            None,
            "Administration URL of a node; may be repeated.",
            flag=False,
            multiple=True,
        ),
        helpers.option(
            "token", None, "Administration token.", flag=False, default=""
        ),
        helpers.option("json", None, "Print JSON."),
        helpers.option("plot", None, "Write a plot to a file.", flag=False),
    ]

    def handle(self) -> int:
        """Reads all nodes; fails if none answers."""
        nodes = self.option("node")
        if not nodes:
            self.line_error("Name at least one node with --node URL.")
            return 2
        fetched = anyio.run(_fetch_all, nodes, self.option("token"))
        for failure in (one.err() for one in fetched if one.is_err()):
            self.line_error(failure.message)
        reports = [one.ok() for one in fetched if one.is_ok()]
        if not reports:
            return 1
        merged = burn.merge_reports(reports)
        if self.option("json"):
            self.line(json.dumps(burn.to_json(merged)))
        else:
            self.line(burn.format_text(merged))
        if self.option("plot"):
            self._plot(merged)
        return 0 if len(reports) == len(fetched) else 1

    def _plot(self, merged):
        # matplotlib takes half a second to import; only plots need it.
        from medlardoor.report import plot

        plot.save_plot(merged, self.option("plot"))


async def _fetch_all(nodes, token):
    found = [None] * len(nodes)

    async def fetch(number, node):
        found[number] = await fetch_report(node, token)

    async with anyio.create_task_group() as group:
        for number, node in enumerate(nodes):
            group.start_soon(fetch, number, node)
    return found


async def fetch_report(
    node: str, token: str
) -> result.Result[burn.BurnReport, errors.Failure]:
    """Reads the burn report of a node.

    Args:
        node: URL of its administration listener.
        token: Administration token, or the empty string.
    """
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    url = node.rstrip("/") + PATH
    try:
        with anyio.fail_after(TIMEOUT_S):
            async with (
                httpcore.AsyncConnectionPool() as pool,
                pool.stream("GET", url, headers=headers) as response,
            ):
                body = await _read(response)
    except (
        OSError,
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        httpcore.UnsupportedProtocol,
    ) as error:
        return result.Err(NodeUnavailable(node, type(error).__name__))
    if response.status != 200:
        return result.Err(NodeUnavailable(node, f"status {response.status}"))
    return burn.parse_report(node, body)


async def _read(response):
    body = b""
    async for chunk in response.aiter_stream():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            break
    return body


def main() -> int:
    """Runs the command with the options of the command line."""
    app = application.Application("medlardoor-burn")
    app.add(BurnCommand())
    return app.run(argv_input.ArgvInput([sys.argv[0], "burn", *sys.argv[1:]]))


if __name__ == "__main__":
    sys.exit(main())
