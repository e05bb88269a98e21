"""Commands of the operator application that change nothing."""

from cleo import helpers

from medlardoor.cli import operator_base, rendering, replies

__all__ = [
    "CheckCommand",
    "DiffCommand",
    "HistoryCommand",
    "RefusalsCommand",
    "StatusCommand",
]


class CheckCommand(operator_base.OperatorCommand):
    """Checks a document, without a node or also at a node."""

    name = "check"
    description = "Checks a document; with --node also at the node."
    arguments = [helpers.argument("file", "The document.")]

    async def report(self) -> operator_base.Report:
        """Checks the file here first, so that faults need no network."""
        text = self.read_document()
        if text.is_err():
            return text.err_value
        if not self.node_address():
            return operator_base.Report(
                operator_base.ExitCode.OK, ["valid"], {"valid": True}
            )
        client = self.client()
        if client.is_err():
            return client.err_value
        answer = await client.ok_value.post_text("/v1/check", text.ok_value)
        if answer.is_err():
            return operator_base.unavailable(answer.err_value)
        return operator_base.reported(
            answer.ok_value, replies.CheckReply, lambda _: ["valid"]
        )


def _diff_lines(reply: replies.DiffReply) -> list[str]:
    return [
        f"against version {reply.version}",
        *rendering.differences(reply.differences),
    ]


class DiffCommand(operator_base.OperatorCommand):
    """Shows what a promotion or a rollback would change."""

    name = "diff"
    description = "Shows what promoting a document would change."
    arguments = [helpers.argument("file", "The document.", optional=True)]
    options = [
        helpers.option(
            "to-version",
            None,
            "Show what a rollback to this version would change.",
            flag=False,
        ),
        *operator_base.OperatorCommand.common_options,
    ]

    async def report(self) -> operator_base.Report:
        """Sends the document or the old version to the node."""
        version = self.option("to-version")
        if bool(version) == bool(self.argument("file")):
            return operator_base.message(
                operator_base.ExitCode.USAGE,
                "Give either a file or --to-version.",
            )
        path, text = "/v1/diff", ""
        if version:
            if not operator_base.is_version(version):
                return operator_base.message(
                    operator_base.ExitCode.USAGE, "--to-version: a number"
                )
            path = f"/v1/diff?version={version}"
        else:
            read = self.read_document()
            if read.is_err():
                return read.err_value
            text = read.ok_value
        client = self.client()
        if client.is_err():
            return client.err_value
        answer = await client.ok_value.post_text(path, text)
        if answer.is_err():
            return operator_base.unavailable(answer.err_value)
        return operator_base.reported(
            answer.ok_value, replies.DiffReply, _diff_lines
        )


class StatusCommand(operator_base.OperatorCommand):
    """Shows the state of a node and its members."""

    name = "status"
    description = "Shows the state of a node and of its service."

    async def report(self) -> operator_base.Report:
        """Reads the status."""
        return await self.show(
            "/v1/status", replies.StatusReply, rendering.status
        )


class HistoryCommand(operator_base.OperatorCommand):
    """Shows the last promoted versions."""

    name = "history"
    description = "Shows the last promoted versions, newest first."

    async def report(self) -> operator_base.Report:
        """Reads the history."""
        return await self.show(
            "/v1/history", replies.HistoryReply, rendering.history
        )


class RefusalsCommand(operator_base.OperatorCommand):
    """Shows recent refusals of a node."""

    name = "refusals"
    description = "Shows recent refusals by kind and reason."

    async def report(self) -> operator_base.Report:
        """Reads the refusals."""
        return await self.show(
            "/v1/refusals", replies.RefusalsReply, rendering.refusals
        )
