"""The platform's metadata store behind the product's interface."""

import json
import re
import typing
import urllib.parse

import anyio
import httpcore
import logbook
import result

from medlardoor import errors, logs
from medlardoor.mesh import settings as mesh_settings
from medlardoor.platform import names, objects
from medlardoor.store import calls, client, pacing, versions

__all__ = ["PlatformStore"]

_LOG = logbook.Logger("store")

_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410

# An answer that may be some seconds old costs a tenth of another one and does
# not count towards the rate.
_ALLOW_STALE = {"allowStale": 1}

# A watch that has less time left than this has waited long enough, in seconds.
_LEAST_WATCH_S = 0.05

# A call is given up after this time; a store that is slow answers later than
# that only while it cannot keep up anyway. In seconds.
CALL_TIMEOUT_S = 1.5

# Limits of responses, in sizes of the largest object. That size does not count
# the white space and the escapes with which a response may be encoded.
_MAX_OBJECT_RESPONSE = 2
_MAX_LIST_RESPONSE = 8
_MAX_PAGES = 64

# At most `versions.MAX_ERA`.
_ERA = re.compile(rb"[0-9]{1,6}")

Read = result.Result[client.StoredObject | None, errors.StoreUnavailable]


class PlatformStore(client.ObjectStore):
    """Objects whose value is the JSON text of their ``spec``.

    A key is the kind and the name of an object, with a slash between them.

    Args:
        address: Address of the store.
        value_bytes: Size of the largest object that the store keeps, in bytes.
    """

    def __init__(self, address: mesh_settings.Address, value_bytes: int):
        self._value_bytes = value_bytes
        self._max_list_bytes = _MAX_LIST_RESPONSE * value_bytes
        self._base = f"http://{address.host}:{address.port}"
        self._base += names.OBJECTS_PATH
        self._caller = calls.StoreCaller(CALL_TIMEOUT_S)
        self._objects = objects.ObjectParser()
        self._era: int | None = None
        # Version up to which the events of a watched object are known.
        self._seen: dict[str, int] = {}
        self._rounds = pacing.RoundPacer()

    @property
    def era(self) -> int | None:
        """Highest era in an answer of the store; see `ObjectStore`."""
        return self._era

    @property
    def unreadable_objects(self) -> int:
        """Number of unreadable objects; see `ObjectStore`."""
        return self._objects.unreadable_count

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._caller.aclose()

    async def _call(
        self, key: str, method: str, url: str, **options: typing.Any
    ) -> result.Result[httpcore.Response, errors.StoreUnavailable]:
        """Makes one call; fails if its answer is of an earlier era.

        An answer without a valid era counts as one of the era known.
        """
        options.setdefault(
            "max_bytes", _MAX_OBJECT_RESPONSE * self._value_bytes
        )
        answer = await self._caller.call(key, method, url, **options)
        if answer.is_err():
            return answer
        era = self._parse_era(answer.ok_value)
        if era is None:
            return answer
        if self._era is not None and era < self._era:
            detail = f"answer of era {era}, expected {self._era}"
            return result.Err(errors.StoreUnavailable(key, detail))
        self._era = era
        return answer

    def _parse_era(self, response: httpcore.Response) -> int | None:
        """Returns the era in a response; None if it has no valid one."""
        wanted = names.STORE_ERA_HEADER.lower()
        for name, value in response.headers:
            if name.lower() != wanted:
                continue
            if _ERA.fullmatch(value):
                era = int(value)
                if versions.is_plausible_era(era, self._era):
                    return era
            logs.log_event(
                _LOG,
                logbook.WARNING,
                "store_era_invalid",
                era=value[:32].decode("latin-1"),
                known=self._era,
                source="store",
            )
        return None

    def _version(self, revision: int) -> int:
        """Version of a revision in the last answer."""
        return versions.compose(self._era or 0, revision)

    def _is_of_known_era(self, version: int) -> bool:
        return versions.era_of(version) == (self._era or 0)

    async def read(self, key: str) -> Read:
        """Reads an object; None if there is no object with this key."""
        answer = await self._call(key, "GET", self._base + key)
        if answer.is_err():
            return answer
        if answer.ok_value.status == _NOT_FOUND:
            return result.Ok(None)
        parsed = self._parse_object(key, answer.ok_value)
        return parsed.map(lambda found: self._stored(key, found))

    async def update(
        self, key: str, value: bytes, expected_version: int
    ) -> result.Result[int, errors.StoreUnavailable | errors.StoreConflict]:
        """Writes an object if its version is still the expected one."""
        if len(value) > self._value_bytes:
            return result.Err(
                client.too_large(key, len(value), self._value_bytes)
            )
        if expected_version > 0 and not self._is_of_known_era(expected_version):
            # Another change may have its revision in the era that follows.
            return result.Err(errors.StoreConflict(key, expected_version))
        kind, _, name = key.partition("/")
        metadata: dict[str, typing.Any] = {"name": name}
        method, url = "POST", self._base + kind
        if expected_version > 0:
            metadata["revision"] = versions.revision_of(expected_version)
            method, url = "PUT", self._base + key
        body = {"metadata": metadata, "spec": json.loads(value), "status": None}
        answer = await self._call(
            key,
            method,
            url,
            headers={"Content-Type": "application/json"},
            body=json.dumps(body).encode(),
        )
        if answer.is_err():
            return answer
        if answer.ok_value.status in (_CONFLICT, _NOT_FOUND):
            return result.Err(errors.StoreConflict(key, expected_version))
        parsed = self._parse_object(key, answer.ok_value)
        return parsed.map(lambda found: self._version(found.metadata.revision))

    async def delete(
        self, key: str
    ) -> result.Result[None, errors.StoreUnavailable]:
        """Removes an object; one that does not exist counts as removed."""
        answer = await self._call(key, "DELETE", self._base + key)
        if answer.is_err():
            return answer
        if answer.ok_value.status not in (_OK, _NOT_FOUND):
            return result.Err(_unexpected(key, answer.ok_value.status))
        return result.Ok(None)

    async def watch(self, key: str, after_version: int, wait_s: float) -> Read:
        """Waits for a version above `after_version`; None after `wait_s`."""
        # Changes of other objects of the kind end a watch as well, and history
        # is dropped: what is known once is not asked for again.
        after = max(after_version, self._seen.get(key, 0))
        ends_at = anyio.current_time() + wait_s
        while True:
            await self._rounds.wait()
            left_s = max(0.0, ends_at - anyio.current_time())
            watched = await self._watch_once(key, after, left_s)
            if watched.is_err():
                return watched
            found, after = watched.ok_value
            self._seen[key] = after
            if found is not None and found.version > after_version:
                return result.Ok(found)
            if ends_at - anyio.current_time() < _LEAST_WATCH_S:
                return result.Ok(None)

    async def _watch_once(
        self, key: str, after: int, wait_s: float
    ) -> result.Result[
        tuple[client.StoredObject | None, int], errors.StoreUnavailable
    ]:
        """Makes one call; the object and the version to go on from.

        A watch cannot continue from a version of another era, since its
        revision may have been given out again; the object is read instead.
        """
        if not self._is_of_known_era(after):
            return await self._read_with_version(key)
        kind, _, name = key.partition("/")
        query = urllib.parse.urlencode(
            {
                "watch": versions.revision_of(after),
                "waitMs": int(wait_s * 1_000),
            }
        )
        answer = await self._call(
            key,
            "GET",
            f"{self._base}{kind}?{query}",
            wait_s=wait_s,
            max_bytes=self._max_list_bytes,
        )
        if answer.is_err():
            if isinstance(answer.err_value, errors.StoreResponseTooLarge):
                # It has many versions of the object, and would again.
                return await self._read_with_version(key)
            return answer
        is_outdated = not self._is_of_known_era(after)
        if answer.ok_value.status == _GONE or is_outdated:
            return await self._read_with_version(key)
        if answer.ok_value.status != _OK:
            return result.Err(_unexpected(key, answer.ok_value.status))
        text = answer.ok_value.read()
        parsed = await self._objects.parse_events(key, text)
        return parsed.map_err(lambda error: calls.failed(key, error)).map(
            lambda events: (
                self._latest(key, name, events),
                max(after, self._version(events.currentRev)),
            )
        )

    async def _read_with_version(
        self, key: str
    ) -> result.Result[
        tuple[client.StoredObject | None, int], errors.StoreUnavailable
    ]:
        """Reads an object and the version of the store at that moment."""
        kind, _, name = key.partition("/")
        answer = await self._call(
            key, "GET", self._base + kind, max_bytes=self._max_list_bytes
        )
        if answer.is_err():
            return answer
        page = await self._parse_page(key, answer.ok_value)
        if page.is_err():
            return page
        found = None
        for item in page.ok_value.items:
            if item.metadata.name == name:
                found = self._stored(key, item)
        return result.Ok((found, self._version(page.ok_value.currentRev)))

    async def list(
        self, prefix: str
    ) -> result.Result[
        tuple[client.StoredObject, ...], errors.StoreUnavailable
    ]:
        """Reads all objects whose key starts with the prefix."""
        kind, _, name_prefix = prefix.partition("/")
        found: list[client.StoredObject] = []
        after = ""
        for _ in range(_MAX_PAGES):
            parameters = dict(_ALLOW_STALE)
            if after:
                parameters["after"] = after
            query = urllib.parse.urlencode(parameters)
            answer = await self._call(
                prefix,
                "GET",
                f"{self._base}{kind}?{query}",
                max_bytes=self._max_list_bytes,
            )
            if answer.is_err():
                return answer
            if answer.ok_value.status == _NOT_FOUND:
                break
            page = await self._parse_page(prefix, answer.ok_value)
            if page.is_err():
                return page
            found += [
                self._stored(f"{kind}/{each.metadata.name}", each)
                for each in page.ok_value.items
            ]
            after = page.ok_value.last_name
            if not page.ok_value.hasMore or not after:
                break
        wanted = f"{kind}/{name_prefix}"
        return result.Ok(tuple(o for o in found if o.key.startswith(wanted)))

    def _stored(self, key: str, found: objects.Object) -> client.StoredObject:
        value = json.dumps(found.spec).encode()
        return client.StoredObject(
            key, value, self._version(found.metadata.revision)
        )

    def _latest(
        self, key: str, name: str, found: objects.Events
    ) -> client.StoredObject | None:
        latest = None
        for event in found.events:
            if event.object.metadata.name == name and not event.deleted:
                latest = self._stored(key, event.object)
        return latest

    def _parse_object(
        self, key: str, response: httpcore.Response
    ) -> result.Result[objects.Object, errors.StoreUnavailable]:
        if response.status not in (_OK, _CREATED):
            return result.Err(_unexpected(key, response.status))
        parsed = self._objects.parse_object(response.read())
        return parsed.map_err(lambda error: calls.failed(key, error))

    async def _parse_page(
        self, key: str, response: httpcore.Response
    ) -> result.Result[objects.Page, errors.StoreUnavailable]:
        if response.status != _OK:
            return result.Err(_unexpected(key, response.status))
        parsed = await self._objects.parse_page(key, response.read())
        return parsed.map_err(lambda error: calls.failed(key, error))


def _unexpected(key: str, status: int) -> errors.StoreUnavailable:
    return errors.StoreUnavailable(key, f"status {status}")
