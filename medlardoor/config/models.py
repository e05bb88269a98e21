"""Models of operator documents and of the stored object with them.

The keys, their limits and their defaults are described for operators in
``docs/operators.md``.
"""

import re
import typing

import pydantic

__all__ = [
    "MAX_AUTHOR_CHARACTERS",
    "MAX_CLASSES",
    "MAX_EARLIER_PROMOTIONS",
    "MAX_KEYS",
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
MAX_KEYS = 64
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
MAX_EARLIER_PROMOTIONS = 20


def _pattern_validator(pattern: str, expected: str) -> pydantic.AfterValidator:
    """Returns a string validator whose message does not show the regex."""
    compiled = re.compile(pattern)

    def check(text: str) -> str:
        if compiled.fullmatch(text) is None:
            raise ValueError(expected)
        return text

    return pydantic.AfterValidator(check)


# Names appear in headers, in metrics and on narrow phone screens.
Name = typing.Annotated[
    str,
    _pattern_validator(
        r"[a-z][a-z0-9_-]{0,39}",
        "a name of 1 to 40 characters (a-z, 0-9, _ or -) that starts with a-z",
    ),
]
# The service name is sent in the Host header, so it must be a DNS label.
ServiceName = typing.Annotated[
    str,
    _pattern_validator(
        r"[a-z](?:[a-z0-9-]{0,61}[a-z0-9])?",
        "a name of 1 to 63 characters (a-z, 0-9 or -) that starts with a-z"
        " and does not end with -",
    ),
]
PathPrefix = typing.Annotated[
    str,
    _pattern_validator(
        r"/[!-\"$->@-~]{0,1023}",
        "a path of at most 1024 printable ASCII characters that starts with /"
        " and has no space, ? or #",
    ),
]
# A document has digests in place of keys, so that whoever reads it cannot use
# them.
KeyDigest = typing.Annotated[
    str,
    _pattern_validator(
        r"sha256:[0-9a-f]{64}",
        "sha256: and 64 characters of 0-9 and a-f, as `medlardoor new-key`"
        " prints them",
    ),
]
Method = typing.Literal[
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"
]
Milliseconds = typing.Annotated[int, pydantic.Field(ge=1, le=MAX_TIMEOUT_MS)]
WindowSeconds = typing.Annotated[int, pydantic.Field(ge=1, le=MAX_WINDOW_S)]


class _Model(pydantic.BaseModel):
    """Base of the models in a document; rejects unknown keys."""

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
    """Method and path prefix of the requests of a kind."""

    method: Method
    path_prefix: PathPrefix


class KindModel(_Model):
    """One kind of request.

    `idempotent` has no default: a wrong default would either run orders twice
    or require idempotency keys for every lookup.
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
    keys: list[KeyDigest] = pydantic.Field(
        default_factory=list, max_length=MAX_KEYS
    )
    kinds: dict[Name, KindModel] = pydantic.Field(default_factory=dict)


class ServiceModel(_Model):
    """Limits of one service."""

    max_queue: int = pydantic.Field(default=256, ge=1, le=MAX_QUEUE)
    slots: int = pydantic.Field(default=64, ge=1, le=MAX_SLOTS)
    ramp_s: float = pydantic.Field(default=10.0, ge=0, le=MAX_RAMP_S)


class DocumentModel(_Model):
    """An operator document."""

    environment: Name
    importance_classes: list[Name] = pydantic.Field(
        min_length=1, max_length=MAX_CLASSES
    )
    services: dict[ServiceName, ServiceModel] = pydantic.Field(
        min_length=1, max_length=MAX_SERVICES
    )
    teams: dict[Name, TeamModel] = pydantic.Field(min_length=1)


class _StoredModel(pydantic.BaseModel):
    """Base of the models of stored objects.

    Unknown keys are ignored, so that nodes of an older release can read
    objects that a newer release has written.
    """

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class StoredPromotion(_StoredModel):
    """One earlier promotion.

    Attributes:
        version: Version of the object that the promotion created.
        promotion_id: Random id of the promotion; empty if it had none.
    """

    version: int = pydantic.Field(ge=1)
    promotion_id: str


class StoredDocument(_StoredModel):
    """Content of ``documents/<environment>``.

    Attributes:
        enforced: Text of the enforced document.
        trial: Text of the trial document, if there is one.
        author: Operator who created this version.
        note: Comment of the operator on this version.
        promotion_id: Random id of the promotion that created this version. It
            identifies the operator's own change after a lost response.
        is_trial: Whether this version changed only the trial document.
        earlier: Up to `MAX_EARLIER_PROMOTIONS` promotions before this one,
            latest first. They identify a change whose response was lost and
            that another promotion has replaced since.
    """

    enforced: str
    trial: str | None = None
    author: str = pydantic.Field(default="", max_length=MAX_AUTHOR_CHARACTERS)
    note: str = pydantic.Field(default="", max_length=MAX_NOTE_CHARACTERS)
    promotion_id: str = ""
    is_trial: bool = False
    earlier: tuple[StoredPromotion, ...] = pydantic.Field(
        default=(), max_length=MAX_EARLIER_PROMOTIONS
    )
