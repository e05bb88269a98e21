"""HTTP server for tests that responds with raw bytes."""

import asyncio
import contextlib

from medlardoor.node.transport import transport


class ScriptedServer:
    """Server on loopback that sends the bytes that `answer` returns.

    Args:
        answer: Called with the request head and the connection number;
            returns a list of raw bytes, in which None closes the connection.
    """

    def __init__(self, answer):
        self._answer = answer
        self._writers = []
        self.heads = []
        self.open_connections = 0

    @property
    def connections(self):
        return len(self._writers)

    @contextlib.asynccontextmanager
    async def serve(self):
        server = await asyncio.start_server(self._handle, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        try:
            yield transport.Address(host, port)
        finally:
            server.close()
            for writer in self._writers:
                writer.close()

    async def _handle(self, reader, writer):
        self._writers.append(writer)
        self.open_connections += 1
        number = len(self._writers)
        with contextlib.suppress(
            ConnectionError,
            asyncio.IncompleteReadError,
            # The rest of a body that was answered early is no head.
            asyncio.LimitOverrunError,
        ):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.heads.append(head)
                for part in self._answer(head, number):
                    if part is None:
                        writer.close()
                        break
                    writer.write(part)
                    await writer.drain()
        self.open_connections -= 1
        writer.close()
