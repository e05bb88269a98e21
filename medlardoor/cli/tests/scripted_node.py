"""A node's administration API that answers from a script."""

import contextlib
import dataclasses
import http.server
import json
import threading

__all__ = ["LOST", "ScriptedNode", "serve"]

# In the place of an answer: the connection is closed without one.
LOST = None


@dataclasses.dataclass
class ScriptedNode:
    """What a scripted node answers and has received.

    Attributes:
        url: Address of the node.
        answers: Answers by method and path, each a list of status and value;
            the last one is repeated.
        requests: Method, path, headers and body of every request.
    """

    url: str = ""
    answers: dict[str, list] = dataclasses.field(default_factory=dict)
    requests: list[tuple] = dataclasses.field(default_factory=list)

    def bodies(self, name):
        """Bodies of the requests to one method and path."""
        return [body for found, _, body in self.requests if found == name]


def _handler(node):
    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self):  # noqa: N802
            self._answer()

        do_POST = do_GET  # noqa: N815

        def _answer(self):
            name = f"{self.command} {self.path}"
            length = int(self.headers.get("Content-Length", 0))
            body = self.rfile.read(length).decode()
            node.requests.append((name, dict(self.headers), body))
            script = node.answers.get(name, [(404, {"title": "no such path"})])
            answer = script.pop(0) if len(script) > 1 else script[0]
            if answer is LOST:
                self.close_connection = True
                return
            status, value = answer
            content = json.dumps(value).encode()
            self.send_response(status)
            self.send_header("Content-Length", str(len(content)))
            self.end_headers()
            self.wfile.write(content)

        def log_message(self, *_args):
            """Keeps the test output free of request lines."""

    return Handler


@contextlib.contextmanager
def serve(answers):
    """Runs a scripted node on a port that the kernel chooses."""
    node = ScriptedNode(answers=answers)
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), _handler(node))
    node.url = f"http://127.0.0.1:{server.server_address[1]}"
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    try:
        yield node
    finally:
        server.shutdown()
        thread.join()
        server.server_close()
