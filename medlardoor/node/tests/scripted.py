"""An upstream whose responses a test writes as raw bytes."""

import contextlib
import hashlib
import json
import socketserver
import threading
import typing

__all__ = ["ScriptedUpstream"]

READ_BYTES = 65_536
_REPORT = json.dumps({"slots": 64, "start_id": "scripted"}).encode()

Script = typing.Callable[["ReceivedRequest"], None]


class ReceivedRequest:
    """A request; the script sends the response with `write`.

    Args:
        target: Path with query.
        write: Sends bytes on the connection.
        body_bytes: Length of the body.
        body_digest: SHA-256 of the body in hexadecimal.
    """

    def __init__(
        self,
        target: str,
        write: typing.Callable[[bytes], None],
        body_bytes: int,
        body_digest: str,
    ):
        self.target = target
        self.write = write
        self.body_bytes = body_bytes
        self.body_digest = body_digest

    def answer(self, body: bytes) -> None:
        """Sends a complete response."""
        self.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        self.write(body)


class ScriptedUpstream(contextlib.AbstractContextManager):
    """Server on a thread; the connection closes if the script returns True.

    Args:
        script: Responds to each request except for load reports.
    """

    def __init__(self, script: Script):
        self._server = _Server(("127.0.0.1", 0), _Handler)
        self._server.script = script
        self._thread = threading.Thread(target=self._server.serve_forever)
        self._thread.start()

    @property
    def port(self) -> int:
        """Port of the server."""
        return self._server.server_address[1]

    def __exit__(self, *exception: object) -> None:
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()


class _Server(socketserver.ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True


class _Handler(socketserver.StreamRequestHandler):
    def handle(self):
        with contextlib.suppress(OSError):
            while self._serve_one():
                pass

    def _serve_one(self):
        line = self.rfile.readline()
        if not line:
            return False
        target = line.split()[1].decode()
        headers = {}
        while (row := self.rfile.readline().strip()) != b"":
            name, _, value = row.partition(b":")
            headers[name.strip().lower()] = value.strip()
        digest = hashlib.sha256()
        size = 0
        for chunk in self._body(headers):
            digest.update(chunk)
            size += len(chunk)
        request = ReceivedRequest(
            target, self.wfile.write, size, digest.hexdigest()
        )
        if target == "/load":
            request.answer(_REPORT)
            return True
        return not self.server.script(request)

    def _body(self, headers):
        left = int(headers.get(b"content-length", 0))
        while left > 0:
            chunk = self.rfile.read(min(left, READ_BYTES))
            if not chunk:
                raise ConnectionResetError
            left -= len(chunk)
            yield chunk
        if headers.get(b"transfer-encoding") == b"chunked":
            while size := int(self.rfile.readline(), 16):
                yield self.rfile.read(size)
                self.rfile.readline()
            self.rfile.readline()
