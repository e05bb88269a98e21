"""Differences between two policies, for operators."""

import dataclasses
import textwrap

from medlardoor.config import policy

__all__ = ["LINE_WIDTH", "Difference", "compare", "format_lines"]

# A line of this length fits a phone held sideways.
LINE_WIDTH = 60
INDENT = "  "

_OBJECTIVE_FIELDS = (
    "availability",
    "latency_ms",
    "window_short_s",
    "window_long_s",
)
# The rank is left out: it follows from the order of the classes, and one new
# class would otherwise be shown as a change of every kind above it.
_KIND_FIELDS = (
    "team",
    "importance_class",
    "service",
    "method",
    "path_prefix",
    "idempotent",
    "weight",
    "retry_budget",
    "max_wait_ms",
    "timeout_ms",
)
_SERVICE_FIELDS = ("max_queue", "slots", "ramp_s")


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One difference between two policies.

    Attributes:
        path: What differs, such as ``kinds.order.retry_budget``.
        old: Old value as text; None if it is new.
        new: New value as text; None if it is removed.
    """

    path: str
    old: str | None
    new: str | None


def _show(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return f"{value:.12g}"
    if isinstance(value, tuple):
        return " > ".join(str(item) for item in value)
    return str(value)


def _kind_values(kind: policy.Kind) -> dict[str, str]:
    values = {name: _show(getattr(kind, name)) for name in _KIND_FIELDS}
    for name in _OBJECTIVE_FIELDS:
        values[f"objective.{name}"] = _show(getattr(kind.objective, name))
    return values


def _service_values(service: policy.ServicePolicy) -> dict[str, str]:
    return {name: _show(getattr(service, name)) for name in _SERVICE_FIELDS}


def _compare_entries(
    prefix: str, old: dict[str, dict[str, str]], new: dict[str, dict[str, str]]
) -> list[Difference]:
    """Compares named entries; a new or removed one is one difference."""
    found = []
    for name in sorted(old.keys() | new.keys()):
        path = f"{prefix}.{name}"
        before = old.get(name)
        after = new.get(name)
        if before is None or after is None:
            found.append(
                Difference(
                    path,
                    None if before is None else _summary(before),
                    None if after is None else _summary(after),
                )
            )
            continue
        found += [
            Difference(f"{path}.{key}", before[key], after[key])
            for key in before
            if before[key] != after[key]
        ]
    return found


def _summary(values: dict[str, str]) -> str:
    return ", ".join(f"{key} {value}" for key, value in values.items())


def compare(
    old: policy.Policy | None, new: policy.Policy | None
) -> tuple[Difference, ...]:
    """Lists what differs between two policies.

    Args:
        old: Policy before the change; None if there was none.
        new: Policy after the change; None if there is none any more.

    Returns:
        Differences: environment and classes, then services, then kinds by
        name. Comments and the order of keys make no difference.
    """
    found = []
    for name in ("environment", "importance_classes"):
        before = None if old is None else _show(getattr(old, name))
        after = None if new is None else _show(getattr(new, name))
        if before != after:
            found.append(Difference(name, before, after))
    found += _compare_entries(
        "services", _all_services(old), _all_services(new)
    )
    found += _compare_entries("kinds", _all_kinds(old), _all_kinds(new))
    return tuple(found)


def _all_services(
    found: policy.Policy | None,
) -> dict[str, dict[str, str]]:
    if found is None:
        return {}
    return {
        name: _service_values(service)
        for name, service in found.services.items()
    }


def _all_kinds(found: policy.Policy | None) -> dict[str, dict[str, str]]:
    if found is None:
        return {}
    return {name: _kind_values(kind) for name, kind in found.kinds.items()}


def _wrap(text: str, indent: str, width: int) -> list[str]:
    return textwrap.wrap(
        text, width, initial_indent=indent, subsequent_indent=indent
    ) or [indent]


def format_lines(
    differences: tuple[Difference, ...], width: int = LINE_WIDTH
) -> list[str]:
    """Writes differences as lines of at most `width` characters.

    The first line of a difference has ``+`` (new), ``-`` (removed) or ``~``
    (changed) and the path; the values follow, indented.
    """
    lines = []
    for difference in differences:
        if difference.old is None:
            mark, value = "+", f"{difference.new}"
        elif difference.new is None:
            mark, value = "-", f"was {difference.old}"
        else:
            mark, value = "~", f"{difference.old} -> {difference.new}"
        lines += _wrap(f"{mark} {difference.path}", "", width)
        lines += _wrap(value, INDENT, width)
    return lines
