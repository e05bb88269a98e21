"""Promotion of operator documents: check, promote, trial and rollback."""

import dataclasses
import random

import logbook
import result

from medlardoor import errors
from medlardoor.config import diff, document, models, policy, settings
from medlardoor.promotion import failures, history, update
from medlardoor.store import client

__all__ = ["Comparison", "Current", "Promoted", "Promoter", "Promotion"]

_log = logbook.Logger("medlardoor.promotion")

PROMOTION_ID_BITS = 128


@dataclasses.dataclass(frozen=True, slots=True)
class Promotion:
    """What an operator wants to promote.

    Attributes:
        text: The document.
        expected_version: Version that the operator saw; 0 if none.
        author: Name of the operator.
        note: What the operator says about it.
        trial: Whether only the trial document is set.
    """

    text: str
    expected_version: int
    author: str
    note: str = ""
    trial: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Promoted:
    """A promotion that took effect.

    Attributes:
        version: Version that it made.
        replaced: Whether a later promotion is in force already.
        is_recorded: Whether the history holds it; if not, the next promotion
            adds it.
    """

    version: int
    replaced: bool = False
    is_recorded: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Current:
    """Documents in force.

    Attributes:
        version: Version of the object; 0 if there is none.
        stored: Content of the object, None if there is none.
    """

    version: int
    stored: models.StoredDocument | None


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """What a document would change.

    Attributes:
        version: Version in force that it was compared with.
        differences: Changes that its promotion would make.
    """

    version: int
    differences: tuple[diff.Difference, ...]


class Promoter:
    """Promotes documents of one environment.

    Args:
        store: Client of the platform.
        environment: Name of the environment.
        limits: Numbers of attempts and of history entries.
        rng: Source of promotion ids. The default is the system's source and
            not the node's seeded one: two nodes with the same seed would
            make the same ids, and one would take the other's change for its
            own.
    """

    def __init__(
        self,
        store: client.ObjectStore,
        environment: str,
        limits: settings.PromotionSettings,
        rng: random.Random | None = None,
    ):
        self._store = store
        self._environment = environment
        self._limits = limits
        self._rng = rng or random.SystemRandom()
        self._pauses = update.Pauses(limits, self._rng)
        self._history = history.History(
            store, environment, limits, self._pauses
        )
        self._key = document.document_key(environment)

    def check(
        self, text: str, source: str = "document"
    ) -> result.Result[policy.Policy, errors.InvalidInput]:
        """Checks a document, and that it belongs to this environment."""
        parsed = document.parse_document(source, text)
        if parsed.is_err():
            return parsed
        if parsed.ok_value.environment != self._environment:
            fault = errors.Fault("$.environment", 0, f"{self._environment}")
            return result.Err(errors.InvalidInput(source, (fault,)))
        return parsed

    async def read(
        self,
    ) -> result.Result[Current, errors.StoreUnavailable | errors.InvalidInput]:
        """Reads the documents in force."""
        found = await update.read_patiently(
            self._store, self._key, self._limits, self._pauses
        )
        if found.is_err():
            return found
        if found.ok_value is None:
            return result.Ok(Current(0, None))
        version = found.ok_value.version
        parsed = document.parse_object(self._key, found.ok_value.value)
        return parsed.map(lambda stored: Current(version, stored))

    async def read_history(
        self,
    ) -> result.Result[
        tuple[history.HistoryEntry, ...],
        errors.StoreUnavailable | errors.InvalidInput,
    ]:
        """Reads the last versions, oldest first."""
        return await self._history.read()

    async def compare(
        self, text: str
    ) -> result.Result[Comparison, errors.Failure]:
        """Lists what the promotion of a document would change."""
        checked = self.check(text)
        if checked.is_err():
            return checked
        current = await self.read()
        if current.is_err():
            return current
        differences = diff.compare(
            _policy_of(_enforced(current.ok_value)), checked.ok_value
        )
        return result.Ok(Comparison(current.ok_value.version, differences))

    async def compare_version(
        self, version: int
    ) -> result.Result[Comparison, errors.Failure]:
        """Lists what a rollback to a version would change."""
        text = await self._history.enforced_text(version)
        return text if text.is_err() else await self.compare(text.ok_value)

    async def promote(
        self, promotion: Promotion
    ) -> result.Result[Promoted, errors.Failure]:
        """Promotes a document if the version seen is still in force.

        A trial promotion sets only the trial document. A promotion of the
        enforced document keeps the trial document. A trial document that
        equals the enforced one is dropped, so promoting the text of the
        trial ends the trial, and so does a trial of the enforced text.

        Returns:
            The new version, or `InvalidInput`, `PromotionConflict` with what
            the other operator changed, `StoreUnavailable` if nothing was
            written, or `PromotionUncertain`.
        """
        checked = self.check(promotion.text)
        if checked.is_err():
            return checked
        current = await self.read()
        if current.is_err():
            return current
        return await self._promote_over(promotion, current.ok_value)

    async def promote_trial(
        self, expected_version: int, author: str, note: str = ""
    ) -> result.Result[Promoted, errors.Failure]:
        """Promotes the trial document to the enforced one."""
        current = await self.read()
        if current.is_err():
            return current
        stored = current.ok_value.stored
        if current.ok_value.version != expected_version:
            return await self._conflict(expected_version, current.ok_value, "")
        if stored is None or stored.trial is None:
            return self._invalid("$.trial", "a trial document to promote")
        return await self.promote(
            Promotion(stored.trial, expected_version, author, note)
        )

    async def roll_back(
        self, version: int, expected_version: int, author: str, note: str = ""
    ) -> result.Result[Promoted, errors.Failure]:
        """Promotes the text in force at an old version as a new version."""
        text = await self._history.enforced_text(version)
        if text.is_err():
            return text
        return await self.promote(
            Promotion(
                text.ok_value,
                expected_version,
                author,
                note or f"Rollback to version {version}",
            )
        )

    async def _promote_over(
        self, promotion: Promotion, current: Current
    ) -> result.Result[Promoted, errors.Failure]:
        if current.version != promotion.expected_version:
            return await self._conflict(
                promotion.expected_version, current, promotion.text
            )
        if promotion.trial and current.stored is None:
            return self._invalid("$", "an enforced document before a trial")
        limit = models.MAX_NOTE_CHARACTERS
        if len(promotion.note) > limit:
            return self._invalid("$.note", f"at most {limit} characters")
        # A version whose record was lost is added before it is replaced.
        if current.stored is not None:
            await self._record(current.version, current.stored)
        stored = self._next(promotion, current)
        writer = update.ConditionalUpdate(
            self._store, self._limits, self._pauses
        )
        written = await writer.run(self._key, stored, current.version)
        if written.is_err():
            return written
        if isinstance(written.ok_value, update.Overtaken):
            return await self._explain_conflict(promotion)
        applied = written.ok_value
        _log.info("promoted version {}", applied.version)
        is_recorded = await self._record(applied.version, stored)
        return result.Ok(
            Promoted(applied.version, applied.replaced, is_recorded)
        )

    def _next(
        self, promotion: Promotion, current: Current
    ) -> models.StoredDocument:
        """Content of the object after a promotion."""
        earlier = ()
        enforced = promotion.text
        trial = None
        if current.stored is not None:
            enforced, trial = current.stored.enforced, current.stored.trial
            own = models.StoredPromotion(
                version=current.version,
                promotion_id=current.stored.promotion_id,
            )
            earlier = (own, *current.stored.earlier)[
                : models.MAX_EARLIER_PROMOTIONS
            ]
        if promotion.trial:
            trial = promotion.text
        else:
            enforced = promotion.text
        return models.StoredDocument(
            enforced=enforced,
            trial=None if trial == enforced else trial,
            author=_plain(promotion.author)[: models.MAX_AUTHOR_CHARACTERS],
            note=_plain(promotion.note),
            promotion_id=f"{self._rng.getrandbits(PROMOTION_ID_BITS):032x}",
            is_trial=promotion.trial,
            earlier=earlier,
        )

    async def _record(
        self, version: int, stored: models.StoredDocument
    ) -> bool:
        entry = history.make_entry(version, stored)
        recorded = await self._history.record(entry)
        if recorded.is_err():
            _log.warning(
                "history lacks version {}: {}",
                version,
                recorded.err_value.message,
            )
        return recorded.is_ok()

    async def _explain_conflict(
        self, promotion: Promotion
    ) -> result.Err[errors.Failure]:
        current = await self.read()
        if current.is_err():
            return current
        return await self._conflict(
            promotion.expected_version, current.ok_value, promotion.text
        )

    async def _conflict(
        self, expected_version: int, current: Current, text: str
    ) -> result.Err[failures.PromotionConflict]:
        """Says what changed since the version that the operator saw."""
        stored = current.stored
        seen = await self._history.enforced_text(expected_version)
        new = _policy_of(_enforced(current))
        if seen.is_ok():
            differences = diff.compare(_policy_of(seen.ok_value), new)
        else:
            differences = diff.compare(new, _policy_of(text or None))
        if stored is not None and stored.trial is not None:
            differences += tuple(
                dataclasses.replace(found, path=f"trial.{found.path}")
                for found in diff.compare(new, _policy_of(stored.trial))
            )
        return result.Err(
            failures.PromotionConflict(
                expected_version=expected_version,
                version=current.version,
                author=stored.author if stored else "",
                note=stored.note if stored else "",
                differences=differences,
                since_seen=seen.is_ok(),
            )
        )

    def _invalid(
        self, path: str, expected: str
    ) -> result.Err[errors.InvalidInput]:
        fault = errors.Fault(path, 0, expected)
        return result.Err(errors.InvalidInput(self._key, (fault,)))


def _enforced(current: Current) -> str | None:
    return current.stored.enforced if current.stored else None


def _policy_of(text: str | None) -> policy.Policy | None:
    """Policy of a stored text; None if there is none or it is invalid."""
    if text is None:
        return None
    return document.parse_document("stored document", text).ok()


def _plain(text: str) -> str:
    """Text that UTF-8 can hold; a JSON body may carry lone surrogates."""
    return text.encode(errors="replace").decode()
