"""Outcomes, reasons and typed failures shared by all packages."""

import abc
import dataclasses
import enum

__all__ = [
    "Failure",
    "Fault",
    "InvalidInput",
    "Outcome",
    "Reason",
    "Refusal",
    "StoreConflict",
    "StoreUnavailable",
]


class Outcome(enum.Enum):
    """What the system can prove about the run of one request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why a request did not get an answer of its upstream."""

    OVERLOAD = "overload"
    QUEUE_TIMEOUT = "queue_timeout"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    CANCELLED = "cancelled"
    UPSTREAM_UNAVAILABLE = "upstream_unavailable"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_CRASHED = "upstream_crashed"
    UPSTREAM_SHED = "upstream_shed"
    NO_UPSTREAM = "no_upstream"
    NODE_UNREACHABLE = "node_unreachable"
    NO_CONFIGURATION = "no_configuration"
    ISOLATED = "isolated"
    LEAVING = "leaving"
    QUARANTINED = "quarantined"
    KEY_REQUIRED = "key_required"
    KEY_INVALID = "key_invalid"
    KEY_RETIRED = "key_retired"
    KEY_EXPIRED = "key_expired"
    KEY_OWNER_LOST = "key_owner_lost"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_MISMATCH = "key_mismatch"
    BUDGET_EXHAUSTED = "budget_exhausted"
    DEPTH_EXCEEDED = "depth_exceeded"
    UNKNOWN_KIND = "unknown_kind"
    UNKNOWN_SERVICE = "unknown_service"
    INVALID_REQUEST = "invalid_request"
    BUFFERS_FULL = "buffers_full"


@dataclasses.dataclass(frozen=True)
class Failure(abc.ABC):
    """Base of all expected failures; subclasses add their own fields."""

    @property
    @abc.abstractmethod
    def message(self) -> str:
        """One sentence for a log line or an operator."""


@dataclasses.dataclass(frozen=True)
class Refusal(Failure):
    """A request that ended without an answer of its upstream.

    Attributes:
        outcome: What is known about the run of the request.
        reason: Why there is no answer.
        detail: Additional facts for the caller, one sentence.
        retry_after_ms: When the caller may come back; 0 if it should not.
        unspent_budget: Retries that the request may still spend.
        next_key: Idempotency key to send the request again with.
    """

    outcome: Outcome
    reason: Reason
    detail: str = ""
    retry_after_ms: int = 0
    unspent_budget: int = 0
    next_key: str = ""

    @property
    def message(self) -> str:
        """One sentence for a log line or an operator."""
        return self.detail or f"Request ended with {self.reason.value}."


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault of a settings file or document.

    Attributes:
        path: JSON path of the value, such as ``$.teams.derwent.kinds``.
        line: Line of the value, counted from 1; 0 if it is not known.
        expected: What was expected there.
    """

    path: str
    line: int
    expected: str


@dataclasses.dataclass(frozen=True)
class InvalidInput(Failure):
    """A file, document or message that does not pass its model.

    Attributes:
        source: Name of the file or endpoint that the input came from.
        faults: All faults that were found, in order of lines.
    """

    source: str
    faults: tuple[Fault, ...]

    @property
    def message(self) -> str:
        """One sentence for a log line or an operator."""
        rows = "; ".join(
            f"line {f.line}: {f.path}: {f.expected}" for f in self.faults
        )
        return f"{self.source} is not valid: {rows}"


@dataclasses.dataclass(frozen=True)
class StoreUnavailable(Failure):
    """The platform did not answer; a change may have taken effect.

    Attributes:
        key: Object key of the call.
        detail: What the transport reported.
    """

    key: str
    detail: str = ""

    @property
    def message(self) -> str:
        """One sentence for a log line or an operator."""
        return f"The platform did not answer for {self.key}: {self.detail}"


@dataclasses.dataclass(frozen=True)
class StoreConflict(Failure):
    """A conditional update met another version than expected.

    Attributes:
        key: Object key of the call.
        expected_version: Version that the update was conditional on.
    """

    key: str
    expected_version: int

    @property
    def message(self) -> str:
        """One sentence for a log line or an operator."""
        return f"{self.key} is no longer at version {self.expected_version}."
