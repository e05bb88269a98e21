"""Models of the administration API's answers, as the operator reads them."""

import typing

import pydantic

__all__ = [
    "CheckReply",
    "DiffReply",
    "DifferenceReply",
    "DocumentReply",
    "FaultReply",
    "HistoryEntryReply",
    "HistoryReply",
    "MemberReply",
    "PromoteReply",
    "RefusalReply",
    "RefusalsReply",
    "StatusReply",
]

# A node may send the trial document or its version in the place of a flag.
Flag = typing.Annotated[bool, pydantic.BeforeValidator(bool)]


class _Reply(pydantic.BaseModel):
    """Base of the answers.

    Unknown keys are ignored, so that the command works with newer nodes.
    """

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class MemberReply(_Reply):
    """One member of the node's service."""

    instance: str
    service: str = ""
    state: str
    failure_domain: str
    version: int
    level: int


class StatusReply(_Reply):
    """Answer of ``GET /v1/status``."""

    environment: str
    service: str
    instance: str
    failure_domain: str
    version: int
    trial: Flag
    phase: str
    isolated: bool
    confirmed_age_s: float | None
    limit: int
    in_flight: int
    queued: int
    level: int
    members: tuple[MemberReply, ...]


class DocumentReply(_Reply):
    """Answer of ``GET /v1/document``."""

    version: int
    enforced: str | None
    trial: str | None = None
    author: str = ""
    note: str = ""


class FaultReply(_Reply):
    """One fault of a document."""

    path: str
    line: int
    expected: str


class CheckReply(_Reply):
    """Answer of ``POST /v1/check``, and of a refused promotion."""

    valid: bool = False
    faults: tuple[FaultReply, ...] = ()


class DifferenceReply(_Reply):
    """One difference between two documents."""

    path: str
    old: str | None = None
    new: str | None = None


class DiffReply(_Reply):
    """Answer of ``POST /v1/diff``, and of a promotion in conflict."""

    version: int
    differences: tuple[DifferenceReply, ...] = ()
    author: str = ""


class PromoteReply(_Reply):
    """Answer of ``POST /v1/promote``."""

    version: int


class HistoryEntryReply(_Reply):
    """One promoted version."""

    version: int
    author: str = ""
    note: str = ""
    trial: Flag = False


class HistoryReply(_Reply):
    """Answer of ``GET /v1/history``."""

    entries: tuple[HistoryEntryReply, ...]


class RefusalReply(_Reply):
    """Refused requests of one kind, reason and outcome."""

    team: str
    kind: str
    reason: str
    outcome: str
    count: int
    first_age_s: float
    last_age_s: float
    trial: Flag = False


class RefusalsReply(_Reply):
    """Answer of ``GET /v1/refusals``."""

    refusals: tuple[RefusalReply, ...]
