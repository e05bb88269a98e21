"""HTTP client of the platform's object API."""

import re
import urllib.parse

import httpcore
import pydantic
import result

from medlardoor import errors
from medlardoor.config import settings as settings_module
from medlardoor.store import calls, client

__all__ = ["HttpObjectStore"]

_OK = 200
_NOT_MODIFIED = 304
_NOT_FOUND = 404
_PRECONDITION_FAILED = 412
# A list response encodes many values in base64, so it may be longer than one
# value.
_MAX_LIST_BYTES = 8 * client.MAX_VALUE_BYTES


# A number that messages between nodes can carry.
_VERSION = re.compile(rb'"*[0-9]{1,18}"*')


class _ListedObject(pydantic.BaseModel):
    key: str
    version: int
    value: pydantic.Base64Bytes


class _Listing(pydantic.BaseModel):
    objects: tuple[_ListedObject, ...]


class HttpObjectStore(client.ObjectStore):
    """HTTP client that reports every transport error as `StoreUnavailable`.

    Args:
        settings: URL of the object API and timeout of its calls.
    """

    def __init__(self, settings: settings_module.StoreSettings):
        self._base_url = settings.url.rstrip("/")
        self._caller = calls.StoreCaller(settings.timeout_s)

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._caller.aclose()

    async def read(
        self, key: str
    ) -> result.Result[client.StoredObject | None, errors.StoreUnavailable]:
        """Reads an object; returns None if the key does not exist."""
        call_result = await self._caller.call(key, "GET", self._object_url(key))
        return call_result.and_then(
            lambda response: _parse_object(key, response)
        )

    async def update(
        self, key: str, value: bytes, expected_version: int
    ) -> result.Result[int, errors.StoreUnavailable | errors.StoreConflict]:
        """Writes an object if its version equals `expected_version`."""
        if len(value) > client.MAX_VALUE_BYTES:
            return result.Err(client.too_large(key, len(value)))
        headers = {"If-None-Match": "*"}
        if expected_version > 0:
            headers = {"If-Match": f'"{expected_version}"'}
        call_result = await self._caller.call(
            key, "PUT", self._object_url(key), headers=headers, body=value
        )
        if call_result.is_err():
            return call_result
        response = call_result.ok_value
        if response.status == _PRECONDITION_FAILED:
            return result.Err(errors.StoreConflict(key, expected_version))
        if response.status != _OK:
            return result.Err(_unexpected_status(key, response))
        return _parse_version(key, response)

    async def watch(
        self, key: str, after_version: int, wait_s: float
    ) -> result.Result[client.StoredObject | None, errors.StoreUnavailable]:
        """Waits for a newer version; returns None after `wait_s`."""
        query = urllib.parse.urlencode(
            {"watch": after_version, "wait_s": wait_s}
        )
        call_result = await self._caller.call(
            key, "GET", f"{self._object_url(key)}?{query}", wait_s=wait_s
        )
        return call_result.and_then(
            lambda response: _parse_object(key, response)
        )

    async def list(
        self, prefix: str
    ) -> result.Result[
        tuple[client.StoredObject, ...], errors.StoreUnavailable
    ]:
        """Reads all objects whose key starts with the prefix."""
        query = urllib.parse.urlencode({"prefix": prefix})
        call_result = await self._caller.call(
            prefix,
            "GET",
            f"{self._base_url}/v1/objects?{query}",
            max_bytes=_MAX_LIST_BYTES,
        )
        return call_result.and_then(
            lambda response: _parse_listing(prefix, response)
        )

    async def delete(
        self, key: str
    ) -> result.Result[None, errors.StoreUnavailable]:
        """Removes an object; succeeds if the object does not exist."""
        call_result = await self._caller.call(
            key, "DELETE", self._object_url(key)
        )
        if call_result.is_err():
            return call_result
        if call_result.ok_value.status not in (_OK, _NOT_FOUND):
            return result.Err(_unexpected_status(key, call_result.ok_value))
        return result.Ok(None)

    def _object_url(self, key: str) -> str:
        return f"{self._base_url}/v1/objects/{urllib.parse.quote(key)}"


def _parse_object(
    key: str, response: httpcore.Response
) -> result.Result[client.StoredObject | None, errors.StoreUnavailable]:
    if response.status in (_NOT_FOUND, _NOT_MODIFIED):
        return result.Ok(None)
    if response.status != _OK:
        return result.Err(_unexpected_status(key, response))
    version = _parse_version(key, response)
    return version.map(
        lambda number: client.StoredObject(key, response.read(), number)
    )


def _parse_listing(
    prefix: str, response: httpcore.Response
) -> result.Result[tuple[client.StoredObject, ...], errors.StoreUnavailable]:
    if response.status != _OK:
        return result.Err(_unexpected_status(prefix, response))
    try:
        listing = _Listing.model_validate_json(response.read())
    except pydantic.ValidationError as error:
        return result.Err(calls.failed(prefix, error))
    return result.Ok(
        tuple(
            client.StoredObject(entry.key, entry.value, entry.version)
            for entry in listing.objects
        )
    )


def _parse_version(
    key: str, response: httpcore.Response
) -> result.Result[int, errors.StoreUnavailable]:
    for name, value in response.headers:
        if name.lower() == b"etag" and _VERSION.fullmatch(value):
            return result.Ok(int(value.strip(b'"')))
    return result.Err(
        errors.StoreUnavailable(
            key, "response has no ETag header with a valid version number"
        )
    )


def _unexpected_status(
    key: str, response: httpcore.Response
) -> errors.StoreUnavailable:
    return errors.StoreUnavailable(key, f"unexpected status {response.status}")
