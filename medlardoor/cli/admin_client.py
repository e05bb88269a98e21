"""Client of the administration API of a node."""

import dataclasses
import json
import typing

import anyio
import httpcore
import pydantic
import result

from medlardoor import errors
from medlardoor.config import settings

__all__ = ["AdminClient", "AdminUnavailable", "Answer"]

# Two documents of 512,000 bytes, escaped, and their notes.
MAX_ANSWER_BYTES = 4_000_000

Model = typing.TypeVar("Model", bound=pydantic.BaseModel)

_NOT_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.UnsupportedProtocol,
    httpcore.LocalProtocolError,
)


@dataclasses.dataclass(frozen=True)
class AdminUnavailable(errors.Failure):
    """The node did not answer, or not as the API is described.

    Attributes:
        url: Address of the call.
        detail: What the transport or the node reported.
        may_have_run: Whether the node may have acted on the request.
    """

    url: str
    detail: str
    may_have_run: bool

    @property
    def message(self) -> str:
        """One sentence for a log line or an operator."""
        return f"No usable answer from {self.url}: {self.detail}"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """One answer of the node.

    Attributes:
        url: Address of the call.
        status: HTTP status.
        body: Content.
    """

    url: str
    status: int
    body: bytes

    def read(
        self, model: type[Model]
    ) -> result.Result[Model, AdminUnavailable]:
        """Checks the content against a model."""
        try:
            return result.Ok(model.model_validate_json(self.body))
        except pydantic.ValidationError as error:
            first = error.errors(include_url=False)[0]
            detail = f"status {self.status}, {first['msg']} at {first['loc']}"
            return result.Err(AdminUnavailable(self.url, detail, True))

    def detail(self) -> str:
        """What the node says about a status that is not expected."""
        try:
            value = json.loads(self.body)
        except ValueError:
            value = None
        texts = value if isinstance(value, dict) else {}
        for key in ("detail", "message", "title"):
            if isinstance(texts.get(key), str):
                return f"status {self.status}: {texts[key]}"
        return f"status {self.status}"


class AdminClient:
    """Sends requests to the administration API of one node.

    No request is repeated here: a promotion may have taken effect although
    its answer is missing.

    Args:
        options: Address, token and time limits.
    """

    def __init__(self, options: settings.OperatorSettings):
        self._options = options
        self._base = str(options.node).rstrip("/")

    async def get(self, path: str) -> result.Result[Answer, AdminUnavailable]:
        """Reads a resource."""
        return await self._send("GET", path, b"", "")

    async def post_text(
        self, path: str, text: str
    ) -> result.Result[Answer, AdminUnavailable]:
        """Sends the text of a document."""
        return await self._send(
            "POST", path, text.encode(), "text/plain; charset=utf-8"
        )

    async def post_json(
        self, path: str, value: dict[str, object]
    ) -> result.Result[Answer, AdminUnavailable]:
        """Sends a JSON object."""
        body = json.dumps(value).encode()
        return await self._send("POST", path, body, "application/json")

    async def _send(
        self, method: str, path: str, body: bytes, content_type: str
    ) -> result.Result[Answer, AdminUnavailable]:
        url = f"{self._base}{path}"
        headers = [("Accept", "application/json")]
        if self._options.token:
            headers.append(("Authorization", f"Bearer {self._options.token}"))
        if content_type:
            headers.append(("Content-Type", content_type))
        try:
            with anyio.fail_after(self._options.timeout_s):
                return await self._exchange(method, url, headers, body)
        except _NOT_SENT as error:
            return _unavailable(url, error, False)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            TimeoutError,
        ) as error:
            return _unavailable(url, error, True)

    async def _exchange(
        self,
        method: str,
        url: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> result.Result[Answer, AdminUnavailable]:
        limits = {
            "connect": self._options.connect_timeout_s,
            "read": self._options.timeout_s,
            "write": self._options.timeout_s,
            "pool": self._options.connect_timeout_s,
        }
        content = bytearray()
        async with (
            httpcore.AsyncConnectionPool(max_connections=1) as pool,
            pool.stream(
                method,
                url,
                headers=headers,
                content=body,
                extensions={"timeout": limits},
            ) as response,
        ):
            async for chunk in response.aiter_stream():
                content += chunk
                if len(content) > MAX_ANSWER_BYTES:
                    detail = f"answer above {MAX_ANSWER_BYTES} bytes"
                    return result.Err(AdminUnavailable(url, detail, True))
        return result.Ok(Answer(url, response.status, bytes(content)))


def _unavailable(
    url: str, error: Exception, may_have_run: bool
) -> result.Err[AdminUnavailable]:
    detail = str(error) or type(error).__name__
    return result.Err(AdminUnavailable(url, detail, may_have_run))
