"""Tests of versions in the answers of the object API."""

import httpcore
import pytest

from medlardoor import errors
from medlardoor.store import http


@pytest.mark.parametrize("digits", [19, 400, 4_400])
def test_version_out_of_range_is_an_error_of_the_store(digits):
    """One answer of the store raised in the task that reads documents."""
    response = httpcore.Response(
        200, headers=[("ETag", '"' + "9" * digits + '"')], content=b"{}"
    )
    found = http._parse_version("config/main", response)
    assert isinstance(found.err_value, errors.StoreUnavailable)


@pytest.mark.parametrize("text", ["7", '"7"'])
def test_version_is_read_with_and_without_quotes(text):
    """A version in quotes, or without them, is refused."""
    response = httpcore.Response(200, headers=[("ETag", text)], content=b"")
    assert http._parse_version("config/main", response).unwrap() == 7
