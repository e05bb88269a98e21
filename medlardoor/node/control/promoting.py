"""Adapter between the administration API and the promotion logic."""

import result

from medlardoor import errors
from medlardoor.admin import api
from medlardoor.promotion import failures, promoter

__all__ = ["NodePromotionService"]


class NodePromotionService(api.PromotionService):
    """Promotes documents with the platform client of the node.

    Args:
        logic: Promotion logic of the environment.
    """

    def __init__(self, logic: promoter.Promoter):
        self._promoter = logic

    def check(self, text: str) -> result.Result[None, errors.InvalidInput]:
        """Checks a document without promoting it."""
        return self._promoter.check(text).map(lambda _: None)

    async def compare(
        self, text: str
    ) -> result.Result[promoter.Comparison, errors.Failure]:
        """Compares a document with the one in force."""
        return await self._promoter.compare(text)

    async def compare_version(
        self, version: int
    ) -> result.Result[promoter.Comparison, errors.Failure]:
        """Compares an earlier version with the one in force."""
        return await self._promoter.compare_version(version)

    async def promote(
        self, request: api.PromotionRequest
    ) -> result.Result[int, errors.Failure]:
        """Promotes a document if the expected version is in force."""
        promoted = await self._promoter.promote(
            promoter.Promotion(
                text=request.text,
                expected_version=request.expected_version,
                author=request.author,
                note=request.note,
                trial=request.trial,
            )
        )
        return promoted.map(lambda done: done.version).map_err(
            _convert_conflict
        )

    async def history(
        self,
    ) -> result.Result[tuple[api.HistoryRecord, ...], errors.Failure]:
        """Lists the most recently promoted versions."""
        entries = await self._promoter.read_history()
        return entries.map(
            lambda found: tuple(
                api.HistoryRecord(
                    entry.version, entry.author, entry.note, entry.trial
                )
                for entry in found
            )
        )


def _convert_conflict(failure: errors.Failure) -> errors.Failure:
    if not isinstance(failure, failures.PromotionConflict):
        return failure
    return api.ConflictingPromotion(
        failure.version, failure.author, failure.differences
    )
