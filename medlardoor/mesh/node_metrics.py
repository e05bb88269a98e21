"""Metrics of a node in the Prometheus exposition format."""

import asyncio
import collections.abc
import enum

from medlardoor.admission import connection_budget
from medlardoor.mesh import (
    connection_guard,
    dispatch,
    document_watch,
    local_upstream,
    recording,
)
from medlardoor.mesh import fleet as fleet_module

__all__ = ["render"]


def render(
    local: local_upstream.LocalUpstream,
    fleet: fleet_module.Fleet,
    dispatcher: dispatch.Dispatcher,
    recorder: recording.Recorder,
    watch: document_watch.DocumentWatch,
    guard: connection_guard.ConnectionGuard,
    gauges: dict[str, int],
    lent_shares: dict[int, float],
) -> str:
    """Returns the metrics of a node as lines of text.

    Args:
        local: The local upstream.
        fleet: The other nodes.
        dispatcher: Handles the requests of callers.
        recorder: Counters of requests.
        watch: Watch of the route document.
        guard: Bounds on the connections of clients.
        gauges: Further gauges by name.
        lent_shares: Part of the limits of each shard that this node may lend.
    """
    values = {
        **gauges,
        "nodes_known": fleet.size,
        "links_open": fleet.open_links,
        "requests_in_progress": dispatcher.in_progress,
        **_upstream_values(local),
        **_client_values(guard),
    }
    lines = [f"medlardoor_{name} {value}" for name, value in values.items()]
    for rank, limit in local.admission_queue.bounds.items():
        label = f'{{rank="{rank}"}}'
        lines.append(f"medlardoor_chains_most{label} {limit:.1f}")
    lines += _count_lines("upstream_breaks_total", "reason", local.breaks)
    lines += _count_lines("clients_ended_total", "reason", guard.closings)
    lines += _count_lines("document_watches_total", "outcome", watch.outcomes)
    confirmed_age_s = watch.confirmed_age_s(asyncio.get_running_loop().time())
    if confirmed_age_s is not None:
        age_ms = int(confirmed_age_s * 1_000)
        lines.append(f"medlardoor_document_confirmed_age_ms {age_ms}")
    lines += _render_demands(dispatcher)
    for shard, share in lent_shares.items():
        if share:
            label = f'{{shard="{shard}"}}'
            lines.append(f"medlardoor_lent_share{label} {share:.3f}")
    lines += dispatcher.render_domains()
    return "\n".join([*lines, *recorder.render()]) + "\n"


def _render_demands(dispatcher: dispatch.Dispatcher) -> list[str]:
    """Renders the slot time asked for; none if capacity is not shared."""
    entry_levels = dispatcher.entry_levels
    now = asyncio.get_running_loop().time()
    lines = [
        f'medlardoor_team_demand{{team="{entry.team}"}} '
        f"{entry.slot_s_per_s:.3f}"
        for entry in entry_levels.largest_teams(now)
    ]
    for kind, slot_s_per_s in entry_levels.kind_demands(now).items():
        label = f'{{route="{kind}"}}'
        lines.append(f"medlardoor_route_demand{label} {slot_s_per_s:.3f}")
    return lines


def _upstream_values(
    local: local_upstream.LocalUpstream,
) -> dict[str, float]:
    admission_queue = local.admission_queue
    values = {
        "upstream_limit": admission_queue.limit,
        "upstream_running": admission_queue.running,
        "upstream_waiting": admission_queue.waiting,
        "admission_level": admission_queue.level,
        "upstream_usable": int(local.is_usable),
        "upstream_connections_total": local.connections_opened,
        "upstream_requests_total": local.requests_sent,
    }
    now = asyncio.get_running_loop().time()
    time_percent = local.observer.speed.time_percent(now)
    if time_percent:
        values["upstream_time_percent"] = time_percent
    rate_per_s = admission_queue.named_limit.rate_per_s
    if rate_per_s is not None:
        values["upstream_named_limit"] = rate_per_s
    return values


def _client_values(guard: connection_guard.ConnectionGuard) -> dict[str, int]:
    budget = guard.budget
    callers = connection_budget.ConnectionGroup.CALLERS
    return {
        "unfinished_heads": budget.unfinished_heads,
        "unfinished_head_bytes": budget.unfinished_head_bytes,
        "unsent_bytes": budget.unsent_bytes,
        "client_connections": budget.open_connections(callers),
    }


def _count_lines(
    name: str, label: str, counts: collections.abc.Mapping[enum.Enum, int]
) -> list[str]:
    return [
        f'medlardoor_{name}{{{label}="{key.value}"}} {count}'
        for key, count in counts.items()
    ]
