"""Joins the administration API with the promotion logic."""

import result

from medlardoor import errors
from medlardoor.admin import api
from medlardoor.promotion import failures, promoter

__all__ = ["NodePromotionService"]


class NodePromotionService(api.PromotionService):
    """Promotion through the platform client of the node.

    Args:
        logic: Promotion logic of the environment.
    """

    def __init__(self, logic: promoter.Promoter):
        self._logic = logic

    def check(self, text: str) -> result.Result[None, errors.InvalidInput]:
        """Checks a document."""
        return self._logic.check(text).map(lambda _: None)

    async def compare(
        self, text: str
    ) -> result.Result[promoter.Comparison, errors.Failure]:
        """Lists what a document would change."""
        return await self._logic.compare(text)

    async def compare_version(
        self, version: int
    ) -> result.Result[promoter.Comparison, errors.Failure]:
        """Lists what a return to an earlier version would change."""
        return await self._logic.compare_version(version)

    async def promote(
        self, request: api.PromotionRequest
    ) -> result.Result[int, errors.Failure]:
        """Promotes a document if the expected version is in force."""
        promoted = await self._logic.promote(
            promoter.Promotion(
                text=request.text,
                expected_version=request.expected_version,
                author=request.author,
                note=request.note,
                trial=request.trial,
            )
        )
        return promoted.map(lambda done: done.version).map_err(_conflict)

    async def history(
        self,
    ) -> result.Result[tuple[api.HistoryRecord, ...], errors.Failure]:
        """Lists the last promoted versions."""
        entries = await self._logic.read_history()
        return entries.map(
            lambda found: tuple(
                api.HistoryRecord(
                    entry.version, entry.author, entry.note, entry.trial
                )
                for entry in found
            )
        )


def _conflict(failure: errors.Failure) -> errors.Failure:
    if not isinstance(failure, failures.PromotionConflict):
        return failure
    return api.ConflictingPromotion(
        failure.version, failure.author, failure.differences
    )
