"""Tests of the load client."""

import json

import anyio
import anyio.abc
import result

from medlardoor.standins import connections, load, load_request, processes
from medlardoor.standins import records as records_module
from medlardoor.standins import settings as settings_module

FAILED = result.Err(connections.ExchangeFailed(True, "ReadError"))


class ScriptedPool(connections.ConnectionPool):
    """Gives prepared results and keeps the messages."""

    def __init__(self, *exchanges):
        super().__init__()
        self._exchanges = list(exchanges)
        self.messages = []
        self.addresses = []

    async def exchange(self, address, message, timeout_s):
        self.messages.append(message)
        self.addresses.append(address)
        return self._exchanges.pop(0)

    @property
    def keys(self):
        return [m.headers.get("Idempotency-Key") for m in self.messages]


def _answer(status, body=b"{}", **headers):
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return result.Ok(connections.Answer(status, named, body))


def _settings(**changes):
    kind = {"name": "k", "service": "s", "keyed": True, "resends": 3}
    kind |= changes.pop("kind", {})
    return settings_module.LoadSettings.model_validate(
        {
            "targets": {"s": ["127.0.0.1:1"]},
            "kinds": [kind],
            "phases": [{"name": "p", "duration_s": 1, "rates": {"k": 50}}],
        }
        | changes
    )


def _send(settings, *exchanges):
    pool = ScriptedPool(*exchanges)
    sender = load_request.RequestSender(
        settings, pool, records_module.RecordFile("")
    )
    request = load_request.Request(settings.kinds[0], "p", "r1", 0.0)
    anyio.run(sender.send, request)
    return request, pool


def test_key_of_a_428_answer_is_used_for_all_resends():
    """A resend with another key makes an order run twice."""
    request, pool = _send(
        _settings(),
        _answer(503),
        _answer(428, idempotency_key="K1", medlardoor_outcome="not-run"),
        FAILED,
        _answer(503, medlardoor_outcome="unknown"),
        _answer(409, medlardoor_outcome="not-run"),
        _answer(503, medlardoor_outcome="not-run"),
    )
    assert pool.keys == [None, None, "K1", "K1", "K1", "K1"]
    assert (request.attempts, request.outcome) == (4, "refused_not_run")


def test_uncontrolled_resends_keep_their_random_key():
    """The baseline counts two runs of one order as two orders."""
    request, pool = _send(
        _settings(controlled=False), FAILED, FAILED, FAILED, FAILED
    )
    assert len(set(pool.keys)) == 1
    assert (len(pool.keys), request.outcome) == (4, "unknown")


def test_refusal_after_a_doubtful_attempt_is_unknown():
    """A request that may have run is reported as not run."""
    settings = _settings(kind={"keyed": False, "resends": 1})
    refused = _answer(503, medlardoor_outcome="not-run")
    assert _send(settings, FAILED, refused)[0].outcome == "unknown"
    assert _send(settings, refused, refused)[0].outcome == "refused_not_run"


def test_copies_go_to_two_addresses_with_one_key():
    """Copies that are sent one after the other, or to one node, test less."""
    settings = _settings(
        kind={"twice": True, "alter_copy": True, "body_bytes": 9},
        targets={"s": ["127.0.0.1:1", "127.0.0.1:2"]},
    )
    keys = _answer(200, b'{"keys": ["k1"]}')
    lost = _answer(409, medlardoor_outcome="unknown")
    refused = _answer(503, medlardoor_outcome="not-run")
    request, pool = _send(settings, keys, *[refused, lost] * 4)
    assert pool.keys[1:] == ["k1"] * 8
    assert len({message.body for message in pool.messages[1:3]}) == 2
    assert len(set(pool.addresses[1:3])) == 2
    assert (request.outcome, request.attempts) == ("unknown", 4)


def test_slow_upload_arrives_whole_and_takes_its_time():
    """An upload that is sent at once is never in progress at a stop."""

    async def run():
        received = bytearray()

        async def serve(stream):
            async with stream:
                while not received.endswith(b"end"):
                    received.extend(await stream.receive())
                await stream.send(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                )

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        pool = connections.ConnectionPool()
        message = connections.Message(
            "PUT", "/", {}, b"." * 97 + b"end", upload_s=0.2
        )
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            began_at = anyio.current_time()
            answer = await pool.exchange(f"127.0.0.1:{port}", message, 5)
            took_s = anyio.current_time() - began_at
            group.cancel_scope.cancel()
        await pool.aclose()
        return answer, took_s, bytes(received)

    answer, took_s, received = anyio.run(run)
    assert answer.unwrap().status == 200
    assert took_s >= 0.15
    assert received.endswith(b"." * 97 + b"end")


def test_answer_to_another_request_is_not_whole():
    """A mixed-up answer is counted as goodput."""
    settings = _settings(kind={"keyed": False})
    body = json.dumps({"digest": "0" * 64, "padding": ""}).encode()
    request, _ = _send(settings, _answer(200, body))
    assert (request.outcome, request.attempts) == ("wrong_answer", 1)


def test_all_arrivals_are_sent_and_recorded(tmp_path):
    """Requests are missing from the records that results are counted from."""
    with processes.ProcessGroup(tmp_path) as group:
        upstream = group.start_with_settings(
            "s",
            ["-m", "medlardoor.cli.standins", "upstream"],
            {"service": "s", "mean_ms": 1, "drain_grace_s": 0},
        ).wait_listening()
        settings = _settings(
            controlled=False,
            targets={"s": [f"127.0.0.1:{upstream['port']}"]},
            record=str(tmp_path / "load.jsonl"),
        )

        async def run():
            return await load.LoadClient(settings).run()

        summary = anyio.run(run)
    rows = records_module.read_records(settings.record)
    ends = [row for row in rows if row["event"] == "request"]
    assert summary["outcomes"] == {"whole": len(ends)}
    assert 20 < len(ends) < 90
    assert len({row["key"] for row in ends}) == len(ends)
