"""Typed failures of promotion."""

import dataclasses

from medlardoor import errors
from medlardoor.config import diff

__all__ = ["PromotionConflict", "PromotionUncertain", "VersionMissing"]


@dataclasses.dataclass(frozen=True)
class PromotionConflict(errors.Failure):
    """Another operator has changed the documents; nothing was promoted.

    Attributes:
        expected_version: Version that the operator saw.
        version: Version in force; 0 if there is none.
        author: Who made the version in force.
        note: Note of the version in force.
        differences: What changed since the version that the operator saw,
            or, if that one is no longer known, what the operator's text
            would change now.
        since_seen: Whether `differences` start at the version seen.
    """

    expected_version: int
    version: int
    author: str
    note: str
    differences: tuple[diff.Difference, ...]
    since_seen: bool

    @property
    def message(self) -> str:
        """One sentence for a log line or an operator."""
        return (
            f"Version {self.version} by {self.author or 'unknown'} is in force,"
            f" not version {self.expected_version}."
        )


@dataclasses.dataclass(frozen=True)
class PromotionUncertain(errors.Failure):
    """The platform did not say whether a promotion took effect.

    It may still take effect later, as long as the expected version is in
    force.

    Attributes:
        key: Object key.
        promotion_id: Id that the object holds if it took effect.
        expected_version: Version that the promotion was conditional on.
        detail: What the transport reported.
    """

    key: str
    promotion_id: str
    expected_version: int
    detail: str = ""

    @property
    def message(self) -> str:
        """One sentence for a log line or an operator."""
        return (
            f"{self.key}: it is unknown whether promotion"
            f" {self.promotion_id} took effect; check the version in force"
            " before promoting again."
        )


@dataclasses.dataclass(frozen=True)
class VersionMissing(errors.Failure):
    """The history does not hold a version.

    Attributes:
        key: Object key of the history.
        version: Version that was asked for.
    """

    key: str
    version: int

    @property
    def message(self) -> str:
        """One sentence for a log line or an operator."""
        return f"{self.key} does not hold version {self.version}."
