"""Tests of the threads of a node process."""

import asyncio

from medlardoor.platform.tests import node_process


def test_node_runs_in_one_thread(tmp_path):
    """Threads for address look-ups, of which a node makes none, take turns.

    Each thread has a stack, and a thread that gives way at the wrong moment
    may hold up the event loop.
    """

    async def main():
        async with node_process.run_node(tmp_path) as node:
            assert node.count_threads() == 1

    asyncio.run(main())
