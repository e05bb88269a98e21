"""History of an environment with the texts promoted last."""

import base64
import binascii
import dataclasses
import zlib

import pydantic
import result

from medlardoor import errors
from medlardoor.config import document, jsonc, models, settings
from medlardoor.promotion import failures, update
from medlardoor.store import client

__all__ = ["History", "HistoryEntry", "make_entry"]


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One version of the documents of an environment.

    Attributes:
        version: Version of the document object.
        author: Operator who promoted the version.
        note: Note of the operator.
        trial: Whether only the trial document was changed.
        packed_text: Text that was promoted, compressed with zlib.
    """

    version: int
    author: str
    note: str
    trial: bool
    packed_text: bytes = dataclasses.field(repr=False)

    def text(self) -> str | None:
        """Unpacks the promoted text.

        Unpacks at most one byte more than the size limit of a text.

        Returns:
            The text, or None if it is damaged or larger than the limit.
        """
        unpacker = zlib.decompressobj()
        try:
            content = unpacker.decompress(
                self.packed_text, jsonc.MAX_TEXT_BYTES + 1
            )
            text = content.decode()
        except (zlib.error, UnicodeDecodeError):
            return None
        return text if len(content) <= jsonc.MAX_TEXT_BYTES else None


class _EntryModel(pydantic.BaseModel):
    """Stored form of one entry."""

    version: int = pydantic.Field(ge=1)
    author: str = ""
    note: str = ""
    trial: bool = False
    text: str


class _HistoryModel(pydantic.BaseModel):
    """Content of ``history/<environment>``, oldest entry first."""

    entries: list[_EntryModel] = pydantic.Field(default_factory=list)


def make_entry(version: int, stored: models.StoredDocument) -> HistoryEntry:
    """Creates the history entry of a version of the document object."""
    # The object does not store a trial that equals the enforced document.
    has_trial_text = stored.is_trial and stored.trial is not None
    text = stored.trial if has_trial_text else stored.enforced
    return HistoryEntry(
        version=version,
        author=stored.author,
        note=stored.note,
        trial=stored.is_trial,
        packed_text=zlib.compress(text.encode()),
    )


class History:
    """Reads and extends the history object of an environment.

    Texts are compressed, because 20 uncompressed documents of 200 KB would
    exceed the object size limit of the store.

    Args:
        store: Client of the object store.
        environment: Name of the environment.
        limits: Limits of attempts, entries and size.
        pauses: Pauses between attempts.
    """

    def __init__(
        self,
        store: client.ObjectStore,
        environment: str,
        limits: settings.PromotionSettings,
        pauses: update.Pauses,
    ):
        self._store = store
        self._key = document.history_key(environment)
        self._limits = limits
        self._pauses = pauses

    async def read(
        self,
    ) -> result.Result[
        tuple[HistoryEntry, ...], errors.StoreUnavailable | errors.InvalidInput
    ]:
        """Reads all entries, oldest first."""
        found = await update.read_with_retries(
            self._store, self._key, self._limits, self._pauses
        )
        return found.and_then(self._decode)

    async def record(
        self, entry: HistoryEntry
    ) -> result.Result[None, errors.Failure]:
        """Adds an entry unless the history already has its version.

        The update is conditional and adds one version, so it may be repeated
        after a lost response without checking which update took effect.
        """
        failure = None
        for attempt in range(self._limits.attempts):
            if attempt:
                await self._pauses.wait(attempt)
            found = await self._store.read(self._key)
            if found.is_err():
                failure = found.err_value
                continue
            decoded = self._decode(found.ok_value)
            if decoded.is_err():
                return decoded
            entries = decoded.ok_value
            if any(recorded.version == entry.version for recorded in entries):
                return result.Ok(None)
            value = self._encode((*entries, entry))
            version = found.ok_value.version if found.ok_value else 0
            written = await self._store.update(self._key, value, version)
            if written.is_ok():
                return result.Ok(None)
            failure = written.err_value
        return result.Err(failure)

    async def enforced_text(
        self, version: int
    ) -> result.Result[str, errors.Failure]:
        """Returns the enforced text at a version in the history.

        Returns:
            The text, or a failure: `VersionMissing` if the history has no such
            version or no readable enforced text for it.
        """
        found = await self.read()
        if found.is_err():
            return found
        text = None
        if any(entry.version == version for entry in found.ok_value):
            for entry in found.ok_value:
                if entry.version <= version and not entry.trial:
                    text = entry.text()
        if text is None:
            return result.Err(failures.VersionMissing(self._key, version))
        return result.Ok(text)

    def _decode(
        self, found: client.StoredObject | None
    ) -> result.Result[tuple[HistoryEntry, ...], errors.InvalidInput]:
        if found is None:
            return result.Ok(())
        try:
            model = _HistoryModel.model_validate_json(found.value)
            entries = tuple(
                HistoryEntry(
                    version=entry.version,
                    author=entry.author,
                    note=entry.note,
                    trial=entry.trial,
                    packed_text=base64.b64decode(entry.text),
                )
                for entry in model.entries
            )
        except (pydantic.ValidationError, binascii.Error):
            fault = errors.Fault("$", 0, "a history object")
            return result.Err(errors.InvalidInput(self._key, (fault,)))
        return result.Ok(entries)

    def _encode(self, entries: tuple[HistoryEntry, ...]) -> bytes:
        """Encodes the latest entries within the limits, at least one."""
        by_version = sorted(entries, key=lambda entry: entry.version)
        retained: list[_EntryModel] = []
        size_bytes = 0
        for entry in reversed(by_version[-self._limits.history_entries :]):
            model = _EntryModel(
                version=entry.version,
                author=entry.author,
                note=entry.note,
                trial=entry.trial,
                text=base64.b64encode(entry.packed_text).decode(),
            )
            size_bytes += len(model.model_dump_json().encode()) + 1
            if retained and size_bytes > self._limits.history_bytes:
                break
            retained.append(model)
        return _HistoryModel(entries=retained[::-1]).model_dump_json().encode()
