"""Service-level burn: bad share divided by the share that is allowed."""

import collections.abc
import typing

import pydantic
import result

from medlardoor import errors
from medlardoor.blackboard import board as board_module
from medlardoor.report import windows

__all__ = [
    "BurnReport",
    "KindBurn",
    "SpanBurn",
    "format_text",
    "kind_burn",
    "merge_reports",
    "parse_report",
    "report_of",
    "to_json",
]

# The histogram of one span takes a few hundred bytes; a report of a node is
# bounded before it is decoded.
MAX_HISTOGRAM_CHARACTERS = 65_536
MAX_KINDS = 1_000
SLOW_PERCENTILE = 99.0


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(
        extra="ignore", frozen=True, allow_inf_nan=False
    )


class SpanBurn(_Model):
    """Burn over one window of an objective.

    `burn` is 1 when exactly the allowed share of requests is bad, so that
    the error budget lasts just as long as it has to. `latency` is an encoded
    histogram, in units of 100 µs.
    """

    span_s: int
    total: int = pydantic.Field(ge=0)
    bad: int = pydantic.Field(ge=0)
    burn: float = pydantic.Field(ge=0)
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    latency: str = pydantic.Field(max_length=MAX_HISTOGRAM_CHARACTERS)


class KindBurn(_Model):
    """Burn of one kind."""

    team: str
    kind: str
    availability: float = pydantic.Field(gt=0, lt=1)
    latency_ms: int
    short: SpanBurn
    long: SpanBurn


class BurnReport(_Model):
    """Burn as one node or several nodes report it."""

    instances: list[str]
    kinds: list[KindBurn] = pydantic.Field(max_length=MAX_KINDS)


def report_of(board: board_module.Blackboard, now: float) -> BurnReport:
    """Burn of all kinds that a node has seen.

    Args:
        board: Shared state of the node.
        now: Current time, in seconds.
    """
    kinds = [
        kind_burn(board, name, now)
        for name in sorted(board.outcomes.histograms)
    ]
    return BurnReport(
        instances=[board.instance],
        kinds=[kind for kind in kinds if kind is not None],
    )


def kind_burn(
    board: board_module.Blackboard, name: str, now: float
) -> KindBurn | None:
    """Burn of one kind; None if the document in force has no such kind.

    It takes about 7 ms, so a node does other work between two kinds.
    """
    policy = board.policy.policy
    kind = policy.kinds.get(name) if policy else None
    found = board.outcomes.histograms.get(name)
    if kind is None or found is None:
        return None
    objective = found.objective
    share = objective.availability
    return KindBurn(
        team=kind.team,
        kind=name,
        availability=share,
        latency_ms=objective.latency_ms,
        short=_span_burn(
            objective.window_short_s, share, found.short_totals(now)
        ),
        long=_span_burn(objective.window_long_s, share, found.long_totals(now)),
    )


def _span_burn(
    span_s: int, availability: float, totals: windows.WindowTotals
) -> SpanBurn:
    bad_share = totals.bad / totals.total if totals.total else 0.0
    return SpanBurn(
        span_s=span_s,
        total=totals.total,
        bad=totals.bad,
        burn=round(bad_share / (1 - availability), 3),
        p50_ms=windows.latency_ms(totals.latency, 50.0),
        p99_ms=windows.latency_ms(totals.latency, SLOW_PERCENTILE),
        latency=windows.encode_histogram(totals.latency),
    )


def parse_report(
    source: str, body: bytes
) -> result.Result[BurnReport, errors.InvalidInput]:
    """Checks the report of a node.

    Args:
        source: Name of the node, for the failure.
        body: Body of ``GET /v1/burn``.
    """
    try:
        report = BurnReport.model_validate_json(body)
    except pydantic.ValidationError as error:
        faults = tuple(
            errors.Fault(".".join(["$", *map(str, row["loc"])]), 0, row["msg"])
            for row in error.errors()
        )
        return result.Err(errors.InvalidInput(source, faults))
    for kind in report.kinds:
        for span in (kind.short, kind.long):
            if _decode(span.latency) is None:
                fault = errors.Fault(
                    f"$.kinds.{kind.kind}", 0, "an encoded histogram"
                )
                return result.Err(errors.InvalidInput(source, (fault,)))
    return result.Ok(report)


def _decode(text):
    try:
        return windows.decode_histogram(text)
    except Exception:  # The codec has no common base of its exceptions.
        return None


def merge_reports(
    reports: collections.abc.Sequence[BurnReport],
) -> BurnReport:
    """Merges checked reports of several nodes.

    The objective is that of the first report of a kind: nodes agree on the
    document within seconds.
    """
    by_kind: dict[str, list[KindBurn]] = {}
    instances = []
    for report in reports:
        instances += report.instances
        for kind in report.kinds:
            by_kind.setdefault(kind.kind, []).append(kind)
    merged = [
        rows[0].model_copy(
            update={
                "short": _merge_spans([r.short for r in rows], rows[0]),
                "long": _merge_spans([r.long for r in rows], rows[0]),
            }
        )
        for _, rows in sorted(by_kind.items())
    ]
    return BurnReport(instances=instances, kinds=merged)


def _merge_spans(spans: list[SpanBurn], kind: KindBurn) -> SpanBurn:
    latency = windows.new_histogram()
    for span in spans:
        latency.add(windows.decode_histogram(span.latency))
    totals = windows.WindowTotals(
        sum(span.total for span in spans),
        sum(span.bad for span in spans),
        latency,
    )
    return _span_burn(spans[0].span_s, kind.availability, totals)


def format_text(report: BurnReport) -> str:
    """Writes a report as lines of at most 60 characters."""
    lines = [f"burn on {len(report.instances)} node(s); 1.0 is allowed"]
    for kind in report.kinds:
        lines.append(f"{kind.kind} ({kind.team})")
        lines += [_format_span(span) for span in (kind.short, kind.long)]
    return "\n".join(lines)


def _format_span(span: SpanBurn) -> str:
    counts = f"{span.bad} of {span.total} bad"
    return (
        f"  {_duration(span.span_s):>5} {span.burn:8.2f}  {counts}, "
        f"p99 {span.p99_ms:.0f} ms"
    )


def _duration(seconds: int) -> str:
    for unit, length in (("d", 86_400), ("h", 3_600), ("min", 60)):
        if seconds >= length and seconds % length == 0:
            return f"{seconds // length}{unit}"
    return f"{seconds}s"


def to_json(report: BurnReport) -> dict[str, typing.Any]:
    """Gives a report as plain data for a JSON answer."""
    return report.model_dump(mode="json")
