"""Outcomes, reasons and failure types shared by all packages."""

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
    "StoreResponseTooLarge",
    "StoreUnavailable",
]


class Outcome(enum.Enum):
    """What is known about whether an upstream ran a request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why a request was not answered by an upstream."""

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
    CREDENTIALS_MISSING = "credentials_missing"
    CREDENTIALS_INVALID = "credentials_invalid"
    RATE_LIMITED = "rate_limited"
    NO_LENDER = "no_lender"
    INTERNAL_ERROR = "internal_error"


@dataclasses.dataclass(frozen=True)
class Failure(abc.ABC):
    """Base of all expected failures; subclasses add fields."""

    @property
    @abc.abstractmethod
    def message(self) -> str:
        """One sentence for a log line or an operator."""


@dataclasses.dataclass(frozen=True)
class Refusal(Failure):
    """A request that ended without an answer from an upstream.

    Attributes:
        outcome: Whether an upstream ran the request, as far as is known.
        reason: Why no upstream answered.
        detail: Further details for the caller, in one sentence.
        retry_after_ms: Delay after which the caller may retry, in milliseconds;
            0 if it should not retry.
        unspent_budget: Number of retries left to the request.
        next_key: Idempotency key with which to send the request again.
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
        return self.detail or f"Request not answered: {self.reason.value}."


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault of a settings file or document.

    Attributes:
        path: JSON path of the value, such as ``$.teams.derwent.kinds``.
        line: Line of the value, counted from 1; 0 if unknown.
        expected: What is valid there, phrased to follow the word "expected".
    """

    path: str
    line: int
    expected: str


@dataclasses.dataclass(frozen=True)
class InvalidInput(Failure):
    """A file, document or message that failed validation.

    Attributes:
        source: Name of the file or endpoint of the input.
        faults: Faults in order of lines.
    """

    source: str
    faults: tuple[Fault, ...]

    @property
    def message(self) -> str:
        """One sentence for a log line or an operator."""
        rows = "; ".join(
            f"line {f.line}: {f.path}: expected {f.expected}"
            for f in self.faults
        )
        return f"{self.source} is not valid: {rows}"


@dataclasses.dataclass(frozen=True)
class StoreUnavailable(Failure):
    """A call to the platform failed; a change may have taken effect.

    Attributes:
        key: Object key of the call.
        detail: Error reported by the transport.
    """

    key: str
    detail: str = ""

    @property
    def message(self) -> str:
        """One sentence for a log line or an operator."""
        return f"Platform call for object {self.key} failed: {self.detail}"


@dataclasses.dataclass(frozen=True)
class StoreResponseTooLarge(StoreUnavailable):
    """A response of the platform was given up, since it exceeds its limit.

    Attributes:
        max_bytes: The limit, in bytes.
    """

    max_bytes: int = 0

    @property
    def message(self) -> str:
        """One sentence for a log line or an operator."""
        return (
            f"Platform call for object {self.key} failed: response is longer"
            f" than {self.max_bytes} bytes"
        )


@dataclasses.dataclass(frozen=True)
class StoreConflict(Failure):
    """A conditional update found another version of the object.

    Attributes:
        key: Object key of the call.
        expected_version: Version that the update required.
    """

    key: str
    expected_version: int

    @property
    def message(self) -> str:
        """One sentence for a log line or an operator."""
        return f"Object {self.key} is not at version {self.expected_version}."
