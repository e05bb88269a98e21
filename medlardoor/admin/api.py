"""Administration API of a node, an ASGI application.

Operators use it through the operator command or the phone page. Errors are
problem documents (RFC 9457).
"""

import abc
import collections.abc
import dataclasses
import typing

import anyio
import pydantic
import result

from medlardoor import errors
from medlardoor.admin import messages, page, tokens, views
from medlardoor.blackboard import board as board_module
from medlardoor.config import base, diff
from medlardoor.config import settings as settings_module
from medlardoor.promotion import promoter

__all__ = [
    "AdminApp",
    "ConflictingPromotion",
    "HistoryRecord",
    "PromotionRequest",
    "PromotionService",
]

MAX_DOCUMENT_BYTES = 512 * 1_024
VERSION_DIGITS = 18
# JSON may write a byte of the document as six characters.
MAX_PROMOTION_BYTES = 6 * MAX_DOCUMENT_BYTES + 8_192


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionRequest:
    """A document to promote.

    Attributes:
        text: The document.
        expected_version: Version that the operator saw; 0 if none.
        trial: Whether only the document on trial is set.
        author: Team of the operator.
        note: What the operator says about it.
    """

    text: str
    expected_version: int
    trial: bool
    author: str
    note: str


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryRecord:
    """One promoted version.

    Attributes:
        version: Version of the document object.
        author: Who promoted it.
        note: What the author said about it.
        trial: Whether only the document on trial was set.
    """

    version: int
    author: str
    note: str
    trial: bool


@dataclasses.dataclass(frozen=True)
class ConflictingPromotion(errors.Failure):
    """Another version than the expected one is in force.

    Attributes:
        version: Version in force.
        author: Who promoted it.
        differences: What changed since the version that the operator saw.
    """

    version: int
    author: str
    differences: tuple[diff.Difference, ...]

    @property
    def message(self) -> str:
        """One sentence for a log line or an operator."""
        return f"Version {self.version} by {self.author} is in force."


class PromotionService(abc.ABC):
    """What the administration API needs of the promotion logic."""

    @abc.abstractmethod
    def check(self, text: str) -> result.Result[None, errors.InvalidInput]:
        """Checks a document."""

    @abc.abstractmethod
    async def compare(
        self, text: str
    ) -> result.Result[promoter.Comparison, errors.Failure]:
        """Lists what a document would change.

        Returns:
            The changes, `InvalidInput`, or another failure if the platform
            did not answer.
        """

    @abc.abstractmethod
    async def compare_version(
        self, version: int
    ) -> result.Result[promoter.Comparison, errors.Failure]:
        """Lists what a return to an earlier version would change."""

    @abc.abstractmethod
    async def promote(
        self, request: PromotionRequest
    ) -> result.Result[int, errors.Failure]:
        """Promotes a document if the expected version is in force.

        Returns:
            The new version, `InvalidInput`, `ConflictingPromotion`, or
            another failure if it is not known to have taken effect.
        """

    @abc.abstractmethod
    async def history(
        self,
    ) -> result.Result[tuple[HistoryRecord, ...], errors.Failure]:
        """Lists the last promoted versions."""


class _PromotionBody(base.Settings):
    """Body of ``POST /v1/promote``."""

    text: str
    expected_version: int = pydantic.Field(ge=0)
    trial: bool = False
    note: str = ""


class AdminApp:
    """ASGI application of the administration listener.

    Args:
        board: Shared state; only read.
        settings: Tokens.
        environment: Environment of the node.
        promotion: Promotion logic.
        begin_drain: Starts a planned stop; further calls have no effect.
    """

    def __init__(
        self,
        board: board_module.Blackboard,
        settings: settings_module.AdminSettings,
        environment: str,
        promotion: PromotionService,
        begin_drain: collections.abc.Callable[[], None],
    ):
        self._board = board
        self._environment = environment
        self._promotion = promotion
        self._begin_drain = begin_drain
        self._access = tokens.AccessControl(settings.tokens)
        self._burn = views.BurnView(board)
        self._handlers = {
            "/v1/status": {"GET": self._status},
            "/v1/document": {"GET": self._document},
            "/v1/check": {"POST": self._check},
            "/v1/diff": {"POST": self._diff},
            "/v1/promote": {"POST": self._promote},
            "/v1/history": {"GET": self._history},
            "/v1/refusals": {"GET": self._refusals},
            "/v1/burn": {"GET": self._show_burn},
            "/v1/drain": {"POST": self._drain},
        }

    async def __call__(self, scope, receive, send) -> None:
        """Handles one request."""
        if scope["type"] != "http":
            return
        reply = await self._reply(messages.Request(scope, receive))
        await reply.send(send)

    async def _reply(self, request: messages.Request) -> messages.Reply:
        # The page holds no data; it asks for a token if one is needed.
        if request.path == "/" and request.method == "GET":
            return messages.Reply(200, page.PAGE, messages.HTML_TYPE)
        team = self._access.team_of(
            tokens.AccessRequest(
                authorization=request.header("authorization"),
                peer_host=request.peer_host,
                host=request.header("host"),
                origin=request.header("origin"),
            )
        )
        if team is None:
            return messages.problem_reply(
                401, "No access", "A valid token is needed."
            )
        methods = self._handlers.get(request.path)
        if methods is None:
            return messages.problem_reply(404, "Not found", request.path)
        handler = methods.get(request.method)
        if handler is None:
            return messages.problem_reply(
                405, "Method not allowed", request.method
            )
        return await handler(request, team)

    async def _status(self, request, team):
        now = anyio.current_time()
        return messages.json_reply(
            200, views.status_view(self._board, self._environment, now)
        )

    async def _document(self, request, team):
        return messages.json_reply(200, views.document_view(self._board))

    async def _refusals(self, request, team):
        return messages.json_reply(
            200, views.refusals_view(self._board, anyio.current_time())
        )

    async def _show_burn(self, request, team):
        return messages.json_reply(200, await self._burn.value())

    async def _drain(self, request, team):
        self._begin_drain()
        phase = self._board.shutdown.phase.value
        return messages.json_reply(200, {"phase": phase})

    async def _check(self, request, team):
        text = await request.text(MAX_DOCUMENT_BYTES)
        checked = text.and_then(self._promotion.check)
        if checked.is_err():
            return _failure_reply(checked.err_value)
        return messages.json_reply(200, {"valid": True})

    async def _diff(self, request, team):
        version = request.query("version")
        if version:
            if not _is_version(version):
                return messages.problem_reply(
                    400, "Bad request", "The version is not a number."
                )
            return _comparison_reply(
                await self._promotion.compare_version(int(version))
            )
        text = await request.text(MAX_DOCUMENT_BYTES)
        if text.is_err():
            return _failure_reply(text.err_value)
        return _comparison_reply(await self._promotion.compare(text.ok_value))

    async def _promote(self, request, team):
        text = await request.text(MAX_PROMOTION_BYTES)
        body = text.and_then(_parse_promotion)
        if body.is_err():
            return _failure_reply(body.err_value)
        promoted = await self._promotion.promote(
            PromotionRequest(author=team, **body.ok_value.model_dump())
        )
        if promoted.is_err():
            return _failure_reply(promoted.err_value)
        return messages.json_reply(200, {"version": promoted.ok_value})

    async def _history(self, request, team):
        found = await self._promotion.history()
        if found.is_err():
            return _failure_reply(found.err_value)
        entries = [dataclasses.asdict(entry) for entry in found.ok_value]
        return messages.json_reply(200, {"entries": entries})


def _is_version(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= VERSION_DIGITS


def _comparison_reply(
    compared: result.Result[promoter.Comparison, errors.Failure],
) -> messages.Reply:
    if compared.is_err():
        return _failure_reply(compared.err_value)
    return messages.json_reply(200, dataclasses.asdict(compared.ok_value))


def _parse_promotion(
    text: str,
) -> result.Result[_PromotionBody, errors.InvalidInput]:
    try:
        return result.Ok(_PromotionBody.model_validate_json(text))
    except pydantic.ValidationError as error:
        faults = tuple(
            errors.Fault(".".join(["$", *map(str, row["loc"])]), 0, row["msg"])
            for row in error.errors(include_url=False)
        )
        return result.Err(errors.InvalidInput("/v1/promote", faults))


def _failure_reply(failure: errors.Failure) -> messages.Reply:
    if isinstance(failure, errors.InvalidInput):
        value: dict[str, typing.Any] = {
            "valid": False,
            "faults": [dataclasses.asdict(row) for row in failure.faults],
        }
        return messages.json_reply(422, value)
    if isinstance(failure, ConflictingPromotion):
        return messages.json_reply(409, dataclasses.asdict(failure))
    return messages.problem_reply(503, "Not available", failure.message)
