"""Lines of the command ``explain``, written for a phone."""

from medlardoor.cli import rendering, replies

__all__ = ["WIDTH", "explanation"]

WIDTH = 60
INDENT = "  "
MILLISECONDS_PER_SECOND = 1_000

_VERDICTS = {
    "admitted": "admitted",
    "by_level": "depends on the level",
    "probe": "refused, except one probe",
    "refused": "refused",
}


def _wrap(text: str, depth: int = 0) -> list[str]:
    return rendering.paragraph(text, INDENT * depth, WIDTH)


def _decision(reply: replies.DecisionReply) -> str:
    text = _VERDICTS.get(reply.verdict, reply.verdict)
    return f"{text} ({reply.reason})" if reply.reason else text


def _range(reply: replies.LevelRangeReply) -> str:
    return f"{reply.lowest} to {reply.highest}"


def _upstream(place: int, reply: replies.UpstreamReply) -> list[str]:
    speed = "speed unknown"
    if reply.time_factor is not None:
        speed = f"work takes x{reply.time_factor:.2f}"
    expected_ms = reply.expected_s * MILLISECONDS_PER_SECOND
    notes = [
        f"busy {reply.busy}/{reply.limit}",
        speed,
        f"expected {expected_ms:.0f} ms",
    ]
    if not reply.is_preferred:
        notes.append("failing or full")
    if reply.verdict == "refused":
        notes.append(f"REFUSES below {reply.admits_from}")
    elif reply.verdict != "admitted":
        notes.append(f"refuses below {reply.admits_from}")
    return [
        *_wrap(f"{place}. {reply.instance} in {reply.failure_domain}", 1),
        *_wrap(", ".join(notes), 2),
    ]


def _service(reply: replies.ServiceReply) -> list[str]:
    lines = _wrap(
        f"service {reply.service}, {reply.share:.0%} of the requests:"
        f" {_decision(reply.decision)}"
    )
    if reply.domain_shares:
        shares = ", ".join(
            f"{domain} {share:.0%}"
            for domain, share in reply.domain_shares.items()
        )
        lines += _wrap(f"calls by failure domain: {shares}", 1)
    if not reply.upstreams:
        lines += _wrap("no usable upstream", 1)
    for place, upstream in enumerate(reply.upstreams, 1):
        lines += _upstream(place, upstream)
    return lines


def explanation(reply: replies.ExplainReply) -> list[str]:
    """Decision, route, levels, and the upstreams in their order."""
    lines = [
        *_wrap(_decision(reply.decision)),
        *_wrap(f"node {reply.instance}, document {reply.document_version}"),
        *_wrap(f"route {reply.route}: {reply.host}{reply.path_prefix}"),
        *_wrap(
            f"team {reply.team or '(none)'}, importance {reply.importance},"
            f" level {_range(reply.levels)}"
        ),
    ]
    if reply.team_rate_per_s:
        lines += _wrap(
            f"limit of the team: {reply.team_rate_per_s:g}/s, not checked", 1
        )
    lines += _wrap(
        f"path admits from {reply.path_admission_level}, calls have"
        f" {_range(reply.path_levels)}: {_decision(reply.path_decision)}"
    )
    for service in reply.services:
        lines += _service(service)
    return lines
