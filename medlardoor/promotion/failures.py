"""Failures of a promotion."""

import dataclasses

from medlardoor import errors
from medlardoor.config import diff

__all__ = ["PromotionConflict", "PromotionUncertain", "VersionMissing"]


@dataclasses.dataclass(frozen=True)
class PromotionConflict(errors.Failure):
    """The expected version is no longer in force; nothing was promoted.

    Attributes:
        expected_version: Version on which the operator based the promotion.
        version: Version in force; 0 if there is none.
        author: Operator who promoted the version in force.
        note: Note of the version in force.
        differences: Changes since the expected version or, if the history
            no longer holds it, changes that the operator's text would make
            to the version in force.
        since_seen: Whether `differences` start at the expected version.
    """

    expected_version: int
    version: int
    author: str
    note: str
    differences: tuple[diff.Difference, ...]
    since_seen: bool

    @property
    def message(self) -> str:
        """Description for log lines and operators."""
        return (
            f"Version {self.version} by {self.author or 'unknown'} is in force;"
            f" expected version {self.expected_version}."
        )


@dataclasses.dataclass(frozen=True)
class PromotionUncertain(errors.Failure):
    """The object store did not confirm whether a promotion took effect.

    It may still take effect later, while the expected version is in force.

    Attributes:
        key: Object key.
        promotion_id: Id that the object contains if the promotion took effect.
        expected_version: Version that had to be in force for the promotion.
        detail: Error of the last failed update.
    """

    key: str
    promotion_id: str
    expected_version: int
    detail: str = ""

    @property
    def message(self) -> str:
        """Description for log lines and operators."""
        return (
            f"{self.key}: it is unknown whether promotion"
            f" {self.promotion_id} took effect; check the version in force"
            " before promoting again."
        )


@dataclasses.dataclass(frozen=True)
class VersionMissing(errors.Failure):
    """The history does not contain the requested version.

    Attributes:
        key: Object key of the history.
        version: Requested version.
    """

    key: str
    version: int

    @property
    def message(self) -> str:
        """Description for log lines and operators."""
        return f"{self.key} does not contain version {self.version}."
