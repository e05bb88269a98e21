"""Tests of the counts that a demonstration reports."""

import json

from medlardoor.standins import tally


def _write(path, *rows):
    path.write_text("\n".join(json.dumps(row) for row in rows))
    return path


def _request(name, at_s, outcome, key="", kind="order"):
    return {
        "event": "request",
        "id": name,
        "key": key,
        "kind": kind,
        "outcome": outcome,
        "t_ms": at_s * 1_000 + 10,
        "latency_ms": 10,
    }


def _run(name, at_ms, end="answered", key=""):
    start = {"event": "start", "id": name, "key": key, "t_ms": at_ms}
    return [start, start | {"event": "end", "end": end, "t_ms": at_ms + 10}]


def _phase(name, at_s):
    return {"event": "phase", "phase": name, "t_ms": at_s * 1_000}


def _tally(tmp_path, requests, order_runs, stock_runs=()):
    load = _write(
        tmp_path / "load",
        _phase("normal", 0),
        _phase("overload", 1),
        _phase("recovery", 2),
        *requests,
        _phase("", 6),
    )
    order = _write(tmp_path / "order", *order_runs)
    stock = _write(tmp_path / "stock", *stock_runs)
    return tally.tally(
        load,
        {"order": [order], "stock": [stock]},
        {"order": 10.0, "check": 1.0},
        "overload",
        frozenset({"order"}),
    )


def test_an_order_that_runs_twice_is_no_goodput(tmp_path):
    """A double run is hidden by a whole answer to the caller."""
    found = _tally(
        tmp_path,
        [
            _request("a", 0, "whole", "K1"),
            _request("b", 0, "whole", "K2"),
            _request("c", 0, "refused_not_run", "K3"),
            _request("d", 0, "whole", "K5", "check"),
        ],
        [
            *_run("a", 1, key="K1"),
            *_run("a", 30, key="K1"),
            *_run("b", 1, key="K2"),
            *_run("c", 1, "cancelled", key="K3"),
            *_run("d", 1, key="K5"),
            *_run("d", 5, key="K5"),
            *_run("ready-1", 1, key="K4"),
            *_run("ready-1", 2, key="K4"),
        ],
    )
    assert (found.orders_run_twice, found.goodput) == (1, 11.0)
    assert (found.refused_but_run, found.orders_whole) == (1, 2)


def test_retries_are_counted_over_the_whole_chain(tmp_path):
    """Retries at several hops of one request are counted singly."""
    found = _tally(
        tmp_path,
        [_request("a", 0, "whole"), _request("b", 0, "unknown", kind="check")],
        [*_run("a", 1), *_run("a", 20), *_run("b", 1)],
        [*_run("a/stock.1.0", 1), *_run("a/stock.1.0", 9), *_run("b/s.2", 9)],
    )
    assert found.retries_max_per_request == 2
    assert found.wasted_share == round(1 / 3, 4)
    assert found.whole_share == {"order": 1.0, "check": 0.0}


def test_recovery_lasts_until_service_stays_normal(tmp_path):
    """A short good spell between failures counts as recovered."""
    good = [_request(f"g{n}", 2 + n / 10, "whole") for n in range(39)]
    bad = [_request("x", 2.1, "failed"), _request("y", 3.3, "unknown")]
    assert _tally(tmp_path, good, []).recovery_s == 0.0
    assert _tally(tmp_path, good + bad, []).recovery_s == 1.5
    never = [*good, _request("z", 5.9, "failed")]
    assert _tally(tmp_path, never, []).recovery_s is None
