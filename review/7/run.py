"""A node is stopped while callers still read the answers of a pipeline."""

import asyncio
import collections
import contextlib
import pathlib
import re
import signal
import socket
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

import world as world_module  # noqa: E402

CLIENTS = 8
# Requests that a client sends before the first one is answered, and the size
# of an answer.
REQUESTS = 6
SIZE = 30_000
# Bytes a second that a client reads, and its pause between further requests.
READ_RATE = 100_000
RECEIVE_BUFFER = 32_768
FURTHER_PAUSE_S = 0.1
GRACE_S = 6.0


class Client:
    """A client that sends safe requests without waiting for answers.

    It stops when it has read ``Connection: close``.
    """

    def __init__(self, world, machine):
        self._world = world
        self._machine = machine
        self._received = b""
        self.sent = []
        self.whole = []

    async def run(self, requests):
        """Sends requests and reads all answers until the connection ends."""
        loop = asyncio.get_running_loop()
        self._socket = socket.socket()
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER
        )
        self._socket.setblocking(False)
        await loop.sock_connect(
            self._socket, (self._machine.ip, self._machine.port("outbound"))
        )
        for _ in range(requests):
            self._send(work_ms=1_000)
        further = asyncio.create_task(self._send_further())
        end = "all answered"
        try:
            while len(self.whole) < len(self.sent):
                async with asyncio.timeout(5.0):
                    data = await loop.sock_recv(self._socket, 8_192)
                if not data:
                    end = "end of stream"
                    break
                self._received += data
                self._take_answers()
                await asyncio.sleep(len(data) / READ_RATE)
        except (OSError, TimeoutError) as error:
            end = repr(error)
        further.cancel()
        self._socket.close()
        self._world.record(
            "connection-end",
            how=end,
            sent=len(self.sent),
            whole=len(self.whole),
            rest=len(self._received),
        )

    def _send(self, work_ms):
        attempt = self._world.new_id()
        self.sent.append(attempt)
        self._world.record("send", attempt=attempt)
        request = (
            f"GET /sheet/{attempt}?work={work_ms}&size={SIZE} HTTP/1.1\r\n"
            f"Host: shop.example\r\n{world_module.ID}: {attempt}\r\n"
            "X-Medlardoor-Deadline-Ms: 8000\r\n\r\n"
        )
        with contextlib.suppress(OSError):
            self._socket.sendall(request.encode())

    async def _send_further(self):
        await asyncio.sleep(1.0)
        for _ in range(2):
            await asyncio.sleep(FURTHER_PAUSE_S)
            if b"connection: close" in self._received.lower():
                return
            self._send(work_ms=50)

    def _take_answers(self):
        while (at := self._received.find(b"\r\n\r\n")) >= 0:
            head = self._received[:at].decode("latin-1")
            length = re.search(r"content-length: (\d+)", head, re.I)
            end = at + 4 + int(length[1])
            if len(self._received) < end:
                return
            attempt = re.search(rf"{world_module.ID}: (\S+)", head, re.I)
            status = int(head.split(" ")[1])
            name = attempt[1] if attempt else self.sent[len(self.whole)]
            self.whole.append(name)
            self._world.record("answer", attempt=name, status=status)
            if "connection: close" in head.lower():
                self.sent = self.sent[: len(self.whole)]
            self._received = self._received[end:]


async def case(trouble):
    """Stops a node while the answers of its callers are on their way."""
    async with world_module.World(FOLDER) as world:
        front = world.add("front-1", "front", "z1")
        world.add("sheets-1", "sheets", "z2")
        world.add("sheets-2", "sheets", "z3")
        world.write_document(
            1,
            [
                world_module.rule(
                    "sheet", "/sheet/", "sheets", "safe", timeout="8000ms"
                )
            ],
        )
        await world.start(settle_s=4.0)
        clients = [Client(world, front) for _ in range(CLIENTS)]
        tasks = [asyncio.create_task(each.run(REQUESTS)) for each in clients]
        await asyncio.sleep(0.3)
        stopped_at = time.monotonic()
        if trouble:
            front.signal(signal.SIGTERM)
        await asyncio.gather(*tasks)
        ended_after = time.monotonic() - stopped_at
        ran = collections.Counter(
            request.header(world_module.ID)
            for machine in world.machines.values()
            for _, request in machine.server.runs
        )
        lost = [
            attempt
            for client in clients
            for attempt in client.sent
            if attempt in ran and attempt not in client.whole
        ]
        for attempt in lost:
            world.record("ran-without-whole-answer", attempt=attempt)
        world.record(
            "result",
            requests_run=len(ran),
            whole_answers=sum(len(client.whole) for client in clients),
            lost=len(lost),
            last_end_after_s=f"{ended_after:.2f}",
        )
        if not ran:
            raise world_module.CannotRun("no request has run")
        if ended_after > GRACE_S + 1.0:
            raise world_module.CannotRun("the connections ended too late")
        if len(lost) > 3:
            return f"{len(lost)} requests ran and got no whole answer"
        return ""


world_module.main(case, FOLDER)
