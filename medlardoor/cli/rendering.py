"""Lines of the operator command, written for a phone."""

import textwrap

from medlardoor import errors
from medlardoor.cli import replies
from medlardoor.config import diff

__all__ = [
    "WIDTH",
    "clean",
    "differences",
    "document_state",
    "faults",
    "history",
    "paragraph",
    "refusals",
    "status",
]

WIDTH = 40
INDENT = "  "
SECONDS_PER_MINUTE = 60
SECONDS_PER_HOUR = 3_600


def clean(text: str) -> str:
    """Replaces control characters.

    Notes and names come from other people; an escape sequence in them could
    rewrite the lines above it on the terminal.
    """
    return "".join(
        character if character.isprintable() else "?" for character in text
    )


def paragraph(text: str, indent: str = "", width: int = WIDTH) -> list[str]:
    """Wraps a sentence to the width of a phone."""
    return textwrap.wrap(
        clean(text), width, initial_indent=indent, subsequent_indent=indent
    )


def _age(seconds: float | None) -> str:
    if seconds is None:
        return "never"
    if seconds < SECONDS_PER_MINUTE:
        return f"{seconds:.0f}s"
    if seconds < SECONDS_PER_HOUR:
        return f"{seconds / SECONDS_PER_MINUTE:.0f}min"
    return f"{seconds / SECONDS_PER_HOUR:.0f}h"


def faults(
    found: tuple[errors.Fault, ...] | tuple[replies.FaultReply, ...],
) -> list[str]:
    """One paragraph for each fault: line, path and what was expected."""
    lines = [f"{len(found)} fault{'s' if len(found) != 1 else ''}"]
    for fault in found:
        place = f"line {fault.line}: " if fault.line else ""
        lines += paragraph(f"{place}{fault.path}")
        lines += paragraph(f"expected {fault.expected}", INDENT)
    return lines


def differences(found: tuple[replies.DifferenceReply, ...]) -> list[str]:
    """Differences, or a line that says that there are none."""
    if not found:
        return ["no differences"]
    typed = tuple(
        diff.Difference(
            clean(item.path),
            None if item.old is None else clean(item.old),
            None if item.new is None else clean(item.new),
        )
        for item in found
    )
    return diff.format_lines(typed, WIDTH)


def document_state(reply: replies.DocumentReply) -> list[str]:
    """Version, author and note of the documents in force."""
    lines = paragraph(f"version {reply.version} by {reply.author or '?'}")
    if reply.note:
        lines += paragraph(reply.note, INDENT)
    return lines


def status(reply: replies.StatusReply) -> list[str]:
    """State of one node and of the members that it knows."""
    lines = paragraph(f"{reply.environment} {reply.service}")
    lines += paragraph(f"{reply.instance} in {reply.failure_domain}")
    trial = ", trial set" if reply.trial else ""
    lines += paragraph(f"phase {reply.phase}")
    lines.append(f"version {reply.version}{trial}")
    lines.append(f"confirmed {_age(reply.confirmed_age_s)} ago")
    if reply.confirmed_age_s is None:
        lines[-1] = "never confirmed by the platform"
    if reply.isolated:
        lines.append("ISOLATED: refuses all requests")
    lines.append(f"limit {reply.limit}, in flight {reply.in_flight}")
    lines.append(f"queued {reply.queued}, level {reply.level}")
    lines.append(f"{len(reply.members)} members")
    for member in reply.members:
        lines += paragraph(f"{member.instance} {member.state}")
        lines += paragraph(
            f"in {member.failure_domain}, version {member.version},"
            f" level {member.level}",
            INDENT,
        )
    return lines


def history(reply: replies.HistoryReply) -> list[str]:
    """Promoted versions, newest first."""
    ordered = sorted(
        reply.entries, key=lambda entry: entry.version, reverse=True
    )
    lines = []
    for entry in ordered:
        trial = " (trial)" if entry.trial else ""
        lines += paragraph(f"{entry.version} {entry.author or '?'}{trial}")
        lines += paragraph(entry.note, INDENT)
    return lines or ["no versions"]


def refusals(reply: replies.RefusalsReply) -> list[str]:
    """Recent refusals, most frequent first."""
    ordered = sorted(
        reply.refusals, key=lambda refusal: refusal.count, reverse=True
    )
    lines = []
    for refusal in ordered:
        trial = " (trial)" if refusal.trial else ""
        lines += paragraph(
            f"{refusal.count} {refusal.team}/{refusal.kind}{trial}"
        )
        lines += paragraph(f"{refusal.reason}, {refusal.outcome}", INDENT)
        lines.append(
            f"{INDENT}{_age(refusal.first_age_s)} to"
            f" {_age(refusal.last_age_s)} ago"
        )
    return lines or ["no refusals"]
