"""Requests of runs in the form that the local upstream receives."""

from medlardoor.mesh import http_messages, runs
from medlardoor.mesh import settings as settings_module

__all__ = ["encode"]


def encode(
    run: runs.Run,
    upstream_id: str,
    left_ms: int,
    names: settings_module.HeaderNames,
) -> bytes:
    """Encodes a request.

    Args:
        run: The request.
        upstream_id: Identifier of the upstream that it is for. Another one at
            its address rejects it.
        left_ms: Time until its deadline, in milliseconds.
        names: Names of HTTP headers.
    """
    lines = run.headers + b"%b: %d\r\n%b: %b\r\n" % (
        names.deadline_ms,
        left_ms,
        names.expected_upstream,
        upstream_id.encode(),
    )
    if run.team:
        lines += b"%b: %b\r\n" % (names.team, run.team)
    return http_messages.encode_request(run.method, run.target, lines, run.body)
