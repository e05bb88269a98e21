"""Base of the operator commands: options, output and exit codes."""

import abc
import collections.abc
import dataclasses
import enum
import json
import os
import typing

import anyio
from cleo import helpers
from cleo.commands import command
from cleo.io.outputs import output
import pydantic
import result

from medlardoor import errors
from medlardoor.cli import admin_client, rendering, replies
from medlardoor.config import document, error_texts, files, settings

__all__ = [
    "ExitCode",
    "OperatorCommand",
    "Report",
    "invalid",
    "is_version",
    "message",
    "reported",
    "unavailable",
    "unexpected",
]

Model = typing.TypeVar("Model", bound=pydantic.BaseModel)

NODE_VARIABLE = "MEDLARDOOR_NODE"
TOKEN_VARIABLE = "MEDLARDOOR_TOKEN"

# Versions are 64 bit numbers.
MAX_VERSION_DIGITS = 18

HTTP_OK = 200
HTTP_UNAUTHORIZED = 401
HTTP_FORBIDDEN = 403
HTTP_CONFLICT = 409
HTTP_INVALID = 422
HTTP_SERVER_ERROR = 500


class ExitCode(enum.IntEnum):
    """Exit codes of the operator command.

    After a promotion UNAVAILABLE also covers an unknown result; the output
    says which.
    """

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a command prints.

    Attributes:
        code: Exit code.
        lines: Output for a person.
        value: Output with ``--json``.
    """

    code: ExitCode
    lines: list[str]
    value: dict[str, object] = dataclasses.field(default_factory=dict)


def message(code: ExitCode, text: str) -> Report:
    """Report of one sentence."""
    return Report(code, rendering.paragraph(text), {"message": text})


def unavailable(failure: admin_client.AdminUnavailable) -> Report:
    """Report of a node that did not answer."""
    return message(ExitCode.UNAVAILABLE, failure.message)


def unexpected(answer: admin_client.Answer) -> Report:
    """Report of a status that the command has no other use for."""
    if answer.status >= HTTP_SERVER_ERROR:
        return message(ExitCode.UNAVAILABLE, answer.detail())
    if answer.status in (HTTP_UNAUTHORIZED, HTTP_FORBIDDEN):
        return message(ExitCode.REFUSED, f"token refused, {answer.detail()}")
    return message(ExitCode.REFUSED, answer.detail())


def invalid(
    faults: tuple[errors.Fault, ...] | tuple[replies.FaultReply, ...],
) -> Report:
    """Report of a document or file with faults."""
    listed = [
        {"path": found.path, "line": found.line, "expected": found.expected}
        for found in faults
    ]
    return Report(
        ExitCode.REFUSED,
        rendering.faults(faults),
        {"valid": False, "faults": listed},
    )


def reported(
    answer: admin_client.Answer,
    model: type[Model],
    render: collections.abc.Callable[[Model], list[str]],
) -> Report:
    """Report of an answer that is shown as it is."""
    if answer.status == HTTP_INVALID:
        checked = answer.read(replies.CheckReply)
        if checked.is_ok() and checked.ok_value.faults:
            return invalid(checked.ok_value.faults)
    if answer.status != HTTP_OK:
        return unexpected(answer)
    reply = answer.read(model)
    if reply.is_err():
        return unavailable(reply.err_value)
    value = reply.ok_value.model_dump(mode="json")
    return Report(ExitCode.OK, render(reply.ok_value), value)


def is_version(text: str) -> bool:
    """Whether an option is the number of a version."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_VERSION_DIGITS


class OperatorCommand(command.Command, abc.ABC):
    """Base of the commands: options, output and exit code."""

    common_options = [
        helpers.option(
            "node",
            None,
            f"Address of a node, http://host:port (or {NODE_VARIABLE}).",
            flag=False,
        ),
        helpers.option(
            "token",
            None,
            f"Token of the operator (or {TOKEN_VARIABLE}).",
            flag=False,
        ),
        helpers.option("json", None, "Print one JSON object."),
    ]
    options = common_options
    help = (
        "Exit codes: 0 done or valid, 1 invalid or refused,\n"
        "2 wrong command line, 3 another operator was first,\n"
        "4 no answer; after promote the result may be unknown."
    )

    def handle(self) -> int:
        """Runs the command and prints its report."""
        try:
            report = anyio.run(self.report)
        except KeyboardInterrupt:
            report = message(
                ExitCode.UNAVAILABLE, "interrupted; the result is unknown"
            )
        if self.option("json"):
            value = {"exit_code": int(report.code), **report.value}
            lines = [json.dumps(value)]
        else:
            lines = report.lines
        for line in lines:
            self.io.write_line(line, type=output.Type.RAW)
        return int(report.code)

    @abc.abstractmethod
    async def report(self) -> Report:
        """Does the work of the command."""

    # Option and variable with the address that the command asks.
    address_option = "node"
    address_variable = NODE_VARIABLE

    def node_address(self) -> str | None:
        """Address of the node, from the option or the environment."""
        found = self.option(self.address_option)
        return found or os.environ.get(self.address_variable)

    def token(self) -> str:
        """Token of the operator; empty without one."""
        return self.option("token") or os.environ.get(TOKEN_VARIABLE, "")

    def client(self) -> result.Result[admin_client.AdminClient, Report]:
        """Client of the node, or a report of what is wrong."""
        found = self.operator_settings()
        return found.map(admin_client.AdminClient)

    def operator_settings(
        self,
    ) -> result.Result[settings.OperatorSettings, Report]:
        """Checked options."""
        address = self.node_address()
        if not address:
            option, variable = self.address_option, self.address_variable
            text = f"Name a node with --{option} or {variable}."
            return result.Err(message(ExitCode.USAGE, text))
        try:
            return result.Ok(
                settings.OperatorSettings(node=address, token=self.token())
            )
        except pydantic.ValidationError as error:
            entry = error.errors(include_url=False)[0]
            expected = error_texts.describe_error(entry)
            option = entry["loc"][0]
            if option == "node":
                option = self.address_option
            text = f"--{option}: expected {expected}"
            return result.Err(message(ExitCode.USAGE, text))

    async def show(
        self,
        path: str,
        model: type[Model],
        render: collections.abc.Callable[[Model], list[str]],
    ) -> Report:
        """Reads a resource and shows it."""
        client = self.client()
        if client.is_err():
            return client.err_value
        answer = await client.ok_value.get(path)
        if answer.is_err():
            return unavailable(answer.err_value)
        return reported(answer.ok_value, model, render)

    def read_document(self) -> result.Result[str, Report]:
        """Text of the file argument, if it is a valid document."""
        path = self.argument("file")
        text = files.read_text(path)
        if text.is_err():
            return result.Err(invalid(text.err_value.faults))
        checked = document.parse_document(path, text.ok_value)
        if checked.is_err():
            return result.Err(invalid(checked.err_value.faults))
        return text
