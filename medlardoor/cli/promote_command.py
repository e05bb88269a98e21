"""The command that promotes a document."""

import dataclasses

import anyio
from cleo import helpers

from medlardoor.cli import (
    admin_client,
    operator_base,
    rendering,
    replies,
)
from medlardoor.config import models, settings

__all__ = ["PromoteCommand", "PromotionCall", "PromotionRequest"]

_PATH = "/v1/promote"


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionRequest:
    """Body of ``POST /v1/promote``.

    Attributes:
        text: The document.
        expected_version: Version that the operator saw.
        trial: Whether only the trial document is set.
        note: What the operator says about it.
    """

    text: str
    expected_version: int
    trial: bool
    note: str


class PromotionCall:
    """Promotes through a node and finds out the result if it is lost.

    A promotion without an answer is not sent again: the documents in force
    are read until they show what became of it.

    Args:
        client: Client of the node.
        options: Number of reads and the pause between them.
    """

    def __init__(
        self,
        client: admin_client.AdminClient,
        options: settings.OperatorSettings,
    ):
        self._client = client
        self._options = options

    async def run(self, request: PromotionRequest) -> operator_base.Report:
        """Sends the promotion and reports its result."""
        sent = await self._client.post_json(_PATH, dataclasses.asdict(request))
        if sent.is_err():
            if not sent.err_value.may_have_run:
                return operator_base.message(
                    operator_base.ExitCode.UNAVAILABLE,
                    f"Nothing was promoted. {sent.err_value.message}",
                )
            return await self._find_result(request, sent.err_value.message)
        answer = sent.ok_value
        if answer.status == operator_base.HTTP_CONFLICT:
            return _conflict(answer)
        if answer.status >= operator_base.HTTP_SERVER_ERROR:
            return await self._find_result(request, answer.detail())
        report = operator_base.reported(
            answer, replies.PromoteReply, _promoted_lines
        )
        if report.code is operator_base.ExitCode.UNAVAILABLE:
            # Accepted, but the answer is cut off or not as described.
            return await self._find_result(request, "the answer is malformed")
        return report

    async def _find_result(
        self, request: PromotionRequest, cause: str
    ) -> operator_base.Report:
        """Reads the documents in force until they show the result.

        A node may follow the platform by a few seconds, so the version that
        the operator saw proves nothing yet.
        """
        for attempt in range(self._options.read_back_attempts):
            if attempt:
                await anyio.sleep(self._options.read_back_pause_s)
            found = await self._client.get("/v1/document")
            if found.is_err() or found.ok_value.status != operator_base.HTTP_OK:
                continue
            reply = found.ok_value.read(replies.DocumentReply)
            if reply.is_err():
                continue
            if reply.ok_value.version > request.expected_version:
                return _read_back(request, reply.ok_value)
        return operator_base.message(
            operator_base.ExitCode.UNAVAILABLE,
            f"RESULT UNKNOWN: {cause}. Look at status and history before you"
            " promote again.",
        )


def _promoted_lines(reply: replies.PromoteReply) -> list[str]:
    return [f"promoted version {reply.version}"]


def _read_back(
    request: PromotionRequest, reply: replies.DocumentReply
) -> operator_base.Report:
    """Report of a promotion whose answer was lost."""
    text = reply.enforced
    # A trial that equals the enforced document is not kept.
    if request.trial and reply.trial is not None:
        text = reply.trial
    if text == request.text and reply.note == request.note:
        return operator_base.Report(
            operator_base.ExitCode.OK,
            [
                f"promoted version {reply.version}",
                *rendering.paragraph("(answer was lost, read back)"),
            ],
            {"version": reply.version, "read_back": True},
        )
    lines = rendering.paragraph(
        "The answer was lost and another document is in force:"
    )
    return operator_base.Report(
        operator_base.ExitCode.CONFLICT,
        [
            *lines,
            *rendering.document_state(reply),
            *rendering.paragraph("The history says whether yours came first."),
        ],
        {
            "version": reply.version,
            "author": reply.author,
            "note": reply.note,
            "read_back": True,
        },
    )


def _conflict(answer: admin_client.Answer) -> operator_base.Report:
    """Report of a promotion that another operator forestalled."""
    found = answer.read(replies.DiffReply)
    if found.is_err():
        return operator_base.message(
            operator_base.ExitCode.CONFLICT,
            f"Not promoted, another version is in force ({answer.detail()}).",
        )
    reply = found.ok_value
    lines = rendering.paragraph(
        f"NOT PROMOTED: version {reply.version} by {reply.author or '?'}"
        " is in force. Changes:"
    )
    return operator_base.Report(
        operator_base.ExitCode.CONFLICT,
        [*lines, *rendering.differences(reply.differences)],
        reply.model_dump(mode="json"),
    )


class PromoteCommand(operator_base.OperatorCommand):
    """Promotes a document on the version that the operator saw."""

    name = "promote"
    description = "Promotes a document, if the version seen is in force."
    arguments = [helpers.argument("file", "The document.")]
    options = [
        helpers.option(
            "expect-version",
            None,
            "Version in force that you saw (status, diff); 0 if none.",
            flag=False,
        ),
        helpers.option("trial", None, "Set only the trial document."),
        helpers.option(
            "note", None, "What the change is for.", flag=False, default=""
        ),
        *operator_base.OperatorCommand.common_options,
    ]

    async def report(self) -> operator_base.Report:
        """Checks the file, then promotes it."""
        version = self.option("expect-version") or ""
        if not operator_base.is_version(version):
            return operator_base.message(
                operator_base.ExitCode.USAGE,
                "Give --expect-version with the version that you saw.",
            )
        note = self.option("note") or ""
        if len(note) > models.MAX_NOTE_CHARACTERS:
            return operator_base.message(
                operator_base.ExitCode.USAGE,
                f"--note: at most {models.MAX_NOTE_CHARACTERS} characters",
            )
        text = self.read_document()
        if text.is_err():
            return text.err_value
        found = self.operator_settings()
        if found.is_err():
            return found.err_value
        client = admin_client.AdminClient(found.ok_value)
        request = PromotionRequest(
            text=text.ok_value,
            expected_version=int(version),
            trial=bool(self.option("trial")),
            note=note,
        )
        return await PromotionCall(client, found.ok_value).run(request)
