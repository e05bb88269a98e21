"""Tests of the load client."""

import json

import anyio
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

    async def exchange(self, address, message, timeout_s):
        self.messages.append(message)
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
