"""Check, promotion, trial and rollback of operator documents."""

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
    """Promotion requested by an operator.

    Attributes:
        text: Text of the document.
        expected_version: Version that must be in force; 0 for no document.
        author: Name of the operator.
        note: Note of the operator on the promotion.
        trial: Whether the text replaces only the trial document.
    """

    text: str
    expected_version: int
    author: str
    note: str = ""
    trial: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Promoted:
    """Result of a promotion that took effect.

    Attributes:
        version: Version that the promotion created.
        replaced: Whether a later promotion is already in force.
        is_recorded: Whether the history contains the version; otherwise the
            next promotion adds it.
    """

    version: int
    replaced: bool = False
    is_recorded: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Current:
    """Documents in force.

    Attributes:
        version: Version of the object; 0 if there is no object.
        stored: Content of the object; None if there is no object.
    """

    version: int
    stored: models.StoredDocument | None


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """Changes that the promotion of a document would make.

    Attributes:
        version: Version in force with which the document was compared.
        differences: Changes to that version.
    """

    version: int
    differences: tuple[diff.Difference, ...]


class Promoter:
    """Promotes documents of one environment.

    Args:
        store: Client of the object store.
        environment: Name of the environment.
        limits: Limits of attempts and of the history.
        rng: Source of promotion ids. The default is the random source of the
            operating system and not the seeded one of the node: nodes with
            the same seed would generate equal ids, and one could mistake a
            promotion of the other for its own.
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
        """Checks that a document is valid and belongs to this environment."""
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
        found = await update.read_with_retries(
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
        """Reads the entries of the history, oldest first."""
        return await self._history.read()

    async def compare(
        self, text: str
    ) -> result.Result[Comparison, errors.Failure]:
        """Lists the changes that the promotion of a document would make."""
        checked = self.check(text)
        if checked.is_err():
            return checked
        current = await self.read()
        if current.is_err():
            return current
        differences = diff.compare(
            _parse_policy(_enforced_text(current.ok_value)), checked.ok_value
        )
        return result.Ok(Comparison(current.ok_value.version, differences))

    async def compare_version(
        self, version: int
    ) -> result.Result[Comparison, errors.Failure]:
        """Lists the changes that a rollback to a version would make."""
        text = await self._history.enforced_text(version)
        return text if text.is_err() else await self.compare(text.ok_value)

    async def promote(
        self, promotion: Promotion
    ) -> result.Result[Promoted, errors.Failure]:
        """Promotes a document if the expected version is still in force.

        A trial promotion sets only the trial document. A promotion of the
        enforced document keeps the trial document. A trial document that
        equals the enforced one is removed. Promoting the text of the trial
        therefore ends the trial, as does a trial of the enforced text.

        Returns:
            The new version, or a failure: `InvalidInput`, `PromotionConflict`
            with the changes of the other operator, `StoreUnavailable` if
            nothing was written, or `PromotionUncertain`.
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
        """Promotes the trial document to the enforced document."""
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
        """Promotes the enforced text of an old version as a new version."""
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
        # Records the version in force if its own promotion could not record it.
        if current.stored is not None:
            await self._record(current.version, current.stored)
        stored = self._content_after(promotion, current)
        writer = update.ConditionalUpdate(
            self._store, self._limits, self._pauses
        )
        written = await writer.run(self._key, stored, current.version)
        if written.is_err():
            return written
        if isinstance(written.ok_value, update.Superseded):
            return await self._explain_conflict(promotion)
        applied = written.ok_value
        _log.info("promoted version {}", applied.version)
        is_recorded = await self._record(applied.version, stored)
        return result.Ok(
            Promoted(applied.version, applied.replaced, is_recorded)
        )

    def _content_after(
        self, promotion: Promotion, current: Current
    ) -> models.StoredDocument:
        """Returns the content of the object after a promotion."""
        earlier = ()
        enforced = promotion.text
        trial = None
        if current.stored is not None:
            enforced, trial = current.stored.enforced, current.stored.trial
            replaced = models.StoredPromotion(
                version=current.version,
                promotion_id=current.stored.promotion_id,
            )
            earlier = (replaced, *current.stored.earlier)[
                : models.MAX_EARLIER_PROMOTIONS
            ]
        if promotion.trial:
            trial = promotion.text
        else:
            enforced = promotion.text
        return models.StoredDocument(
            enforced=enforced,
            trial=None if trial == enforced else trial,
            author=_replace_surrogates(promotion.author)[
                : models.MAX_AUTHOR_CHARACTERS
            ],
            note=_replace_surrogates(promotion.note),
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
        """Returns a conflict with the changes since the expected version."""
        stored = current.stored
        expected_text = await self._history.enforced_text(expected_version)
        enforced = _parse_policy(_enforced_text(current))
        if expected_text.is_ok():
            differences = diff.compare(
                _parse_policy(expected_text.ok_value), enforced
            )
        else:
            differences = diff.compare(enforced, _parse_policy(text or None))
        if stored is not None and stored.trial is not None:
            differences += tuple(
                dataclasses.replace(found, path=f"trial.{found.path}")
                for found in diff.compare(enforced, _parse_policy(stored.trial))
            )
        return result.Err(
            failures.PromotionConflict(
                expected_version=expected_version,
                version=current.version,
                author=stored.author if stored else "",
                note=stored.note if stored else "",
                differences=differences,
                since_seen=expected_text.is_ok(),
            )
        )

    def _invalid(
        self, path: str, expected: str
    ) -> result.Err[errors.InvalidInput]:
        fault = errors.Fault(path, 0, expected)
        return result.Err(errors.InvalidInput(self._key, (fault,)))


def _enforced_text(current: Current) -> str | None:
    return current.stored.enforced if current.stored else None


def _parse_policy(text: str | None) -> policy.Policy | None:
    """Parses a stored text; returns None without a text or if it is invalid."""
    if text is None:
        return None
    return document.parse_document("stored document", text).ok()


def _replace_surrogates(text: str) -> str:
    """Replaces lone surrogates, which JSON allows and UTF-8 cannot encode."""
    return text.encode(errors="replace").decode()
