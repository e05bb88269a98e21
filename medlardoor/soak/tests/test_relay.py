"""Tests of the faults of the relay."""

import asyncio
import contextlib

import pytest

from medlardoor.soak import relay

pytestmark = pytest.mark.anyio

HOST = "127.0.0.1"


@pytest.fixture
def anyio_backend():
    return "asyncio"


@contextlib.asynccontextmanager
async def _relayed():
    async def echo(reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(100):
                writer.write(data)

    server = await asyncio.start_server(echo, HOST, 0)
    made = relay.Relay(server.sockets[0].getsockname())
    await made.listen(HOST, 0)
    port = made._server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(b"a")
        assert await reader.read(1) == b"a"
        yield made, reader, writer, port
    finally:
        writer.close()
        made.close()
        server.close()


async def test_silenced_connection_stays_open():
    """A connection that stops working without a reset is never played."""
    async with _relayed() as (made, reader, writer, port):
        made.silence()
        writer.write(b"b")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.05)
        new_reader, new_writer = await asyncio.open_connection(HOST, port)
        new_writer.write(b"c")
        assert await asyncio.wait_for(new_reader.read(1), 1.0) == b"c"
        new_writer.close()


async def test_silence_loses_bytes_for_good():
    """A silenced connection works again after the fault."""
    async with _relayed() as (made, reader, writer, port):
        made.fault = relay.RelayFault.SILENT
        writer.write(b"b")
        await asyncio.sleep(0.05)
        made.fault = relay.RelayFault.NONE
        writer.write(b"c")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.1)
        second_reader, second = await asyncio.open_connection(HOST, port)
        second.write(b"d")
        assert await asyncio.wait_for(second_reader.read(1), 1.0) == b"d"
        second.close()


async def test_reset_ends_connections():
    """A reset leaves connections open."""
    async with _relayed() as (made, reader, writer, _port):
        made.reset()
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.readexactly(1), 1.0)


async def test_refused_connection_is_reset():
    """A refused connection is accepted and stays silent."""
    async with _relayed() as (made, _reader, _writer, port):
        made.fault = relay.RelayFault.REFUSE
        reader, writer = await asyncio.open_connection(HOST, port)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await asyncio.wait_for(reader.readexactly(1), 1.0)
        writer.close()


async def test_delayed_bytes_arrive():
    """Delayed bytes are lost."""
    async with _relayed() as (made, reader, writer, _port):
        made.fault = relay.RelayFault.DELAY
        begun = asyncio.get_running_loop().time()
        writer.write(b"e")
        assert await asyncio.wait_for(reader.read(1), 2.0) == b"e"
        assert asyncio.get_running_loop().time() - begun >= relay.DELAY_S
