"""Models of the operator's document and of the object that holds it.

The keys, their limits and their defaults are described for operators in
``docs/operators.md``.
"""

import re
import typing

import pydantic

__all__ = [
    "MAX_AUTHOR_CHARACTERS",
    "MAX_CLASSES",
    "MAX_EARLIER",
    "MAX_KINDS",
    "MAX_NOTE_CHARACTERS",
    "MAX_RETRY_BUDGET",
    "MAX_TIMEOUT_MS",
    "DocumentModel",
    "KindModel",
    "MatchModel",
    "ObjectiveModel",
    "ServiceModel",
    "StoredDocument",
    "StoredPromotion",
    "TeamModel",
]

MAX_CLASSES = 32
MAX_KINDS = 10_000
MAX_SERVICES = 2_000
MAX_RETRY_BUDGET = 16
MAX_WEIGHT = 1_000_000
MAX_QUEUE = 65_536
MAX_SLOTS = 65_536
MAX_RAMP_S = 3_600
MAX_TIMEOUT_MS = 3_600_000
MAX_WINDOW_S = 30 * 86_400
MAX_NOTE_CHARACTERS = 500
MAX_AUTHOR_CHARACTERS = 100
MAX_EARLIER = 20


def _matching(pattern: str, expected: str) -> pydantic.AfterValidator:
    """Validator of a string with a message that needs no regex to read."""
    compiled = re.compile(pattern)

    def check(text: str) -> str:
        if compiled.fullmatch(text) is None:
            raise ValueError(expected)
        return text

    return pydantic.AfterValidator(check)


# Names appear in headers, metrics and lines on a phone.
Name = typing.Annotated[
    str,
    _matching(
        r"[a-z][a-z0-9_-]{0,39}",
        "a name of at most 40 of a-z, 0-9, _ and -, starting with a letter",
    ),
]
# The service name is sent as Host, so it follows the rules of a DNS label.
ServiceName = typing.Annotated[
    str,
    _matching(
        r"[a-z](?:[a-z0-9-]{0,61}[a-z0-9])?",
        "a name of at most 63 of a-z, 0-9 and -, starting with a letter",
    ),
]
PathPrefix = typing.Annotated[
    str,
    _matching(
        r"/[!-\"$->@-~]{0,1023}",
        "a path that starts with / and has no space, ? or #",
    ),
]
Method = typing.Literal[
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"
]
Milliseconds = typing.Annotated[int, pydantic.Field(ge=1, le=MAX_TIMEOUT_MS)]
WindowSeconds = typing.Annotated[int, pydantic.Field(ge=1, le=MAX_WINDOW_S)]


class _Model(pydantic.BaseModel):
    """Base of the document's models: unknown keys are errors."""

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, allow_inf_nan=False
    )


class ObjectiveModel(_Model):
    """Service-level objective of one kind."""

    availability: float = pydantic.Field(default=0.99, gt=0, lt=1)
    latency_ms: Milliseconds | None = None
    window_short_s: WindowSeconds = 300
    window_long_s: WindowSeconds = 3_600


class MatchModel(_Model):
    """Which requests belong to a kind."""

    method: Method
    path_prefix: PathPrefix


class KindModel(_Model):
    """One kind of request.

    `idempotent` has no default: a wrong guess either runs an order twice or
    demands keys for every lookup.
    """

    class_: Name = pydantic.Field(alias="class")
    service: ServiceName
    match: MatchModel
    idempotent: bool
    weight: float = pydantic.Field(default=1.0, gt=0, le=MAX_WEIGHT)
    retry_budget: int = pydantic.Field(default=3, ge=0, le=MAX_RETRY_BUDGET)
    max_wait_ms: Milliseconds = 500
    timeout_ms: Milliseconds = 5_000
    objective: ObjectiveModel = ObjectiveModel()


class TeamModel(_Model):
    """One team and its kinds."""

    contact: str = pydantic.Field(min_length=1, max_length=200)
    kinds: dict[Name, KindModel] = pydantic.Field(default_factory=dict)


class ServiceModel(_Model):
    """Limits of one service."""

    max_queue: int = pydantic.Field(default=256, ge=1, le=MAX_QUEUE)
    slots: int = pydantic.Field(default=64, ge=1, le=MAX_SLOTS)
    ramp_s: float = pydantic.Field(default=10.0, ge=0, le=MAX_RAMP_S)


class DocumentModel(_Model):
    """The whole document."""

    environment: Name
    importance_classes: list[Name] = pydantic.Field(
        min_length=1, max_length=MAX_CLASSES
    )
    services: dict[ServiceName, ServiceModel] = pydantic.Field(
        min_length=1, max_length=MAX_SERVICES
    )
    teams: dict[Name, TeamModel] = pydantic.Field(min_length=1)


class _StoredModel(pydantic.BaseModel):
    """Base of the stored models.

    Unknown keys are ignored, so that a node of an older release can read
    what a newer release has written.
    """

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class StoredPromotion(_StoredModel):
    """One earlier promotion.

    Attributes:
        version: Version of the object that it made.
        promotion_id: Its random id; empty if it had none.
    """

    version: int = pydantic.Field(ge=1)
    promotion_id: str


class StoredDocument(_StoredModel):
    """Content of ``documents/<environment>``.

    Attributes:
        enforced: Text of the document in force.
        trial: Text of the trial document, if there is one.
        author: Operator who made this version.
        note: What the operator says about it.
        promotion_id: Random id of the promotion that made this version; an
            operator whose answer was lost recognises the own change by it.
        is_trial: Whether this version changed only the trial document.
        earlier: Promotions before this one, latest first, at most
            `MAX_EARLIER`, for an operator whose answer was lost and whose
            change was then replaced.
    """

    enforced: str
    trial: str | None = None
    author: str = pydantic.Field(default="", max_length=MAX_AUTHOR_CHARACTERS)
    note: str = pydantic.Field(default="", max_length=MAX_NOTE_CHARACTERS)
    promotion_id: str = ""
    is_trial: bool = False
    earlier: tuple[StoredPromotion, ...] = pydantic.Field(
        default=(), max_length=MAX_EARLIER
    )
