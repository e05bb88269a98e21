"""Tests of the relay between a node and its upstream or the platform."""

import anyio
import pytest

from medlardoor.standins import relay as relay_module


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def _echo(stream):
    async with stream:
        async for data in stream:
            await stream.send(data)


async def _exchange(port):
    """Sends one byte; whether it came back."""
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        try:
            await stream.send(b"x")
            return await stream.receive() == b"x"
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return False


async def _listen(group, handler):
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    group.start_soon(listener.serve, handler)
    return listener.extra(anyio.abc.SocketAttribute.local_port)


@pytest.mark.anyio
async def test_cut_breaks_open_and_new_connections():
    """A scenario says that a connection was cut, and it never was."""
    with anyio.fail_after(10):
        async with anyio.create_task_group() as group:
            relay = relay_module.Relay(await _listen(group, _echo))
            port = await _listen(group, relay.handle)
            assert await _exchange(port)
            async with await anyio.connect_tcp("127.0.0.1", port) as opened:
                await opened.send(b"x")
                assert await opened.receive() == b"x"
                relay.set_cut(True)
                with pytest.raises(
                    (anyio.EndOfStream, anyio.BrokenResourceError)
                ):
                    await opened.receive()
            assert not await _exchange(port)
            relay.set_cut(False)
            assert await _exchange(port)
            group.cancel_scope.cancel()
