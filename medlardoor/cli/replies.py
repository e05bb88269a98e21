"""Models of the administration API's answers, as the operator reads them."""

import typing

import pydantic

__all__ = [
    "CheckReply",
    "DecisionReply",
    "DiffReply",
    "DifferenceReply",
    "DocumentReply",
    "ExplainReply",
    "FaultReply",
    "HistoryEntryReply",
    "HistoryReply",
    "LevelRangeReply",
    "MemberReply",
    "PromoteReply",
    "RefusalReply",
    "RefusalsReply",
    "ServiceReply",
    "StatusReply",
    "UpstreamReply",
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


class DecisionReply(_Reply):
    """What happens to a request: ``admitted``, ``by_level`` and others."""

    verdict: str
    reason: str | None = None


class LevelRangeReply(_Reply):
    """Lowest and highest level of a request."""

    lowest: int
    highest: int


class UpstreamReply(_Reply):
    """One usable upstream of a service."""

    instance: str
    failure_domain: str
    busy: int
    limit: int
    time_factor: float | None
    expected_s: float
    is_preferred: bool
    admits_from: int
    verdict: str


class ServiceReply(_Reply):
    """One service of a route, with its upstreams in order."""

    service: str
    share: float
    decision: DecisionReply
    domain_shares: dict[str, float]
    upstreams: tuple[UpstreamReply, ...]


class ExplainReply(_Reply):
    """Answer of ``GET /explain`` at the metrics address."""

    instance: str
    document_version: int
    route: str
    host: str
    path_prefix: str
    team: str
    team_rate_per_s: float
    importance: int
    levels: LevelRangeReply
    path_levels: LevelRangeReply
    path_admission_level: int
    path_decision: DecisionReply
    decision: DecisionReply
    services: tuple[ServiceReply, ...]
