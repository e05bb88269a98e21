"""Tests of the harness that runs nodes and upstreams in one process."""

import socket

import pytest

from medlardoor.mesh.tests import group

pytestmark = pytest.mark.anyio


async def test_ended_group_frees_its_addresses():
    """A later group could not listen: an ended one still used its network."""
    async with group.run_group() as nodes:
        addresses = [
            address
            for member in nodes.members.values()
            for address in (
                member.settings.upstream,
                member.settings.caller_address,
                member.settings.link_address,
            )
        ]
    for address in addresses:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((address.host, address.port))
