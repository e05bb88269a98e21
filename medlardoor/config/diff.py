"""Differences between two policies, formatted for operators."""

import dataclasses
import textwrap

from medlardoor.config import policy

__all__ = ["LINE_WIDTH", "Difference", "compare", "format_lines"]

# A line of 60 characters fits a phone in landscape orientation.
LINE_WIDTH = 60
INDENT = "  "

FINGERPRINT_CHARACTERS = 8

_OBJECTIVE_FIELDS = (
    "availability",
    "latency_ms",
    "window_short_s",
    "window_long_s",
)
# The rank is omitted because it follows from the order of the classes: adding
# one class would appear as a change of every kind above it.
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
        path: Path of the value, such as ``kinds.order.retry_budget``.
        old: Old value as text; None if the value was added.
        new: New value as text; None if the value was removed.
    """

    path: str
    old: str | None
    new: str | None


def _format_value(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return f"{value:.12g}"
    if isinstance(value, tuple):
        return " > ".join(str(item) for item in value)
    return str(value)


def _kind_values(kind: policy.Kind) -> dict[str, str]:
    values = {name: _format_value(getattr(kind, name)) for name in _KIND_FIELDS}
    for name in _OBJECTIVE_FIELDS:
        values[f"objective.{name}"] = _format_value(
            getattr(kind.objective, name)
        )
    return values


def _service_values(service: policy.ServicePolicy) -> dict[str, str]:
    return {
        name: _format_value(getattr(service, name)) for name in _SERVICE_FIELDS
    }


def _compare_entries(
    prefix: str, old: dict[str, dict[str, str]], new: dict[str, dict[str, str]]
) -> list[Difference]:
    """Compares named entries; an added or removed entry is one difference."""
    found = []
    for name in sorted(old.keys() | new.keys()):
        path = f"{prefix}.{name}"
        before = old.get(name)
        after = new.get(name)
        if before is None or after is None:
            found.append(
                Difference(
                    path,
                    None if before is None else _format_entry(before),
                    None if after is None else _format_entry(after),
                )
            )
            continue
        found += [
            Difference(f"{path}.{key}", before[key], after[key])
            for key in before
            if before[key] != after[key]
        ]
    return found


def _format_entry(values: dict[str, str]) -> str:
    return ", ".join(f"{key} {value}" for key, value in values.items())


def compare(
    old: policy.Policy | None, new: policy.Policy | None
) -> tuple[Difference, ...]:
    """Lists the differences between two policies.

    Args:
        old: Policy before the change; None if there was none.
        new: Policy after the change; None if it was removed.

    Returns:
        Differences of the environment and the classes, then of the services,
        of the teams with keys and of the kinds, each sorted by name. Comments
        and the order of keys are not compared.
    """
    found = []
    for name in ("environment", "importance_classes"):
        before = None if old is None else _format_value(getattr(old, name))
        after = None if new is None else _format_value(getattr(new, name))
        if before != after:
            found.append(Difference(name, before, after))
    found += _compare_entries(
        "services", _service_values_by_name(old), _service_values_by_name(new)
    )
    found += _compare_entries(
        "teams", _team_values_by_name(old), _team_values_by_name(new)
    )
    found += _compare_entries(
        "kinds", _kind_values_by_name(old), _kind_values_by_name(new)
    )
    return tuple(found)


def _service_values_by_name(
    found: policy.Policy | None,
) -> dict[str, dict[str, str]]:
    if found is None:
        return {}
    return {
        name: _service_values(service)
        for name, service in found.services.items()
    }


def _team_values_by_name(
    found: policy.Policy | None,
) -> dict[str, dict[str, str]]:
    """Keys of each team; only a few characters of a digest fit a phone."""
    if found is None:
        return {}
    return {
        name: {
            "keys": ", ".join(
                digest.hex()[:FINGERPRINT_CHARACTERS]
                for digest in team.key_digests
            )
        }
        for name, team in found.teams.items()
    }


def _kind_values_by_name(
    found: policy.Policy | None,
) -> dict[str, dict[str, str]]:
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
    """Formats differences as lines of at most `width` characters.

    The first line of a difference consists of ``+`` (added), ``-`` (removed)
    or ``~`` (changed) and the path. The values follow on indented lines.
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
