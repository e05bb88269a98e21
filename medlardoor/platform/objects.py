"""Objects of the platform's store, parsed one by one from its answers.

Other writers use the store too, so an object may be unreadable. It is left out
and logged, and the others in the same answer are used.
"""

import typing

import anyio.to_thread
import logbook
import pydantic
import result

from medlardoor import logs
from medlardoor.store import items, versions

__all__ = ["Event", "Events", "Object", "ObjectParser", "Page"]

_LOG = logbook.Logger("store")

# Number of unreadable objects that are logged only when they change.
_MAX_LOGGED = 1_000

_Revision = typing.Annotated[
    int, pydantic.Field(ge=0, le=versions.MAX_REVISION)
]


class _Metadata(pydantic.BaseModel):
    name: str
    revision: _Revision


class Object(pydantic.BaseModel):
    """An object; ``spec`` is what its writer has stored."""

    metadata: _Metadata
    spec: typing.Any = None


class Event(pydantic.BaseModel):
    """A change of an object."""

    object: Object
    deleted: bool = False


class Events(pydantic.BaseModel):
    """Answer to a watch."""

    events: tuple[Event, ...] = ()
    currentRev: _Revision  # noqa: N815


class Page(pydantic.BaseModel):
    """Part of a list of objects.

    Attributes:
        last_name: Name of the last object, also of an unreadable one; empty if
            none has a plain name.
    """

    items: tuple[Object, ...] = ()
    hasMore: bool = False  # noqa: N815
    currentRev: _Revision = 0  # noqa: N815
    last_name: str = ""


_Model = typing.TypeVar("_Model", bound=pydantic.BaseModel)
_Parsed = result.Result[_Model, pydantic.ValidationError]


class ObjectParser:
    """Parses answers of the store; remembers which objects were logged."""

    def __init__(self):
        # Text of the unreadable objects that were logged, as a hash, by name.
        self._logged: dict[tuple[str, str], int] = {}
        self._unreadable_count = 0

    @property
    def unreadable_count(self) -> int:
        """Number of unreadable objects; one counts again when it changes."""
        return self._unreadable_count

    def parse_object(self, text: bytes) -> _Parsed[Object]:
        """Parses one object; an unreadable ``spec`` counts as absent."""
        parsed = _validate(text, Object)
        if parsed.is_ok():
            return parsed
        return _validate(items.without_value(text, "spec"), Object)

    async def parse_page(self, key: str, text: bytes) -> _Parsed[Page]:
        """Parses a part of a list.

        Args:
            key: What the list was asked for, for the log.
            text: Text of the answer.
        """
        parsed = _validate(text, Page)
        if parsed.is_ok():
            page = parsed.ok_value
            if page.items:
                page.last_name = page.items[-1].metadata.name
            return parsed
        rest, found = await _split(text, "items")
        names = [item.name for item in found if item.name]
        parsed = _validate(rest, Page)
        if parsed.is_ok():
            parsed.ok_value.items = self._parse_items(key, found, Object)
            parsed.ok_value.last_name = names[-1] if names else ""
        return parsed

    async def parse_events(self, key: str, text: bytes) -> _Parsed[Events]:
        """Parses the answer to a watch; see `parse_page`."""
        parsed = _validate(text, Events)
        if parsed.is_ok():
            return parsed
        rest, found = await _split(text, "events")
        parsed = _validate(rest, Events)
        if parsed.is_ok():
            parsed.ok_value.events = self._parse_items(key, found, Event)
        return parsed

    def _parse_items(
        self, key: str, found: list[items.Item], model: type[_Model]
    ) -> tuple[_Model, ...]:
        readable = []
        for item in found:
            parsed = items.parse_item(item, model)
            if parsed.is_ok():
                readable.append(parsed.ok_value)
            else:
                self._log_unreadable(key, item, parsed.err_value)
        return tuple(readable)

    def _log_unreadable(self, key: str, item: items.Item, reason: str) -> None:
        """Logs an unreadable object, again only when it has changed."""
        identity = (key, item.name)
        text_hash = hash(item.text)
        if self._logged.get(identity) == text_hash:
            return
        if len(self._logged) >= _MAX_LOGGED:
            del self._logged[next(iter(self._logged))]
        self._logged[identity] = text_hash
        self._unreadable_count += 1
        logs.log_event(
            _LOG,
            logbook.WARNING,
            "store_object_unreadable",
            key=key,
            name=item.name,
            reason=reason,
            unreadable=self._unreadable_count,
        )


def _validate(text: bytes, model: type[_Model]) -> _Parsed[_Model]:
    try:
        return result.Ok(model.model_validate_json(text))
    except pydantic.ValidationError as error:
        return result.Err(error)


async def _split(text: bytes, key: str) -> tuple[bytes, list[items.Item]]:
    """Splits a list in a thread: a large one takes some 0.1 s."""
    return await anyio.to_thread.run_sync(items.split_list, text, key)
