"""Counts the results of a demonstration from the stand-ins' records."""

import collections
import dataclasses
import pathlib
import typing

from medlardoor.standins import records

__all__ = ["Tally", "tally"]

BIN_S = 0.25
# A bin of arrivals counts as normal service from this share of whole answers.
NORMAL_SHARE = 0.95


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """Results of one run of the load.

    Attributes:
        calls: Requests of the load client.
        whole: Requests with the whole answer to their own request.
        refused_not_run: Requests refused and reported as not run.
        unknown: Requests whose run is in doubt for the caller.
        failed: Requests with another failure.
        wrong_answer: Requests with a wrong or incomplete answer.
        refused_but_run: Requests reported as not run that did run.
        orders: Orders that the callers sent.
        orders_whole: Orders with a whole answer.
        orders_run_twice: Orders that the order service started twice.
        retries_max_per_request: Most repeated runs of calls of one request,
            over all services.
        recovery_s: Time from the end of overload until the share of whole
            answers stays normal, in seconds; None if it never does.
        goodput: Weighted requests answered whole, orders once.
        wasted_share: Share of the deepest service's run time spent on
            requests without a whole answer.
        whole_share: Share of whole answers by kind.
    """

    calls: int
    whole: int
    refused_not_run: int
    unknown: int
    failed: int
    wrong_answer: int
    refused_but_run: int
    orders: int
    orders_whole: int
    orders_run_twice: int
    retries_max_per_request: int
    recovery_s: float | None
    goodput: float
    wasted_share: float
    whole_share: dict[str, float]


def tally(
    load_record: pathlib.Path,
    upstream_records: dict[str, list[pathlib.Path]],
    weights: dict[str, float],
    overload_phase: str,
    order_kinds: frozenset[str],
) -> Tally:
    """Counts the results of one run.

    Args:
        load_record: Record of the load client.
        upstream_records: Records of the upstreams by service, in the order
            of the chain.
        weights: Weight by kind.
        overload_phase: Name of the phase of overload.
        order_kinds: Kinds that must not run twice. Requests of other kinds
            may have a key too, from an answer that refused them.
    """
    rows = records.read_records(load_record)
    requests = [row for row in rows if row["event"] == "request"]
    upstreams = {
        service: [row for path in paths for row in records.read_records(path)]
        for service, paths in upstream_records.items()
    }
    outcomes = collections.Counter(row["outcome"] for row in requests)
    known = {row["id"] for row in requests}
    starts = _starts(upstreams, known)
    orders = [row for row in requests if row["kind"] in order_kinds]
    twice = _keys_run_twice(
        next(iter(upstreams.values())), {row["id"] for row in orders}
    )
    return Tally(
        calls=len(requests),
        whole=outcomes["whole"],
        refused_not_run=outcomes["refused_not_run"],
        unknown=outcomes["unknown"],
        failed=outcomes["failed"],
        wrong_answer=outcomes["wrong_answer"],
        refused_but_run=_refused_but_run(requests, starts),
        orders=len(orders),
        orders_whole=sum(row["outcome"] == "whole" for row in orders),
        orders_run_twice=len(twice),
        retries_max_per_request=_retries_max(starts),
        recovery_s=_recovery_s(rows, requests, overload_phase),
        goodput=sum(
            weights[row["kind"]]
            for row in requests
            if row["outcome"] == "whole" and row["key"] not in twice
        ),
        wasted_share=_wasted_share(list(upstreams.values())[-1], requests),
        whole_share=_whole_share(requests),
    )


def _root_id(request_id):
    """Id of the caller's request that a call belongs to."""
    return request_id.split("/", 1)[0]


def _starts(upstreams, known):
    """Number of runs by service and request id.

    Only requests of the load client count, not those that were sent before
    to find out whether the chain is ready.
    """
    return collections.Counter(
        (service, row["id"])
        for service, rows in upstreams.items()
        for row in rows
        if row["event"] == "start" and _root_id(row["id"]) in known
    )


def _keys_run_twice(rows, order_ids):
    runs = collections.Counter(
        row["key"]
        for row in rows
        if row["event"] == "start" and row["key"] and row["id"] in order_ids
    )
    return {key for key, count in runs.items() if count > 1}


def _refused_but_run(requests, starts):
    run = {_root_id(request_id) for _, request_id in starts}
    return sum(
        row["outcome"] == "refused_not_run" and row["id"] in run
        for row in requests
    )


def _retries_max(starts):
    retries = collections.Counter()
    for (_, request_id), count in starts.items():
        retries[_root_id(request_id)] += count - 1
    return max(retries.values(), default=0)


def _arrival_ms(row):
    return row["t_ms"] - row["latency_ms"]


def _recovery_s(rows, requests, overload_phase):
    marks = [row for row in rows if row["event"] == "phase"]
    names = [row["phase"] for row in marks]
    if overload_phase not in names:
        return None
    began = names.index(overload_phase) + 1
    ended_ms, last_ms = marks[began]["t_ms"], marks[-1]["t_ms"]
    bins = collections.defaultdict(list)
    for row in requests:
        after_s = (_arrival_ms(row) - ended_ms) / 1_000
        if after_s >= 0:
            bins[int(after_s / BIN_S)].append(row["outcome"] == "whole")
    bad = [
        number
        for number, whole in bins.items()
        if sum(whole) < NORMAL_SHARE * len(whole)
    ]
    recovered_s = (max(bad, default=-1) + 1) * BIN_S
    left_s = (last_ms - ended_ms) / 1_000 - recovered_s
    return recovered_s if left_s > BIN_S else None


def _wasted_share(rows, requests):
    whole = {row["id"] for row in requests if row["outcome"] == "whole"}
    began: dict[str, list[float]] = collections.defaultdict(list)
    spent: typing.Counter = collections.Counter()
    for row in rows:
        if row["event"] == "start":
            began[row["id"]].append(row["t_ms"])
        elif row["event"] == "end" and began[row["id"]]:
            useful = row["end"] == "answered" and _root_id(row["id"]) in whole
            spent[useful] += row["t_ms"] - began[row["id"]].pop(0)
    total = spent[True] + spent[False]
    return round(spent[False] / total, 4) if total else 0.0


def _whole_share(requests):
    sent = collections.Counter(row["kind"] for row in requests)
    whole = collections.Counter(
        row["kind"] for row in requests if row["outcome"] == "whole"
    )
    return {kind: round(whole[kind] / sent[kind], 4) for kind in sent}
