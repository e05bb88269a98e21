"""Fixtures shared by the tests of the mesh package."""

import pytest

from medlardoor.mesh.tests import group as group_module


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def group():
    async with group_module.run_group() as group:
        yield group
